package kernel

import (
	"time"
)

const (
	limitDecreaseFactor = 0.85
	// limitIncrease is how much a limit grows with each reply while it is in use: a tenth in
	// each round of calls.
	limitIncrease = 0.1
	// minDecreaseInterval is the least time between two cuts.
	minDecreaseInterval = 100 * time.Millisecond
	// congestedQueueShare is how much queue at the endpoints, as a share of their slots, is
	// taken for congestion. Some queue keeps them busy although the nodes' views lag and
	// their choices clash; docs/design/limits.md has the measurement.
	congestedQueueShare = 1.0
	// limitSlotsFactor bounds a limit by the pool's slots: a node may use the whole pool while
	// the others idle.
	limitSlotsFactor = 1.25
	// congestedLatencyFactor is how far above the median the latency may rise before it is taken
	// for congestion, where endpoints do not report their load.
	congestedLatencyFactor = 4
)

type (
	// Limit is one node's limit on calls in flight to a pool. It grows while it is used
	// without congestion and is cut by a share on congestion, at most once in the time in
	// which a cut can show its effect.
	ConcurrencyLimit struct {
		// Value is between Min and Max.
		Value float64
		Min   float64
		Max   float64
		// LastDecrease is when Value was last cut.
		LastDecrease time.Time
	}

	// PoolLoad sums up what the endpoints of a pool last reported.
	PoolLoad struct {
		Queued int
		// Slots is zero where no endpoint reports.
		Slots int
	}
)

// NewConcurrencyLimit returns a limit that starts at a value.
func NewConcurrencyLimit(start, least, most float64) ConcurrencyLimit {
	return ConcurrencyLimit{Value: start, Min: least, Max: most}
}

// SumPoolLoad sums up the fresh reports of a pool's endpoints.
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

// WithReply returns the limit after a reply. The median is the pool's service time.
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

// WithSlots returns the limit bounded by the pool's slots, as far as they are known.
func (l ConcurrencyLimit) WithSlots(slots int) ConcurrencyLimit {
	if slots == 0 {
		return l
	}
	l.Max = max(l.Min, limitSlotsFactor*float64(slots))
	l.Value = min(l.Value, l.Max)
	return l
}

// Allows tells whether one more call may start.
func (l ConcurrencyLimit) Allows(inFlight int) bool {
	return float64(inFlight) < l.Value
}

func (p PoolLoad) congested(latency, median time.Duration) bool {
	if p.Slots > 0 {
		return float64(p.Queued) > congestedQueueShare*float64(p.Slots)
	}
	return median > 0 && latency > congestedLatencyFactor*median
}
