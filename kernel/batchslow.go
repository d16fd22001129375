package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// overdueFactor is the multiple of its expected duration after which a call is overdue: more than the
	// variation among calls to healthy endpoints.
	overdueFactor = 1.5
	// slowFactor is the multiple of the pool's median slowdown above which an endpoint counts as slow.
	slowFactor = 1.5
	// slowProbeInterval is how often a slow endpoint gets a piece that it is too slow for, to find out whether it
	// has recovered. The piece is also made elsewhere once it is overdue.
	slowProbeInterval = time.Second
	// recoveryWeight is the weight of the newest call in the slowdown of an endpoint that is slow or answers for
	// the first time after an overdue call. Two calls bring a recovered endpoint back to normal.
	recoveryWeight = 0.7
)

// RequeueOverdue records that a call is overdue. Unless the pool has a backlog, the pieces that another endpoint
// could still make on time are requeued, and the first result of each piece is used. It returns the number of
// requeued pieces.
func (q *BatchQueue) RequeueOverdue(now time.Time, batch PieceBatch) int {
	if _, runs := q.running[batch.ID]; !runs || !q.policy.Uses(AvoidSlowWorkers) {
		return 0
	}
	if w := q.workers[batch.Endpoint.Incarnation()]; w != nil {
		w.unanswered = true
	}
	if q.backlog(now) > maxLateBacklog {
		// A second call would occupy an endpoint while other pieces wait for their first.
		return 0
	}
	requeued := 0
	for i, p := range batch.Pieces {
		g := q.groups[batch.groups[i]]
		if g == nil || g.inputsFreed || g.attempts[p.Number] >= maxPieceAttempts || g.isWaiting(p.Number) || q.isLate(now, g) {
			continue
		}
		g.waiting = append(g.waiting, p)
		requeued++
	}
	return requeued
}

// MayGiveUp reports whether a call that is still running may be given up: each of its pieces was made, is in another call, may be
// called for again, or is wanted no more. Else a silent worker may be all that a group has.
func (q *BatchQueue) MayGiveUp(now time.Time, batch PieceBatch) bool {
	for i, p := range batch.Pieces {
		g := q.groups[batch.groups[i]]
		if g == nil || g.hasResult(p.Number) || g.isWaiting(p.Number) || g.runningCalls[p.Number] > 1 {
			continue
		}
		if !q.mayCallAgain(now, g, p.Number) {
			return false
		}
	}
	return true
}

// mayCallAgain reports whether a piece of a group may be called for once more.
func (q *BatchQueue) mayCallAgain(now time.Time, g *waitingGroup, number int) bool {
	return !g.inputsFreed && g.attempts[number] < maxPieceAttempts && now.Add(q.callTime(1)).Before(g.Until)
}

// OverdueAfter returns how long after its start a call is overdue.
func (q *BatchQueue) OverdueAfter(batch PieceBatch) time.Duration {
	expected := q.Expected(batch)
	if batch.probe {
		expected = batch.statedTime
	}
	return time.Duration(overdueFactor*float64(expected)) + maxFetchDelay
}

// updateSlowdown updates the slowdown with the duration of a call that has ended.
func (w *worker) updateSlowdown(now time.Time, batch PieceBatch, median float64) {
	weight := slowdownWeight
	if w.unanswered || w.slowdown > slowFactor*median {
		weight = recoveryWeight
	}
	w.slowdown += weight * (batch.relativeDuration(now) - w.slowdown)
	w.unanswered = false
}

// relativeDuration returns how long a call has run, relative to the stated duration.
func (b PieceBatch) relativeDuration(now time.Time) float64 {
	return float64(now.Sub(b.startedAt)) / float64(max(1, b.statedTime))
}

// medianSlowdown returns the median of the endpoints' slowdowns, at least 1. If most endpoints are slow, none is
// avoided.
func (q *BatchQueue) medianSlowdown() float64 {
	slowdowns := make([]float64, 0, len(q.workers))
	for _, w := range q.workers {
		if w.endpoint.TakesWork() {
			slowdowns = append(slowdowns, w.slowdown)
		}
	}
	if len(slowdowns) == 0 {
		return 1
	}
	slices.Sort(slowdowns)
	return max(1, slowdowns[(len(slowdowns)-1)/2])
}

// isSlow reports whether an endpoint is much slower than the median, or has yet to answer after an overdue call.
func (q *BatchQueue) isSlow(w *worker, median float64) bool {
	return q.policy.Uses(AvoidSlowWorkers) && (w.unanswered || w.slowdown > slowFactor*median)
}

// fillSlow selects the pieces of a slow worker's next call. If its slowdown is known, it gets groups that it can
// make on time, or that are late wherever they are made; otherwise, a single piece every slowProbeInterval.
func (q *BatchQueue) fillSlow(now time.Time, w *worker, groups []*waitingGroup) PieceBatch {
	if !w.unanswered {
		end := now.Add(time.Duration(w.slowdown * float64(q.callTime(q.traits.MaxBatch))))
		inTime := slices.DeleteFunc(slices.Clone(groups), func(g *waitingGroup) bool { return end.After(g.Due) && !q.isLate(now, g) })
		if batch := q.fill(now, w, inTime); len(batch.Pieces) > 0 {
			return batch
		}
	}
	if now.Sub(w.probedAt) < slowProbeInterval {
		return PieceBatch{}
	}
	batch := q.fill(now, w, groups)
	if len(batch.Pieces) == 0 {
		return batch
	}
	w.probedAt = now
	batch.probe = true
	batch.Pieces, batch.groups, batch.bytes = batch.Pieces[:1], batch.groups[:1], batch.bytes[:1]
	return batch
}

// dropDuplicates removes the waiting pieces of a late group that are also in a running call.
func (g *waitingGroup) dropDuplicates() {
	g.waiting = slices.DeleteFunc(g.waiting, func(p model.Piece) bool { return g.runningCalls[p.Number] > 0 })
}

// isWaiting reports whether a piece waits for a call.
func (g *waitingGroup) isWaiting(number int) bool {
	return slices.ContainsFunc(g.waiting, func(p model.Piece) bool { return p.Number == number })
}

// hasResult reports whether a piece has been made.
func (g *waitingGroup) hasResult(number int) bool {
	return slices.ContainsFunc(g.results, func(r ResultRef) bool { return r.Number == number })
}

// madeOrPending reports whether a piece needs no further call: it has been made, is waiting or is in a running
// call.
func (g *waitingGroup) madeOrPending(number int) bool {
	return g.hasResult(number) || g.isWaiting(number) || g.runningCalls[number] > 0
}
