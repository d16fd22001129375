package dispatch

import (
	"maps"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/pace"
)

const (
	// initialLimitPerEndpoint and maxLimitPerEndpoint are the initial and maximum value of a pool's concurrency limit,
	// in calls in flight per endpoint, until the endpoints report their slots.
	initialLimitPerEndpoint = 4
	maxLimitPerEndpoint     = 64
	// fallbackLatency is used for quantiles of the service time that have too few observations.
	fallbackLatency = 300 * time.Millisecond
	medianQuantile  = 0.5
	tailQuantile    = 0.9
	// unlistedRetention is how long the pacing of an endpoint is kept after the list has dropped it: longer than the pause
	// between two calls under the smallest rate cap.
	unlistedRetention = 30 * time.Second
	// missingAdapterTTL is how long an engine that replied that it lacks an adapter gets no further calls for it.
	missingAdapterTTL = time.Second
	hedgeQuantile     = 0.95
	timeoutQuantile   = 0.99
)

type (
	// pool is the state of one pool at one node. All fields are guarded by mu.
	pool struct {
		mu   sync.Mutex
		name string
		// domain is the node's failure domain.
		domain    string
		plain     bool
		endpoints []*endpointState
		// unlisted holds the endpoints that the list has recently dropped, by name.
		unlisted map[string]unlistedEndpoint
		// evacuations holds the failure domains whose endpoints get no work.
		evacuations kernel.Evacuations
		// admits is Dispatcher.Admits.
		admits func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		// refusalRole is Dispatcher.RefusalRole.
		refusalRole func(now time.Time, role kernel.RefusalRole, incarnation string) kernel.RefusalRole
		// mayRequestPermit is Dispatcher.MayRequestPermit.
		mayRequestPermit func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		limit            kernel.ConcurrencyLimit
		queue            *kernel.FairQueue
		budget           kernel.RetryBudget
		// inFlight counts the stages that have acquired the pool. It is bounded by limit, except in the baseline.
		inFlight int
		// adaptersOnDemand is true once an engine has replied that it lacks an adapter. Before that, the use of
		// adapters is not reported.
		adaptersOnDemand bool
		// nextRoundRobin counts the picks of the baseline's round robin.
		nextRoundRobin int
		// serviceTimes are the durations of successful calls. firstTokenTimes and tokenGaps are those of streams until
		// the first token and between tokens.
		serviceTimes    kernel.Quantiles
		firstTokenTimes kernel.Quantiles
		tokenGaps       kernel.Quantiles
		// paces holds the learned speeds of the endpoints. They are used only while endpoints state their contention;
		// contentionAt is when one last did.
		paces        *pace.Book
		contentionAt time.Time
	}

	// endpointState is the state of an endpoint at one node.
	endpointState struct {
		// name, address and incarnation never change: an endpoint that was restarted or has a new address gets a new
		// endpointState.
		name        string
		address     string
		incarnation string
		// candidate holds what endpoints are chosen by, such as the load, the health and the calls in flight.
		candidate kernel.Candidate
		// standing is what the endpoint has stated of itself, or a peer has reported of it. The list is updated later.
		standing kernel.Standing
		// listedState is the state in the list.
		listedState model.HostState
		calls       uint64
		faults      uint64
		pacing      endpointPacing
		// missingAdapters holds by adapter when the engine last replied that it lacks it.
		missingAdapters map[string]time.Time
	}

	// endpointPacing is the state from which rate caps and cold limits decide on this node's calls to an endpoint.
	endpointPacing struct {
		// calledAt is when this node last called the endpoint or granted a permit for it.
		calledAt time.Time
		// coldUntil is when the endpoint stops being cold, according to its replies.
		coldUntil time.Time
		// coldReportedAt is when it last reported that it is cold.
		coldReportedAt time.Time
		// refusalCap is the refusal cap that it states in its replies; refusalRole and refusalWindow are whether this node
		// may call it then, and how much.
		refusalCap    kernel.CapView
		refusalRole   kernel.RefusalRole
		refusalWindow kernel.RefusalWindow
	}

	// unlistedEndpoint is what is kept of an endpoint that the list has dropped at unlistedAt.
	unlistedEndpoint struct {
		address     string
		incarnation string
		pacing      endpointPacing
		standing    kernel.Standing
		unlistedAt  time.Time
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
		paces:    pace.NewBook(),
	}
}

