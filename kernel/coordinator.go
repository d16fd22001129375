package kernel

import (
	"slices"
	"time"
)

// ClaimsAction is what a node should do about the claims row.
type ClaimsAction int

// The actions.
const (
	KeepClaims ClaimsAction = iota
	CreateClaims
	ExtendHorizon
	StartEra
)

const (
	// initialFirmHorizon keeps the first era, which has few members, short, and gives a new era some
	// key time at once.
	initialFirmHorizon = 2 * time.Second
	// rankDelay is how long each further node waits for those before it to write.
	rankDelay = 700 * time.Millisecond
)

// Coordinator decides when a node writes the claims row. Any node may write at any time without
// harm; the ranks only keep the fleet's writes few.
type Coordinator struct {
	Self Member
	// Firm is how far ahead of the present the owners of keys are made final.
	FirmHorizon time.Duration
	// Horizon is how far ahead of the present key time is given out.
	Horizon time.Duration
	// Settle is how long the set of live members must have stood before an era starts.
	StabilityTime time.Duration
}

// Decide returns what to do, given the row as last read, the members seen alive and since
// when that set has stood.
func (k Coordinator) Decide(now time.Time, row Claims, alive []Member, stoodSince time.Time) ClaimsAction {
	alive = sortedMembers(alive)
	rank := slices.IndexFunc(alive, func(m Member) bool { return m.ID() == k.Self.ID() })
	if rank < 0 {
		return KeepClaims
	}
	waited := now.Sub(stoodSince) - time.Duration(rank)*rankDelay
	if row.Number == 0 {
		if waited < k.StabilityTime {
			return KeepClaims
		}
		return CreateClaims
	}
	if !sameMembers(row.NewestEra().Members, alive) {
		if waited >= k.StabilityTime && !row.NewestEra().From.After(now.Add(k.Horizon)) {
			return StartEra
		}
		// Members that keep coming and going must not let the key time run out.
		if row.Firm.Sub(now)+time.Duration(rank)*rankDelay < k.FirmHorizon/2 {
			return ExtendHorizon
		}
		return KeepClaims
	}
	left := row.Firm.Sub(now) + time.Duration(rank)*rankDelay
	if left < k.FirmHorizon*2/3 {
		return ExtendHorizon
	}
	return KeepClaims
}

// Next returns the row to write for an action. From is above what was granted; it matters only
// to StartEra.
func (k Coordinator) Next(now time.Time, row Claims, alive []Member, action ClaimsAction, from time.Time, writer string) Claims {
	now = now.Truncate(time.Millisecond)
	firm, horizon := now.Add(k.FirmHorizon), now.Add(k.Horizon)
	switch action {
	case CreateClaims:
		return NewClaims(now, now.Add(min(k.FirmHorizon, initialFirmHorizon)), horizon, alive, writer)
	case StartEra:
		return row.WithEra(alive, from, later(firm, later(from, row.Firm).Add(initialFirmHorizon)), horizon, writer)
	case ExtendHorizon:
		return row.WithHorizon(firm, horizon, writer)
	default:
		return row
	}
}
