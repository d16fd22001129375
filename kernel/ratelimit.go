package kernel

import "time"

const (
	// MaxHoldersAsked is the maximum number of nodes asked for one request, of those that hold the customer's rate.
	// Each costs a round trip, and one node may have used up its part while others have not.
	MaxHoldersAsked = 3
	// The pause after a request that no node has counted lies between these two.
	minAskPause = 20 * time.Millisecond
	maxAskPause = time.Second
	// burstSeconds is the burst of a customer, as the time in which its rate admits as many requests.
	burstSeconds = 1.0
)

// RateHolders returns the nodes that hold parts of a customer's fleet-wide rate; nodes with the same membership view
// get the same result. The load balancer usually spreads a customer's requests over the nodes, so each node holds one part
// and decides alone while it lasts, if it is at least one request a second. A smaller rate is held by fewer nodes, which the
// others ask: otherwise the first request at each of many nodes would exceed it.
func RateHolders(rate float64, customer string, nodes []string) []string {
	if rate >= float64(len(nodes)) {
		return nodes
	}
	return topRankedByHash(customer, nodes, max(1, int(rate)))
}

// RateAsker selects the nodes that are asked to count a request against their parts of a customer's rate, because this one
// holds none or has used its own up: the balancer may prefer this node. It is immutable.
type RateAsker struct {
	// holders selects among the other nodes that hold parts.
	holders PermitRequester
	// pausedUntil is until when none is asked, pause the last such time.
	pausedUntil time.Time
	pause       time.Duration
}

// WithHolders returns a copy in which the given nodes hold parts. The node itself may be among them.
func (a RateAsker) WithHolders(holders []string, self string) RateAsker {
	a.holders = a.holders.WithSharers(holders, self)
	return a
}

// Choose returns a node to ask. The draw is uniform between 0 and 1.
func (a RateAsker) Choose(now time.Time, draw float64) (holder string, ok bool) {
	if now.Before(a.pausedUntil) {
		return "", false
	}
	return a.holders.Choose(now, draw)
}

// WithGrant returns a copy after a node has counted a request.
func (a RateAsker) WithGrant() RateAsker {
	a.pause = 0
	return a
}

// WithDenial returns a copy after a node has used up its part for the given time; a wait of 0 means that it did not answer.
func (a RateAsker) WithDenial(now time.Time, holder string, wait time.Duration) RateAsker {
	a.holders = a.holders.WithDenial(now, holder, wait)
	return a
}

// WithRefusal returns a copy after no node that was asked has counted a request. The pause grows with each such request, so
// that the number of questions depends on the rate and not on the number of requests.
func (a RateAsker) WithRefusal(now time.Time) RateAsker {
	a.pause = min(max(minAskPause, 2*a.pause), maxAskPause)
	a.pausedUntil = now.Add(a.pause)
	return a
}

// NextAt returns when the first node may be asked again. It returns false if no other node holds a part.
func (a RateAsker) NextAt() (at time.Time, ok bool) {
	at, ok = a.holders.NextRequestAt()
	if ok && at.Before(a.pausedUntil) {
		at = a.pausedUntil
	}
	return at, ok
}

// RateBucket is a token bucket with the part of a customer's fleet-wide rate that one node holds. It is immutable. An
// idle customer has none.
type RateBucket struct {
	// Tokens never exceeds the burst.
	Tokens float64
	// Rate is the node's part of the rate, in requests a second.
	Rate float64
	// UpdatedAt is when Tokens was computed; zero for a new bucket, which is full.
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