// setEndpoints replaces the pool's endpoints with the listed ones. The state of endpoints that stay is kept.
func (p *pool) setEndpoints(now time.Time, listed []model.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasEmpty := len(p.endpoints) == 0
	known := map[string]*endpointState{}
	for _, e := range p.endpoints {
		known[e.candidate.Endpoint.Name] = e
	}
	p.endpoints = p.endpoints[:0:0]
	for _, endpoint := range listed {
		e := known[endpoint.Name]
		if e == nil || e.address != endpoint.Address || e.incarnation != endpoint.Incarnation() {
			p.forgetPace(e)
			e = p.newEndpointState(endpoint)
		}
		if endpoint.Started.IsZero() {
			e.standing = e.standing.WithoutOldLeaving(now)
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
	if wasEmpty {
		p.limit = kernel.NewConcurrencyLimit(initialLimitPerEndpoint*n, 1, maxLimitPerEndpoint*n)
	}
	p.limit.Max = maxLimitPerEndpoint * n
}

// newEndpointState returns the state of an endpoint that is newly listed. If the list has recently dropped the same
// incarnation, its pacing and standing are kept.
func (p *pool) newEndpointState(endpoint model.Endpoint) *endpointState {
	e := &endpointState{name: endpoint.Name, address: endpoint.Address, incarnation: endpoint.Incarnation()}
	unlisted := p.unlisted[endpoint.Name]
	if unlisted.address == endpoint.Address && unlisted.incarnation == endpoint.Incarnation() {
		e.pacing, e.standing = unlisted.pacing, unlisted.standing
	}
	return e
}

// rememberUnlisted keeps the pacing and the standing of endpoints that the list has dropped. Otherwise all nodes would
// call an endpoint at once if its entry was missing from the list for a moment.
func (p *pool) rememberUnlisted(now time.Time, removed map[string]*endpointState) {
	maps.DeleteFunc(p.unlisted, func(_ string, u unlistedEndpoint) bool {
		age := now.Sub(u.unlistedAt)
		return age >= kernel.StandingRetention || age >= unlistedRetention && u.standing == kernel.Standing{}
	})
	for name, e := range removed {
		p.forgetPace(e)
		p.unlisted[name] = unlistedEndpoint{
			address: e.address, incarnation: e.candidate.Endpoint.Incarnation(), pacing: e.pacing, standing: e.standing, unlistedAt: now,
		}
	}
}

// markLeaving records that an incarnation of an endpoint is leaving. It reports whether the incarnation is listed and was
// not marked before.
func (p *pool) markLeaving(now time.Time, incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(model.NameOfIncarnation(incarnation))
	if e == nil || e.candidate.Endpoint.Incarnation() != incarnation || e.standing.Leaving() {
		return false
	}
	e.standing = e.standing.With(now, now, model.Statement{Leaving: true})
	p.updateState(e)
	return true
}

// recordStanding records what an endpoint states of itself in its answer to a call that was sent at sentAt.
func (p *pool) recordStanding(sentAt, now time.Time, e *endpointState, stated model.Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.standing = e.standing.With(sentAt, now, stated)
	p.updateState(e)
}

// setEvacuations sets the failure domains whose endpoints get no work.
func (p *pool) setEvacuations(evacuations kernel.Evacuations) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuations = evacuations
	for _, e := range p.endpoints {
		p.updateState(e)
	}
}

// updateState sets the state of an endpoint from its listed state, its standing and the evacuations.
func (p *pool) updateState(e *endpointState) {
	state := e.listedState
	switch {
	case e.standing.Leaving():
		state = model.Leaving
	case state == model.Live && p.evacuations.Contains(e.candidate.Endpoint.FailureDomain):
		state = model.Evacuated
	}
	e.candidate.Endpoint.State = state
	e.candidate.Endpoint.PausedUntil = e.standing.PausedUntil
}

// lastCalls returns the pool's endpoints, and by incarnation when this node last called each.
func (p *pool) lastCalls() ([]model.Endpoint, map[string]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoints := make([]model.Endpoint, 0, len(p.endpoints))
	calledAt := make(map[string]time.Time, len(p.endpoints))
	for _, e := range p.endpoints {
		endpoints = append(endpoints, e.candidate.Endpoint)
		calledAt[e.candidate.Endpoint.Incarnation()] = e.pacing.calledAt
	}
	return endpoints, calledAt
}

// endpointOf returns an endpoint as listed, with the state and the cold time known to this node.
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

// recordSuccess records a successful call. The load is nil if the reply had none.
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

// recordLoad records a load that an endpoint reported during a call.
func (p *pool) recordLoad(now time.Time, e *endpointState, load model.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.Load = load
	e.candidate.LoadAt = now
	p.learnPace(now, e, pace.Response{Load: load})
}

// recordCold records how long an endpoint stays cold, as stated in its answer to a call that started at startedAt. An
// answer that it is warm counts only if the call started after the endpoint last reported that it is cold.
func (p *pool) recordCold(startedAt, now time.Time, e *endpointState, coldFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if coldFor == 0 && startedAt.Before(e.pacing.coldReportedAt) {
		return
	}
	if coldFor > 0 {
		e.pacing.coldReportedAt = now
	}
	e.pacing.coldUntil = now.Add(coldFor)
	e.candidate.Endpoint.ColdUntil = e.pacing.coldUntil
}

// recordFailure records a failed call. isFault is true if it counts as a failure of the endpoint.
func (p *pool) recordFailure(now time.Time, e *endpointState, isFault bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.InFlight--
	e.candidate.Health.Probing = false
	if !isFault {
		return
	}
	e.faults++
	e.candidate.Health = e.candidate.Health.WithFailure(now)
}

// takeRetry takes one retry from the budget and reports whether there was one. The baseline always allows retries.
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

// canRetry reports whether the budget has a retry left.
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
	now := time.Now()
	out := make([]EndpointStatus, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		out = append(out, EndpointStatus{
			Endpoint: e.candidate.Endpoint,
			InFlight: e.candidate.InFlight,
			Calls:    e.calls,
			Faults:   e.faults,
			Load:     e.candidate.Load,
			Ejected:  e.candidate.Health.Ejected(),
			Pace:     p.paceOf(now, e),
		})
	}
	return out
}
