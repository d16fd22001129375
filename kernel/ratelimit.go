package kernel

import (
	"slices"
	"time"
)

const (
	// maxHoldersAsked is the maximum number of nodes asked for one request, of those that hold the customer's rate.
	// Each costs a round trip, and one node may have used up its part while others have not.
	maxHoldersAsked = 3
	// burstSeconds is the burst that a customer may use at once, in seconds of its rate.
	burstSeconds = 1.0
)

// RateHolders returns the nodes that hold parts of a customer's fleet-wide rate; nodes with the same membership view
// get the same result. The load balancer spreads a customer's requests over the nodes, so each node holds one part and
// decides alone as long as its part is at least one request a second. A smaller rate is held by fewer nodes, which the
// others ask: otherwise the first request at each of many nodes would exceed it.
func RateHolders(rate float64, customer string, nodes []string) []string {
	if rate >= float64(len(nodes)) {
		return nodes
	}
	return topRankedByHash(customer, nodes, max(1, int(rate)))
}

// HoldersToAsk returns the nodes to ask for one request, in order. A node that holds a part of the rate consults only
// that part: otherwise each request of a customer beyond a large rate would cost requests to other nodes. The draw is
// uniform between 0 and 1.
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

// RateBucket is a token bucket with the part of a customer's fleet-wide rate that one node holds. It is immutable. An
// idle customer has none.
type RateBucket struct {
	// Tokens never exceeds the burst.
	Tokens float64
	// Rate is the node's part of the rate, in requests a second.
	Rate      float64
	UpdatedAt time.Time
}

// Take returns the bucket after one request, whether the request is within the customer's rate, and the Retry-After
// time if it is not.
func (b RateBucket) Take(now time.Time, fleetRate float64, nodes int) (RateBucket, bool, time.Duration) {
	b.Rate = fleetRate / float64(max(1, nodes))
	if b.UpdatedAt.IsZero() {
		b.Tokens = b.burst()
	} else {
		b.Tokens = b.tokensAt(now)
	}
	b.UpdatedAt = now
	if b.Tokens < 1 {
		wait := time.Duration((1 - b.Tokens) / b.Rate * float64(time.Second))
		return b, false, ClampRetryAfter(wait)
	}
	b.Tokens--
	return b, true, 0
}

// Full reports whether the bucket is full, so that it can be dropped.
func (b RateBucket) Full(now time.Time) bool {
	return b.tokensAt(now) >= b.burst()
}

func (b RateBucket) burst() float64 {
	return max(1, b.Rate*burstSeconds)
}

func (b RateBucket) tokensAt(now time.Time) float64 {
	return min(b.burst(), b.Tokens+b.Rate*now.Sub(b.UpdatedAt).Seconds())
}
