package kernel

import (
	"slices"
	"time"
)

const (
	// maxHoldersAsked is how many of the nodes that hold a customer's rate are asked for one request: each costs a round
	// trip, and one may have used up its part while others have not.
	maxHoldersAsked = 3
	// rateBurst is how many seconds of its rate a customer may use at once.
	rateBurst = 1.0
)

// RateHolders returns the nodes that hold a customer's fleet-wide rate, the same for all who know the same nodes. The balancer
// spreads a customer's requests over the nodes, so that each holds one part, and nobody is asked, as long as that is a
// request a second. A smaller rate is held by fewer nodes, which the others ask: the first request at each of many nodes
// would exceed it.
func RateHolders(rate float64, customer string, nodes []string) []string {
	if rate >= float64(len(nodes)) {
		return nodes
	}
	return firstByHash(customer, nodes, max(1, int(rate)))
}

// HoldersToAsk returns which of the nodes that hold a rate are to be asked for one request, in order. A node that holds a part
// goes by that alone: a customer beyond a large rate would else cost questions for each of its requests. The draw is evenly
// between 0 and 1.
func HoldersToAsk(holders []string, self string, draw float64) []string {
	switch {
	case len(holders) == 0:
		return nil
	case slices.Contains(holders, self):
		return []string{self}
	}
	first := min(int(draw*float64(len(holders))), len(holders)-1)
	ask := slices.Concat(holders[first:], holders[:first])
	return ask[:min(maxHoldersAsked, len(ask))]
}

// RateBucket is the part of a customer's fleet-wide rate that one of several nodes holds. A customer that idles has no
// RateBucket at all.
type RateBucket struct {
	// Tokens is at most the burst.
	Tokens float64
	// Rate is the node's share, in requests a second.
	Rate float64
	At   time.Time
}

// Take returns the share after one request, whether it is within the customer's
// rate, and when to come back if not.
func (s RateBucket) Take(now time.Time, fleetRate float64, nodes int) (RateBucket, bool, time.Duration) {
	s.Rate = fleetRate / float64(max(1, nodes))
	if s.At.IsZero() {
		s.Tokens = s.burst()
	} else {
		s.Tokens = s.tokensAt(now)
	}
	s.At = now
	if s.Tokens < 1 {
		wait := time.Duration((1 - s.Tokens) / s.Rate * float64(time.Second))
		return s, false, ClampRetryAfter(wait)
	}
	s.Tokens--
	return s, true, 0
}

// Idle tells whether the share is as good as new, so that it can be dropped.
func (s RateBucket) Full(now time.Time) bool {
	return s.tokensAt(now) >= s.burst()
}

func (s RateBucket) burst() float64 {
	return max(1, s.Rate*rateBurst)
}

func (s RateBucket) tokensAt(now time.Time) float64 {
	return min(s.burst(), s.Tokens+s.Rate*now.Sub(s.At).Seconds())
}
