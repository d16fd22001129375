package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// Unless another node publishes first, a node writes its view of a cap into the shared table after a random delay
	// between these two. The node at rank 0 writes at once.
	minCapPublishDelay = 500 * time.Millisecond
	maxCapPublishDelay = 4 * time.Second
	// minCapWriteInterval is the minimum time between two writes of one node for one endpoint: a cap may come and go with
	// each answer, and the writes of all nodes together are bounded.
	minCapWriteInterval = 2 * time.Second
	// minCapRateWriteInterval is the minimum time between two writes that change only the rate: nodes that send learn of it from
	// the answers of the endpoint.
	minCapRateWriteInterval = 10 * time.Second
	// minCapWriteBackoff is the delay after the first failed write. It doubles with each further failure, up to a maximum.
	minCapWriteBackoff = time.Second
	maxCapWriteBackoff = 15 * time.Second
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
	// lastWriteAt is when this node last wrote.
	lastWriteAt   time.Time
	publishDueAt  time.Time
	writeBackoff  time.Duration
	unlistedSince time.Time
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
		p.unlistedSince = time.Time{}
	case p.unlistedSince.IsZero():
		p.unlistedSince = now
	case now.Sub(p.unlistedSince) >= capUnlistedTTL:
		p.View = p.View.WithoutEndpoint(now)
	}
}

// ShouldPublish reports whether the node has to write its view into the table now. The draw is uniform between 0 and 1.
func (p *CapPublisher) ShouldPublish(now time.Time, rank int, draw float64) bool {
	if p.View.Cap == p.Published {
		p.publishDueAt, p.writeBackoff = time.Time{}, 0
		return false
	}
	if !p.lastWriteAt.IsZero() && now.Sub(p.lastWriteAt) < minCapWriteInterval {
		return false
	}
	if p.View.Cap.Stated && p.Published.Stated && (rank > 0 || now.Sub(p.publishedAt) < minCapRateWriteInterval) {
		return false
	}
	if p.publishDueAt.IsZero() {
		p.publishDueAt = now
		if rank > 0 {
			p.publishDueAt = now.Add(minCapPublishDelay + time.Duration(draw*float64(maxCapPublishDelay-minCapPublishDelay)))
		}
	}
	return !now.Before(p.publishDueAt)
}

// RecordWrite records whether a write of the view succeeded.
func (p *CapPublisher) RecordWrite(now time.Time, written model.RateCap, ok bool) {
	if ok {
		p.Published, p.publishedAt, p.lastWriteAt = written, now, now
		return
	}
	p.writeBackoff = min(max(minCapWriteBackoff, 2*p.writeBackoff), maxCapWriteBackoff)
	p.publishDueAt = now.Add(p.writeBackoff)
}

// Removable reports whether neither the view nor the table states a cap, so that the state can be dropped.
func (p *CapPublisher) Removable() bool {
	return !p.View.Cap.Stated && !p.Published.Stated
}
