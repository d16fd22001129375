package kernel

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Grants allows owners to run keys issued beyond Firm while the table is down, without making any single member
// irreplaceable until the horizon. Each member of the newest era can grant that keys issued up to some time keep
// their owners; an owner runs keys beyond Firm only up to the time that all of them have granted. Whoever starts an
// era starts it at or above what one of these members has granted, and that member grants no more until the row has
// changed, so no key that ran under grants can get a second owner. Safety depends on no clock; the loss of a member
// stops further grants but does not affect safety. Grants changes in place and is guarded by its owner.
type Grants struct {
	self string
	// era is the number of the era that granted and received belong to.
	era uint64
	// granted is the end of the key time that this member has granted.
	granted time.Time
	// sealedRow and writingRow are the numbers of the rows to which another node and this one are adding an era.
	// This member grants nothing until it knows a newer row.
	sealedRow  uint64
	writingRow uint64
	// received is the end of the key time that each other member has granted, by member ID.
	received map[string]time.Time
}

// NewGrants returns the state of a member that has granted and received nothing.
func NewGrants(self Member) *Grants {
	return &Grants{self: self.ID(), received: map[string]time.Time{}}
}

// Grant extends what this member grants, at most up to the horizon of the row, and returns the end of what it has
// granted. It returns false if era is not the newest one in the row, if this member is not part of it, or if a new
// era may be under way.
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

// Record stores what another member has granted. Grants for an earlier era are ignored.
func (g *Grants) Record(member string, era uint64, until time.Time) {
	if era < g.era {
		return
	}
	g.enterEra(era)
	g.received[member] = later(g.received[member], until)
}

// Seal stops the grants of this member until it knows a row newer than number, because another node adds an era to the
// row with that number. It returns the earliest key time at which that era may start.
func (g *Grants) Seal(row Claims, number uint64) time.Time {
	g.sealedRow = max(g.sealedRow, number)
	return g.lowestEraStart(row)
}

// BeginEra does the same as Seal for an era that this member itself adds.
func (g *Grants) BeginEra(row Claims) time.Time {
	g.writingRow = row.Number
	return g.lowestEraStart(row)
}

// CancelEra resumes grants after a write by this member that certainly had no effect.
func (g *Grants) CancelEra() {
	g.writingRow = 0
}

// lowestEraStart returns the earliest key time at which an era that is added to the row may start.
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

// String returns the state as text, for logs and tests.
func (g *Grants) String() string {
	text := []byte("era ")
	text = strconv.AppendUint(text, g.era, 10)
	text = append(text, " granted "...)
	text = strconv.AppendInt(text, g.granted.UnixMilli(), 10)
	text = append(text, " sealed "...)
	text = strconv.AppendUint(text, max(g.sealedRow, g.writingRow), 10)
	for _, m := range slices.Sorted(maps.Keys(g.received)) {
		text = append(text, " "+m+" "...)
		text = strconv.AppendInt(text, g.received[m].UnixMilli(), 10)
	}
	return string(text)
}

// Bound returns the end of the key time up to which an owner may run keys now.
func (g *Grants) Bound(row Claims) time.Time {
	newest := row.NewestEra()
	if g.era != newest.Number {
		return row.Firm
	}
	bound := row.Horizon
	owners := 0
	for _, m := range newest.Members {
		if row.HasLeft(m.ID()) {
			continue
		}
		owners++
		until := g.received[m.ID()]
		if m.ID() == g.self {
			until = g.granted
		}
		if until.Before(bound) {
			bound = until
		}
	}
	if owners == 0 {
		return row.Firm
	}
	return later(row.Firm, bound)
}

// enterEra switches to an era and discards the grants that belong to another one.
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
