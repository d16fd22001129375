package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// refusedRoomDecay is how long room counts as taken that a worker refused a result for: about as long
	// as results are held. It shrinks meanwhile, so that pieces try the worker again as results lapse.
	refusedRoomDecay = 700 * time.Millisecond
	// handoverCalls is for how many full calls after a take-over another batcher's calls may be
	// under way: the one that it had made, and those for groups that waited there.
	handoverCalls = 3
)

// TakeOver takes in that another node may have batched for the pool until now. Its calls may be under
// way, and what it had made takes room until it lapses. Workers that bound what they take may just have got one of them.
func (q *BatchQueue) TakeOver(now time.Time) {
	full := q.callTime(q.traits.Batch)
	q.sharedUntil = now.Add(handoverCalls * full)
	q.foreignUntil = now.Add(q.traits.Keep + full)
	for _, w := range q.workers {
		if w.lastCallAt.IsZero() {
			w.lastCallAt = now
		}
	}
}

// MayHoldForeignResults tells whether results of another batcher may still take room.
func (q *BatchQueue) MayHoldForeignResults(now time.Time) bool {
	return now.Before(q.foreignUntil)
}

// SetFreeRoom takes in how much room an endpoint reports to have free: what is missing beyond the
// results known here belongs to another batcher, whose place this one took.
func (q *BatchQueue) SetFreeRoom(now time.Time, incarnation string, free int64) {
	if w := q.workers[incarnation]; w != nil {
		w.setForeign(now, q.foreignUntil, q.traits.Room-free-w.usedRoom)
	}
}

// recordNoRoom takes in that a call found no room for a result although there should have been some: all
// that is not used by results known here is taken by others.
func (q *BatchQueue) recordNoRoom(now time.Time, w *worker) {
	taken := q.traits.Room - w.usedRoom
	if !q.policy.Uses(LearnRoomFromRefusals) {
		taken = q.traits.Room
	}
	w.setForeign(now, now.Add(refusedRoomDecay), taken)
}

func (w *worker) setForeign(now, until time.Time, bytes int64) {
	w.foreignBytes = max(0, bytes)
	w.foreignAt = now
	w.foreignUntil = until
}

// foreignRoom is how much room others' results are taken to fill. They lapse one after the other, so
// what was noted shrinks evenly until the last is gone.
func (w *worker) foreignRoom(now time.Time) float64 {
	if w.foreignBytes == 0 || !now.Before(w.foreignUntil) {
		return 0
	}
	remaining := float64(w.foreignUntil.Sub(now)) / float64(w.foreignUntil.Sub(w.foreignAt))
	return float64(w.foreignBytes) * remaining
}

// freeRoom is how much room a worker is taken to have, in bytes; it may be negative.
func (q *BatchQueue) freeRoom(now time.Time, w *worker) float64 {
	return float64(q.traits.Room)*roomMargin - float64(w.usedRoom) - w.foreignRoom(now)
}

// RoomTaken returns which share of the workers' room is taken, between 0 and 1.
func (q *BatchQueue) RoomTaken(now time.Time) float64 {
	total, free := q.roomTotals(now)
	if total <= 0 {
		return 0
	}
	return 1 - free/total
}

// roomTotals returns how much roomTotals the workers have in all, and how much of it is free.
func (q *BatchQueue) roomTotals(now time.Time) (total, free float64) {
	for _, w := range q.workers {
		if w.endpoint.TakesWork() {
			total += float64(q.traits.Room) * roomMargin
			free += max(0, q.freeRoom(now, w))
		}
	}
	return total, free
}

// Worker returns an endpoint by its incarnation.
func (q *BatchQueue) Worker(incarnation string) (model.Endpoint, bool) {
	w := q.workers[incarnation]
	if w == nil {
		return model.Endpoint{}, false
	}
	return w.endpoint, true
}

// Release takes in that a result is no longer held.
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
