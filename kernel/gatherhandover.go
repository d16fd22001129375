package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

type (
	// MakerAccount is what one gatherer knows of a maker and the next one can't see: how much room
	// results and calls under way take there, and how long those calls should still take.
	MakerAccount struct {
		Life string
		Used int64
		Busy time.Duration
	}
)

// HandOver returns the account of the makers for the node that gathers for the pool from now on, and
// ends the groups of which no piece was started yet: they are to be asked of that node. What is under
// way is brought to its end here.
func (g *Gathering) HandOver(now time.Time) ([]MakerAccount, []GroupOutcome) {
	busy := map[string]time.Duration{}
	for _, b := range g.running {
		life := b.Endpoint.Life()
		busy[life] = max(busy[life], b.startedAt.Add(g.Expected(b)).Sub(now))
	}
	var accounts []MakerAccount
	for life, m := range g.makers {
		used := m.used + int64(m.foreignRoom(now))
		if used > 0 || busy[life] > 0 {
			accounts = append(accounts, MakerAccount{Life: life, Used: used, Busy: busy[life]})
		}
	}
	g.forgetResults()
	var moved []GroupOutcome
	for id, w := range g.groups {
		if len(w.waiting) == len(w.Pieces) {
			moved = append(moved, w.outcome(model.PieceMoved))
			delete(g.groups, id)
		}
	}
	return accounts, moved
}

// forgetResults drops the account of what was made: the next gatherer keeps it, also for the calls that
// are still under way here.
func (g *Gathering) forgetResults() {
	g.handedOver = true
	g.results = map[string]heldResult{}
	for _, m := range g.makers {
		m.used, m.foreign = 0, 0
	}
	for _, b := range g.running {
		m := g.makers[b.Endpoint.Life()]
		for _, bytes := range b.bytes {
			if m != nil {
				m.used += bytes
			}
		}
	}
}

// Inherit takes in the account of the node that gathered for the pool until now. Makers get no call
// while one of that node is under way, and what it had made counts until it lapses or is released.
func (g *Gathering) Inherit(now time.Time, accounts []MakerAccount) {
	full := g.callTime(g.traits.Batch)
	g.handedOver = false
	g.sharedUntil = now
	g.foreignUntil = now.Add(g.traits.Keep + full)
	for _, a := range accounts {
		m := g.makers[a.Life]
		if m == nil {
			continue
		}
		m.setForeign(now, g.foreignUntil, a.Used)
		if busyUntil := now.Add(a.Busy); a.Busy > 0 && busyUntil.After(m.pausedUntil) {
			m.pausedUntil = busyUntil
			g.sharedUntil = later(g.sharedUntil, busyUntil)
		}
	}
}
