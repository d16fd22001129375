package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// refusedRoomDecay is the time for which room counts as taken after a worker had none for a result: about as
	// long as results are held. The amount shrinks to zero over this time, so that the worker is tried again as
	// results expire.
	refusedRoomDecay = 700 * time.Millisecond
	// handoverCalls is the time, in full calls, for which the previous batcher's calls may still be running after
	// a takeover: its running call and those for the groups that were waiting there.
	handoverCalls = 3
)

// TakeOver records that another node may have batched for the pool until now. Its calls may still be running, its
// results occupy room until they expire, and it may just have called the workers whose call rate is limited.
func (q *BatchQueue) TakeOver(now time.Time) {
	full := q.callTime(q.traits.MaxBatch)
	q.sharedUntil = now.Add(handoverCalls * full)
	q.foreignUntil = now.Add(q.traits.ResultTTL + full)
	for _, w := range q.workers {
		if w.lastCallAt.IsZero() {
			w.lastCallAt = now
		}
	}
}

// MayHoldForeignResults reports whether results of another batcher may still occupy room.
func (q *BatchQueue) MayHoldForeignResults(now time.Time) bool {
	return now.Before(q.foreignUntil)
}

// SetFreeRoom records the free room that an endpoint reports, in bytes. Room that is neither free nor taken by
// known results is attributed to the previous batcher.
func (q *BatchQueue) SetFreeRoom(now time.Time, incarnation string, free int64) {
	if w := q.workers[incarnation]; w != nil {
		w.setForeignRoom(now, q.foreignUntil, q.traits.Room-free-w.usedRoom)
	}
}

// recordNoRoom records that a worker had no room for a result although it should have had some. All room that
// known results do not use is attributed to other batchers.
func (q *BatchQueue) recordNoRoom(now time.Time, w *worker) {
	taken := q.traits.Room - w.usedRoom
	if !q.policy.Uses(LearnRoomFromRefusals) {
		taken = q.traits.Room
	}
	w.setForeignRoom(now, now.Add(refusedRoomDecay), taken)
}

// setForeignRoom records how much room foreign results occupy now, and when all of them have expired.
func (w *worker) setForeignRoom(now, until time.Time, bytes int64) {
	w.foreignBytes = max(0, bytes)
	w.foreignAt = now
	w.foreignUntil = until
}

// foreignRoom returns the estimated room taken by results of other batchers, in bytes. They expire one after the
// other, so the recorded amount decreases linearly to zero.
func (w *worker) foreignRoom(now time.Time) float64 {
	if w.foreignBytes == 0 || !now.Before(w.foreignUntil) {
		return 0
	}
	remaining := float64(w.foreignUntil.Sub(now)) / float64(w.foreignUntil.Sub(w.foreignAt))
	return float64(w.foreignBytes) * remaining
}

// freeRoom returns the estimated free room of a worker, in bytes; it may be negative.
func (q *BatchQueue) freeRoom(now time.Time, w *worker) float64 {
	return float64(q.traits.Room)*roomMargin - float64(w.usedRoom) - w.foreignRoom(now)
}

// RoomTaken returns the share of the workers' room that is taken, from 0 to 1.
func (q *BatchQueue) RoomTaken(now time.Time) float64 {
	total, free := q.roomTotals(now)
	if total <= 0 {
		return 0
	}
	return 1 - free/total
}

// roomTotals returns the room of all workers that accept work now and how much of it is free, in bytes.
func (q *BatchQueue) roomTotals(now time.Time) (total, free float64) {
	for _, w := range q.workers {
		if w.endpoint.Accepts(now) {
			total += float64(q.traits.Room) * roomMargin
			free += max(0, q.freeRoom(now, w))
		}
	}
	return total, free
}

// Worker returns the endpoint with the given incarnation, if it is listed.
func (q *BatchQueue) Worker(incarnation string) (model.Endpoint, bool) {
	w := q.workers[incarnation]
	if w == nil {
		return model.Endpoint{}, false
	}
	return w.endpoint, true
}

// Release records that a result no longer occupies room.
func (q *BatchQueue) Release(now time.Time, made ResultRef) {
	w := q.workers[made.Worker]
	r, known := q.results[made.Handle]
	delete(q.results, made.Handle)
	switch {
	case w == nil:
	case known:
		w.usedRoom -= r.bytes
		q.holdTime += time.Duration(holdWeight * float64(now.Sub(r.callStartedAt)-q.holdTime))
	default:
		w.foreignBytes = max(0, w.foreignBytes-made.Bytes)
	}
}
