package kernel

import (
	"cmp"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// EvaluationDelay is how long after the newest crash report of a pool its suspects are evaluated. By then the
	// other requests that ran in the crashed process have been reported, too, so that the cause can be told from
	// requests that only ran beside it.
	EvaluationDelay = 300 * time.Millisecond
	// maxEvaluationDelay is the time after which a suspect is evaluated although reports on other suspects of its
	// pool keep arriving.
	maxEvaluationDelay = 3 * EvaluationDelay
)

// QuarantineChange is a change of the set of held requests, sent to all nodes.
type QuarantineChange struct {
	Hold []HeldRequest
	Lift []model.Digest
}

// Apply returns a list of held requests with the change applied: newest last, and cut to the newest maxHeld entries.
func (c QuarantineChange) Apply(held []HeldRequest) []HeldRequest {
	out := slices.DeleteFunc(slices.Clone(held), func(h HeldRequest) bool {
		return slices.Contains(c.Lift, h.Digest) || slices.ContainsFunc(c.Hold, func(added HeldRequest) bool { return added.Digest == h.Digest })
	})
	out = append(out, c.Hold...)
	return out[max(0, len(out)-maxHeld):]
}

// Equal reports whether two notices are equal.
func (h HeldRequest) Equal(other HeldRequest) bool {
	return h.Digest == other.Digest && h.Pool == other.Pool && h.Firm == other.Firm && h.Since == other.Since && h.Trials == other.Trials &&
		slices.Equal(h.Incarnations, other.Incarnations) && slices.Equal(h.Versions, other.Versions)
}

// Evaluate decides on the suspects of the pools that this node coordinates. A request with at least CrashThreshold
// crashes is held back. It is taken for the cause if it was the only such suspect at one of its crashes or more. Its
// crashes are then removed from suspects that have fewer than CrashThreshold: these only ran beside it. If others
// were running at all of its crashes, a trial shows whether it is a cause as well.
func (q *Quarantine) Evaluate(now time.Time, coordinates func(pool string) bool) QuarantineChange {
	q.expire(now)
	var change QuarantineChange
	for _, digest := range q.dueForEvaluation(now, coordinates) {
		s := q.suspects[digest]
		s.evaluateBy = time.Time{}
		h := q.newHeldRequest(now, digest, s)
		if before := q.held[digest]; before != nil && before.Firm == h.Firm && len(before.Incarnations) >= len(h.Incarnations) {
			continue
		}
		change.Hold = append(change.Hold, h)
		if h.Firm {
			for _, incarnation := range h.Incarnations {
				q.attribute(now, digest, incarnation)
			}
		}
	}
	for digest, h := range q.held {
		if coordinates(h.Pool) && q.shouldLift(now, digest, h) {
			change.Lift = append(change.Lift, digest)
		}
	}
	slices.Sort(change.Lift)
	return change
}

// dueForEvaluation returns the suspects to evaluate now, those with the most crashes first.
func (q *Quarantine) dueForEvaluation(now time.Time, coordinates func(pool string) bool) []model.Digest {
	var out []model.Digest
	newest := map[string]time.Time{}
	for digest, s := range q.suspects {
		if len(s.crashes) < CrashThreshold || !coordinates(s.pool) {
			continue
		}
		out = append(out, digest)
		if s.updatedAt.After(newest[s.pool]) {
			newest[s.pool] = s.updatedAt
		}
	}
	out = slices.DeleteFunc(out, func(digest model.Digest) bool {
		s := q.suspects[digest]
		return now.Sub(newest[s.pool]) < EvaluationDelay && now.Before(s.evaluateBy)
	})
	slices.SortFunc(out, func(a, b model.Digest) int {
		return cmp.Or(cmp.Compare(len(q.suspects[b].crashes), len(q.suspects[a].crashes)), cmp.Compare(a, b))
	})
	return out
}

func (q *Quarantine) newHeldRequest(now time.Time, digest model.Digest, s *suspect) HeldRequest {
	h := HeldRequest{Digest: digest, Pool: s.pool, Firm: !q.allCrashesShared(digest, s)}
	first := now
	for _, crash := range s.crashes {
		if !slices.Contains(h.Incarnations, crash.Incarnation) {
			h.Incarnations = append(h.Incarnations, crash.Incarnation)
		}
		if crash.At.Before(first) {
			first = crash.At
		}
	}
	h.Since = now.Sub(first)
	return h
}

// allCrashesShared reports whether at each crash of a request another suspect was running that may be the cause.
func (q *Quarantine) allCrashesShared(digest model.Digest, s *suspect) bool {
	for _, crash := range s.crashes {
		if !q.hasOtherSuspect(digest, crash) {
			return false
		}
	}
	return true
}

// hasOtherSuspect reports whether at a crash another request was running that has at least CrashThreshold crashes.
func (q *Quarantine) hasOtherSuspect(digest model.Digest, crash Crash) bool {
	for other, s := range q.suspects {
		if other != digest && len(s.crashes) >= CrashThreshold && s.hasCrash(crash) {
			return true
		}
	}
	return false
}

// shouldLift reports whether a hold has lost its reason: too few crashes are left that are not attributed to another
// request, or the hold has not been renewed for twice HoldTime.
func (q *Quarantine) shouldLift(now time.Time, digest model.Digest, h *heldRequest) bool {
	if digest.IsPart() {
		// Only an answer or an operator ends it: each trial may crash one more endpoint.
		return false
	}
	if now.Sub(h.learnedAt) > 2*HoldTime {
		return true
	}
	s := q.suspects[digest]
	return !h.Firm && s != nil && len(s.crashes) < CrashThreshold
}

func (q *Quarantine) expire(now time.Time) {
	for digest, s := range q.suspects {
		if now.Sub(s.updatedAt) > crashRetention && q.held[digest] == nil {
			delete(q.suspects, digest)
		}
	}
	for digest, until := range q.trustedUntil {
		if now.After(until) {
			delete(q.trustedUntil, digest)
		}
	}
	for incarnation, cause := range q.attributed {
		if now.After(cause.until) {
			delete(q.attributed, incarnation)
		}
	}
}
