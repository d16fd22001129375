package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// defaultFirstEventTime stands in for the time to a stream's first event while too few were
	// seen: a long prompt read beside others.
	defaultFirstEventTime = 300 * time.Millisecond
	firstEventQuantile    = 0.7
)

type (
	// pool is what this node knows of one pool by its own requests.
	pool struct {
		name   string
		mu     sync.Mutex
		budget *kernel.FleetRetryBudget
		// states is by the incarnations of endpoints.
		states map[string]*endpointState
		// handleFirstEvent is the time until a stream's first event.
		firstEvent kernel.Quantiles
	}

	endpointState struct {
		inFlight int
		// reading is how many prompt tokens of requests without a first event it has.
		pendingPrefillTokens int
		load                 model.Load
		loadAt               time.Time
		health               kernel.Health
		gate                 sendState
	}

	// choice is an endpoint chosen for one send, counted as in flight.
	choice struct {
		endpoint model.Endpoint
		// needsPermit is true where only another node may let this one send.
		needsPermit bool
	}
)

func (r *Relay) pool(name string) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[name]
	if p == nil {
		p = &pool{name: name, budget: kernel.NewFleetRetryBudget(r.options.RetryLimits, r.startedAt), states: map[string]*endpointState{}}
		r.pools[name] = p
	}
	return p
}

func (p *pool) state(incarnation string) *endpointState {
	s := p.states[incarnation]
	if s == nil {
		s = &endpointState{}
		p.states[incarnation] = s
	}
	return s
}

// candidates returns the listed endpoints with what is known of them, but for those that this node may not send to now,
// and forgets those that are gone.
func (p *pool) candidates(now time.Time, listed []model.Endpoint, gate sendLimits) []kernel.Candidate {
	out := make([]kernel.Candidate, 0, len(listed))
	for _, e := range listed {
		s := p.state(e.Incarnation())
		if admitted, _ := gate.admits(now, e, s); !admitted {
			continue
		}
		out = append(out, kernel.Candidate{Endpoint: e, InFlight: s.inFlight, Load: s.load, LoadAt: s.loadAt, Health: s.health})
	}
	if len(p.states) > 2*len(listed)+8 {
		for incarnation, s := range p.states {
			if s.inFlight == 0 && !slices.ContainsFunc(listed, func(e model.Endpoint) bool { return e.Incarnation() == incarnation }) {
				delete(p.states, incarnation)
			}
		}
	}
	return out
}

// pick chooses one of the listed endpoints for a unary request and counts it as in flight.
func (p *pool) pick(now time.Time, listed []model.Endpoint, gate sendLimits, domain string, excluded []string) (choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := kernel.Usable(now, p.candidates(now, listed, gate), excluded)
	i := kernel.PickTwoChoices(now, usable, domain, rand.Float64(), rand.Float64())
	if i < 0 {
		return choice{}, false
	}
	return p.reserve(now, gate, usable[i], 0), true
}

// pickEngine chooses one of the listed engines for a prompt and counts it as in flight.
func (p *pool) pickEngine(now time.Time, listed []model.Endpoint, gate sendLimits, prompt model.Prompt, key string, excluded []string) (choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := kernel.Usable(now, p.candidates(now, listed, gate), excluded)
	choices := make([]kernel.EngineCandidate, 0, len(usable))
	for _, c := range usable {
		choices = append(choices, kernel.EngineCandidate{Candidate: c, PendingPrefillTokens: p.state(c.Endpoint.Incarnation()).pendingPrefillTokens})
	}
	i := kernel.PickEngine(now, choices, key)
	if i < 0 {
		return choice{}, false
	}
	return p.reserve(now, gate, usable[i], prompt.TokensIn), true
}

func (p *pool) reserve(now time.Time, gate sendLimits, c kernel.Candidate, reading int) choice {
	s := p.state(c.Endpoint.Incarnation())
	_, needsPermit := gate.admits(now, c.Endpoint, s)
	if !needsPermit {
		s.gate.sentAt = now
	}
	s.inFlight++
	s.pendingPrefillTokens += reading
	if c.Health.Ejected() {
		s.health = s.health.WithProbe()
	}
	return choice{endpoint: c.Endpoint, needsPermit: needsPermit}
}

// permitted notes that an endpoint is sent to with another node's permit.
func (p *pool) recordPermittedSend(now time.Time, incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(incarnation).gate.sentAt = now
}

// permit has it decided whether another node may send to an endpoint in this one's place.
func (p *pool) grantPermit(now time.Time, incarnation string, decide func(now time.Time, incarnation string, sentAt time.Time) (granted bool, wait time.Duration)) (granted bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(incarnation)
	granted, wait = decide(now, incarnation, s.gate.sentAt)
	if granted {
		s.gate.sentAt = now
	}
	return granted, wait
}

// lastSentAt returns when something was last sent to an endpoint.
func (p *pool) lastSentAt(incarnation string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.states[incarnation]; s != nil {
		return s.gate.sentAt
	}
	return time.Time{}
}

// recordFirstEvent notes that an engine has read a prompt.
func (p *pool) recordFirstEvent(incarnation string, tokens int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(incarnation).pendingPrefillTokens -= tokens
	p.firstEvent.Observe(took)
}

// dropPendingPrefill notes that a prompt will not be read.
func (p *pool) dropPendingPrefill(incarnation string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(incarnation).pendingPrefillTokens -= tokens
}

// leave counts a request as no longer in flight.
func (p *pool) release(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(incarnation).inFlight--
}

func (p *pool) recordSuccess(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(incarnation)
	s.health = s.health.WithSuccess()
}

func (p *pool) recordFailure(now time.Time, incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(incarnation)
	s.health = s.health.WithFailure(now)
}

// unreachable notes that an endpoint could not be connected to.
func (p *pool) recordUnreachable(now time.Time, incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(incarnation)
	s.health = s.health.WithUnreachable(now)
}

func (p *pool) recordLoad(now time.Time, incarnation string, load *model.Load) {
	if load == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(incarnation)
	s.load = *load
	s.loadAt = now
}

func (p *pool) recordRequest(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.CountRequest(now)
}

func (p *pool) takeRetry(now time.Time, nodes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TakeRetry(now, nodes)
}

func (p *pool) estimateFirstEventTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstEvent.Quantile(firstEventQuantile, defaultFirstEventTime)
}
