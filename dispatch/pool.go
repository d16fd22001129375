package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	limitStartPerEndpoint = 4
	limitMostPerEndpoint  = 64
	// fallbackLatency stands in for quantiles while too little was observed.
	fallbackLatency = 300 * time.Millisecond
	medianQuantile  = 0.5
	longQuantile    = 0.9
	// lackMemory is how long an engine is not asked again for an adapter that it lacked.
	lackMemory      = time.Second
	hedgeQuantile   = 0.95
	timeoutQuantile = 0.99
)

type (
	// pool is what a node knows of one pool. All fields are guarded by mu.
	pool struct {
		mu        sync.Mutex
		name      string
		domain    string
		plain     bool
		endpoints []*endpointState
		limit     kernel.Limit
		queue     *kernel.FairQueue
		budget    kernel.RetryBudget
		inFlight  int
		// onDemand is true once an engine said that it lacked an adapter: only then is the use
		// of adapters told.
		onDemand bool
		// turn is the next endpoint for the plain round robin.
		turn int
		// service holds whole calls; first and gap are for streams: until the first token
		// and between tokens.
		service kernel.Quantiles
		first   kernel.Quantiles
		gap     kernel.Quantiles
	}

	// endpointState is what the node's own calls tell of an endpoint.
	endpointState struct {
		// name and address never change: another address is another endpointState.
		name      string
		address   string
		candidate kernel.Candidate
		// leaving is set by the endpoint's own word or by a peer's; the list lags behind it.
		leaving bool
		calls   uint64
		faults  uint64
		// lacks holds when the engine last said that it lacks an adapter.
		lacks map[string]time.Time
	}
)

func newPool(name, domain string, plain bool) *pool {
	return &pool{
		name:   name,
		domain: domain,
		plain:  plain,
		limit:  kernel.NewLimit(limitStartPerEndpoint, 1, limitMostPerEndpoint),
		queue:  kernel.NewFairQueue(),
		budget: kernel.NewRetryBudget(),
	}
}

// setEndpoints brings the pool in line with the platform's list and keeps what is known of
// endpoints that stay.
func (p *pool) setEndpoints(listed []model.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]*endpointState{}
	for _, e := range p.endpoints {
		known[e.candidate.Endpoint.Name] = e
	}
	p.endpoints = p.endpoints[:0:0]
	for _, endpoint := range listed {
		e := known[endpoint.Name]
		if e == nil || e.candidate.Endpoint.Address != endpoint.Address {
			e = &endpointState{name: endpoint.Name, address: endpoint.Address}
		}
		e.candidate.Endpoint = endpoint
		if e.leaving {
			e.candidate.Endpoint.State = model.Leaving
		}
		p.endpoints = append(p.endpoints, e)
	}
	n := float64(max(1, len(listed)))
	if len(known) == 0 {
		p.limit = kernel.NewLimit(limitStartPerEndpoint*n, 1, limitMostPerEndpoint*n)
	}
	p.limit.Max = limitMostPerEndpoint * n
}

// markLeaving notes that an endpoint is leaving; it reports whether that is news.
func (p *pool) markLeaving(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(name)
	if e == nil || e.leaving {
		return false
	}
	e.leaving = true
	e.candidate.Endpoint.State = model.Leaving
	return true
}

// endpointOf returns what the list says of an endpoint.
func (p *pool) endpointOf(e *endpointState) model.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.candidate.Endpoint
}

func (p *pool) find(name string) *endpointState {
	for _, e := range p.endpoints {
		if e.candidate.Endpoint.Name == name {
			return e
		}
	}
	return nil
}

// pick chooses an endpoint and counts a call to it as in flight.
func (p *pool) pick(now time.Time, prefix string, excluded []string) *endpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plain {
		return p.pickPlain()
	}
	candidates := p.candidates()
	usable := kernel.Usable(now, candidates, excluded)
	if len(usable) == 0 {
		usable = kernel.Usable(now, candidates, nil)
	}
	var i int
	if prefix != "" {
		i = kernel.PickPrefix(now, usable, prefix)
	} else {
		i = kernel.PickTwoChoices(now, usable, p.domain, rand.Float64(), rand.Float64())
	}
	if i < 0 {
		return nil
	}
	e := p.find(usable[i].Endpoint.Name)
	e.candidate.InFlight++
	e.calls++
	if e.candidate.Health.Ejected() {
		e.candidate.Health = e.candidate.Health.WithProbe()
	}
	return e
}

// noteLack notes that an engine lacks an adapter.
func (p *pool) noteLack(now time.Time, e *endpointState, adapter string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.InFlight--
	e.candidate.Health.Probing = false
	p.onDemand = true
	if e.lacks == nil {
		e.lacks = map[string]time.Time{}
	}
	e.lacks[adapter] = now
}

