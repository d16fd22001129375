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
func (g *BatchQueue) Overdue(now time.Time, batch PieceBatch) int {
	if _, runs := g.running[batch.ID]; !runs || !g.policy.Uses(AvoidSlowWorkers) {
		return 0
	}
	if m := g.workers[batch.Endpoint.Incarnation()]; m != nil {
		m.unanswered = true
	}
	if g.backlog() > maxLateBacklog {
		// A second call would take an endpoint from pieces that wait for their first.
		return 0
	}
	again := 0
	for i, p := range batch.Pieces {
		w := g.groups[batch.groups[i]]
		if w == nil || w.inputsFreed || w.attempts[p.Number] >= maxPieceAttempts || w.isWaiting(p.Number) || g.isLate(now, w) {
			continue
		}
		w.waiting = append(w.waiting, p)
		again++
	}
	return again
}

// OverdueAfter returns how long after its start a call is overdue.
func (g *BatchQueue) OverdueAfter(batch PieceBatch) time.Duration {
	expected := g.Expected(batch)
	if batch.probe {
		expected = batch.statedTime
	}
	return time.Duration(overdueFactor*float64(expected)) + maxFetchDelay
}

// updateSlowdown takes in how long a call took.
func (m *worker) updateSlowdown(now time.Time, batch PieceBatch, usual float64) {
	weight := slowdownWeight
	if m.unanswered || m.slowdown > slowFactor*usual {
		weight = recoveryWeight
	}
	m.slowdown += weight * (batch.relativeDuration(now) - m.slowdown)
	m.unanswered = false
}

// took is how long a call has taken, relative to what is stated.
func (b PieceBatch) relativeDuration(now time.Time) float64 {
	return float64(now.Sub(b.startedAt)) / float64(max(1, b.statedTime))
}

// medianSlowdown is the median of the endpoints' slowdowns: where all are slow, none is to be spared.
func (g *BatchQueue) medianSlowdown() float64 {
	slowdowns := make([]float64, 0, len(g.workers))
	for _, m := range g.workers {
		if m.endpoint.TakesWork() {
			slowdowns = append(slowdowns, m.slowdown)
		}
	}
	if len(slowdowns) == 0 {
		return 1
	}
	slices.Sort(slowdowns)
	return max(1, slowdowns[(len(slowdowns)-1)/2])
}

// slow tells whether an endpoint takes much longer than the usual one, or has yet to answer a call that was overdue.
func (g *BatchQueue) isSlow(m *worker, usual float64) bool {
	return g.policy.Uses(AvoidSlowWorkers) && (m.unanswered || m.slowdown > slowFactor*usual)
}

// fillSlow collects the pieces that a slow worker is to make next: of groups that it makes on time, or that are late
// whoever makes them, where its slowdown is known; else a single piece from time to time.
func (g *BatchQueue) fillSlow(now time.Time, m *worker, order []*waitingGroup) PieceBatch {
	if !m.unanswered {
		end := now.Add(time.Duration(m.slowdown * float64(g.callTime(g.traits.Batch))))
		fit := slices.DeleteFunc(slices.Clone(order), func(w *waitingGroup) bool { return end.After(w.Due) && !g.isLate(now, w) })
		if batch := g.fill(now, m, fit); len(batch.Pieces) > 0 {
			return batch
		}
	}
	if now.Sub(m.probedAt) < slowProbeInterval {
		return PieceBatch{}
	}
	batch := g.fill(now, m, order)
	if len(batch.Pieces) == 0 {
		return batch
	}
	m.probedAt = now
	batch.probe = true
	batch.Pieces, batch.groups, batch.bytes = batch.Pieces[:1], batch.groups[:1], batch.bytes[:1]
	return batch
}

// dropDuplicates takes back the pieces of a late group that wait for a second endpoint beside a call under way.
func (w *waitingGroup) dropDuplicates() {
	w.waiting = slices.DeleteFunc(w.waiting, func(p model.Piece) bool { return w.runningCalls[p.Number] > 0 })
}

// isWaiting tells whether a piece waits for a call.
func (w *waitingGroup) isWaiting(number int) bool {
	return slices.ContainsFunc(w.waiting, func(p model.Piece) bool { return p.Number == number })
}

// has tells whether a piece was made.
func (w *waitingGroup) hasResult(number int) bool {
	return slices.ContainsFunc(w.results, func(m ResultRef) bool { return m.Number == number })
}

// elsewhere tells whether a piece needs no other call: it was made, waits already or is under way.
func (w *waitingGroup) madeOrPending(number int) bool {
	return w.hasResult(number) || w.isWaiting(number) || w.runningCalls[number] > 0
}
