package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"basilstall.example/basilstall/kernel"
)

// pick chooses an endpoint and counts a call to it as in flight. Where permits may be asked for, it may choose one that needs
// another node's.
func (p *pool) pick(now time.Time, prefix string, excluded []string, asks bool) (e *endpointState, needsPermit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plain {
		return p.pickRoundRobin(), false
	}
	candidates := p.admittedCandidates(now, asks)
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
		return nil, false
	}
	e = p.find(usable[i].Endpoint.Name)
	e.candidate.InFlight++
	e.calls++
	if !p.admits(now, e.candidate.Endpoint, e.pacing.calledAt) {
		return e, true
	}
	e.pacing.calledAt = now
	if e.candidate.Health.Ejected() {
		e.candidate.Health = e.candidate.Health.WithProbe()
	}
	return e, false
}

// recordMissingAdapter notes that an engine lacks an adapter.
func (p *pool) recordMissingAdapter(now time.Time, e *endpointState, adapter string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.candidate.InFlight--
	e.candidate.Health.Probing = false
	p.adaptersOnDemand = true
	if e.missingAdapters == nil {
		e.missingAdapters = map[string]time.Time{}
	}
	e.missingAdapters[adapter] = now
}

// lacking returns the engines that said a moment ago that they lack an adapter, and whether
// these are all that could get the call.
func (p *pool) enginesWithout(now time.Time, adapter string) (names []string, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	staying := 0
	for _, e := range p.endpoints {
		if !e.candidate.Endpoint.TakesWork() {
			continue
		}
		staying++
		at, lacks := e.missingAdapters[adapter]
		if lacks && now.Sub(at) < missingAdapterTTL {
			names = append(names, e.candidate.Endpoint.Name)
		} else if lacks {
			delete(e.missingAdapters, adapter)
		}
	}
	return names, len(names) > 0 && len(names) == staying
}

// loadsOnDemand tells whether the pool's engines load adapters on demand.
func (p *pool) loadsOnDemand() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.adaptersOnDemand
}

// pickRoundRobin is the baseline: round robin over all that the list names.
func (p *pool) pickRoundRobin() *endpointState {
	if len(p.endpoints) == 0 {
		return nil
	}
	e := p.endpoints[p.nextRoundRobin%len(p.endpoints)]
	p.nextRoundRobin++
	e.candidate.InFlight++
	e.calls++
	return e
}

// admitsAny tells whether any endpoint may get a call now, as far as what it takes goes, if only with a permit.
func (p *pool) admitsAny(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.endpoints, func(e *endpointState) bool {
		return e.candidate.Endpoint.TakesWork() && p.mayCall(now, e, true)
	})
}

// mayCall tells whether an endpoint may get a call now, with another node's permit where these may be asked for.
func (p *pool) mayCall(now time.Time, e *endpointState, asks bool) bool {
	endpoint := e.candidate.Endpoint
	return p.admits(now, endpoint, e.pacing.calledAt) || asks && !e.candidate.Health.Ejected() && p.mayRequestPermit(now, endpoint, e.pacing.calledAt)
}

// admitted returns the endpoints that may get a call now.
func (p *pool) admittedCandidates(now time.Time, asks bool) []kernel.Candidate {
	out := make([]kernel.Candidate, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		if p.mayCall(now, e, asks) {
			out = append(out, e.candidate)
		}
	}
	return out
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
func (p *pool) totalSlots() int {
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
