package kernel

import (
	"cmp"
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// PartEvaluationDelay is how long after the newest crash report of a pool the parts of prompts are evaluated. Most
	// reports on the same crash have arrived by then; later ones are evaluated again. maxPartEvaluationDelay is the time
	// after which they are evaluated although reports keep arriving.
	PartEvaluationDelay    = 60 * time.Millisecond
	maxPartEvaluationDelay = 3 * PartEvaluationDelay
	// StandbyDelay is how long the node next in line waits for the decision of the coordinator before it decides itself.
	StandbyDelay = 250 * time.Millisecond
	// partEvidence is the logarithm of how much likelier the crashes must be if a part causes them than if it does not, for
	// the part to be held back without a trial: 150 times for each part that was at crashes, as one of many is at several
	// of them by chance. With only CrashThreshold crashes, fewEvidence more is needed.
	partEvidence = 5.0
	fewEvidence  = 2.0
	// askEvidence is the evidence from which all nodes are asked about a part.
	askEvidence = 1.5
	// trialEvidenceShare is the share of that evidence which suffices, from trialCrashes crashes, for a hold that trials may
	// end.
	trialEvidenceShare = 0.5
	trialCrashes       = 5
	// SettleTime is how long requests with a part that is suspect have to be answered before it is held back.
	SettleTime = 400 * time.Millisecond
	// minOtherCauses is the least share of a pool's crashes that is assumed to have other causes, and the least that is
	// assumed not to.
	minOtherCauses = 0.05
	// usualCrashWindow is the time before the first crash of a part over which the pool's other crashes are counted.
	usualCrashWindow = 10 * time.Second
	// otherTrialCrashes is the number of crashes without a part, since it is held back, from which a crash on trial may have
	// another cause.
	otherTrialCrashes = 2
	// maxAskedParts bounds the parts that all nodes are asked about at a time.
	maxAskedParts = 16
	// askedValidity is how long the answers of all nodes are relied on.
	askedValidity = time.Second
	// evidenceTie is the difference of evidence below which two parts are equally suspect.
	evidenceTie = 0.1
)

type (
	// partEvaluation evaluates the parts of prompts with crashes in one pool.
	partEvaluation struct {
		q    *Quarantine
		now  time.Time
		pool string
		// explained holds the crashes whose cause is a part that is held back, byRequest those with a request that is.
		explained map[*poolCrash]bool
		byRequest map[*poolCrash]bool
		// heldNow holds the parts that are held back by this evaluation.
		heldNow map[model.Digest]bool
		// evidenceNeeded is the evidence for a hold without a trial. unsettled is true if a part may be held back after
		// SettleTime.
		evidenceNeeded float64
		unsettled      bool
	}

	// partCandidate is a part that may be held back, with the crashes that count against it.
	partCandidate struct {
		part     model.Digest
		crashes  []partCrash
		evidence float64
	}
)

// EvaluateParts decides which parts of prompts are held back in the pools that this node coordinates, or for which it is
// next in line. A part is held back that requests had in common at CrashThreshold crashes or more, if the crashes are much
// likelier with it as their cause: parts that many requests have are at crashes anyway. Before that, all nodes must be
// asked about the parts in ask: one with which requests are answered is no cause.
func (q *Quarantine) EvaluateParts(now time.Time, coordinates, standsBy func(pool string) bool) (change QuarantineChange, ask []model.Digest) {
	q.parts.expire(now)
	for pool, pending := range q.parts.reports {
		if !pending.due(now, coordinates(pool), standsBy(pool)) {
			continue
		}
		delete(q.parts.reports, pool)
		e := newPartEvaluation(q, now, pool)
		held, unknown := e.hold()
		change.Hold = append(change.Hold, held...)
		ask = append(ask, unknown...)
		if e.unsettled {
			q.parts.reports[pool] = pending
		}
	}
	for _, pool := range q.unconfirmedPools() {
		if coordinates(pool) {
			change.Hold = append(change.Hold, newPartEvaluation(q, now, pool).confirm()...)
		}
	}
	return change, ask
}

