package dispatch

import (
	"maps"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	initialLimitPerEndpoint = 4
	maxLimitPerEndpoint     = 64
	// fallbackLatency stands in for quantiles while too little was observed.
	fallbackLatency = 300 * time.Millisecond
	medianQuantile  = 0.5
	tailQuantile    = 0.9
	// unlistedTTL is how long the bounds on calls to an endpoint are kept that the list leaves out: longer than the
	// pause between two calls under the smallest rate cap.
	unlistedTTL = 30 * time.Second
	// missingAdapterTTL is how long an engine is not asked again for an adapter that it lacked.
	missingAdapterTTL = time.Second
	hedgeQuantile     = 0.95
	timeoutQuantile   = 0.99
)

type (
	// pool is what a node knows of one pool. All fields are guarded by mu.
	pool struct {
		mu        sync.Mutex
		name      string
		domain    string
		plain     bool
		endpoints []*endpointState
		// unlisted holds endpoints that the list left out lately, by name.
		unlisted map[string]unlistedEndpoint
		// evacuations says which failure domains get no work.
		evacuations kernel.Evacuations
		// admits tells whether an endpoint that was last called at a time may get a call now.
		admits func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		// mayRequestPermit tells whether another node is worth asking for a permit to call an endpoint.
		mayRequestPermit func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		limit            kernel.ConcurrencyLimit
		queue            *kernel.FairQueue
		budget           kernel.RetryBudget
		inFlight         int
		// adaptersOnDemand is true once an engine said that it lacked an adapter: only then is the use
		// of adapters told.
		adaptersOnDemand bool
		// turn is the next endpoint for the plain round robin.
		nextRoundRobin int
		// service holds whole calls; first and gap are for streams: until the first token
		// and between tokens.
		serviceTimes    kernel.Quantiles
		firstTokenTimes kernel.Quantiles
		tokenGaps       kernel.Quantiles
	}

	// endpointState is what the node's own calls tell of an endpoint.
	endpointState struct {
		// name and address never change: another address is another endpointState.
		name      string
		address   string
		candidate kernel.Candidate
		// leaving is set by the endpoint's own word or by a peer's; the list lags behind it.
		leaving bool
		// listed is the state that the list tells.
		listedState model.HostState
		calls       uint64
		faults      uint64
		pacing      endpointPacing
		// lacks holds when the engine last said that it lacks an adapter.
		missingAdapters map[string]time.Time
	}

	// endpointPacing is what bounds the calls of this node to an endpoint.
	endpointPacing struct {
		// lastCalls is when it last got a call.
		calledAt time.Time
		// coldUntil is until when it is cold by its own word; coldReportedAt is when it last said that it is.
		coldUntil      time.Time
		coldReportedAt time.Time
	}

	unlistedEndpoint struct {
		address    string
		pacing     endpointPacing
		unlistedAt time.Time
	}
)

func newPool(name, domain string, plain bool) *pool {
	return &pool{
		name:     name,
		domain:   domain,
		plain:    plain,
		unlisted: map[string]unlistedEndpoint{},
		limit:    kernel.NewConcurrencyLimit(initialLimitPerEndpoint, 1, maxLimitPerEndpoint),
		queue:    kernel.NewFairQueue(),
		budget:   kernel.NewRetryBudget(),
	}
}

// setEndpoints brings the pool in line with the platform's list and keeps what is known of
// endpoints that stay.
func (p *pool) setEndpoints(now time.Time, listed []model.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := len(p.endpoints) == 0
	known := map[string]*endpointState{}
	for _, e := range p.endpoints {
		known[e.candidate.Endpoint.Name] = e
	}
	p.endpoints = p.endpoints[:0:0]
	for _, endpoint := range listed {
		e := known[endpoint.Name]
		if e == nil || e.candidate.Endpoint.Address != endpoint.Address {
			e = &endpointState{name: endpoint.Name, address: endpoint.Address}
			e.pacing = p.pacingOf(endpoint)
		}
		if e.pacing.coldUntil.After(endpoint.ColdUntil) {
			endpoint.ColdUntil = e.pacing.coldUntil
		}
		e.candidate.Endpoint = endpoint
		e.listedState = endpoint.State
		p.updateState(e)
		p.endpoints = append(p.endpoints, e)
		delete(known, endpoint.Name)
	}
	p.rememberUnlisted(now, known)
	n := float64(max(1, len(listed)))
	if first {
		p.limit = kernel.NewConcurrencyLimit(initialLimitPerEndpoint*n, 1, maxLimitPerEndpoint*n)
	}
	p.limit.Max = maxLimitPerEndpoint * n
}

