// Package currency decides whether a node may act on the routing that it knows. A change that was confirmed has to be in force
// within a bound. A node whose routing was proven current longer ago may be behind, and another one serves the request. While
// the store answers nobody, no node can know anything newer, and requests are served by what is known.
package currency

import (
	"maps"
	"slices"
	"time"
)

const (
	// outageQuorum is how many nodes the store must have left without an answer for an outage: more than the nodes that are
	// designated to read it, so that a cut of these is none.
	outageQuorum = 3
	// maxAttempts bounds the attempts that are remembered and passed on, some 50 bytes each.
	maxAttempts = 8
)

type (
	// Attempts are the newest calls to the store that it did not answer, or refused, by the nodes that made them. Attempts are
	// immutable; the zero value has none.
	Attempts struct {
		// startedAt has at most maxAttempts entries.
		startedAt map[string]time.Time
	}

	// Verdict tells whether a node may act on its routing.
	Verdict string

	// Evidence is what a node knows of the age of its routing.
	Evidence struct {
		// ProvenAt is when the routing was last proven to be the newest.
		ProvenAt time.Time
		// Attempts are those that this node knows of, its own among them.
		Attempts Attempts
		// Nodes is the number of nodes of the fleet, 0 if unknown.
		Nodes int
	}
)

// The verdicts.
const (
	// Current: the routing was proven current within the bound.
	Current Verdict = "Current"
	// Outage: it was not, but the store has lately answered nobody.
	Outage Verdict = "Outage"
	// Behind: another node may know a newer one.
	Behind Verdict = "Behind"
)

// Judge decides whether a node may act on its routing, which has to be proven current within limit; 0 means that it may have
// any age.
func Judge(now time.Time, limit time.Duration, e Evidence) Verdict {
	switch {
	case limit <= 0 || now.Sub(e.ProvenAt) <= limit:
		return Current
	case e.Attempts.ShowOutage(now, limit, e.ProvenAt, e.Nodes):
		return Outage
	default:
		return Behind
	}
}

// ShowOutage reports whether enough nodes have asked the store in vain, after the routing was last proven current, and lately:
// a node that hears of no attempts any more may have missed the end of the outage.
func (a Attempts) ShowOutage(now time.Time, limit time.Duration, provenAt time.Time, nodes int) bool {
	found := 0
	for _, at := range a.startedAt {
		if at.After(provenAt) && now.Sub(at) <= limit {
			found++
		}
	}
	return found >= min(outageQuorum, max(1, nodes))
}

// With returns the attempts with one that a node started at a time.
func (a Attempts) With(node string, startedAt time.Time) Attempts {
	if !startedAt.After(a.startedAt[node]) {
		return a
	}
	next := maps.Clone(a.startedAt)
	if next == nil {
		next = map[string]time.Time{}
	}
	next[node] = startedAt
	if len(next) > maxAttempts {
		delete(next, slices.MinFunc(slices.Collect(maps.Keys(next)), func(x, y string) int { return next[x].Compare(next[y]) }))
	}
	return Attempts{startedAt: next}
}

// WithAges returns the attempts with those of another node, by their ages at a time.
func (a Attempts) WithAges(at time.Time, ages map[string]time.Duration) Attempts {
	for node, age := range ages {
		a = a.With(node, at.Add(-max(0, age)))
	}
	return a
}

// Ages returns the ages of the attempts that are newer than a proof, by node; nil if there are none.
func (a Attempts) Ages(now, provenAt time.Time) map[string]time.Duration {
	var ages map[string]time.Duration
	for node, at := range a.startedAt {
		if !at.After(provenAt) {
			continue
		}
		if ages == nil {
			ages = map[string]time.Duration{}
		}
		ages[node] = now.Sub(at)
	}
	return ages
}