// unconfirmedPools returns the pools with parts that may run on trial, or whose trial crashed an endpoint.
func (q *Quarantine) unconfirmedPools() []string {
	var out []string
	for digest, h := range q.held {
		if digest.IsPart() && (!h.Firm || h.crashedOnTrial) && !slices.Contains(out, h.Pool) {
			out = append(out, h.Pool)
		}
	}
	return out
}

// due reports whether reports are to be evaluated now, by the coordinator or the node next in line.
func (p pendingReports) due(now time.Time, coordinates, standsBy bool) bool {
	waited := now.Sub(p.since)
	settled := now.Sub(p.newest) >= PartEvaluationDelay
	switch {
	case coordinates:
		return settled || waited >= maxPartEvaluationDelay
	case standsBy:
		return waited >= StandbyDelay && settled || waited >= StandbyDelay+maxPartEvaluationDelay
	default:
		return false
	}
}

func newPartEvaluation(q *Quarantine, now time.Time, pool string) *partEvaluation {
	e := &partEvaluation{q: q, now: now, pool: pool, explained: map[*poolCrash]bool{}, byRequest: map[*poolCrash]bool{}, heldNow: map[model.Digest]bool{}}
	parts := 0
	for part, s := range q.parts.suspects {
		if s.pool != pool {
			continue
		}
		if len(s.counted()) > 0 {
			parts++
		}
		if q.held[part] != nil {
			e.explain(s)
		}
	}
	e.evidenceNeeded = partEvidence + math.Log(float64(max(parts, 1)))
	for _, crash := range q.parts.crashes[pool] {
		for request := range crash.requests {
			if h := q.held[request]; h != nil && h.Firm {
				e.byRequest[crash] = true
			}
		}
	}
	return e
}

func (e *partEvaluation) explain(s *partSuspect) {
	for _, crash := range s.crashes {
		e.explained[crash.poolCrash] = true
	}
}

// confirm returns the parts that are held back until a trial and are now known to be a cause: their trial crashed an
// endpoint, or the evidence suffices without the parts that were answered meanwhile.
func (e *partEvaluation) confirm() []HeldRequest {
	var out []HeldRequest
	for part, h := range e.q.held {
		s := e.q.parts.suspects[part]
		if h.Pool != e.pool || s == nil || len(s.counted()) == 0 {
			continue
		}
		if e.trialCrashed(part, h, s) || !h.Firm && e.isSoleCause(part, s) {
			out = append(out, e.newHold(part, s.counted(), true))
		}
	}
	return out
}

// trialCrashed reports whether a trial of a part crashed an endpoint. A trial has no result if a request with another part
// that is held back was interrupted as well, or if endpoints keep crashing without the part.
func (e *partEvaluation) trialCrashed(part model.Digest, h *heldRequest, s *partSuspect) bool {
	if !h.crashedOnTrial {
		return false
	}
	h.crashedOnTrial = false
	if e.trialAmbiguous(part, s) {
		h.trials--
		return false
	}
	return e.absent(s, h.learnedAt) < otherTrialCrashes
}

// isSoleCause reports whether the evidence against a part suffices and no other part that is held back explains the same
// crashes.
func (e *partEvaluation) isSoleCause(part model.Digest, s *partSuspect) bool {
	counted := s.counted()
	if len(counted) < CrashThreshold || !e.isCertain(partCandidate{part: part, crashes: counted, evidence: e.evidence(s, counted)}) {
		return false
	}
	for other := range e.q.held {
		o := e.q.parts.suspects[other]
		if other != part && o != nil && !slices.ContainsFunc(counted, func(crash partCrash) bool { return !o.at(crash.poolCrash) }) {
			return false
		}
	}
	return true
}

