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
	granted time.Time
	// sealed and writing are the numbers of the rows against which another node and this one
	// are writing an era: nothing is granted while the row that this member knows is not
	// newer.
	sealedRow  uint64
	writingRow uint64
	// got is how far the others have granted.
	received map[string]time.Time
}

// NewGrants returns the grants of a member that gave and got none.
func NewGrants(self Member) *Grants {
	return &Grants{self: self.ID(), received: map[string]time.Time{}}
}

// Grant extends what this member grants, up to the row's horizon. It refuses where the era is
// not the newest that it knows, where it is not of it, or where an era may be under way.
func (g *Grants) Grant(row Claims, era uint64, until time.Time) (time.Time, bool) {
	newest := row.NewestEra()
	if newest.Number != era || row.Number <= max(g.sealedRow, g.writingRow) || !newest.hasMember(g.self) {
		return time.Time{}, false
	}
	g.enterEra(era)
	if until.After(row.Horizon) {
		until = row.Horizon
	}
	g.granted = later(g.granted, until)
	return g.granted, true
}

// Take notes what another member has granted.
func (g *Grants) Record(member string, era uint64, until time.Time) {
	if era < g.era {
		return
	}
	g.enterEra(era)
	g.received[member] = later(g.received[member], until)
}

// Seal stops the grants until a row newer than number is known, for another node that writes
// an era against that row. It returns the key time at or above which that era must start.
func (g *Grants) Seal(row Claims, number uint64) time.Time {
	g.sealedRow = max(g.sealedRow, number)
	return g.lowestEraStart(row)
}

// BeginEra does the same for an era that this member itself writes.
func (g *Grants) BeginEra(row Claims) time.Time {
	g.writingRow = row.Number
	return g.lowestEraStart(row)
}

// CancelEra lets grants go on after a write of this member's that certainly had no effect.
func (g *Grants) CancelEra() {
	g.writingRow = 0
}

func (g *Grants) lowestEraStart(row Claims) time.Time {
	if g.era != row.NewestEra().Number {
		return row.Firm
	}
	return later(row.Firm, g.granted)
}

// Clone returns an independent copy.
func (g *Grants) Clone() *Grants {
	c := *g
	c.received = maps.Clone(g.received)
	return &c
}

// String shows the state, for logs and tests.
func (g *Grants) String() string {
	text := []byte("era ")
	text = strconv.AppendUint(text, g.era, 10)
	text = append(text, " given "...)
	text = strconv.AppendInt(text, g.granted.UnixMilli(), 10)
	text = append(text, " sealed "...)
	text = strconv.AppendUint(text, max(g.sealedRow, g.writingRow), 10)
	for _, m := range slices.Sorted(maps.Keys(g.received)) {
		text = append(text, " "+m+" "...)
		text = strconv.AppendInt(text, g.received[m].UnixMilli(), 10)
	}
	return string(text)
}

// Bound returns up to what key time an owner may run keys now.
func (g *Grants) Bound(row Claims) time.Time {
	newest := row.NewestEra()
	if g.era != newest.Number {
		return row.Firm
	}
	bound := row.Horizon
	granted := 0
	for _, m := range newest.Members {
		if row.HasLeft(m.ID()) {
			continue
		}
		granted++
		until := g.received[m.ID()]
		if m.ID() == g.self {
			until = g.granted
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
func (g *Grants) enterEra(era uint64) {
	if g.era == era {
		return
	}
	g.era = era
	g.granted = time.Time{}
	g.received = map[string]time.Time{}
}

func (e Era) hasMember(id string) bool {
	for _, m := range e.Members {
		if m.ID() == id {
			return true
		}
	}
	return false
}
