package dispatch

import (
	"maps"
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
	// unlistedMemory is how long the bounds on calls to an endpoint are kept that the list leaves out: longer than the
	// pause between two calls under the smallest rate cap.
	unlistedMemory = 30 * time.Second
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
		// unlisted holds endpoints that the list left out lately, by name.
		unlisted map[string]unlistedEndpoint
		// evacuations says which failure domains get no work.
		evacuations kernel.Evacuations
		// admits tells whether an endpoint that was last called at a time may get a call now.
		admits func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		// mayAsk tells whether another node is worth asking for a permit to call an endpoint.
		mayAsk   func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		limit    kernel.ConcurrencyLimit
		queue    *kernel.FairQueue
		budget   kernel.RetryBudget
		inFlight int
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
		// listed is the state that the list tells.
		listed model.HostState
		calls  uint64
		faults uint64
		bounds endpointBounds
		// lacks holds when the engine last said that it lacks an adapter.
		lacks map[string]time.Time
	}

	// endpointBounds is what bounds the calls of this node to an endpoint.
	endpointBounds struct {
		// calledAt is when it last got a call.
		calledAt time.Time
		// coldUntil is until when it is cold by its own word; coldSaidAt is when it last said that it is.
		coldUntil  time.Time
		coldSaidAt time.Time
	}

	unlistedEndpoint struct {
		address string
		bounds  endpointBounds
		since   time.Time
	}
)

func newPool(name, domain string, plain bool) *pool {
	return &pool{
		name:     name,
		domain:   domain,
		plain:    plain,
		unlisted: map[string]unlistedEndpoint{},
		limit:    kernel.NewConcurrencyLimit(limitStartPerEndpoint, 1, limitMostPerEndpoint),
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
			e.bounds = p.boundsOf(endpoint)
		}
		if e.bounds.coldUntil.After(endpoint.ColdUntil) {
			endpoint.ColdUntil = e.bounds.coldUntil
		}
		e.candidate.Endpoint = endpoint
		e.listed = endpoint.State
		p.setState(e)
		p.endpoints = append(p.endpoints, e)
		delete(known, endpoint.Name)
	}
	p.noteUnlisted(now, known)
	n := float64(max(1, len(listed)))
	if first {
		p.limit = kernel.NewConcurrencyLimit(limitStartPerEndpoint*n, 1, limitMostPerEndpoint*n)
	}
	p.limit.Max = limitMostPerEndpoint * n
}

// boundsOf returns what bounds the calls to an endpoint that the list names again.
func (p *pool) boundsOf(endpoint model.Endpoint) endpointBounds {
	unlisted := p.unlisted[endpoint.Name]
	if unlisted.address != endpoint.Address {
		return endpointBounds{}
	}
	return unlisted.bounds
}

// noteUnlisted remembers the bounds of endpoints that the list leaves out: one entry that is missed must not have all
// nodes call its endpoint at once.
func (p *pool) noteUnlisted(now time.Time, left map[string]*endpointState) {
	maps.DeleteFunc(p.unlisted, func(_ string, u unlistedEndpoint) bool { return now.Sub(u.since) >= unlistedMemory })
	for name, e := range left {
		p.unlisted[name] = unlistedEndpoint{address: e.address, bounds: e.bounds, since: now}
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
	p.setState(e)
	return true
}

// setEvacuations takes over which failure domains get no work.
func (p *pool) setEvacuations(evacuations kernel.Evacuations) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuations = evacuations
	for _, e := range p.endpoints {
		p.setState(e)
	}
}

// setState gives an endpoint the state that follows from the list, its own word and the evacuations.
func (p *pool) setState(e *endpointState) {
	state := e.listed
	switch {
	case e.leaving:
		state = model.Leaving
	case state == model.Live && p.evacuations.Contains(e.candidate.Endpoint.FailureDomain):
		state = model.Evacuated
	}
	e.candidate.Endpoint.State = state
}

// calledAt returns the pool's endpoints, and when each last got a call.
func (p *pool) calledAt() ([]model.Endpoint, map[string]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoints := make([]model.Endpoint, 0, len(p.endpoints))
	called := make(map[string]time.Time, len(p.endpoints))
	for _, e := range p.endpoints {
		endpoints = append(endpoints, e.candidate.Endpoint)
		called[e.candidate.Endpoint.Incarnation()] = e.bounds.calledAt
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
func (p *pool) succeeded(now time.Time, e *endpointState, elapsed time.Duration, load *model.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.InFlight--
	e.candidate.Health = e.candidate.Health.WithSuccess()
	if load != nil {
		e.candidate.Load = *load
		e.candidate.LoadAt = now
	}
	reported := kernel.SumPoolLoad(now, p.candidates())
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

// noteCold takes in an endpoint's own word on how long it stays cold, in the answer to a call that began at a time. That it is
// warm counts only if it was asked for after it last said that it is cold.
func (p *pool) noteCold(asked, now time.Time, e *endpointState, coldFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if coldFor == 0 && asked.Before(e.bounds.coldSaidAt) {
		return
	}
	if coldFor > 0 {
		e.bounds.coldSaidAt = now
	}
	e.bounds.coldUntil = now.Add(coldFor)
	e.candidate.Endpoint.ColdUntil = e.bounds.coldUntil
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
