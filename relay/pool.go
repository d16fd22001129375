package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/pace"
	"basilstall.example/basilstall/peer"
)

const (
	// defaultFirstEventTime is the assumed time to a stream's first event while too few have been measured. It is that
	// of a long prompt that the engine reads together with others.
	defaultFirstEventTime = 300 * time.Millisecond
	// firstEventQuantile is the quantile of the measured times that is used as the estimate.
	firstEventQuantile = 0.7
)

type (
	// pool is what this node knows about a pool from its own requests.
	pool struct {
		name   string
		mu     sync.Mutex
		budget *kernel.FleetRetryBudget
		// states holds the states of endpoints by their incarnations.
		states map[string]*endpointState
		// knownNames holds the names of the endpoints with states. With it, no incarnation has to be formatted for the others.
		knownNames map[string]bool
		// candidateBuffer is reused by candidates: those of a large pool take megabytes.
		candidateBuffer []kernel.Candidate
		// firstEventTimes are the times from an attempt to its stream's first event.
		firstEventTimes kernel.Quantiles
		// paces holds the speeds of the endpoints that serve unary requests. It is used only while they state their
		// contention.
		paces *pace.Book
	}

	// endpointState is what this node knows about one incarnation of an endpoint.
	endpointState struct {
		inFlight int
		// pendingPrefillTokens is the number of prompt tokens of this node's requests that have no first event yet.
		pendingPrefillTokens int
		// load is the endpoint's last report, received at loadAt.
		load   model.Load
		loadAt time.Time
		health kernel.Health
		sends  sendState
	}

	// choice is an endpoint chosen for one attempt, which already counts as in flight.
	choice struct {
		endpoint model.Endpoint
		// needsPermit is true if this node may send only with a permit of another node.
		needsPermit bool
	}
)

func (r *Relay) pool(name string) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[name]
	if p == nil {
		p = &pool{name: name, budget: kernel.NewFleetRetryBudget(r.options.RetryLimits, r.startedAt), states: map[string]*endpointState{}, knownNames: map[string]bool{}, paces: pace.NewBook()}
		r.pools[name] = p
		r.metrics.GaugeSlowEndpoints(name, func() int { return p.slowCount(r.now()) })
	}
	return p
}

func (p *pool) state(incarnation string) *endpointState {
	s := p.states[incarnation]
	if s == nil {
		s = &endpointState{}
		p.states[incarnation] = s
		p.knownNames[model.NameOfIncarnation(incarnation)] = true
	}
	return s
}

// candidates returns the listed endpoints that this node may send to now, with their state: one without a state has
// got nothing from this node, and gets a state only where limits need one. It also drops the states of endpoints that
// are no longer listed. The caller holds p.mu while it uses the result, which the next call overwrites.
func (p *pool) candidates(now time.Time, listed []model.Endpoint, limits sendLimits) []kernel.Candidate {
	out := p.candidateBuffer[:0]
	if cap(out) < len(listed) {
		out = make([]kernel.Candidate, 0, len(listed))
	}
	capped := limits.anyCaps()
	for _, e := range listed {
		if !p.knownNames[e.Name] && !capped && !limits.limitsCold(now, e) {
			out = append(out, kernel.Candidate{Endpoint: e})
			continue
		}
		s := p.state(e.Incarnation())
		if admitted, _ := limits.admits(now, e, s); !admitted {
			continue
		}
		out = append(out, kernel.Candidate{Endpoint: e, InFlight: s.inFlight, Load: s.load, LoadAt: s.loadAt, Health: s.health, PendingPrefillTokens: s.pendingPrefillTokens})
	}
	if len(p.states) > 2*len(listed)+8 {
		for incarnation, s := range p.states {
			if s.inFlight == 0 && !slices.ContainsFunc(listed, func(e model.Endpoint) bool { return e.Incarnation() == incarnation }) {
				delete(p.states, incarnation)
				p.paces.Forget(incarnation)
			}
		}
		clear(p.knownNames)
		for incarnation := range p.states {
			p.knownNames[model.NameOfIncarnation(incarnation)] = true
		}
	}
	p.candidateBuffer = out
	return out
}

