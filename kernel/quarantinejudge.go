package kernel

import (
	"cmp"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// EvaluationDelay is how long after the newest report on a request its case is judged: the others that were under
	// way at the same end are reported by then, so that what merely ran beside is told from the cause.
	EvaluationDelay = 300 * time.Millisecond
	// maxEvaluationDelay is after which time a case is judged although reports on others of its pool still come.
	maxEvaluationDelay = 3 * EvaluationDelay
)

// QuarantineChange is what all nodes are to be told.
type QuarantineChange struct {
	Hold []HeldRequest
	Lift []model.Digest
}

// Apply returns a list of held requests with the change made: the newest last, and no more than are remembered.
func (c QuarantineChange) Apply(held []HeldRequest) []HeldRequest {
	out := slices.DeleteFunc(slices.Clone(held), func(h HeldRequest) bool {
		return slices.Contains(c.Lift, h.Digest) || slices.ContainsFunc(c.Hold, func(by HeldRequest) bool { return by.Digest == h.Digest })
	})
	out = append(out, c.Hold...)
	return out[max(0, len(out)-maxHeld):]
}

// Same tells whether two words on a request say the same.
func (h HeldRequest) Equal(other HeldRequest) bool {
	return h.Digest == other.Digest && h.Pool == other.Pool && h.Firm == other.Firm && h.Since == other.Since && slices.Equal(h.Incarnations, other.Incarnations)
}

// Judge decides on the cases of the pools that are kept here. A request under which enough endpoints ended is held.
// It is the cause where at one of its ends at least no other such request was under way, and that takes its ends off
// those that have fewer than it takes: they merely ran beside. Where others were under way at all of its ends, a trial
// tells whether it is a cause as well.
func (q *Quarantine) Evaluate(now time.Time, keeps func(pool string) bool) QuarantineChange {
	q.expire(now)
	var change QuarantineChange
	for _, digest := range q.dueForEvaluation(now, keeps) {
		c := q.suspects[digest]
		c.evaluateBy = time.Time{}
		h := q.newHeldRequest(now, digest, c)
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
		if keeps(h.Pool) && q.shouldLift(now, digest, h) {
			change.Lift = append(change.Lift, digest)
		}
	}
	slices.Sort(change.Lift)
	return change
}

// ripe returns the requests whose cases are ready to be judged, in the order in which they are.
func (q *Quarantine) dueForEvaluation(now time.Time, keeps func(pool string) bool) []model.Digest {
	var out []model.Digest
	newest := map[string]time.Time{}
	for digest, c := range q.suspects {
		if len(c.crashes) < CrashThreshold || !keeps(c.pool) {
			continue
		}
		out = append(out, digest)
		if c.updatedAt.After(newest[c.pool]) {
			newest[c.pool] = c.updatedAt
		}
	}
	out = slices.DeleteFunc(out, func(digest model.Digest) bool {
		c := q.suspects[digest]
		return now.Sub(newest[c.pool]) < EvaluationDelay && now.Before(c.evaluateBy)
	})
	slices.SortFunc(out, func(a, b model.Digest) int {
		return cmp.Or(cmp.Compare(len(q.suspects[b].crashes), len(q.suspects[a].crashes)), cmp.Compare(a, b))
	})
	return out
}

func (q *Quarantine) newHeldRequest(now time.Time, digest model.Digest, c *suspect) HeldRequest {
	h := HeldRequest{Digest: digest, Pool: c.pool, Firm: !q.shared(digest, c)}
	first := now
	for _, crash := range c.crashes {
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

// shared tells whether at each end of a request another one was under way that may be its cause.
func (q *Quarantine) shared(digest model.Digest, c *suspect) bool {
	for _, crash := range c.crashes {
		if !q.hasOtherSuspect(digest, crash) {
			return false
		}
	}
	return true
}

// hasOtherSuspect tells whether at an end another request was under way that has as many ends as it takes.
func (q *Quarantine) hasOtherSuspect(digest model.Digest, crash Crash) bool {
	for other, c := range q.suspects {
		if other != digest && len(c.crashes) >= CrashThreshold && c.has(crash) {
			return true
		}
	}
	return false
}

// unfounded tells whether nothing is left to hold a request back for: its ends were another's doing, or it has
// not been seen for long.
func (q *Quarantine) shouldLift(now time.Time, digest model.Digest, h *heldRequest) bool {
	if now.Sub(h.learnedAt) > 2*HoldTime {
		return true
	}
	c := q.suspects[digest]
	return !h.Firm && c != nil && len(c.crashes) < CrashThreshold
}

func (q *Quarantine) expire(now time.Time) {
	for digest, c := range q.suspects {
		if now.Sub(c.updatedAt) > crashRetention && q.held[digest] == nil {
			delete(q.suspects, digest)
		}
	}
	for digest, until := range q.trustedUntil {
		if now.After(until) {
			delete(q.trustedUntil, digest)
		}
	}
	for incarnation, why := range q.attributed {
		if now.After(why.until) {
			delete(q.attributed, incarnation)
		}
	}
}
