package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// versionFilter restricts a call to endpoints of one version, if it is bound.
type versionFilter struct {
	bound   bool
	version string
}

// allows reports whether an endpoint may get the call.
func (f versionFilter) allows(e model.Endpoint) bool {
	return !f.bound || e.Version == f.version
}

// pick chooses an endpoint that a filter allows and counts a call to it as in flight. It returns nil if no endpoint may get a call.
// Excluded endpoints are chosen only if no other is usable. With allowPermit, it may choose an endpoint that this node may call
// only with another node's permit; needsPermit is then true.
func (p *pool) pick(now time.Time, prefix string, excluded []string, filter versionFilter, allowPermit bool) (e *endpointState, needsPermit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plain {
		return p.pickRoundRobin(), false
	}
	candidates := slices.DeleteFunc(p.admittedCandidates(now, allowPermit), func(c kernel.Candidate) bool { return !filter.allows(c.Endpoint) })
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
	e.pacing.refusalWindow = e.pacing.refusalWindow.WithSend(now)
	if !p.admits(now, e.candidate.Endpoint, e.pacing.calledAt) {
		return e, true
	}
	e.pacing.calledAt = now
	if e.candidate.Health.Ejected() {
		e.candidate.Health = e.candidate.Health.WithProbe()
	}
	return e, false
}

// recordMissingAdapter records that a call ended because the engine lacks an adapter.
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

// enginesWithout returns the incarnations of the engines that have recently replied that they lack an adapter, and whether these are all
// engines that accept work.
func (p *pool) enginesWithout(now time.Time, adapter string) (incarnations []string, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	acceptingWork := 0
	for _, e := range p.endpoints {
		if !e.candidate.Endpoint.TakesWork() {
			continue
		}
		acceptingWork++
		reportedAt, known := e.missingAdapters[adapter]
		if known && now.Sub(reportedAt) < missingAdapterTTL {
			incarnations = append(incarnations, e.incarnation)
		} else if known {
			delete(e.missingAdapters, adapter)
		}
	}
	return incarnations, len(incarnations) > 0 && len(incarnations) == acceptingWork
}

// loadsOnDemand reports whether the pool's engines load adapters on demand.
func (p *pool) loadsOnDemand() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.adaptersOnDemand
}

// pickRoundRobin chooses an endpoint by the baseline policy: round robin over all listed endpoints.
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

// admitsAny reports whether pauses, rate caps and cold limits let this node call any endpoint now, with a permit if need be.
func (p *pool) admitsAny(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.endpoints, func(e *endpointState) bool {
		return e.candidate.Endpoint.Accepts(now) && p.admitsCall(now, e, true)
	})
}

// admitsCall reports whether rate caps and cold limits let this node call an endpoint now. With allowPermit, it also
// reports true if another node may be asked for a permit. No permit is requested for an ejected endpoint.
func (p *pool) admitsCall(now time.Time, e *endpointState, allowPermit bool) bool {
	endpoint := e.candidate.Endpoint
	if !p.admitsRefusals(now, e) {
		return false
	}
	return p.admits(now, endpoint, e.pacing.calledAt) || allowPermit && !e.candidate.Health.Ejected() && p.mayRequestPermit(now, endpoint, e.pacing.calledAt)
}

// admitsRefusals reports whether this node may call an endpoint that may state a refusal cap now.
func (p *pool) admitsRefusals(now time.Time, e *endpointState) bool {
	stated := e.pacing.refusalCap.Cap
	if !stated.Stated {
		return true
	}
	if e.pacing.refusalRole.Expired(now) {
		e.pacing.refusalRole = p.refusalRole(now, e.pacing.refusalRole, e.candidate.Endpoint.Incarnation())
	}
	return e.pacing.refusalWindow.Admits(now, stated, e.candidate.Load.Slots, e.pacing.refusalRole, e.candidate.InFlight)
}

// hasRefusalCap reports whether an endpoint states a refusal cap.
func (p *pool) hasRefusalCap() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.endpoints, func(e *endpointState) bool { return e.pacing.refusalCap.Cap.Stated })
}

// recordRefusalCap records the refusal cap, or its absence, in an endpoint's answer to a call that was sent at sentAt.
func (p *pool) recordRefusalCap(sentAt, now time.Time, e *endpointState, stated model.RateCap) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.pacing.refusalCap = e.pacing.refusalCap.WithAnswer(sentAt, now, stated)
}

// recordAcceptance records whether an endpoint has accepted a call, or refused it for want of room.
func (p *pool) recordAcceptance(now time.Time, e *endpointState, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if accepted {
		e.pacing.refusalWindow = e.pacing.refusalWindow.WithAccepted(now, e.candidate.InFlight)
	} else {
		e.pacing.refusalWindow = e.pacing.refusalWindow.WithRefused(now, e.candidate.InFlight)
	}
}

// admittedCandidates returns the endpoints for which admitsCall reports true.
func (p *pool) admittedCandidates(now time.Time, allowPermit bool) []kernel.Candidate {
	out := make([]kernel.Candidate, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		if p.admitsCall(now, e, allowPermit) {
			out = append(out, p.candidateOf(now, e))
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

// totalSlots returns the number of slots of all endpoints. Endpoints that have never reported theirs count with the
// mean of the others. It returns 0 if none has.
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
