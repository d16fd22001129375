package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	limitCut = 0.85
	// limitCutEvery is the least time between two cuts: the effect of one must show before
	// the next.
	limitCutEvery = 200 * time.Millisecond
	// limitQueueShare is how much reported queue, as a share of an endpoint's slots, is
	// taken for congestion.
	limitQueueShare = 0.5
	// limitSlowFactor is how far above the best median the latency may rise before it is
	// taken for congestion.
	limitSlowFactor = 4
)

// Limit is one node's limit on calls in flight to a pool. It grows by one for each full
// round of calls without congestion and is cut by a share on congestion.
type Limit struct {
	// Value is between Min and Max.
	Value float64
	Min   float64
	Max   float64
	// LastCut is when Value was last cut.
	LastCut time.Time
}

// NewLimit returns a limit that starts at a value.
func NewLimit(start, least, most float64) Limit {
	return Limit{Value: start, Min: least, Max: most}
}

// WithReply returns the limit after a reply. The baseline is the pool's median latency.
func (l Limit) WithReply(now time.Time, latency, baseline time.Duration, load model.Load, inFlight int) Limit {
	if congested(latency, baseline, load) {
		return l.WithCut(now)
	}
	if float64(inFlight) < l.Value/2 {
		return l
	}
	l.Value = min(l.Max, l.Value+1/l.Value)
	return l
}

// WithCut returns the limit after a sign of congestion: a refusal, a timeout, a queue.
func (l Limit) WithCut(now time.Time) Limit {
	if now.Sub(l.LastCut) < limitCutEvery {
		return l
	}
	l.LastCut = now
	l.Value = max(l.Min, l.Value*limitCut)
	return l
}

// Allows tells whether one more call may start.
func (l Limit) Allows(inFlight int) bool {
	return float64(inFlight) < l.Value
}

func congested(latency, baseline time.Duration, load model.Load) bool {
	if load.Slots > 0 {
		return float64(load.Queued) > limitQueueShare*float64(load.Slots)
	}
	return baseline > 0 && latency > limitSlowFactor*baseline
}