// lacking returns the engines that said a moment ago that they lack an adapter, and whether
// these are all that could get the call.
func (p *pool) lacking(now time.Time, adapter string) (names []string, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	staying := 0
	for _, e := range p.endpoints {
		if e.candidate.Endpoint.State == model.Leaving {
			continue
		}
		staying++
		at, lacks := e.lacks[adapter]
		if lacks && now.Sub(at) < lackMemory {
			names = append(names, e.candidate.Endpoint.Name)
		} else if lacks {
			delete(e.lacks, adapter)
		}
	}
	return names, len(names) > 0 && len(names) == staying
}

// loadsOnDemand tells whether the pool's engines load adapters on demand.
func (p *pool) loadsOnDemand() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.onDemand
}

// pickPlain is the baseline: round robin over all that the list names.
func (p *pool) pickPlain() *endpointState {
	if len(p.endpoints) == 0 {
		return nil
	}
	e := p.endpoints[p.turn%len(p.endpoints)]
	p.turn++
	e.candidate.InFlight++
	e.calls++
	return e
}

// succeeded records a good reply.
func (p *pool) succeeded(now time.Time, e *endpointState, elapsed time.Duration, load *model.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.InFlight--
	e.candidate.Health = e.candidate.Health.WithSuccess()
	if load != nil {
		e.candidate.Load = *load
		e.candidate.LoadAt = now
	}
	reported := kernel.PoolLoadOf(now, p.candidates())
	median := p.service.Quantile(medianQuantile, fallbackLatency)
	p.limit = p.limit.WithSlots(p.slots()).WithReply(now, elapsed, median, reported, p.inFlight)
	p.service.Observe(elapsed)
	p.budget = p.budget.WithSuccess()
}

// reported takes a load in that came before the end of a call.
func (p *pool) reported(now time.Time, e *endpointState, load model.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.Load = load
	e.candidate.LoadAt = now
}

func (p *pool) candidates() []kernel.Candidate {
	out := make([]kernel.Candidate, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		out = append(out, e.candidate)
	}
	return out
}

// slots sums up the slots of the endpoints that have ever reported any; those that have not
// are taken to have as many as the others.
func (p *pool) slots() int {
	known, sum := 0, 0
	for _, e := range p.endpoints {
		if e.candidate.Load.Slots > 0 {
			known++
			sum += e.candidate.Load.Slots
		}
	}
	if known == 0 {
		return 0
	}
	return sum * len(p.endpoints) / known
}

// failed records a fault; blamed tells whether the endpoint is held to be its cause.
func (p *pool) failed(now time.Time, e *endpointState, blamed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.InFlight--
	e.candidate.Health.Probing = false
	if !blamed {
		return
	}
	e.faults++
	e.candidate.Health = e.candidate.Health.WithFailure(now)
}

// mayRetry takes one retry out of the budget.
func (p *pool) mayRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plain {
		return true
	}
	var ok bool
	p.budget, ok = p.budget.WithRetry()
	return ok
}

// canRetry tells whether the budget has a retry left.
func (p *pool) canRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.budget.WithRetry()
	return ok || p.plain
}

func (p *pool) observe(q *kernel.Quantiles, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q.Observe(d)
}

func (p *pool) quantile(q *kernel.Quantiles, level float64, fallback time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return q.Quantile(level, fallback)
}

// estimate tells what a request that comes now can expect of the pool; tokens is zero for a
// unary call. The waiter says whose request it is.
func (p *pool) estimate(tokens int, w kernel.Waiter) kernel.StageEstimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := kernel.StageEstimate{
		Median: p.service.Quantile(medianQuantile, 0),
		Long:   p.service.Quantile(longQuantile, 0),
		Places: p.limit.Value,
	}
	gap := p.gap.Quantile(medianQuantile, 0)
	if tokens > 0 && gap > 0 {
		generation := time.Duration(tokens) * gap
		e.Median = p.first.Quantile(medianQuantile, 0) + generation
		e.Long = p.first.Quantile(longQuantile, 0) + generation
	}
	w.Cost = e.Cost()
	e.QueuedCost = p.queue.Ahead(w)
	return e
}

// enter waits for a place at the pool. It gives up when ctx ends or starting has become
// useless, and reports whether the caller has a place, to be given back with leave.
func (p *pool) enter(ctx context.Context, now time.Time, w kernel.Waiter) bool {
	p.mu.Lock()
	if p.plain || (p.queue.Len() == 0 && p.limit.Allows(p.inFlight)) {
		p.inFlight++
		p.mu.Unlock()
		return true
	}
	left := w.Latest.Sub(now)
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
func (p *pool) leave() {
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

func (p *pool) status() []EndpointStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]EndpointStatus, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		out = append(out, EndpointStatus{
			Endpoint: e.candidate.Endpoint,
			InFlight: e.candidate.InFlight,
			Calls:    e.calls,
			Faults:   e.faults,
			Load:     e.candidate.Load,
			Ejected:  e.candidate.Health.Ejected(),
		})
	}
	return out
}
