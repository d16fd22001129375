package dispatch

import (
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/pace"
)

// contentionRetention is how long a stated contention keeps the choice by expected time in use. It is longer than the pauses
// between the replies that a node gets from a pool in use.
const contentionRetention = time.Minute

// comparesTimes reports whether the choice of an endpoint compares expected times instead of loads. It does if an endpoint of
// the pool has stated its contention within contentionRetention.
func (p *pool) comparesTimes(now time.Time) bool {
	return !p.contentionAt.IsZero() && now.Sub(p.contentionAt) < contentionRetention
}

// recordPace records what a successful response tells of the speed of its endpoint.
func (p *pool) recordPace(now time.Time, e *endpointState, r pace.Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learnPace(now, e, r)
}

func (p *pool) learnPace(now time.Time, e *endpointState, r pace.Response) {
	if r.Load.Contention > 0 {
		p.contentionAt = now
	}
	if p.isListed(e) && p.comparesTimes(now) {
		p.paces.RecordResponse(now, e.incarnation, r)
	}
}

// recordUnanswered records that a call was given up after elapsed, when it had no response.
func (p *pool) recordUnanswered(now time.Time, e *endpointState, kind string, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isListed(e) && p.comparesTimes(now) {
		p.paces.RecordUnanswered(now, e.incarnation, pace.Response{Kind: kind, Elapsed: elapsed, Waited: true, Load: e.candidate.Load})
	}
}

// isListed reports whether e is the state of an endpoint in the list, and not of an earlier one of the same name.
func (p *pool) isListed(e *endpointState) bool {
	return p.find(e.name) == e
}

// forgetPace drops what is known of the speed of an endpoint; nil if there is none.
func (p *pool) forgetPace(e *endpointState) {
	if e != nil {
		p.paces.Forget(e.incarnation)
	}
}

// candidateOf returns an endpoint as a candidate. Its slowness is set only if expected times are compared.
func (p *pool) candidateOf(now time.Time, e *endpointState) kernel.Candidate {
	c := e.candidate
	if p.comparesTimes(now) {
		c.Slowness = p.paces.Estimate(now, e.incarnation).Slowness()
	}
	return c
}

// paceOf returns the estimate for an endpoint, or a zero one if the pool's endpoints do not state their contention.
func (p *pool) paceOf(now time.Time, e *endpointState) pace.Estimate {
	if !p.comparesTimes(now) {
		return pace.Estimate{}
	}
	return p.paces.Estimate(now, e.incarnation)
}

// slowCount returns the number of slow endpoints; 0 if the pool's endpoints do not state their contention.
func (p *pool) slowCount(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.comparesTimes(now) {
		return 0
	}
	return p.paces.Slow(now)
}
