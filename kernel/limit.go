package kernel

import (
	"time"
)

const (
	// limitDecreaseFactor multiplies a limit on congestion.
	limitDecreaseFactor = 0.85
	// limitIncrease is added to a limit with each reply while the limit is in use: a tenth of the limit in each
	// round of calls.
	limitIncrease = 0.1
	// minDecreaseInterval is the least time between two decreases.
	minDecreaseInterval = 100 * time.Millisecond
	// congestedQueueShare is the queue at the endpoints, as a share of their slots, above which a pool counts as
	// congested. Some queue keeps the endpoints busy although the nodes' views lag and several nodes may choose the
	// same endpoint; docs/design/limits.md has the measurement.
	congestedQueueShare = 1.0
	// limitSlotsFactor bounds a limit by the pool's slots: one node may use the whole pool while the others are
	// idle.
	limitSlotsFactor = 1.25
	// congestedLatencyFactor is how many times the median the latency must exceed for a pool to count as congested,
	// where endpoints do not report their load.
	congestedLatencyFactor = 4
)

type (
	// ConcurrencyLimit is one node's limit on calls in flight to a pool, with additive increase and multiplicative
	// decrease (AIMD). It grows while it is used without congestion and is decreased on congestion, at most once in
	// the time that a decrease takes to show its effect.
	ConcurrencyLimit struct {
		// Value is between Min and Max.
		Value float64
		Min   float64
		Max   float64
		// LastDecrease is when Value was last decreased.
		LastDecrease time.Time
	}

	// PoolLoad is the sum of the loads that the endpoints of a pool last reported.
	PoolLoad struct {
		Queued int
		// Slots is zero if no endpoint reports its load.
		Slots int
	}
)

// NewConcurrencyLimit returns a limit with its initial value and its bounds.
func NewConcurrencyLimit(initial, lowest, highest float64) ConcurrencyLimit {
	return ConcurrencyLimit{Value: initial, Min: lowest, Max: highest}
}

// SumPoolLoad sums up the recent reports of the endpoints that take work.
func SumPoolLoad(now time.Time, reports []Candidate) PoolLoad {
	var sum PoolLoad
	for _, c := range reports {
		if !c.Endpoint.TakesWork() || now.Sub(c.LoadAt) > loadReportTTL {
			continue
		}
		sum.Queued += c.Load.Queued
		sum.Slots += c.Load.Slots
	}
	return sum
}

// WithReply returns the limit after a reply that took latency. The median is the pool's service time.
func (l ConcurrencyLimit) WithReply(now time.Time, latency, median time.Duration, load PoolLoad, inFlight int) ConcurrencyLimit {
	if load.congested(latency, median) {
		return l.WithDecrease(now, median)
	}
	if float64(inFlight) < l.Value/2 {
		return l
	}
	l.Value = min(l.Max, l.Value+limitIncrease)
	return l
}

// WithDecrease returns the limit after a sign of congestion.
func (l ConcurrencyLimit) WithDecrease(now time.Time, median time.Duration) ConcurrencyLimit {
	if now.Sub(l.LastDecrease) < max(minDecreaseInterval, median) {
		return l
	}
	l.LastDecrease = now
	l.Value = max(l.Min, l.Value*limitDecreaseFactor)
	return l
}

// WithSlots returns the limit bounded by the pool's slots, zero if they are not known.
func (l ConcurrencyLimit) WithSlots(slots int) ConcurrencyLimit {
	if slots == 0 {
		return l
	}
	l.Max = max(l.Min, limitSlotsFactor*float64(slots))
	l.Value = min(l.Value, l.Max)
	return l
}

// Allows reports whether one more call may start.
func (l ConcurrencyLimit) Allows(inFlight int) bool {
	return float64(inFlight) < l.Value
}

func (p PoolLoad) congested(latency, median time.Duration) bool {
	if p.Slots > 0 {
		return float64(p.Queued) > congestedQueueShare*float64(p.Slots)
	}
	return median > 0 && latency > congestedLatencyFactor*median
}
