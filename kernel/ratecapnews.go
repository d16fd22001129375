package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// Unless another node publishes first, a node writes its view of a cap into the shared table after a random delay
	// between these two. The node at rank 0 writes at once.
	capPublishFirst = 500 * time.Millisecond
	capPublishLast  = 4 * time.Second
	// capPublishPause is the minimum time between two writes of one node for one endpoint: a cap may come and go with
	// each answer, and the writes of all nodes together are bounded.
	capPublishPause = 2 * time.Second
	// capPublishRate is the minimum time between two writes that change only the rate: nodes that send learn of it from
	// the answers of the endpoint.
	capPublishRate = 10 * time.Second
	// capPublishAgain is the delay after the first failed write. It doubles with each further failure, up to a maximum.
	capPublishAgain = time.Second
	capPublishMost  = 15 * time.Second
	// capUnlistedTTL is how long an endpoint may be missing from the list before its cap is dropped.
	capUnlistedTTL = 10 * time.Second
)

// CapPublisher holds what one node publishes of the rate cap of an endpoint, through a table that all nodes follow. It
// changes in place.
type CapPublisher struct {
	// View is the node's own view of the cap.
	View CapView
	// Published is what the table states.
	Published model.RateCap

	publishedAt time.Time
	// wroteAt is when this node last wrote.
	wroteAt   time.Time
	publishAt time.Time
	pause     time.Duration
	goneFrom  time.Time
}

// ApplyNotice applies a change of what the table states.
func (p *CapPublisher) ApplyNotice(now time.Time, stated model.RateCap) {
	p.Published, p.publishedAt = stated, now
	p.View = p.View.WithNotice(now, stated)
}

// SetListed records whether the endpoint is still listed.
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

// ShouldPublish reports whether the node has to write its view into the table now. The draw is uniform between 0 and 1.
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

// RecordWrite records whether a write of the view succeeded.
func (p *CapPublisher) RecordWrite(now time.Time, written model.RateCap, ok bool) {
	if ok {
		p.Published, p.publishedAt, p.wroteAt = written, now, now
		return
	}
	p.pause = min(max(capPublishAgain, 2*p.pause), capPublishMost)
	p.publishAt = now.Add(p.pause)
}

// Removable reports whether neither the view nor the table states a cap, so that the state can be dropped.
func (p *CapPublisher) Removable() bool {
	return !p.View.Cap.Stated && !p.Published.Stated
}
