package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// Wait estimates how long the pieces of a group that comes now wait until their call starts: the
// work that goes before them, by the time of full batches and by room.
func (g *Gathering) Wait(group PieceGroup) time.Duration {
	makers := g.staying()
	if makers == 0 {
		return lapsedGrace
	}
	ahead := 0
	aheadBytes := int64(len(group.Pieces)) * group.ResultBytes
	for _, w := range g.groups {
		if w.rankedDue().After(group.rankedDue()) {
			continue
		}
		ahead += len(w.waiting)
		aheadBytes += int64(len(w.waiting)) * w.ResultBytes
	}
	full := g.callTime(g.traits.Batch)
	calls := float64(makers * max(1, g.traits.Slots))
	// With all endpoints busy, one comes free after a call's share on average.
	first := float64(full) / (2 * calls)
	if g.free() > 0 {
		first = 0
	}
	bySlots := first + float64(ahead)/float64(max(1, g.traits.Batch))/calls*float64(full)
	return max(time.Duration(bySlots), g.roomWait(aheadBytes))
}

// roomWait estimates how long it takes until so many bytes of results find room: what is not free
// comes free as fast as results were held lately.
func (g *Gathering) roomWait(bytes int64) time.Duration {
	if g.traits.Room <= 0 || bytes == 0 {
		return 0
	}
	total, free := 0.0, 0.0
	for _, m := range g.makers {
		if m.endpoint.State != model.Leaving {
			room := float64(g.traits.Room) * roomMargin
			total += room
			free += max(0, room-float64(m.used))
		}
	}
	missing := float64(bytes) - free
	if missing <= 0 || total == 0 {
		return 0
	}
	return time.Duration(missing / total * float64(g.hold))
}

// backlog is how many full batches wait for each endpoint.
func (g *Gathering) backlog() float64 {
	waiting := 0
	for _, w := range g.groups {
		waiting += len(w.waiting)
	}
	return float64(waiting) / float64(max(1, g.traits.Batch*g.staying()))
}

func (g *Gathering) staying() int {
	n := 0
	for _, m := range g.makers {
		if m.endpoint.State != model.Leaving {
			n++
		}
	}
	return n
}

func (g *Gathering) free() int {
	n := 0
	for _, m := range g.makers {
		if m.endpoint.State != model.Leaving && m.calls < max(1, g.traits.Slots) {
			n++
		}
	}
	return n
}

func (g *Gathering) callTime(pieces int) time.Duration {
	return g.traits.CallTime + time.Duration(min(pieces, g.traits.Batch))*g.traits.PieceTime
}