// trialAmbiguous reports whether another part that is held back was at the crash of a trial.
func (e *partEvaluation) trialAmbiguous(part model.Digest, s *partSuspect) bool {
	for _, crash := range s.crashes {
		if !crash.isTrial {
			continue
		}
		for other := range e.q.held {
			if o := e.q.parts.suspects[other]; other != part && o != nil && o.at(crash.poolCrash) {
				return true
			}
		}
	}
	return false
}

// at reports whether a crash interrupted requests with the part.
func (s *partSuspect) at(crash *poolCrash) bool {
	return slices.ContainsFunc(s.crashes, func(known partCrash) bool { return known.poolCrash == crash })
}

// hold returns the parts that are held back from now on: again and again those that explain the remaining crashes best. ask
// has the parts about which all nodes must be asked before.
func (e *partEvaluation) hold() (held []HeldRequest, ask []model.Digest) {
	for {
		candidates := e.candidates()
		if len(candidates) == 0 {
			return held, nil
		}
		if ask = e.unasked(candidates); len(ask) > 0 {
			return held, ask
		}
		if !e.suffices(candidates[0]) {
			return held, nil
		}
		best := slices.IndexFunc(candidates, func(c partCandidate) bool { return c.evidence < candidates[0].evidence-evidenceTie })
		if best < 0 {
			best = len(candidates)
		}
		firm := best == 1 && e.isCertain(candidates[0])
		for _, c := range candidates[:best] {
			held = append(held, e.newHold(c.part, c.crashes, firm))
			e.heldNow[c.part] = true
			e.explain(e.q.parts.suspects[c.part])
		}
	}
}

// unasked returns all candidates, at most maxAskedParts, if all nodes were not asked about the first one lately, after
// enough of its crashes.
func (e *partEvaluation) unasked(candidates []partCandidate) []model.Digest {
	first := candidates[0]
	askedAt := e.q.parts.suspects[first.part].askedAt
	if askedAt.After(first.crashes[CrashThreshold-1].At) && e.now.Sub(askedAt) < askedValidity {
		return nil
	}
	var out []model.Digest
	for _, c := range candidates[:min(len(candidates), maxAskedParts)] {
		out = append(out, c.part)
	}
	// The share of the requests that have a part follows from the answers to all of them.
	if common := e.mostAnswered(); common != "" && !slices.Contains(out, common) {
		out = append(out, common)
	}
	return out
}

// mostAnswered returns the part of the pool with the most answers, which most requests have; empty if none was answered.
func (e *partEvaluation) mostAnswered() model.Digest {
	var out model.Digest
	most := 0
	for part, s := range e.q.parts.suspects {
		if s.pool == e.pool && (s.answered > most || s.answered == most && most > 0 && part < out) {
			out, most = part, s.answered
		}
	}
	return out
}

// isCertain reports whether the evidence against a part suffices to hold it back without a trial.
func (e *partEvaluation) isCertain(c partCandidate) bool {
	needed := e.evidenceNeeded
	if len(c.crashes) <= CrashThreshold {
		needed += fewEvidence
	}
	return c.evidence >= needed
}

// suffices reports whether the evidence against a part suffices to hold it back now, at least until a trial.
func (e *partEvaluation) suffices(c partCandidate) bool {
	switch {
	case e.isCertain(c):
		return true
	case c.evidence < trialEvidenceShare*e.evidenceNeeded || len(c.crashes) < trialCrashes:
		return false
	default:
		settled := e.now.Sub(c.crashes[trialCrashes-1].At) >= SettleTime
		e.unsettled = e.unsettled || !settled
		return settled
	}
}

// candidates returns the parts that may be held back, those with the most evidence first.
func (e *partEvaluation) candidates() []partCandidate {
	var out []partCandidate
	for part, s := range e.q.parts.suspects {
		if s.pool != e.pool || e.q.held[part] != nil || e.heldNow[part] {
			continue
		}
		counted := e.unexplained(s)
		if !e.mayBeCause(counted) {
			continue
		}
		c := partCandidate{part: part, crashes: counted, evidence: e.evidence(s, counted)}
		if c.evidence >= askEvidence {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b partCandidate) int {
		return cmp.Or(cmp.Compare(b.evidence, a.evidence), cmp.Compare(a.part, b.part))
	})
	return out
}

