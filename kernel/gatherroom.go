package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// NoteRoom takes in how much room an endpoint reports to have free: what is missing beyond the
// results known here belongs to another gatherer, whose place this one took.
func (g *Gathering) NoteRoom(now time.Time, endpoint string, free int64) {
	m := g.makers[endpoint]
	if m == nil {
		return
	}
	m.foreign = max(0, g.traits.Room-free-m.used)
	m.foreignUntil = now.Add(g.traits.Keep)
}

// Maker returns an endpoint by its name.
func (g *Gathering) Maker(name string) (model.Endpoint, bool) {
	m := g.makers[name]
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
