package kernel

import (
	"time"
)

const (
	// progressTimeoutFactor is the ratio of a progress timeout to the 99th percentile.
	progressTimeoutFactor = 3
	minProgressTimeout    = 100 * time.Millisecond
	// defaultServiceTime is the service time assumed for a pool that has not answered yet.
	defaultServiceTime = 20 * time.Millisecond
	// The Retry-After time that callers get lies between these two.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// StageEstimate is the expected service and queueing time of one stage of a request.
type StageEstimate struct {
	// Median is the expected service time of this call; zero if unknown.
	Median time.Duration
	// Tail is a service time that few calls exceed: a call with less time left is not worth starting. Zero if unknown.
	Tail time.Duration
	// QueuedCost is the work queued before this request, in seconds of one endpoint.
	QueuedCost float64
	// MaxInFlight is how many calls the pool may have in flight.
	MaxInFlight float64
}

// Cost returns the expected work in seconds of one endpoint.
func (e StageEstimate) Cost() float64 {
	return e.serviceTime().Seconds()
}

// LatestStart returns the latest time at which the call may start and still finish before the deadline.
func (e StageEstimate) LatestStart(deadline time.Time) time.Time {
	return deadline.Add(-max(e.Tail, e.Median))
}

// Expected returns the expected duration of the stage, including the wait in the queue.
func (e StageEstimate) Expected() time.Duration {
	return e.queueWait() + e.serviceTime()
}

func (e StageEstimate) queueWait() time.Duration {
	if e.MaxInFlight <= 0 || e.QueuedCost <= 0 {
		return 0
	}
	return time.Duration(e.QueuedCost / e.MaxInFlight * float64(time.Second))
}

func (e StageEstimate) serviceTime() time.Duration {
	if e.Median <= 0 {
		return defaultServiceTime
	}
	return e.Median
}

// CanFinish reports whether the stages of a request are expected to finish before its deadline. If not, it returns the
// Retry-After time: an estimate of when the queues will have drained enough.
func CanFinish(now, deadline time.Time, stages []StageEstimate) (bool, time.Duration) {
	var need, wait time.Duration
	for _, e := range stages {
		need += e.Expected()
		wait += e.queueWait()
	}
	left := deadline.Sub(now)
	if need <= left {
		return true, 0
	}
	return false, ClampRetryAfter(min(need-left, wait))
}

// ClampRetryAfter limits a Retry-After time to the range that callers may get.
func ClampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// StageDeadline returns when a stage has to be done for the later stages to finish before the deadline, by their median
// service times.
func StageDeadline(deadline time.Time, later []StageEstimate) time.Time {
	for _, e := range later {
		deadline = deadline.Add(-e.serviceTime())
	}
	return deadline
}

// ProgressTimeout returns how long a call may go without progress, derived from the 99th percentile of the pool. It
// never exceeds the time left until the deadline.
func ProgressTimeout(now, deadline time.Time, p99 time.Duration) time.Duration {
	left := deadline.Sub(now)
	if p99 <= 0 {
		return left
	}
	return min(left, max(minProgressTimeout, progressTimeoutFactor*p99))
}
