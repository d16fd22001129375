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
	// firstHorizon keeps the first era, which has few members, short.
	firstHorizon = 2 * time.Second
	// rankDelay is how long each further node waits for those before it to write.
	rankDelay = 700 * time.Millisecond
)

// Keeper decides when a node writes the claims row. Any node may write at any time without
// harm; the ranks only keep the fleet's writes few.
type Keeper struct {
	Self Member
	// Horizon is how far ahead of the present the fleet claims key time.
	Horizon time.Duration
	// Settle is how long the set of live members must have stood before an era starts.
	Settle time.Duration
}

// Decide returns what to do, given the row as last read, the members seen alive and since
// when that set has stood.
func (k Keeper) Decide(now time.Time, row Claims, alive []Member, stoodSince time.Time) ClaimsAction {
	alive = sortedMembers(alive)
	rank := slices.IndexFunc(alive, func(m Member) bool { return m.ID() == k.Self.ID() })
	if rank < 0 {
		return KeepClaims
	}
	waited := now.Sub(stoodSince) - time.Duration(rank)*rankDelay
	if row.Number == 0 {
		if waited < k.Settle {
			return KeepClaims
		}
		return CreateClaims
	}
	if !sameMembers(row.Newest().Members, alive) {
		if waited < k.Settle || row.Newest().From.After(now.Add(k.Horizon)) {
			return KeepClaims
		}
		return StartEra
	}
	left := row.Horizon.Sub(now) + time.Duration(rank)*rankDelay
	if left < k.Horizon*3/4 {
		return ExtendHorizon
	}
	return KeepClaims
}

// Next returns the row to write for an action.
func (k Keeper) Next(now time.Time, row Claims, alive []Member, action ClaimsAction, writer string) Claims {
	now = now.Truncate(time.Millisecond)
	switch action {
	case CreateClaims:
		return NewClaims(now, now.Add(min(k.Horizon, firstHorizon)), alive, writer)
	case StartEra:
		horizon := row.Horizon.Add(min(k.Horizon, firstHorizon))
		if now.Add(k.Horizon).After(horizon) {
			horizon = now.Add(k.Horizon)
		}
		return row.WithEra(alive, horizon, writer)
	case ExtendHorizon:
		return row.WithHorizon(now.Add(k.Horizon), writer)
	default:
		return row
	}
}
