package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// capPublishFirst and capPublishLast bound when a node writes what it believes of a cap into the common table, unless
	// another one has by then. The first node by hash writes at once.
	capPublishFirst = 500 * time.Millisecond
	capPublishLast  = 4 * time.Second
	// capPublishPause is the least time between two writes of one node for one endpoint: its need may come and go with each
	// answer, and what all nodes write together is bounded.
	capPublishPause = 2 * time.Second
	// capPublishRate is the least time between two writes of nothing but another rate: nodes that send learn of it from the
	// endpoint's answers.
	capPublishRate = 10 * time.Second
	// capPublishAgain is the pause after a first failure to write; each is twice the one before, up to capPublishMost.
	capPublishAgain = time.Second
	capPublishMost  = 15 * time.Second
	// capUnlistedTTL is how long an endpoint may be missing from the list before its cap is forgotten.
	capUnlistedTTL = 10 * time.Second
)

// CapPublisher is what one node has to tell the others of an endpoint's rate cap, through a table that all follow. It changes
// in place.
type CapPublisher struct {
	// Belief is what the node itself believes.
	View CapView
	// Published is what the table says.
	Published model.RateCap

	publishedAt time.Time
	// wroteAt is when this node last wrote.
	wroteAt   time.Time
	publishAt time.Time
	pause     time.Duration
	goneFrom  time.Time
}

// Notice takes in what the table says from now on.
func (n *CapPublisher) ApplyNotice(now time.Time, stated model.RateCap) {
	n.Published, n.publishedAt = stated, now
	n.View = n.View.WithNotice(now, stated)
}

// Listed takes in whether the endpoint is still listed.
func (n *CapPublisher) SetListed(now time.Time, listed bool) {
	switch {
	case listed:
		n.goneFrom = time.Time{}
	case n.goneFrom.IsZero():
		n.goneFrom = now
	case now.Sub(n.goneFrom) >= capUnlistedTTL:
		n.View = n.View.WithoutEndpoint(now)
	}
}

// Publishes tells whether the node is to write its belief into the table now. The draw is evenly between 0 and 1.
func (n *CapPublisher) ShouldPublish(now time.Time, place int, draw float64) bool {
	if n.View.Cap == n.Published {
		n.publishAt, n.pause = time.Time{}, 0
		return false
	}
	if !n.wroteAt.IsZero() && now.Sub(n.wroteAt) < capPublishPause {
		return false
	}
	if n.View.Cap.Stated && n.Published.Stated && (place > 0 || now.Sub(n.publishedAt) < capPublishRate) {
		return false
	}
	if n.publishAt.IsZero() {
		n.publishAt = now
		if place > 0 {
			n.publishAt = now.Add(capPublishFirst + time.Duration(draw*float64(capPublishLast-capPublishFirst)))
		}
	}
	return !now.Before(n.publishAt)
}

// Wrote takes in whether the belief could be written.
func (n *CapPublisher) RecordWrite(now time.Time, written model.RateCap, ok bool) {
	if ok {
		n.Published, n.publishedAt, n.wroteAt = written, now, now
		return
	}
	n.pause = min(max(capPublishAgain, 2*n.pause), capPublishMost)
	n.publishAt = now.Add(n.pause)
}

// Forgettable tells whether there is nothing to remember.
func (n *CapPublisher) Removable() bool {
	return !n.View.Cap.Stated && !n.Published.Stated
}