// hasCandidate reports whether this node may send to one of the listed endpoints now.
func (p *pool) hasCandidate(now time.Time, listed []model.Endpoint, limits sendLimits) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(listed, func(e model.Endpoint) bool {
		if !e.Accepts(now) {
			return false
		}
		admitted, _ := limits.admits(now, e, p.state(e.Incarnation()))
		return admitted
	})
}

// pick chooses one of the listed endpoints for a unary request and reserves it. It compares expected times if the
// endpoints of the pool state their contention, and loads otherwise.
func (p *pool) pick(now time.Time, listed []model.Endpoint, limits sendLimits, domain string, excluded []string, statesContention bool) (choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := kernel.Usable(now, p.candidates(now, listed, limits), excluded)
	if statesContention {
		for i := range usable {
			usable[i].Slowness = p.paces.Estimate(now, usable[i].Endpoint.Incarnation()).Slowness()
		}
	}
	i := kernel.PickTwoChoices(now, usable, domain, rand.Float64(), rand.Float64())
	if i < 0 {
		return choice{}, false
	}
	return p.reserve(now, limits, usable[i], 0), true
}

// pickAssigned chooses the endpoint of an incarnation for a unary request and reserves it, if this node may send to it.
func (p *pool) pickAssigned(now time.Time, listed []model.Endpoint, limits sendLimits, incarnation string, excluded []string) (choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := kernel.Usable(now, p.candidates(now, listed, limits), excluded)
	i := slices.IndexFunc(usable, func(c kernel.Candidate) bool { return c.Endpoint.Incarnation() == incarnation })
	if i < 0 {
		return choice{}, false
	}
	return p.reserve(now, limits, usable[i], 0), true
}

// pickEngine chooses one of the listed engines for a prompt and reserves it.
func (p *pool) pickEngine(now time.Time, listed []model.Endpoint, limits sendLimits, prompt model.Prompt, key string, excluded []string) (choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := kernel.Usable(now, p.candidates(now, listed, limits), excluded)
	i := kernel.PickEngine(now, usable, key)
	if i < 0 {
		return choice{}, false
	}
	return p.reserve(now, limits, usable[i], prompt.TokensIn), true
}

// hasUsable reports whether this node may send to one of the listed endpoints.
func (p *pool) hasUsable(now time.Time, listed []model.Endpoint, limits sendLimits, excluded []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(kernel.Usable(now, p.candidates(now, listed, limits), excluded)) > 0
}

// pickPlaced reserves the first of the placed incarnations that this node may send to.
func (p *pool) pickPlaced(now time.Time, listed []model.Endpoint, limits sendLimits, prompt model.Prompt, excluded, placed []string) (choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := kernel.Usable(now, p.candidates(now, listed, limits), excluded)
	for _, incarnation := range placed {
		i := slices.IndexFunc(usable, func(c kernel.Candidate) bool { return c.Endpoint.Incarnation() == incarnation })
		if i >= 0 {
			return p.reserve(now, limits, usable[i], prompt.TokensIn), true
		}
	}
	return choice{}, false
}

// reserve counts a request, and the prompt tokens that its engine has to read, as in flight at an endpoint. If the
// endpoint is ejected, the request is its probe.
func (p *pool) reserve(now time.Time, limits sendLimits, c kernel.Candidate, prefillTokens int) choice {
	s := p.state(c.Endpoint.Incarnation())
	_, needsPermit := limits.admits(now, c.Endpoint, s)
	if !needsPermit {
		s.sends.lastSentAt = now
	}
	s.sends.refusalWindow = s.sends.refusalWindow.WithSend(now)
	s.inFlight++
	s.pendingPrefillTokens += prefillTokens
	if c.Health.Ejected() {
		s.health = s.health.WithProbe()
	}
	return choice{endpoint: c.Endpoint, needsPermit: needsPermit}
}

