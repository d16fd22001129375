package kernel

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// rankPenalty is how much later a group counts as due for each rank below the highest: about what a group
	// waits under load.
	rankPenalty = 200 * time.Millisecond
	// overloadHoldCalls is the time, in full calls, for which rank counts after the last sign of overload: the
	// groups that are waiting then were admitted under overload.
	overloadHoldCalls = 4
)

// sortedGroups returns the groups with waiting pieces by effective due time: first those that can still be on
// time, then the late ones. It also decides whether rank affects the order at present.
func (q *BatchQueue) sortedGroups(now time.Time) []*waitingGroup {
	var out []*waitingGroup
	for _, g := range q.groups {
		if q.isLate(now, g) {
			g.dropDuplicates()
		}
		if len(g.waiting) > 0 {
			out = append(out, g)
		}
	}
	earliestFinish := now.Add(q.callTime(1))
	compare := func(a, b *waitingGroup) int { return q.compareGroups(earliestFinish, a, b, 0, 0) }
	q.byRank = q.usesRank(now)
	slices.SortFunc(out, compare)
	if !q.byRank && q.overloaded(now, out) {
		q.overloadedAt = now
		q.byRank = true
		slices.SortFunc(out, compare)
	}
	q.arrangeShared(now, out)
	return out
}

// usesRank reports whether the rank of groups affects their order: during overload and for a while after, as
// refused and ended groups leave capacity for the rest. While all groups can be on time, ranking would make lower
// ranks late without need.
func (q *BatchQueue) usesRank(now time.Time) bool {
	if !q.policy.Uses(RankOnlyWhenOverloaded) {
		return true
	}
	return !q.overloadedAt.IsZero() && now.Sub(q.overloadedAt) < overloadHoldCalls*q.callTime(q.traits.MaxBatch)
}

// overloaded reports whether some groups that could be on time on their own would be late if all were made in the
// order of their due times.
func (q *BatchQueue) overloaded(now time.Time, groups []*waitingGroup) bool {
	interval := float64(q.callTime(q.traits.MaxBatch)) / q.concurrency(now)
	earliestFinish := now.Add(q.callTime(1))
	pieces := 0
	for _, g := range groups {
		if earliestFinish.After(g.Due) {
			return false
		}
		pieces += len(g.waiting)
		wait := time.Duration(float64(pieces) / float64(q.traits.MaxBatch) * interval)
		if wait > time.Duration(interval) && now.Add(wait+q.callTime(len(g.waiting))).After(g.Due) {
			return true
		}
	}
	return false
}

// sortedGroupsFor returns the groups in the order in which a worker should take them. Groups with inputs in
// another failure domain count as due later, by the time that they would wait for a worker in their own domain.
func (q *BatchQueue) sortedGroupsFor(now time.Time, w *worker, groups []*waitingGroup) []*waitingGroup {
	earliestFinish := now.Add(q.callTime(1))
	delay := func(g *waitingGroup) time.Duration {
		if g.Domain == "" || g.Domain == w.endpoint.FailureDomain {
			return 0
		}
		return g.LocalityWait
	}
	out := slices.Clone(groups)
	slices.SortStableFunc(out, func(a, b *waitingGroup) int {
		return q.compareGroups(earliestFinish, a, b, delay(a), delay(b))
	})
	q.delayShared(earliestFinish, out, delay)
	return out
}

// compareGroups orders groups that can still be on time first, then by effective due time.
func (q *BatchQueue) compareGroups(earliestFinish time.Time, a, b *waitingGroup, delayA, delayB time.Duration) int {
	if lateA, lateB := earliestFinish.After(a.Due), earliestFinish.After(b.Due); lateA != lateB && q.policy.Uses(LateLast) {
		if lateA {
			return 1
		}
		return -1
	}
	if c := q.effectiveDue(a).Add(delayA).Compare(q.effectiveDue(b).Add(delayB)); c != 0 {
		return c
	}
	return int(int64(a.ID) - int64(b.ID))
}

// effectiveDue returns the due time by which a group is ordered at present.
func (q *BatchQueue) effectiveDue(g *waitingGroup) time.Time {
	if !q.byRank {
		return g.Due
	}
	return g.rankedDue()
}

// rankedDue returns the due time of a group, delayed according to its rank.
func (p PieceGroup) rankedDue() time.Time {
	return p.Due.Add(time.Duration(p.Rank) * rankPenalty)
}

// availableWorkers returns the workers that may get a call now, those with the most free room first.
func (q *BatchQueue) availableWorkers(now time.Time) []*worker {
	var out []*worker
	for _, w := range q.workers {
		if w.runningCalls >= max(1, q.traits.Slots) || !w.endpoint.Accepts(now) {
			continue
		}
		if q.coldShare.Senders > 0 && IsCold(now, w.endpoint) && !q.coldShare.Due(now, w.lastCallAt) {
			continue
		}
		if w.atRateCap(now) {
			continue
		}
		if !now.Before(w.pausedUntil) && w.health.Usable(now) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int {
		if c := cmp.Compare(q.freeRoom(now, b), q.freeRoom(now, a)); c != 0 {
			return c
		}
		return strings.Compare(a.endpoint.Name, b.endpoint.Name)
	})
	return out
}

// eligible reports whether a worker may make a group: it is in the failure domain of the group's inputs, the
// group has waited for LocalityWait, or that domain has no worker that accepts work now.
func (q *BatchQueue) eligible(now time.Time, w *worker, g *waitingGroup) bool {
	if g.Domain == "" || w.endpoint.FailureDomain == g.Domain {
		return true
	}
	if now.Sub(g.addedAt) >= g.LocalityWait || !q.policy.Uses(InputLocality) {
		return true
	}
	for _, other := range q.workers {
		if other.endpoint.FailureDomain == g.Domain && other.endpoint.Accepts(now) {
			return false
		}
	}
	return true
}
