package dispatch

import (
	"context"
	"time"

	"basilstall.example/basilstall/kernel"
)

const (
	// maxPermitRequests is the maximum number of permits requested for one call.
	maxPermitRequests = 2
	// leavingPermitWait is how long another node waits until it asks again for a permit to call an endpoint that takes no
	// work.
	leavingPermitWait = time.Second
)

// chooseEndpoint chooses an endpoint for one call, or returns nil if none may get it. If this node may call the chosen
// endpoint only with another node's permit, it requests one. If the permit is denied, it chooses again.
func (a *attempts) chooseEndpoint(ctx context.Context, prefix string, excluded []string) *endpointState {
	a.connectBy = time.Time{}
	for permitRequests := 0; ; permitRequests++ {
		now := time.Now()
		e, needsPermit := a.pool.pick(now, prefix, excluded, a.boundTo, permitRequests < maxPermitRequests)
		a.permitDenied = permitRequests > 0
		if e == nil || !needsPermit {
			return e
		}
		if a.dispatcher.RequestPermit(ctx, a.pool.endpointOf(e)) {
			a.pool.recordPermittedCall(time.Now(), e)
			a.connectBy = now.Add(kernel.PermitLifetime)
			return e
		}
		a.pool.undoPick(e)
	}
}

// Permit asks decide whether another node may call an endpoint in place of this one. A granted permit counts
// as a call of this node. If the permit is denied, wait is the time until the other node's turn; it is 0 if the
// endpoint is not listed.
func (d *Dispatcher) Permit(now time.Time, pool, incarnation string, decide func(now time.Time, incarnation string, calledAt time.Time) (granted bool, wait time.Duration)) (granted bool, wait time.Duration) {
	p := d.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.candidate.Endpoint.Incarnation() != incarnation {
			continue
		}
		if !e.candidate.Endpoint.TakesWork() {
			return false, leavingPermitWait
		}
		granted, wait = decide(now, incarnation, e.pacing.calledAt)
		if granted {
			e.pacing.calledAt = now
		}
		return granted, wait
	}
	return false, 0
}

// recordPermittedCall records that an endpoint is called with another node's permit.
func (p *pool) recordPermittedCall(now time.Time, e *endpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.pacing.calledAt = now
}

// undoPick reverts the counters of a pick that is not followed by a call.
func (p *pool) undoPick(e *endpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.InFlight--
	e.calls--
}
