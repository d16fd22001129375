package ratecap

import (
	"context"
	"math/rand/v2"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// sharersTTL is how long it counts which nodes share a cap. Those that no longer do say so.
	sharersTTL = 2 * time.Second
	// permitTimeout bounds the question for a permit: many round trips between hosts, and less than callers notice.
	permitTimeout = 100 * time.Millisecond
)

// MayRequestPermit tells whether another node is worth asking now for a permit to send to an endpoint.
func (l *Limiter) MayRequestPermit(now time.Time, incarnation string) bool {
	at, ok := l.permitRequestAt(now, incarnation)
	return ok && !now.Before(at)
}

// permitRequestAt returns when another node is worth asking for a permit; false where this node asks nobody.
func (l *Limiter) permitRequestAt(now time.Time, incarnation string) (at time.Time, ok bool) {
	if l.deps.RequestPermit == nil {
		return time.Time{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil || !c.publisher.Belief.Cap.Stated {
		return time.Time{}, false
	}
	if c.sharersAt.IsZero() || now.Sub(c.sharersAt) >= sharersTTL {
		c.permits = c.permits.WithSharers(kernel.CapSharers(now, l.nodes, incarnation), l.name)
		c.sharersAt = now
	}
	return c.permits.Next()
}

// RequestPermit asks a node that shares an endpoint's cap for a permit to send one request in its rank, and tells whether it was
// granted.
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
		l.metrics.Event("CapPermitUnanswered")
	case granted:
		l.metrics.Event("CapPermitGranted")
		return true
	default:
		l.metrics.Event("CapPermitDenied")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.endpoints[incarnation]; c != nil {
		c.permits = c.permits.WithDenial(l.now(), sharer, wait)
	}
	return false
}

func (l *Limiter) chooseSharer(now time.Time, incarnation string) (sharer string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil {
		return "", false
	}
	return c.permits.Choose(now, rand.Float64())
}

// Permit decides whether another node may send to an endpoint in this one's rank, which last sent there, or let another
// node do so, at a time.
func (l *Limiter) Permit(now time.Time, incarnation string, sentAt time.Time) (granted bool, wait time.Duration) {
	rank := l.Rank(now, incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil {
		c = &endpointCap{}
	}
	c.issuer, granted, wait = c.issuer.Permit(now, l.partialView(incarnation, c.publisher.Belief), sentAt, rank)
	return granted, wait
}
