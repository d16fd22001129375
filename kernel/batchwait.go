package kernel

import (
	"time"
)

// minConcurrency keeps wait estimates finite where the workers accept almost no calls.
const minConcurrency = 0.01

// EstimateWait estimates how long the pieces of a group added now would wait for the start of their call, given
// the work ahead of them and the free room. If the group is late only because of this wait, the queue counts as
// overloaded.
//
// While the order by shares is in force, only the work that it puts before the group counts, and a group beyond its
// customer's share waits until the share has capacity for it. Pieces that would wait in a queue count as demand of the customer,
// as their request may be refused because of it.
func (q *BatchQueue) EstimateWait(now time.Time, group PieceGroup) time.Duration {
	wait := q.estimateWait(now, group)
	finishAlone := now.Add(q.callTime(len(group.Pieces)))
	if !finishAlone.After(group.Due) && finishAlone.Add(wait).After(group.Due) {
		q.overloadedAt = now
	}
	if wait > minQueueWait {
		q.recordDemand(now, group)
	}
	return wait
}

func (q *BatchQueue) estimateWait(now time.Time, group PieceGroup) time.Duration {
	if wait, none := q.waitForWorker(now); none {
		return wait
	}
	if q.ordersByShare(group) {
		return q.estimateSharedWait(now, group)
	}
	return q.waitInOrder(now, &waitingGroup{PieceGroup: group}, q.compareWithoutShares)
}

// waitInOrder estimates how long the pieces of a group wait if all groups that compare puts before it are made first.
func (q *BatchQueue) waitInOrder(now time.Time, own *waitingGroup, compare groupOrder) time.Duration {
	group := own.PieceGroup
	total, free := q.roomTotals(now)
	ahead, aheadBytes := q.workAhead(now, own, free, compare)
	full := q.callTime(q.traits.MaxBatch)
	calls := q.concurrency(now)
	// When all endpoints are busy, the next one becomes free after half of the mean interval between calls.
	firstWait := float64(full) / (2 * calls)
	if q.countFreeWorkers(now) > 0 {
		firstWait = 0
	}
	bySlots := firstWait + float64(ahead)/float64(max(1, q.traits.MaxBatch))/calls*float64(full)
	missing := float64(aheadBytes) - free
	if q.traits.Room <= 0 || missing <= 0 || group.ResultBytes == 0 {
		return time.Duration(bySlots)
	}
	// Taken room becomes free at the rate at which results have recently been released.
	byRoom := time.Duration(missing / total * float64(q.holdTime))
	return max(time.Duration(bySlots), byRoom)
}

// waitForWorker returns how long it takes until any worker accepts a call, if none does now.
func (q *BatchQueue) waitForWorker(now time.Time) (wait time.Duration, none bool) {
	// By then, endpoints that lapsed during an outage of the store are listed again.
	wait, none = relistGracePeriod, true
	paused := false
	for _, w := range q.workers {
		switch {
		case w.endpoint.Accepts(now):
			return 0, false
		case !w.endpoint.TakesWork():
		case !paused:
			paused, wait = true, w.endpoint.PausedUntil.Sub(now)
		default:
			wait = min(wait, w.endpoint.PausedUntil.Sub(now))
		}
	}
	return wait, none
}

// workAhead returns how many pieces are made before those of a group, and how many bytes of results need room
// before the group's last one has it. Late work comes after all work that is not late. Smaller results overtake
// larger ones that wait for room, so larger results count only as far as there is room for them.
func (q *BatchQueue) workAhead(now time.Time, own *waitingGroup, free float64, compare groupOrder) (pieces int, bytes int64) {
	group := own.PieceGroup
	bytes = int64(len(group.Pieces)) * group.ResultBytes
	earliestFinish := now.Add(q.callTime(1))
	roomForLarger := free
	for _, g := range q.groups {
		if !q.policy.Uses(WaitPerRequest) {
			if !g.rankedDue().After(group.rankedDue()) {
				pieces += len(g.waiting)
				bytes += int64(len(g.waiting)) * g.ResultBytes
			}
			continue
		}
		if compare(earliestFinish, g, own) > 0 {
			continue
		}
		waiting := len(g.waiting)
		if g.ResultBytes > group.ResultBytes {
			waiting = min(waiting, int(max(0, roomForLarger)/float64(g.ResultBytes)))
			roomForLarger -= float64(waiting) * float64(g.ResultBytes)
		} else {
			bytes += int64(waiting) * g.ResultBytes
		}
		pieces += waiting
	}
	return pieces, bytes
}

// backlog returns the number of full batches that wait for each endpoint.
func (q *BatchQueue) backlog(now time.Time) float64 {
	waiting := 0
	for _, g := range q.groups {
		waiting += len(g.waiting)
	}
	return float64(waiting) / (float64(max(1, q.traits.MaxBatch)) * q.concurrency(now) / float64(max(1, q.traits.Slots)))
}

func (q *BatchQueue) countActiveWorkers() int {
	n := 0
	for _, w := range q.workers {
		if w.endpoint.TakesWork() {
			n++
		}
	}
	return n
}

// concurrency returns how many calls the workers run at a time. A worker with a rate cap counts only as many of
// its slots as the cap keeps busy.
func (q *BatchQueue) concurrency(now time.Time) float64 {
	full := q.callTime(q.traits.MaxBatch)
	calls := 0.0
	for _, w := range q.workers {
		if w.endpoint.Accepts(now) {
			calls += w.concurrency(full, q.traits.Slots)
		}
	}
	return max(minConcurrency, calls)
}

// concurrency returns how many full calls, of the duration full, the worker runs at a time.
func (w *worker) concurrency(full time.Duration, slots int) float64 {
	all := float64(max(1, slots))
	if !w.rateCap.Stated {
		return all
	}
	return min(all, float64(full)/float64(CapBatcherInterval(w.rateCap)))
}

// atRateCap reports whether the rate cap of a worker allows no call now.
func (w *worker) atRateCap(now time.Time) bool {
	return w.rateCap.Stated && now.Sub(w.lastCallAt) < CapBatcherInterval(w.rateCap)
}

// countFreeWorkers returns the number of workers with a free slot whose rate caps allow a call now.
func (q *BatchQueue) countFreeWorkers(now time.Time) int {
	n := 0
	for _, w := range q.workers {
		if w.endpoint.Accepts(now) && w.runningCalls < max(1, q.traits.Slots) && !w.atRateCap(now) {
			n++
		}
	}
	return n
}

// callTime returns how long a call with a number of pieces takes according to the traits of the pool.
func (q *BatchQueue) callTime(pieces int) time.Duration {
	return q.traits.CallTime + time.Duration(min(pieces, q.traits.MaxBatch))*q.traits.PieceTime
}
