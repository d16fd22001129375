package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// NoteRoom takes in how much room an endpoint reports to have free: what is missing beyond the
// results known here belongs to another gatherer, whose place this one took.
func (g *Gathering) NoteRoom(now time.Time, life string, free int64) {
	m := g.makers[life]
	if m == nil {
		return
	}
	m.foreign = max(0, g.traits.Room-free-m.used)
	m.foreignUntil = now.Add(g.traits.Keep)
}

// Maker returns an endpoint by its life.
func (g *Gathering) Maker(life string) (model.Endpoint, bool) {
	m := g.makers[life]
	if m == nil {
		return model.Endpoint{}, false
	}
	return m.endpoint, true
}

// Release takes in that a result is no longer held.
func (g *Gathering) Release(now time.Time, made MadePiece) {
	m := g.makers[made.Maker]
	r, known := g.results[made.Handle]
	delete(g.results, made.Handle)
	switch {
	case m == nil:
	case known:
		m.used -= r.bytes
		g.hold += time.Duration(holdWeight * float64(now.Sub(r.since)-g.hold))
	default:
		m.foreign = max(0, m.foreign-made.Bytes)
	}
}