// pacingOf returns what bounds the calls to an endpoint that the list names again.
func (p *pool) pacingOf(endpoint model.Endpoint) endpointPacing {
	unlisted := p.unlisted[endpoint.Name]
	if unlisted.address != endpoint.Address {
		return endpointPacing{}
	}
	return unlisted.pacing
}

// rememberUnlisted remembers the bounds of endpoints that the list leaves out: one entry that is missed must not have all
// nodes call its endpoint at once.
func (p *pool) rememberUnlisted(now time.Time, left map[string]*endpointState) {
	maps.DeleteFunc(p.unlisted, func(_ string, u unlistedEndpoint) bool { return now.Sub(u.unlistedAt) >= unlistedTTL })
	for name, e := range left {
		p.unlisted[name] = unlistedEndpoint{address: e.address, pacing: e.pacing, unlistedAt: now}
	}
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
	p.updateState(e)
	return true
}

// setEvacuations takes over which failure domains get no work.
func (p *pool) setEvacuations(evacuations kernel.Evacuations) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuations = evacuations
	for _, e := range p.endpoints {
		p.updateState(e)
	}
}

// updateState gives an endpoint the state that follows from the list, its own word and the evacuations.
func (p *pool) updateState(e *endpointState) {
	state := e.listedState
	switch {
	case e.leaving:
		state = model.Leaving
	case state == model.Live && p.evacuations.Contains(e.candidate.Endpoint.FailureDomain):
		state = model.Evacuated
	}
	e.candidate.Endpoint.State = state
}

// lastCalls returns the pool's endpoints, and when each last got a call.
func (p *pool) lastCalls() ([]model.Endpoint, map[string]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoints := make([]model.Endpoint, 0, len(p.endpoints))
	called := make(map[string]time.Time, len(p.endpoints))
	for _, e := range p.endpoints {
		endpoints = append(endpoints, e.candidate.Endpoint)
		called[e.candidate.Endpoint.Incarnation()] = e.pacing.calledAt
	}
	return endpoints, called
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

// succeeded records a good reply.
func (p *pool) recordSuccess(now time.Time, e *endpointState, elapsed time.Duration, load *model.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.InFlight--
	e.candidate.Health = e.candidate.Health.WithSuccess()
	if load != nil {
		e.candidate.Load = *load
		e.candidate.LoadAt = now
	}
	reported := kernel.SumPoolLoad(now, p.candidates())
	median := p.serviceTimes.Quantile(medianQuantile, fallbackLatency)
	p.limit = p.limit.WithSlots(p.totalSlots()).WithReply(now, elapsed, median, reported, p.inFlight)
	p.serviceTimes.Observe(elapsed)
	p.budget = p.budget.WithSuccess()
}

// reported takes a load in that came before the end of a call.
func (p *pool) recordLoad(now time.Time, e *endpointState, load model.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.Load = load
	e.candidate.LoadAt = now
}

// recordCold takes in an endpoint's own word on how long it stays cold, in the answer to a call that began at a time. That it is
// warm counts only if it was asked for after it last said that it is cold.
func (p *pool) recordCold(asked, now time.Time, e *endpointState, coldFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if coldFor == 0 && asked.Before(e.pacing.coldReportedAt) {
		return
	}
	if coldFor > 0 {
		e.pacing.coldReportedAt = now
	}
	e.pacing.coldUntil = now.Add(coldFor)
	e.candidate.Endpoint.ColdUntil = e.pacing.coldUntil
}

// failed records a fault; blamed tells whether the endpoint is held to be its cause.
func (p *pool) recordFailure(now time.Time, e *endpointState, blamed bool) {
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

// takeRetry takes one retry out of the budget.
func (p *pool) takeRetry() bool {
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
