package kernel

import (
	"slices"
	"time"
)

// ClaimsAction is what a node should do with the claims row.
type ClaimsAction int

// The actions on the claims row.
const (
	// KeepClaims leaves the row as it is.
	KeepClaims ClaimsAction = iota
	// CreateClaims writes the first row.
	CreateClaims
	// ExtendHorizon moves the horizons of the row on.
	ExtendHorizon
	// StartEra adds an era with the members that are alive.
	StartEra
)

const (
	// initialFirmHorizon bounds the firm horizon of the first era, which has few members and is therefore kept
	// short. It is also the least key time below Firm in a new era, so that its members can run keys at once.
	initialFirmHorizon = 2 * time.Second
	// rankDelay is how much longer each node waits than the node ranked before it, so that one of those before it
	// writes first.
	rankDelay = 700 * time.Millisecond
)

// Coordinator decides when a node writes the claims row. Any node may write at any time without harm; the nodes are
// ranked only to keep the writes of the fleet few.
type ClaimsCoordinator struct {
	Self Member
	// FirmHorizon is how far ahead of the present the owners of keys are final.
	FirmHorizon time.Duration
	// Horizon is how far ahead of the present key time, the time of issue of keys, is assigned to owners.
	Horizon time.Duration
	// StabilityTime is how long the set of live members must have been unchanged before an era starts.
	StabilityTime time.Duration
}

// Decide returns the action to take, given the row as last read, the live members, and since when their set has been
// unchanged.
func (c ClaimsCoordinator) Decide(now time.Time, row Claims, alive []Member, stableSince time.Time) ClaimsAction {
	alive = sortedMembers(alive)
	rank := slices.IndexFunc(alive, func(m Member) bool { return m.ID() == c.Self.ID() })
	if rank < 0 {
		return KeepClaims
	}
	waited := now.Sub(stableSince) - time.Duration(rank)*rankDelay
	if row.Number == 0 {
		if waited < c.StabilityTime {
			return KeepClaims
		}
		return CreateClaims
	}
	if !sameMembers(row.NewestEra().Members, alive) {
		if waited >= c.StabilityTime && !row.NewestEra().From.After(now.Add(c.Horizon)) {
			return StartEra
		}
		// The key time must not run out while the set of members keeps changing.
		if row.Firm.Sub(now)+time.Duration(rank)*rankDelay < c.FirmHorizon/2 {
			return ExtendHorizon
		}
		return KeepClaims
	}
	left := row.Firm.Sub(now) + time.Duration(rank)*rankDelay
	if left < c.FirmHorizon*2/3 {
		return ExtendHorizon
	}
	return KeepClaims
}

// Next returns the row to write for an action. A new era starts at from, which is above all that the members were
// granted; other actions ignore from.
func (c ClaimsCoordinator) NextRow(now time.Time, row Claims, alive []Member, action ClaimsAction, from time.Time, writer string) Claims {
	now = now.Truncate(time.Millisecond)
	firm, horizon := now.Add(c.FirmHorizon), now.Add(c.Horizon)
	switch action {
	case CreateClaims:
		return NewClaims(now, now.Add(min(c.FirmHorizon, initialFirmHorizon)), horizon, alive, writer)
	case StartEra:
		return row.WithEra(alive, from, later(firm, later(from, row.Firm).Add(initialFirmHorizon)), horizon, writer)
	case ExtendHorizon:
		return row.WithHorizon(firm, horizon, writer)
	default:
		return row
	}
}
