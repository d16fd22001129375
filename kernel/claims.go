package kernel

import (
	"slices"
	"time"
)

type (
	// Member is a node process that can own keys. A restarted process is another member.
	Member struct {
		Node        string
		Incarnation string
		// Address is the HOST:PORT at which peers reach the member.
		Address string
	}

	// Era is an interval of key time with the members that own the keys issued in it. Key time is the time of issue
	// that a timed key carries (see Key).
	Era struct {
		Number uint64
		// From is the start of the era, inclusive; the era ends where the next one begins.
		From time.Time
		// Members is sorted by ID and never empty.
		Members []Member
	}

	// Transfer permanently gives all keys of a member that has left to another member.
	Transfer struct {
		From string
		To   Member
	}

	// Claims is the row of the shared table that assigns keys to members. Each key that a member may run has one
	// owner, which only a Transfer changes. For keys issued below Firm this holds because a new era never begins below
	// the Firm that was written before. For keys from Firm up to Horizon it holds because a member runs them only up to
	// the time that all members of the newest era have granted, and a new era begins at or above what at least one of
	// them has granted (see Grants).
	Claims struct {
		// Number grows by one with each write of the row.
		Number uint64
		// Writer is unique to the write, so that a writer that lost the reply can tell by reading whether the write
		// took effect.
		Writer string
		// Firm is the end of the key time whose owners are final. It never decreases.
		Firm time.Time
		// Horizon is the end of the key time that has owners; it is not below Firm. Keys issued from Firm up to
		// Horizon can run under grants while the table is unavailable.
		Horizon time.Time
		// Eras is in order of From; all but the newest are closed.
		Eras []Era
		// Transfers holds at most one entry for each member that left.
		Transfers []Transfer
	}
)

// ID returns the identifier of the member, which is the name of the node and the incarnation of its process.
func (m Member) ID() string {
	return m.Node + "/" + m.Incarnation
}

// NewClaims returns the first row. It has one era, which begins at from.
func NewClaims(from, firm, horizon time.Time, members []Member, writer string) Claims {
	return Claims{
		Number:  1,
		Writer:  writer,
		Firm:    firm,
		Horizon: horizon,
		Eras:    []Era{{Number: 1, From: from, Members: sortedMembers(members)}},
	}
}

// NewestEra returns the era that is open, or the zero Era if there is none.
func (c Claims) NewestEra() Era {
	if len(c.Eras) == 0 {
		return Era{}
	}
	return c.Eras[len(c.Eras)-1]
}

// WithHorizon returns the row with Firm and Horizon moved forward. Neither ever moves back.
func (c Claims) WithHorizon(firm, horizon time.Time, writer string) Claims {
	c.Number++
	c.Writer = writer
	c.Firm = later(c.Firm, firm)
	c.Horizon = later(later(c.Horizon, horizon), c.Firm)
	return c
}

// WithEra returns the row with a new era that starts at from, but not below Firm. From must not be below any key time
// beyond Firm at which keys may have run (see Grants.BeginEra and Grants.Seal).
func (c Claims) WithEra(members []Member, from, firm, horizon time.Time, writer string) Claims {
	era := Era{Number: c.NewestEra().Number + 1, From: later(c.Firm, from), Members: sortedMembers(members)}
	c.Eras = append(slices.Clone(c.Eras), era)
	return c.WithHorizon(firm, horizon, writer)
}

// WithTransfer returns the row in which all keys of the member that left belong to another member.
func (c Claims) WithTransfer(left string, to Member, writer string) Claims {
	c.Transfers = append(slices.Clone(c.Transfers), Transfer{From: left, To: to})
	c.Number++
	c.Writer = writer
	return c
}

// WithoutBefore returns the row without the eras that ended before the cutoff, and without transfers from members
// that neither a kept era nor a kept transfer names.
func (c Claims) WithoutBefore(cutoff time.Time) Claims {
	oldest := 0
	for oldest+1 < len(c.Eras) && c.Eras[oldest+1].From.Before(cutoff) {
		oldest++
	}
	c.Eras = slices.Clone(c.Eras[oldest:])
	needed := map[string]bool{}
	for _, era := range c.Eras {
		for _, m := range era.Members {
			needed[m.ID()] = true
		}
	}
	var kept []Transfer
	for _, transfer := range c.Transfers {
		if needed[transfer.From] {
			kept = append(kept, transfer)
			needed[transfer.To.ID()] = true
		}
	}
	c.Transfers = kept
	return c
}

// EraOf returns the era that contains a key time. It returns false if the time is at or beyond the horizon, or before
// the oldest era.
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

// OwnerOf returns the member that owns a timed key according to this row. It returns false if no era of the row
// contains the time of the key.
func (c Claims) OwnerOf(k Key) (Member, bool) {
	era, ok := c.EraOf(k.Issued)
	if !ok {
		return Member{}, false
	}
	return c.successor(rendezvous(k.ID, era.Members)), true
}

// BeyondHorizon reports whether the key was issued at or after the horizon of this row.
func (c Claims) BeyondHorizon(k Key) bool {
	return !k.Issued.Before(c.Horizon)
}

// successor follows the transfers from a member to the one that holds its keys. A member that left never comes back,
// so the chain ends.
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

// HasLeft reports whether the member has transferred its keys.
func (c Claims) HasLeft(id string) bool {
	return slices.ContainsFunc(c.Transfers, func(t Transfer) bool { return t.From == id })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// rendezvous returns the member with the highest score for a subject (rendezvous hashing).
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
