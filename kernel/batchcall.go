package kernel

import (
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

// Next starts the next call and returns it. It returns false if no call is to be made now.
func (q *BatchQueue) Next(now time.Time) (PieceBatch, bool) {
	groups := q.sortedGroups(now)
	if len(groups) == 0 || q.shouldDefer(now, groups) {
		return PieceBatch{}, false
	}
	median := q.medianSlowdown()
	var slow []*worker
	for _, w := range q.availableWorkers(now) {
		if q.isSlow(w, median) {
			slow = append(slow, w)
			continue
		}
		if batch := q.fill(now, w, q.sortedGroupsFor(now, w, groups)); len(batch.Pieces) > 0 {
			return q.start(now, w, batch), true
		}
	}
	for _, w := range slow {
		if batch := q.fillSlow(now, w, q.sortedGroupsFor(now, w, groups)); len(batch.Pieces) > 0 {
			return q.start(now, w, batch), true
		}
	}
	return PieceBatch{}, false
}

// shouldDefer reports whether to delay the next call so that more pieces can join it.
func (q *BatchQueue) shouldDefer(now time.Time, groups []*waitingGroup) bool {
	return q.policy.Uses(SpacedCalls) && now.Sub(q.lastStart) < q.Spacing(now) && q.countWaiting(groups) < q.traits.MaxBatch
}

// Spacing returns the least time between the starts of two calls that are not full.
func (q *BatchQueue) Spacing(now time.Time) time.Duration {
	return time.Duration(spacingRatio * float64(q.callTime(q.traits.MaxBatch/2)) / q.concurrency(now))
}

func (q *BatchQueue) countWaiting(groups []*waitingGroup) int {
	n := 0
	for _, g := range groups {
		n += len(g.waiting)
	}
	return n
}

// fill selects the pieces of a worker's next call. The pieces of a group stay together where they fit.
func (q *BatchQueue) fill(now time.Time, w *worker, groups []*waitingGroup) PieceBatch {
	var batch PieceBatch
	room := math.Inf(1)
	if q.traits.Room > 0 {
		room = q.freeRoom(now, w)
	}
	suspect := false
	for _, g := range groups {
		if !q.eligible(now, w, g) || g.suspect && suspect {
			continue
		}
		fits := min(len(g.waiting), q.traits.MaxBatch-len(batch.Pieces))
		if g.ResultBytes > 0 && !math.IsInf(room, 1) {
			fits = min(fits, int(room/float64(g.ResultBytes)))
		}
		if fits <= 0 || (fits < len(g.waiting) && len(batch.Pieces) > 0 && len(g.waiting) <= q.traits.MaxBatch/2) {
			continue
		}
		for _, p := range g.waiting[:fits] {
			batch.Pieces = append(batch.Pieces, p)
			batch.groups = append(batch.groups, g.ID)
			batch.bytes = append(batch.bytes, g.ResultBytes)
			room -= float64(g.ResultBytes)
		}
		suspect = suspect || g.suspect
		if len(batch.Pieces) >= q.traits.MaxBatch {
			break
		}
	}
	return batch
}

// start records a call to a worker as running, and returns it with its ID and times.
func (q *BatchQueue) start(now time.Time, w *worker, batch PieceBatch) PieceBatch {
	q.lastBatchID++
	batch.ID = q.lastBatchID
	batch.Endpoint = w.endpoint
	batch.startedAt = now
	batch.statedTime = q.callTime(len(batch.Pieces))
	batch.fetchTime = q.fetchTime(batch)
	w.runningCalls++
	w.lastCallAt = now
	q.lastStart = now
	if w.health.Ejected() {
		w.health = w.health.WithProbe()
	}
	for i, p := range batch.Pieces {
		w.usedRoom += batch.bytes[i]
		g := q.groups[batch.groups[i]]
		q.recordServed(now, g, 1)
		g.attempts[p.Number]++
		g.runningCalls[p.Number]++
		g.waited = now.Sub(g.addedAt)
		g.fetchedAt = now.Add(batch.fetchTime)
		g.waiting = slices.DeleteFunc(g.waiting, func(other model.Piece) bool { return other.Number == p.Number })
	}
	q.running[batch.ID] = batch
	return batch
}

// Expected returns how long a call is expected to take: the stated duration times the slowdown of its endpoint,
// where that is above 1.
func (q *BatchQueue) Expected(batch PieceBatch) time.Duration {
	slowdown := 1.0
	if w := q.workers[batch.Endpoint.Incarnation()]; w != nil {
		slowdown = max(1, w.slowdown)
	}
	return time.Duration(float64(batch.statedTime) * slowdown)
}
