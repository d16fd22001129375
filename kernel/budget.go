package kernel

import (
	"time"
)

const (
	// timeoutFactor is how far above the 99th percentile a progress timeout lies.
	timeoutFactor      = 3
	minProgressTimeout = 100 * time.Millisecond
	// typicalStage is assumed of a pool that has not answered yet.
	typicalStage = 20 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// StageEstimate is what a node expects of one stage of a request.
type StageEstimate struct {
	// Median is the expected service time of this call; zero if unknown.
	Median time.Duration
	// Long is a service time that few calls exceed: a call that has less time left is not
	// worth its start. Zero if unknown.
	Tail time.Duration
	// QueuedCost is the work waiting before this request, in seconds of an endpoint.
	QueuedCost float64
	// Places is how many calls the pool may have in flight.
	MaxInFlight float64
}

// Cost returns the expected work in seconds of an endpoint.
func (e StageEstimate) Cost() float64 {
	return e.service().Seconds()
}

// Latest returns when the call must start at the latest to be done at the deadline.
func (e StageEstimate) LatestStart(deadline time.Time) time.Time {
	return deadline.Add(-max(e.Tail, e.Median))
}

// Expected returns how long the stage should take, wait included.
func (e StageEstimate) Expected() time.Duration {
	return e.wait() + e.service()
}

func (e StageEstimate) wait() time.Duration {
	if e.MaxInFlight <= 0 || e.QueuedCost <= 0 {
		return 0
	}
	return time.Duration(e.QueuedCost / e.MaxInFlight * float64(time.Second))
}

func (e StageEstimate) service() time.Duration {
	if e.Median <= 0 {
		return typicalStage
	}
	return e.Median
}

// CanFinish tells whether a request should be taken at the door: whether its stages fit
// into what is left of its deadline. If not, it returns when to come back: when the queues
// will have drained enough, as far as can be told.
func CanFinish(now, deadline time.Time, stages []StageEstimate) (bool, time.Duration) {
	var need, wait time.Duration
	for _, e := range stages {
		need += e.Expected()
		wait += e.wait()
	}
	left := deadline.Sub(now)
	if need <= left {
		return true, 0
	}
	return false, ClampRetryAfter(min(need-left, wait))
}

// ClampRetryAfter brings a time to come back within what callers are told.
func ClampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// StageDeadline returns when a stage must be done for the later ones to fit in, by their
// medians.
func StageDeadline(deadline time.Time, later []StageEstimate) time.Time {
	for _, e := range later {
		deadline = deadline.Add(-e.service())
	}
	return deadline
}

// ProgressTimeout returns how long a call may go without progress, from the quantiles of
// what the pool showed, never past the deadline.
func ProgressTimeout(now, deadline time.Time, p99 time.Duration) time.Duration {
	left := deadline.Sub(now)
	if p99 <= 0 {
		return left
	}
	return min(left, max(minProgressTimeout, timeoutFactor*p99))
}
