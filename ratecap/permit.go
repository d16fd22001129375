package ratecap

import (
	"context"
	"math/rand/v2"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// sharersTTL is how long the list of nodes that share a cap is cached. Nodes that no longer share it deny permits.
	sharersTTL = 2 * time.Second
	// permitTimeout bounds a request for a permit. It allows for many round trips between hosts, and is too short for
	// callers to notice.
	permitTimeout = 100 * time.Millisecond
)

// MayRequestPermit reports whether another node can be asked now for a permit to send to an endpoint.
func (l *Limiter) MayRequestPermit(now time.Time, incarnation string) bool {
	at, ok := l.permitRequestAt(now, incarnation)
	return ok && !now.Before(at)
}

// permitRequestAt returns when another node can next be asked for a permit. It returns false if there is no cap or no
// node to ask.
func (l *Limiter) permitRequestAt(now time.Time, incarnation string) (at time.Time, ok bool) {
	if l.deps.RequestPermit == nil {
		return time.Time{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil || !c.publisher.View.Cap.Stated {
		return time.Time{}, false
	}
	if c.sharersAt.IsZero() || now.Sub(c.sharersAt) >= sharersTTL {
		c.permits = c.permits.WithSharers(kernel.CapSharers(now, l.nodes, incarnation), l.name)
		c.sharersAt = now
	}
	return c.permits.NextRequestAt()
}

// RequestPermit asks a node that shares an endpoint's cap for a permit to send one request in its place, and reports
// whether it was granted.
func (l *Limiter) RequestPermit(ctx context.Context, e model.Endpoint) bool {
	incarnation := e.Incarnation()
	sharer, ok := l.chooseSharer(l.now(), incarnation)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	granted, wait, err := l.deps.RequestPermit(ctx, sharer, e.Pool, incarnation)
	switch {
	case err != nil:
		l.metrics.CountEvent("CapPermitUnanswered")
	case granted:
		l.metrics.CountEvent("CapPermitGranted")
		return true
	default:
		l.metrics.CountEvent("CapPermitDenied")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.endpoints[incarnation]; c != nil {
		c.permits = c.permits.WithDenial(l.now(), sharer, wait)
	}
	return false
}

// chooseSharer returns the node to ask for a permit, or false if none can be asked now.
func (l *Limiter) chooseSharer(now time.Time, incarnation string) (sharer string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil {
		return "", false
	}
	return c.permits.Choose(now, rand.Float64())
}

// Permit decides whether another node may send one request to an endpoint in place of this node. sentAt is when
// this node last sent to the endpoint or granted a permit for it. If the permit is denied, wait is the time until
// the other node's turn.
func (l *Limiter) Permit(now time.Time, incarnation string, sentAt time.Time) (granted bool, wait time.Duration) {
	rank := l.Rank(now, incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil {
		c = &endpointCap{}
	}
	c.issuer, granted, wait = c.issuer.Decide(now, l.fractionalView(incarnation, c.publisher.View), sentAt, rank)
	return granted, wait
}
