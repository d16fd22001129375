package kernel

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// rankPenalty is how much later a group counts as due for each rank of its priority: about
	// what a group waits under load.
	rankPenalty = 200 * time.Millisecond
	// overloadHoldCalls is for how many full calls after the last sign of overload priority counts: what waits then was
	// admitted under it.
	overloadHoldCalls = 4
)

// order returns the groups with waiting pieces: those that can still be on time by when they
// are due, then the late ones.
func (g *BatchQueue) sortedGroups(now time.Time) []*waitingGroup {
	var out []*waitingGroup
	for _, w := range g.groups {
		if g.isLate(now, w) {
			w.dropDuplicates()
		}
		if len(w.waiting) > 0 {
			out = append(out, w)
		}
	}
	shortest := now.Add(g.callTime(1))
	byOrder := func(a, b *waitingGroup) int { return g.compareGroups(shortest, a, b, 0, 0) }
	g.byRank = g.usesRank(now)
	slices.SortFunc(out, byOrder)
	if !g.byRank && g.overloaded(now, out) {
		g.overloadedAt = now
		g.byRank = true
		slices.SortFunc(out, byOrder)
	}
	return out
}

// ranked tells whether priority counts in the order of what waits: while not all can be on time, and a little longer,
// since what is refused or given up makes room for the rest. While all can be on time, priority would make the lower ones
// late for nothing.
func (g *BatchQueue) usesRank(now time.Time) bool {
	if !g.policy.Uses(RankOnlyWhenOverloaded) {
		return true
	}
	return !g.overloadedAt.IsZero() && now.Sub(g.overloadedAt) < overloadHoldCalls*g.callTime(g.traits.Batch)
}

// overfull tells whether, of the groups that could be on time by themselves, some would not be in the order of their due
// times.
func (g *BatchQueue) overloaded(now time.Time, order []*waitingGroup) bool {
	each := float64(g.callTime(g.traits.Batch)) / g.concurrency()
	shortest := now.Add(g.callTime(1))
	pieces := 0
	for _, w := range order {
		if shortest.After(w.Due) {
			return false
		}
		pieces += len(w.waiting)
		wait := time.Duration(float64(pieces) / float64(g.traits.Batch) * each)
		if wait > time.Duration(each) && now.Add(wait+g.callTime(len(w.waiting))).After(w.Due) {
			return true
		}
	}
	return false
}

// sortedGroupsFor returns the groups in the order in which a worker is to take them: those whose inputs lie
// in another failure domain count as due later, by how long they would wait for their own.
func (g *BatchQueue) sortedGroupsFor(now time.Time, m *worker, order []*waitingGroup) []*waitingGroup {
	shortest := now.Add(g.callTime(1))
	later := func(w *waitingGroup) time.Duration {
		if w.Domain == "" || w.Domain == m.endpoint.FailureDomain {
			return 0
		}
		return w.LocalityWait
	}
	out := slices.Clone(order)
	slices.SortStableFunc(out, func(a, b *waitingGroup) int {
		return g.compareGroups(shortest, a, b, later(a), later(b))
	})
	return out
}

// compareGroups puts groups that can still be on time first, then goes by when they count as due.
func (g *BatchQueue) compareGroups(shortest time.Time, a, b *waitingGroup, laterA, laterB time.Duration) int {
	if la, lb := shortest.After(a.Due), shortest.After(b.Due); la != lb && g.policy.Uses(LateLast) {
		if la {
			return 1
		}
		return -1
	}
	if c := g.effectiveDue(a).Add(laterA).Compare(g.effectiveDue(b).Add(laterB)); c != 0 {
		return c
	}
	return int(int64(a.ID) - int64(b.ID))
}

// effectiveDue is when a group counts as due in the order that is in force.
func (g *BatchQueue) effectiveDue(w *waitingGroup) time.Time {
	if !g.byRank {
		return w.Due
	}
	return w.rankedDue()
}

// rankedDue is when a group counts as due beside others.
func (p PieceGroup) rankedDue() time.Time {
	return p.Due.Add(time.Duration(p.Rank) * rankPenalty)
}

// idle returns the workers that may get a call, those that have most room first.
func (g *BatchQueue) availableWorkers(now time.Time) []*worker {
	var out []*worker
	for _, m := range g.workers {
		if m.runningCalls >= max(1, g.traits.Slots) || !m.endpoint.TakesWork() {
			continue
		}
		if g.coldShare.Senders > 0 && IsCold(now, m.endpoint) && !g.coldShare.Due(now, m.lastCallAt) {
			continue
		}
		if m.atRateCap(now) {
			continue
		}
		if !now.Before(m.pausedUntil) && m.health.Usable(now) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int {
		if c := cmp.Compare(g.freeRoom(now, b), g.freeRoom(now, a)); c != 0 {
			return c
		}
		return strings.Compare(a.endpoint.Name, b.endpoint.Name)
	})
	return out
}

// suits tells whether a worker may make a group: in the domain where the inputs lie, or
// anywhere once the group has waited.
func (g *BatchQueue) eligible(now time.Time, m *worker, w *waitingGroup) bool {
	if w.Domain == "" || m.endpoint.FailureDomain == w.Domain {
		return true
	}
	if now.Sub(w.addedAt) >= w.LocalityWait || !g.policy.Uses(InputLocality) {
		return true
	}
	for _, other := range g.workers {
		if other.endpoint.FailureDomain == w.Domain && other.endpoint.TakesWork() {
			return false
		}
	}
	return true
}
