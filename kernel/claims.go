package kernel

import (
	"slices"
	"time"
)

type (
	// Member is one process that may own keys. A restarted process is another member.
	Member struct {
		Node        string
		Incarnation string
		// Address is where peers reach the member, HOST:PORT.
		Address string
	}

	// Era is an interval of key time with the members that own the keys issued in it.
	Era struct {
		Number uint64
		// From is the first key time of the era; it ends where the next era begins.
		From time.Time
		// Members is sorted by ID and never empty.
		Members []Member
	}

	// Transfer gives all keys of a member that has left for ever to another one.
	Transfer struct {
		From string
		To   Member
	}

	// Claims is the row that the whole fleet agrees on: who owns which keys. Every
	// (key, time) that a member may run has one owner for ever: below Firm, because an era
	// only ever begins at or above the Firm written before; from Firm up to Horizon, because
	// a member runs such keys only as far as all members of the newest era have granted, and
	// whoever starts an era starts it above what at least one of them granted (see Grants).
	Claims struct {
		// Number grows by one with each write of the row.
		Number uint64
		// Writer is unique to the write, so that a lost answer can be resolved by reading.
		Writer string
		// Firm is the end of the key time whose owners are final. It never shrinks.
		Firm time.Time
		// Horizon is the end of the key time that is given out; it is not below Firm. What
		// lies between serves while the table is down.
		Horizon time.Time
		// Eras is in order of From; all but the newest are closed.
		Eras []Era
		// Transfers holds at most one entry for each member that left.
		Transfers []Transfer
	}
)

// ID identifies the member: the node's name and the process's incarnation.
func (m Member) ID() string {
	return m.Node + "/" + m.Incarnation
}

// NewClaims returns the first row: one era, from one point in key time to another.
func NewClaims(from, firm, horizon time.Time, members []Member, writer string) Claims {
	return Claims{
		Number:  1,
		Writer:  writer,
		Firm:    firm,
		Horizon: horizon,
		Eras:    []Era{{Number: 1, From: from, Members: sortedMembers(members)}},
	}
}

// Newest returns the era that is open; the zero era if there is none.
func (c Claims) NewestEra() Era {
	if len(c.Eras) == 0 {
		return Era{}
	}
	return c.Eras[len(c.Eras)-1]
}

// WithHorizon returns the row with Firm and Horizon moved on, never back.
func (c Claims) WithHorizon(firm, horizon time.Time, writer string) Claims {
	c.Number++
	c.Writer = writer
	c.Firm = later(c.Firm, firm)
	c.Horizon = later(later(c.Horizon, horizon), c.Firm)
	return c
}

// WithEra returns the row with a new era. It starts at from, which is above all that was run
// beyond Firm, and not below Firm.
func (c Claims) WithEra(members []Member, from, firm, horizon time.Time, writer string) Claims {
	era := Era{Number: c.NewestEra().Number + 1, From: later(c.Firm, from), Members: sortedMembers(members)}
	c.Eras = append(slices.Clone(c.Eras), era)
	return c.WithHorizon(firm, horizon, writer)
}

// WithTransfer returns the row in which every key of the member that left belongs to another.
func (c Claims) WithTransfer(left string, to Member, writer string) Claims {
	c.Transfers = append(slices.Clone(c.Transfers), Transfer{From: left, To: to})
	c.Number++
	c.Writer = writer
	return c
}

// WithoutBefore returns the row without eras that ended before the cutoff and without
// transfers from members that no kept era names and no transfer leads to.
func (c Claims) WithoutBefore(cutoff time.Time) Claims {
	first := 0
	for first+1 < len(c.Eras) && c.Eras[first+1].From.Before(cutoff) {
		first++
	}
	c.Eras = slices.Clone(c.Eras[first:])
	needed := map[string]bool{}
	for _, era := range c.Eras {
		for _, m := range era.Members {
			needed[m.ID()] = true
		}
	}
	var kept []Transfer
	for _, t := range c.Transfers {
		if needed[t.From] {
			kept = append(kept, t)
			needed[t.To.ID()] = true
		}
	}
	c.Transfers = kept
	return c
}

// EraOf returns the era that holds a key time, if that time is given out.
func (c Claims) EraOf(t time.Time) (Era, bool) {
	if !t.Before(c.Horizon) {
		return Era{}, false
	}
	for _, era := range slices.Backward(c.Eras) {
		if !t.Before(era.From) {
			return era, true
		}
	}
	return Era{}, false
}

// OwnerOf returns the member that owns a timed key, as far as this row tells.
func (c Claims) OwnerOf(k Key) (Member, bool) {
	era, ok := c.EraOf(k.Issued)
	if !ok {
		return Member{}, false
	}
	return c.successor(rendezvous(k.ID, era.Members)), true
}

// Ahead tells whether the key's time is beyond the horizon of this row.
func (c Claims) BeyondHorizon(k Key) bool {
	return !k.Issued.Before(c.Horizon)
}

// heir follows the transfers. A member that left never comes back, so the chain ends.
func (c Claims) successor(m Member) Member {
	for range c.Transfers {
		i := slices.IndexFunc(c.Transfers, func(t Transfer) bool { return t.From == m.ID() })
		if i < 0 {
			return m
		}
		m = c.Transfers[i].To
	}
	return m
}

// Left tells whether the member has given its keys away.
func (c Claims) HasLeft(id string) bool {
	return slices.ContainsFunc(c.Transfers, func(t Transfer) bool { return t.From == id })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func rendezvous(subject string, members []Member) Member {
	var best Member
	var bestScore uint64
	for i, m := range members {
		score := rendezvousScore(subject, m.ID())
		if i == 0 || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

func sortedMembers(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if a.ID() < b.ID() {
			return -1
		}
		if a.ID() > b.ID() {
			return 1
		}
		return 0
	})
	return sorted
}

func sameMembers(a, b []Member) bool {
	return slices.Equal(a, b)
}
