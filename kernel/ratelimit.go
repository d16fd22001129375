package kernel

import "time"

const (
	// rateBurst is how many seconds of its rate a customer may use at once.
	rateBurst = 1.0
)

// RateShare is one node's share of a customer's fleet-wide rate. Nodes exchange nothing for
// it: the balancer spreads a customer's requests over the nodes, so each holds one part in
// as many as there are nodes. A customer that idles has no RateShare at all.
type RateShare struct {
	// Tokens is at most the burst.
	Tokens float64
	// Rate is the node's share, in requests a second.
	Rate float64
	At   time.Time
}

// WithRequest returns the share after one request, whether it is within the customer's
// rate, and when to come back if not.
func (s RateShare) WithRequest(now time.Time, fleetRate float64, nodes int) (RateShare, bool, time.Duration) {
	s.Rate = fleetRate / float64(max(1, nodes))
	if s.At.IsZero() {
		s.Tokens = s.burst()
	} else {
		s.Tokens = s.tokensAt(now)
	}
	s.At = now
	if s.Tokens < 1 {
		wait := time.Duration((1 - s.Tokens) / s.Rate * float64(time.Second))
		return s, false, RetryAfter(wait)
	}
	s.Tokens--
	return s, true, 0
}

// Idle tells whether the share is as good as new, so that it can be dropped.
func (s RateShare) Idle(now time.Time) bool {
	return s.tokensAt(now) >= s.burst()
}

func (s RateShare) burst() float64 {
	return max(1, s.Rate*rateBurst)
}

func (s RateShare) tokensAt(now time.Time) float64 {
	return min(s.burst(), s.Tokens+s.Rate*now.Sub(s.At).Seconds())
}
