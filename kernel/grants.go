package kernel

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Grants lets a fleet go on with keys while the table is down, without anybody becoming
// irreplaceable for the whole horizon. Each member of the newest era may grant that the keys up
// to some time keep their owners; an owner runs keys beyond Firm only up to what all of them
// have granted. Whoever starts an era starts it above what a member has granted, and that
// member grants no more until the row has changed: so no key that was run under grants can get
// a second owner. No clock is trusted; a member that is lost stops further grants, not safety.
// The value changes in place and is guarded by its owner.
type Grants struct {
	self string
	// era is the number of the era that given and got belong to.
	era uint64
	// given is how far this member itself has granted.
	given time.Time
	// sealed and writing are the numbers of the rows against which another node and this one
	// are writing an era: nothing is granted while the row that this member knows is not
	// newer.
	sealed  uint64
	writing uint64
	// got is how far the others have granted.
	got map[string]time.Time
}

// NewGrants returns the grants of a member that gave and got none.
func NewGrants(self Member) *Grants {
	return &Grants{self: self.ID(), got: map[string]time.Time{}}
}

// Grant extends what this member grants, up to the row's horizon. It refuses where the era is
// not the newest that it knows, where it is not of it, or where an era may be under way.
func (g *Grants) Grant(row Claims, era uint64, until time.Time) (time.Time, bool) {
	newest := row.Newest()
	if newest.Number != era || row.Number <= max(g.sealed, g.writing) || !newest.has(g.self) {
		return time.Time{}, false
	}
	g.enter(era)
	if until.After(row.Horizon) {
		until = row.Horizon
	}
	g.given = later(g.given, until)
	return g.given, true
}

// Take notes what another member has granted.
func (g *Grants) Take(member string, era uint64, until time.Time) {
	if era < g.era {
		return
	}
	g.enter(era)
	g.got[member] = later(g.got[member], until)
}

// Seal stops the grants until a row newer than number is known, for another node that writes
// an era against that row. It returns the key time at or above which that era must start.
func (g *Grants) Seal(row Claims, number uint64) time.Time {
	g.sealed = max(g.sealed, number)
	return g.lowest(row)
}

// BeginEra does the same for an era that this member itself writes.
func (g *Grants) BeginEra(row Claims) time.Time {
	g.writing = row.Number
	return g.lowest(row)
}

// CancelEra lets grants go on after a write of this member's that certainly had no effect.
func (g *Grants) CancelEra() {
	g.writing = 0
}

func (g *Grants) lowest(row Claims) time.Time {
	if g.era != row.Newest().Number {
		return row.Firm
	}
	return later(row.Firm, g.given)
}

// Clone returns an independent copy.
func (g *Grants) Clone() *Grants {
	c := *g
	c.got = maps.Clone(g.got)
	return &c
}

// String shows the state, for logs and tests.
func (g *Grants) String() string {
	text := []byte("era ")
	text = strconv.AppendUint(text, g.era, 10)
	text = append(text, " given "...)
	text = strconv.AppendInt(text, g.given.UnixMilli(), 10)
	text = append(text, " sealed "...)
	text = strconv.AppendUint(text, max(g.sealed, g.writing), 10)
	for _, m := range slices.Sorted(maps.Keys(g.got)) {
		text = append(text, " "+m+" "...)
		text = strconv.AppendInt(text, g.got[m].UnixMilli(), 10)
	}
	return string(text)
}

// Bound returns up to what key time an owner may run keys now.
func (g *Grants) Bound(row Claims) time.Time {
	newest := row.Newest()
	if g.era != newest.Number {
		return row.Firm
	}
	bound := row.Horizon
	granted := 0
	for _, m := range newest.Members {
		if row.Left(m.ID()) {
			continue
		}
		granted++
		until := g.got[m.ID()]
		if m.ID() == g.self {
			until = g.given
		}
		if until.Before(bound) {
			bound = until
		}
	}
	if granted == 0 {
		return row.Firm
	}
	return later(row.Firm, bound)
}

// enter forgets what belongs to an earlier era.
func (g *Grants) enter(era uint64) {
	if g.era == era {
		return
	}
	g.era = era
	g.given = time.Time{}
	g.got = map[string]time.Time{}
}

func (e Era) has(id string) bool {
	for _, m := range e.Members {
		if m.ID() == id {
			return true
		}
	}
	return false
}
