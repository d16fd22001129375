package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// overdueFactor is how many times as long as expected a call takes to count as overdue: beyond what calls at
	// sound endpoints sway by.
	overdueFactor = 1.5
	// slowFactor is how many times as long as the pool's usual endpoint one takes to count as slow.
	slowFactor = 1.5
	// slowProbeInterval is how often a slow endpoint gets a piece that it is too slow for, to find out whether it still
	// is; the piece is made elsewhere, too, once it is overdue.
	slowProbeInterval = time.Second
	// recoveryWeight is the weight of the newest call in a slow endpoint's slowdown, and of the first that tells that it
	// is slow: two calls bring it back.
	recoveryWeight = 0.7
)

// Overdue takes in that a call takes longer than it should. Where nothing queues, its pieces that another endpoint
// could still make on time wait again; whichever is made first counts. It returns how many.
func (q *BatchQueue) Overdue(now time.Time, batch PieceBatch) int {
	if _, runs := q.running[batch.ID]; !runs || !q.policy.Uses(AvoidSlowWorkers) {
		return 0
	}
	if w := q.workers[batch.Endpoint.Incarnation()]; w != nil {
		w.unanswered = true
	}
	if q.backlog() > maxLateBacklog {
		// A second call would take an endpoint from pieces that wait for their first.
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

// OverdueAfter returns how long after its start a call is overdue.
func (q *BatchQueue) OverdueAfter(batch PieceBatch) time.Duration {
	expected := q.Expected(batch)
	if batch.probe {
		expected = batch.statedTime
	}
	return time.Duration(overdueFactor*float64(expected)) + maxFetchDelay
}

// updateSlowdown takes in how long a call took.
func (w *worker) updateSlowdown(now time.Time, batch PieceBatch, median float64) {
	weight := slowdownWeight
	if w.unanswered || w.slowdown > slowFactor*median {
		weight = recoveryWeight
	}
	w.slowdown += weight * (batch.relativeDuration(now) - w.slowdown)
	w.unanswered = false
}

// relativeDuration is how long a call has taken, relative to what is stated.
func (b PieceBatch) relativeDuration(now time.Time) float64 {
	return float64(now.Sub(b.startedAt)) / float64(max(1, b.statedTime))
}

// medianSlowdown is the median of the endpoints' slowdowns: where all are slow, none is to be spared.
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

// isSlow tells whether an endpoint takes much longer than the usual one, or has yet to answer a call that was overdue.
func (q *BatchQueue) isSlow(w *worker, median float64) bool {
	return q.policy.Uses(AvoidSlowWorkers) && (w.unanswered || w.slowdown > slowFactor*median)
}

// fillSlow collects the pieces that a slow worker is to make next: of groups that it makes on time, or that are late
// whoever makes them, where its slowdown is known; else a single piece from time to time.
func (q *BatchQueue) fillSlow(now time.Time, w *worker, groups []*waitingGroup) PieceBatch {
	if !w.unanswered {
		end := now.Add(time.Duration(w.slowdown * float64(q.callTime(q.traits.Batch))))
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

// dropDuplicates takes back the pieces of a late group that wait for a second endpoint beside a call under way.
func (g *waitingGroup) dropDuplicates() {
	g.waiting = slices.DeleteFunc(g.waiting, func(p model.Piece) bool { return g.runningCalls[p.Number] > 0 })
}

// isWaiting tells whether a piece waits for a call.
func (g *waitingGroup) isWaiting(number int) bool {
	return slices.ContainsFunc(g.waiting, func(p model.Piece) bool { return p.Number == number })
}

// hasResult tells whether a piece was made.
func (g *waitingGroup) hasResult(number int) bool {
	return slices.ContainsFunc(g.results, func(r ResultRef) bool { return r.Number == number })
}

// madeOrPending tells whether a piece needs no other call: it was made, waits already or is under way.
func (g *waitingGroup) madeOrPending(number int) bool {
	return g.hasResult(number) || g.isWaiting(number) || g.runningCalls[number] > 0
}
