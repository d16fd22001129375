package kernel

import (
	"time"
)

const (
	limitCut = 0.85
	// limitGrowth is how much a limit grows with each reply while it is in use: a tenth in
	// each round of calls.
	limitGrowth = 0.1
	// limitCutSoonest is the least time between two cuts.
	limitCutSoonest = 100 * time.Millisecond
	// limitQueueShare is how much queue at the endpoints, as a share of their slots, is
	// taken for congestion. Some queue keeps them busy although the nodes' views lag and
	// their choices clash; docs/design/limits.md has the measurement.
	limitQueueShare = 1.0
	// limitSlotsFactor bounds a limit by the pool's slots: a node may use the whole pool while
	// the others idle.
	limitSlotsFactor = 1.25
	// limitSlowFactor is how far above the median the latency may rise before it is taken
	// for congestion, where endpoints do not report their load.
	limitSlowFactor = 4
)

type (
	// Limit is one node's limit on calls in flight to a pool. It grows while it is used
	// without congestion and is cut by a share on congestion, at most once in the time in
	// which a cut can show its effect.
	Limit struct {
		// Value is between Min and Max.
		Value float64
		Min   float64
		Max   float64
		// LastCut is when Value was last cut.
		LastCut time.Time
	}

	// PoolLoad sums up what the endpoints of a pool last reported.
	PoolLoad struct {
		Queued int
		// Slots is zero where no endpoint reports.
		Slots int
	}
)

// NewLimit returns a limit that starts at a value.
func NewLimit(start, least, most float64) Limit {
	return Limit{Value: start, Min: least, Max: most}
}

// PoolLoadOf sums up the fresh reports of a pool's endpoints.
func PoolLoadOf(now time.Time, reports []Candidate) PoolLoad {
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
func (l Limit) WithReply(now time.Time, latency, median time.Duration, load PoolLoad, inFlight int) Limit {
	if load.congested(latency, median) {
		return l.WithCut(now, median)
	}
	if float64(inFlight) < l.Value/2 {
		return l
	}
	l.Value = min(l.Max, l.Value+limitGrowth)
	return l
}

// WithCut returns the limit after a sign of congestion.
func (l Limit) WithCut(now time.Time, median time.Duration) Limit {
	if now.Sub(l.LastCut) < max(limitCutSoonest, median) {
		return l
	}
	l.LastCut = now
	l.Value = max(l.Min, l.Value*limitCut)
	return l
}

// WithSlots returns the limit bounded by the pool's slots, as far as they are known.
func (l Limit) WithSlots(slots int) Limit {
	if slots == 0 {
		return l
	}
	l.Max = max(l.Min, limitSlotsFactor*float64(slots))
	l.Value = min(l.Value, l.Max)
	return l
}

// Allows tells whether one more call may start.
func (l Limit) Allows(inFlight int) bool {
	return float64(inFlight) < l.Value
}

func (p PoolLoad) congested(latency, median time.Duration) bool {
	if p.Slots > 0 {
		return float64(p.Queued) > limitQueueShare*float64(p.Slots)
	}
	return median > 0 && latency > limitSlowFactor*median
}
