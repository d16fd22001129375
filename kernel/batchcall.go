package kernel

import (
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

// Next hands out a call that is to be made now; false means that none is.
func (g *BatchQueue) Next(now time.Time) (PieceBatch, bool) {
	order := g.sortedGroups(now)
	if len(order) == 0 || g.shouldDefer(now, order) {
		return PieceBatch{}, false
	}
	usual := g.medianSlowdown()
	var slow []*worker
	for _, m := range g.availableWorkers(now) {
		if g.isSlow(m, usual) {
			slow = append(slow, m)
			continue
		}
		if batch := g.fill(now, m, g.sortedGroupsFor(now, m, order)); len(batch.Pieces) > 0 {
			return g.start(now, m, batch), true
		}
	}
	for _, m := range slow {
		if batch := g.fillSlow(now, m, g.sortedGroupsFor(now, m, order)); len(batch.Pieces) > 0 {
			return g.start(now, m, batch), true
		}
	}
	return PieceBatch{}, false
}

// shouldDefer tells whether the next call is better made a little later, with more pieces.
func (g *BatchQueue) shouldDefer(now time.Time, order []*waitingGroup) bool {
	return g.policy.Uses(SpacedCalls) && now.Sub(g.lastStart) < g.Spacing() && g.countWaiting(order) < g.traits.Batch
}

// Spacing is the least time between the starts of two calls that are not full.
func (g *BatchQueue) Spacing() time.Duration {
	return time.Duration(spacingRatio * float64(g.callTime(g.traits.Batch/2)) / g.concurrency())
}

func (g *BatchQueue) countWaiting(order []*waitingGroup) int {
	n := 0
	for _, w := range order {
		n += len(w.waiting)
	}
	return n
}

// fill collects the pieces that a worker is to make next. A group's pieces stay together where
// they fit.
func (g *BatchQueue) fill(now time.Time, m *worker, order []*waitingGroup) PieceBatch {
	var batch PieceBatch
	room := math.Inf(1)
	if g.traits.Room > 0 {
		room = g.freeRoom(now, m)
	}
	suspect := false
	for _, w := range order {
		if !g.eligible(now, m, w) || w.suspect && suspect {
			continue
		}
		fits := min(len(w.waiting), g.traits.Batch-len(batch.Pieces))
		if w.ResultBytes > 0 && !math.IsInf(room, 1) {
			fits = min(fits, int(room/float64(w.ResultBytes)))
		}
		if fits <= 0 || (fits < len(w.waiting) && len(batch.Pieces) > 0 && len(w.waiting) <= g.traits.Batch/2) {
			continue
		}
		for _, p := range w.waiting[:fits] {
			batch.Pieces = append(batch.Pieces, p)
			batch.groups = append(batch.groups, w.ID)
			batch.bytes = append(batch.bytes, w.ResultBytes)
			room -= float64(w.ResultBytes)
		}
		suspect = suspect || w.suspect
		if len(batch.Pieces) >= g.traits.Batch {
			break
		}
	}
	return batch
}

func (g *BatchQueue) start(now time.Time, m *worker, batch PieceBatch) PieceBatch {
	g.lastBatchID++
	batch.ID = g.lastBatchID
	batch.Endpoint = m.endpoint
	batch.startedAt = now
	batch.statedTime = g.callTime(len(batch.Pieces))
	batch.fetchTime = g.fetchTime(batch)
	m.runningCalls++
	m.lastCallAt = now
	g.lastStart = now
	if m.health.Ejected() {
		m.health = m.health.WithProbe()
	}
	for i, p := range batch.Pieces {
		m.usedRoom += batch.bytes[i]
		w := g.groups[batch.groups[i]]
		w.attempts[p.Number]++
		w.runningCalls[p.Number]++
		w.waited = now.Sub(w.addedAt)
		w.fetchedAt = now.Add(batch.fetchTime)
		w.waiting = slices.DeleteFunc(w.waiting, func(q model.Piece) bool { return q.Number == p.Number })
	}
	g.running[batch.ID] = batch
	return batch
}

// Expected returns how long a call may take before its endpoint is given up: what is stated,
// times the slowdown that the endpoint showed.
func (g *BatchQueue) Expected(batch PieceBatch) time.Duration {
	slowdown := 1.0
	if m := g.workers[batch.Endpoint.Incarnation()]; m != nil {
		slowdown = max(1, m.slowdown)
	}
	return time.Duration(float64(batch.statedTime) * slowdown)
}
