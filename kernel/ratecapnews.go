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
	// View is what the node itself believes.
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

// ApplyNotice takes in what the table says from now on.
func (p *CapPublisher) ApplyNotice(now time.Time, stated model.RateCap) {
	p.Published, p.publishedAt = stated, now
	p.View = p.View.WithNotice(now, stated)
}

// SetListed takes in whether the endpoint is still listed.
func (p *CapPublisher) SetListed(now time.Time, listed bool) {
	switch {
	case listed:
		p.goneFrom = time.Time{}
	case p.goneFrom.IsZero():
		p.goneFrom = now
	case now.Sub(p.goneFrom) >= capUnlistedTTL:
		p.View = p.View.WithoutEndpoint(now)
	}
}

// ShouldPublish tells whether the node is to write its belief into the table now. The draw is evenly between 0 and 1.
func (p *CapPublisher) ShouldPublish(now time.Time, rank int, draw float64) bool {
	if p.View.Cap == p.Published {
		p.publishAt, p.pause = time.Time{}, 0
		return false
	}
	if !p.wroteAt.IsZero() && now.Sub(p.wroteAt) < capPublishPause {
		return false
	}
	if p.View.Cap.Stated && p.Published.Stated && (rank > 0 || now.Sub(p.publishedAt) < capPublishRate) {
		return false
	}
	if p.publishAt.IsZero() {
		p.publishAt = now
		if rank > 0 {
			p.publishAt = now.Add(capPublishFirst + time.Duration(draw*float64(capPublishLast-capPublishFirst)))
		}
	}
	return !now.Before(p.publishAt)
}

// RecordWrite takes in whether the belief could be written.
func (p *CapPublisher) RecordWrite(now time.Time, written model.RateCap, ok bool) {
	if ok {
		p.Published, p.publishedAt, p.wroteAt = written, now, now
		return
	}
	p.pause = min(max(capPublishAgain, 2*p.pause), capPublishMost)
	p.publishAt = now.Add(p.pause)
}

// Removable tells whether there is nothing to remember.
func (p *CapPublisher) Removable() bool {
	return !p.View.Cap.Stated && !p.Published.Stated
}
