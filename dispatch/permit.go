package dispatch

import (
	"context"
	"time"

	"basilstall.example/basilstall/kernel"
)

// maxPermitRequests bounds the permits that are asked for before one call.
const maxPermitRequests = 2

// choose chooses an endpoint for one call; nil where none may get it. Where the choice falls on one that this node may call
// only with another node's permit, it asks for one; without it, the choice falls on another endpoint.
func (a *attempts) chooseEndpoint(ctx context.Context, prefix string, excluded []string) *endpointState {
	a.connectBy = time.Time{}
	for asked := 0; ; asked++ {
		now := time.Now()
		e, needsPermit := a.pool.pick(now, prefix, excluded, asked < maxPermitRequests)
		if e == nil || !needsPermit {
			return e
		}
		if a.dispatcher.RequestPermit(ctx, a.pool.endpointOf(e)) {
			a.pool.recordPermit(time.Now(), e)
			a.connectBy = now.Add(kernel.PermitLifetime)
			return e
		}
		a.pool.undoPick(e)
	}
}

// Permit has it decided whether another node may call an endpoint in this one's place.
func (d *Dispatcher) Permit(now time.Time, pool, incarnation string, decide func(now time.Time, incarnation string, calledAt time.Time) (granted bool, wait time.Duration)) (granted bool, wait time.Duration) {
	p := d.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.candidate.Endpoint.Incarnation() != incarnation {
			continue
		}
		granted, wait = decide(now, incarnation, e.pacing.calledAt)
		if granted {
			e.pacing.calledAt = now
		}
		return granted, wait
	}
	return false, 0
}

// permitted notes that an endpoint is called with another node's permit.
func (p *pool) recordPermit(now time.Time, e *endpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.pacing.calledAt = now
}

// undoPick takes back a choice that was not used.
func (p *pool) undoPick(e *endpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.InFlight--
	e.calls--
}
