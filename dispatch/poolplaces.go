package dispatch

import (
	"context"
	"time"

	"basilstall.example/basilstall/kernel"
)

// estimate returns the estimate of a stage for a request that arrives now. tokens is the maximum number of tokens, zero
// for a unary call. The waiter has the request's customer, weight and deadline.
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

// acquire waits until the concurrency limit lets one more stage run in the pool. It gives up when ctx ends or the
// waiter's latest start has passed. It reports whether the caller may run, and must then call release.
func (p *pool) acquire(ctx context.Context, now time.Time, w kernel.Waiter) bool {
	p.mu.Lock()
	if p.plain || (p.queue.Len() == 0 && p.limit.Allows(p.inFlight)) {
		p.inFlight++
		p.mu.Unlock()
		return true
	}
	remaining := w.LatestStart.Sub(now)
	if remaining <= 0 {
		p.mu.Unlock()
		return false
	}
	ready := make(chan struct{})
	w.Ready = func() { close(ready) }
	p.queue.Push(&w)
	p.mu.Unlock()

	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	stillQueued := p.queue.Remove(&w)
	p.mu.Unlock()
	// If release has taken the waiter from the queue in the meantime, the caller may run.
	return !stillQueued
}

// release ends what acquire has started, and lets waiters run up to the concurrency limit.
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