// recordPermittedSend records that a request is sent to an endpoint with another node's permit.
func (p *pool) recordPermittedSend(now time.Time, incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(incarnation).sends.lastSentAt = now
}

// grantPermit asks decide whether another node may send to an endpoint in place of this node. A granted permit counts
// as a send of this node.
func (p *pool) grantPermit(now time.Time, incarnation string, decide func(now time.Time, incarnation string, sentAt time.Time) (granted bool, wait time.Duration)) (granted bool, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(incarnation)
	granted, wait = decide(now, incarnation, s.sends.lastSentAt)
	if granted {
		s.sends.lastSentAt = now
	}
	return granted, wait
}

// recordAcceptance records whether an endpoint has accepted a request, or refused it for want of room.
func (p *pool) recordAcceptance(now time.Time, incarnation string, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(incarnation)
	if accepted {
		s.sends.refusalWindow = s.sends.refusalWindow.WithAccepted(now, s.inFlight)
	} else {
		s.sends.refusalWindow = s.sends.refusalWindow.WithRefused(now, s.inFlight)
	}
}

// lastSentAt returns when this node last sent a request to an endpoint, or let another node do so by a permit; zero if
// never.
func (p *pool) lastSentAt(incarnation string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.states[incarnation]; s != nil {
		return s.sends.lastSentAt
	}
	return time.Time{}
}

// recordFirstEvent records that an engine has sent the first event of a stream, and so has read the prompt.
func (p *pool) recordFirstEvent(incarnation string, tokens int, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(incarnation).pendingPrefillTokens -= tokens
	p.firstEventTimes.Observe(elapsed)
}

// dropPendingPrefill records that an engine will not read a prompt.
func (p *pool) dropPendingPrefill(incarnation string, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(incarnation).pendingPrefillTokens -= tokens
}

// release counts a request as no longer in flight at an endpoint.
func (p *pool) release(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(incarnation).inFlight--
}

// slotsOf returns how many requests an endpoint processes at a time, as far as it is known.
func (p *pool) slotsOf(e model.Endpoint) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(e.Incarnation()).slots(e)
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

// recordDecisiveFailure records that no connection to an endpoint could be opened, or that it sent bytes that are no answer.
// It is passed over for at least the given time.
func (p *pool) recordDecisiveFailure(now time.Time, incarnation string, atLeast time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(incarnation)
	s.health = s.health.WithDecisiveFailure(now, atLeast)
}

// recordLoad records the load that an endpoint has reported; nil if it has not.
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

// reportedLoad returns the load that an endpoint has reported since a time, as a placer gets it; nil if none.
func (p *pool) reportedLoad(now, since time.Time, incarnation string) *peer.PlaceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[incarnation]
	if s == nil || s.loadAt.Before(since) {
		return nil
	}
	return &peer.PlaceLoad{Running: s.load.Running, Queued: s.load.Queued, Slots: s.load.Slots, Contention: s.load.Contention, Ago: now.Sub(s.loadAt)}
}

// recordPace records what a successful unary response tells of the speed of its endpoint.
func (p *pool) recordPace(now time.Time, incarnation string, r pace.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paces.RecordResponse(now, incarnation, r)
}

// recordUnanswered records that a unary request was given up after elapsed, when it had no response.
func (p *pool) recordUnanswered(now time.Time, incarnation, kind string, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paces.RecordUnanswered(now, incarnation, pace.Response{Kind: kind, Elapsed: elapsed, Waited: true, Load: p.state(incarnation).load})
}

// slowCount returns the number of slow endpoints of the pool.
func (p *pool) slowCount(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paces.Slow(now)
}

// recordRequest counts a request towards the retry budget.
func (p *pool) recordRequest(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.CountRequest(now)
}

// takeRetry takes a retry from the budget that all nodes share; nodes is their number, or 0 if unknown. It reports
// whether the retry is allowed.
func (p *pool) takeRetry(now time.Time, nodes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TakeRetry(now, nodes)
}

func (p *pool) estimateFirstEventTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstEventTimes.Quantile(firstEventQuantile, defaultFirstEventTime)
}
