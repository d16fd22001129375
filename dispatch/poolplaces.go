package dispatch

import (
	"context"
	"time"

	"basilstall.example/basilstall/kernel"
)

// estimate tells what a request that comes now can expect of the pool; tokens is zero for a
// unary call. The waiter says whose request it is.
func (p *pool) estimate(tokens int, w kernel.Waiter) kernel.StageEstimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := kernel.StageEstimate{
		Median:      p.serviceTimes.Quantile(medianQuantile, 0),
		Tail:        p.serviceTimes.Quantile(tailQuantile, 0),
		MaxInFlight: p.limit.Value,
	}
	gap := p.tokenGaps.Quantile(medianQuantile, 0)
	if tokens > 0 && gap > 0 {
		generation := time.Duration(tokens) * gap
		e.Median = p.firstTokenTimes.Quantile(medianQuantile, 0) + generation
		e.Tail = p.firstTokenTimes.Quantile(tailQuantile, 0) + generation
	}
	w.Cost = e.Cost()
	e.QueuedCost = p.queue.CostAhead(w)
	return e
}

// enter waits for a place at the pool. It gives up when ctx ends or starting has become
// useless, and reports whether the caller has a place, to be given back with leave.
func (p *pool) acquire(ctx context.Context, now time.Time, w kernel.Waiter) bool {
	p.mu.Lock()
	if p.plain || (p.queue.Len() == 0 && p.limit.Allows(p.inFlight)) {
		p.inFlight++
		p.mu.Unlock()
		return true
	}
	left := w.LatestStart.Sub(now)
	if left <= 0 {
		p.mu.Unlock()
		return false
	}
	ready := make(chan struct{})
	w.Ready = func() { close(ready) }
	p.queue.Push(&w)
	p.mu.Unlock()

	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	waited := p.queue.Remove(&w)
	p.mu.Unlock()
	// A waiter that was taken out at the same moment has a place after all.
	return !waited
}

// leave gives a place back and lets the next waiters in.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	for p.limit.Allows(p.inFlight) {
		w := p.queue.Pop()
		if w == nil {
			return
		}
		p.inFlight++
		w.Ready()
	}
}
