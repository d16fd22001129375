package ratecap

import (
	"context"
	"math/rand/v2"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// sharersMemory is how long it counts which nodes share a cap. Those that no longer do say so.
	sharersMemory = 2 * time.Second
	// askTimeout bounds the question for a permit: many round trips between hosts, and less than callers notice.
	askTimeout = 100 * time.Millisecond
)

// MayAsk tells whether another node is worth asking now for a permit to send to an endpoint.
func (l *Limiter) MayAsk(now time.Time, incarnation string) bool {
	at, asks := l.askAt(now, incarnation)
	return asks && !now.Before(at)
}

// askAt returns when another node is worth asking for a permit; false where this node asks nobody.
func (l *Limiter) askAt(now time.Time, incarnation string) (at time.Time, asks bool) {
	if l.seams.Ask == nil {
		return time.Time{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.known[incarnation]
	if c == nil || !c.news.View.Cap.Stated {
		return time.Time{}, false
	}
	if c.sharersAt.IsZero() || now.Sub(c.sharersAt) >= sharersMemory {
		c.permits = c.permits.WithSharers(kernel.CapSharers(now, l.nodes, incarnation), l.name)
		c.sharersAt = now
	}
	return c.permits.Next()
}

// Ask asks a node that shares an endpoint's cap for a permit to send one request in its place, and tells whether it was
// granted.
func (l *Limiter) Ask(ctx context.Context, e model.Endpoint) bool {
	incarnation := e.Incarnation()
	sharer, ok := l.chooseSharer(l.now(), incarnation)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	granted, wait, err := l.seams.Ask(ctx, sharer, e.Pool, incarnation)
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
	if c := l.known[incarnation]; c != nil {
		c.permits = c.permits.WithDenial(l.now(), sharer, wait)
	}
	return false
}

func (l *Limiter) chooseSharer(now time.Time, incarnation string) (sharer string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.known[incarnation]
	if c == nil {
		return "", false
	}
	return c.permits.Choose(now, rand.Float64())
}

// Permit decides whether another node may send to an endpoint in this one's place, which last sent there, or let another
// node do so, at a time.
func (l *Limiter) Permit(now time.Time, incarnation string, sentAt time.Time) (granted bool, wait time.Duration) {
	place := l.Place(now, incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.known[incarnation]
	if c == nil {
		c = &known{}
	}
	c.desk, granted, wait = c.desk.Permit(now, l.share(incarnation, c.news.View), sentAt, place)
	return granted, wait
}
