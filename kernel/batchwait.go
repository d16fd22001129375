package kernel

import (
	"time"
)

// minConcurrency keeps the time that a queue needs finite where its workers take nearly nothing.
const minConcurrency = 0.01

// Wait estimates how long the pieces of a group that comes now wait until their call starts: the
// work that goes before them, by the time of full batches and by room. One that only the wait makes late is a sign of
// overload.
func (g *BatchQueue) EstimateWait(now time.Time, group PieceGroup) time.Duration {
	wait := g.estimate(now, group)
	alone := now.Add(g.callTime(len(group.Pieces)))
	if !alone.After(group.Due) && alone.Add(wait).After(group.Due) {
		g.overloadedAt = now
	}
	return wait
}

func (g *BatchQueue) estimate(now time.Time, group PieceGroup) time.Duration {
	workers := g.activeWorkers()
	if workers == 0 {
		return lapsedGrace
	}
	total, free := g.roomTotals(now)
	ahead, aheadBytes := g.workAhead(now, group, free)
	full := g.callTime(g.traits.Batch)
	calls := g.concurrency()
	// With all endpoints busy, one comes free after a call's share on average.
	first := float64(full) / (2 * calls)
	if g.freeWorkers(now) > 0 {
		first = 0
	}
	bySlots := first + float64(ahead)/float64(max(1, g.traits.Batch))/calls*float64(full)
	missing := float64(aheadBytes) - free
	if g.traits.Room <= 0 || missing <= 0 || group.ResultBytes == 0 {
		return time.Duration(bySlots)
	}
	// What is not free comes free as fast as results were held lately.
	byRoom := time.Duration(missing / total * float64(g.holdTime))
	return max(time.Duration(bySlots), byRoom)
}

// ahead returns how many pieces are made before those of a group, and how many bytes of results find
// room before its last one has. Work that is late goes after all that is not. Results that are larger
// wait for room while smaller ones pass them by, so they count as far as there is room for them.
func (g *BatchQueue) workAhead(now time.Time, group PieceGroup, free float64) (pieces int, bytes int64) {
	bytes = int64(len(group.Pieces)) * group.ResultBytes
	shortest := now.Add(g.callTime(1))
	own := &waitingGroup{PieceGroup: group}
	heavyRoom := free
	for _, w := range g.groups {
		if !g.policy.Uses(WaitPerRequest) {
			if !w.rankedDue().After(group.rankedDue()) {
				pieces += len(w.waiting)
				bytes += int64(len(w.waiting)) * w.ResultBytes
			}
			continue
		}
		if g.compareGroups(shortest, w, own, 0, 0) > 0 {
			continue
		}
		waiting := len(w.waiting)
		if w.ResultBytes > group.ResultBytes {
			waiting = min(waiting, int(max(0, heavyRoom)/float64(w.ResultBytes)))
			heavyRoom -= float64(waiting) * float64(w.ResultBytes)
		} else {
			bytes += int64(waiting) * w.ResultBytes
		}
		pieces += waiting
	}
	return pieces, bytes
}

// backlog is how many full batches wait for each endpoint.
func (g *BatchQueue) backlog() float64 {
	waiting := 0
	for _, w := range g.groups {
		waiting += len(w.waiting)
	}
	return float64(waiting) / (float64(max(1, g.traits.Batch)) * g.concurrency() / float64(max(1, g.traits.Slots)))
}

func (g *BatchQueue) activeWorkers() int {
	n := 0
	for _, m := range g.workers {
		if m.endpoint.TakesWork() {
			n++
		}
	}
	return n
}

// calls is how many calls the workers carry out at one time; one that takes only so many a second counts for as much of
// its slots as those keep busy.
func (g *BatchQueue) concurrency() float64 {
	full := g.callTime(g.traits.Batch)
	calls := 0.0
	for _, m := range g.workers {
		if m.endpoint.TakesWork() {
			calls += m.concurrency(full, g.traits.Slots)
		}
	}
	return max(minConcurrency, calls)
}

func (m *worker) concurrency(full time.Duration, slots int) float64 {
	all := float64(max(1, slots))
	if !m.rateCap.Stated {
		return all
	}
	return min(all, float64(full)/float64(CapBatcherPause(m.rateCap)))
}

// atRateCap tells whether a worker takes no call now because of what it got lately.
func (m *worker) atRateCap(now time.Time) bool {
	return m.rateCap.Stated && now.Sub(m.lastCallAt) < CapBatcherPause(m.rateCap)
}

func (g *BatchQueue) freeWorkers(now time.Time) int {
	n := 0
	for _, m := range g.workers {
		if m.endpoint.TakesWork() && m.runningCalls < max(1, g.traits.Slots) && !m.atRateCap(now) {
			n++
		}
	}
	return n
}

func (g *BatchQueue) callTime(pieces int) time.Duration {
	return g.traits.CallTime + time.Duration(min(pieces, g.traits.Batch))*g.traits.PieceTime
}