// unexplained returns the crashes that count against a part and whose cause is no part that is held back.
func (e *partEvaluation) unexplained(s *partSuspect) []partCrash {
	return slices.DeleteFunc(s.counted(), func(crash partCrash) bool { return e.explained[crash.poolCrash] })
}

// mayBeCause reports whether a part with the given crashes may be their cause, rather than one request that has it.
func (e *partEvaluation) mayBeCause(crashes []partCrash) bool {
	if len(crashes) < CrashThreshold {
		return false
	}
	requests, others := map[model.Digest]bool{}, 0
	for _, crash := range crashes {
		requests[crash.request] = true
		if crash.requests > 1 {
			requests[""] = true
		}
		if !e.byRequest[crash.poolCrash] {
			others++
		}
	}
	return len(requests) > 1 && others > 1
}

// evidence returns the logarithm of how much likelier the pool's crashes are if the part causes some of them than if it
// causes none. The part is at a crash by chance with the probability that one of the interrupted requests has it.
func (e *partEvaluation) evidence(s *partSuspect, crashes []partCrash) float64 {
	share := s.share(crashes)
	present, absent := float64(len(crashes)), float64(e.absent(s, crashes[0].At))
	otherCauses := max(minOtherCauses, absent/(present+absent), e.usualCrashes(crashes[0].At)/(present+absent))
	otherCauses = min(otherCauses, 1-minOtherCauses)
	out := absent * math.Log(otherCauses)
	for _, crash := range crashes {
		byChance := 1 - math.Pow(1-share, float64(len(crash.poolCrash.requests)))
		out += math.Log((1 - otherCauses + otherCauses*byChance) / byChance)
	}
	return out
}

// share returns the estimated share of the pool's requests that have the part, from answers and from the requests that were
// interrupted together. With few of them it tends to one half.
func (s *partSuspect) share(crashes []partCrash) float64 {
	with, all := s.answered+2, s.total+4
	for _, crash := range crashes {
		with += crash.requests - 1
		all += len(crash.poolCrash.requests) - 1
	}
	return min(float64(with)/float64(all), 1)
}

// absent returns the number of the pool's crashes since the given time that interrupted no request with the part and are
// not explained.
func (e *partEvaluation) absent(s *partSuspect, since time.Time) int {
	n := 0
	for _, crash := range e.q.parts.crashes[e.pool] {
		if !crash.At.Before(since) && !e.explained[crash] && !s.at(crash) {
			n++
		}
	}
	return n
}

// usualCrashes returns the number of crashes since the given time that were to be expected from those before, which have
// other causes.
func (e *partEvaluation) usualCrashes(since time.Time) float64 {
	n := 0
	for _, crash := range e.q.parts.crashes[e.pool] {
		if crash.At.Before(since) && since.Sub(crash.At) <= usualCrashWindow && !e.explained[crash] {
			n++
		}
	}
	return float64(n) * e.now.Sub(since).Seconds() / usualCrashWindow.Seconds()
}

func (e *partEvaluation) newHold(part model.Digest, crashes []partCrash, firm bool) HeldRequest {
	h := HeldRequest{Digest: part, Pool: e.pool, Firm: firm, Since: e.now.Sub(crashes[0].At)}
	if before := e.q.held[part]; before != nil {
		h.Versions = slices.Clone(before.Versions)
		h.Trials = before.trials
	}
	for _, crash := range crashes[max(0, len(crashes)-maxCrashes):] {
		h.Incarnations = append(h.Incarnations, crash.Incarnation)
		if crash.version != "" && !slices.Contains(h.Versions, crash.version) {
			h.Versions = append(h.Versions, crash.version)
		}
	}
	return h
}
