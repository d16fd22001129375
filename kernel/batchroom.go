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
func (g *BatchQueue) TakeOver(now time.Time) {
	full := g.callTime(g.traits.Batch)
	g.sharedUntil = now.Add(handoverCalls * full)
	g.foreignUntil = now.Add(g.traits.Keep + full)
	for _, m := range g.workers {
		if m.lastCallAt.IsZero() {
			m.lastCallAt = now
		}
	}
}

// Inherits tells whether results of another batcher may still take room.
func (g *BatchQueue) MayHoldForeignResults(now time.Time) bool {
	return now.Before(g.foreignUntil)
}

// SetFreeRoom takes in how much room an endpoint reports to have free: what is missing beyond the
// results known here belongs to another batcher, whose place this one took.
func (g *BatchQueue) SetFreeRoom(now time.Time, incarnation string, free int64) {
	if m := g.workers[incarnation]; m != nil {
		m.setForeign(now, g.foreignUntil, g.traits.Room-free-m.usedRoom)
	}
}

// recordNoRoom takes in that a call found no room for a result although there should have been some: all
// that is not used by results known here is taken by others.
func (g *BatchQueue) recordNoRoom(now time.Time, m *worker) {
	taken := g.traits.Room - m.usedRoom
	if !g.policy.Uses(LearnRoomFromRefusals) {
		taken = g.traits.Room
	}
	m.setForeign(now, now.Add(refusedRoomDecay), taken)
}

func (m *worker) setForeign(now, until time.Time, bytes int64) {
	m.foreignBytes = max(0, bytes)
	m.foreignAt = now
	m.foreignUntil = until
}

// foreignRoom is how much room others' results are taken to fill. They lapse one after the other, so
// what was noted shrinks evenly until the last is gone.
func (m *worker) foreignRoom(now time.Time) float64 {
	if m.foreignBytes == 0 || !now.Before(m.foreignUntil) {
		return 0
	}
	left := float64(m.foreignUntil.Sub(now)) / float64(m.foreignUntil.Sub(m.foreignAt))
	return float64(m.foreignBytes) * left
}

// freeRoom is how much room a worker is taken to have, in bytes; it may be negative.
func (g *BatchQueue) freeRoom(now time.Time, m *worker) float64 {
	return float64(g.traits.Room)*roomMargin - float64(m.usedRoom) - m.foreignRoom(now)
}

// RoomTaken returns which share of the workers' room is taken, between 0 and 1.
func (g *BatchQueue) RoomTaken(now time.Time) float64 {
	total, free := g.roomTotals(now)
	if total <= 0 {
		return 0
	}
	return 1 - free/total
}

// room returns how much room the workers have in all, and how much of it is free.
func (g *BatchQueue) roomTotals(now time.Time) (total, free float64) {
	for _, m := range g.workers {
		if m.endpoint.TakesWork() {
			total += float64(g.traits.Room) * roomMargin
			free += max(0, g.freeRoom(now, m))
		}
	}
	return total, free
}

// Worker returns an endpoint by its incarnation.
func (g *BatchQueue) Worker(incarnation string) (model.Endpoint, bool) {
	m := g.workers[incarnation]
	if m == nil {
		return model.Endpoint{}, false
	}
	return m.endpoint, true
}

// Release takes in that a result is no longer held.
func (g *BatchQueue) Release(now time.Time, made ResultRef) {
	m := g.workers[made.Worker]
	r, known := g.results[made.Handle]
	delete(g.results, made.Handle)
	switch {
	case m == nil:
	case known:
		m.usedRoom -= r.bytes
		g.holdTime += time.Duration(holdWeight * float64(now.Sub(r.callStartedAt)-g.holdTime))
	default:
		m.foreignBytes = max(0, m.foreignBytes-made.Bytes)
	}
}
