// Package metric counts what a node does, one set a node, in the Prometheus text format.
package metric

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"basilstall.example/basilstall/model"
)

// Set holds a node's metrics. A counter exists once it was used, so that idle customers and
// pools cost nothing.
type Set struct {
	set *metrics.Set
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{set: metrics.NewSet()}
}

// Refused counts a refusal that a caller was told.
func (s *Set) CountRefusal(r *model.Refusal) {
	s.count(`basilstall_refusals_total{reason=%q,verdict=%q}`, string(r.Reason), string(r.Verdict))
}

// ObserveRefusalTime notes how long a request had been here when it was refused.
func (s *Set) ObserveRefusalTime(r *model.Refusal, held time.Duration) {
	s.set.GetOrCreateHistogram(fmt.Sprintf(`basilstall_refused_after_seconds{reason=%q}`, string(r.Reason))).Update(held.Seconds())
}

// Retried counts a repeated stage call.
func (s *Set) CountRetry(reason model.Reason, pool string) {
	s.count(`basilstall_retries_total{reason=%q,pool=%q}`, string(reason), pool)
}

// Answered counts a whole answer and its time.
func (s *Set) ObserveAnswer(pipeline string, elapsed time.Duration) {
	s.count(`basilstall_answers_total{pipeline=%q}`, pipeline)
	s.set.GetOrCreateHistogram(fmt.Sprintf(`basilstall_answer_seconds{pipeline=%q}`, pipeline)).Update(elapsed.Seconds())
}

// ObserveWaitError notes which wait a pool's batcher estimated for pieces and how long they waited: by how much they
// waited longer, or less long.
func (s *Set) ObserveWaitError(pool string, estimated, waited time.Duration) {
	side, off := "longer", waited-estimated
	if off < 0 {
		side, off = "shorter", -off
	}
	s.set.GetOrCreateHistogram(fmt.Sprintf(`basilstall_wait_error_seconds{pool=%q,side=%q}`, pool, side)).Update(off.Seconds())
}

// ObserveFeed notes an answer about the store's tables, from the store or another node, with its size in bytes
// and the time since the question.
func (s *Set) ObserveFeed(from string, size int64, elapsed time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`basilstall_feed_bytes_total{from=%q,outcome="taken"}`, from)).AddInt64(size)
	s.set.GetOrCreateHistogram(fmt.Sprintf(`basilstall_feed_seconds{from=%q}`, from)).Update(elapsed.Seconds())
}

// CountAbandonedFeed notes how many bytes of such an answer had come when it was given up.
func (s *Set) CountAbandonedFeed(from string, received int64) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`basilstall_feed_bytes_total{from=%q,outcome="given up"}`, from)).AddInt64(received)
}

// Spent adds to a stage's cost.
func (s *Set) AddStageUsage(customer string, timing model.StageTiming, pool string) {
	s.set.GetOrCreateFloatCounter(fmt.Sprintf(`basilstall_endpoint_seconds_total{pool=%q,customer=%q}`, pool, customer)).Add(timing.Busy.Seconds())
	if timing.Tokens > 0 {
		s.set.GetOrCreateCounter(fmt.Sprintf(`basilstall_tokens_total{pool=%q,customer=%q}`, pool, customer)).Add(timing.Tokens)
	}
}

// Event counts something else by its name.
func (s *Set) CountEvent(name string) {
	s.count(`basilstall_events_total{event=%q}`, name)
}

// Gauge registers a value that is read when the metrics are.
func (s *Set) Gauge(name string, read func() float64) {
	s.set.GetOrCreateGauge("basilstall_"+name, read)
}

// Write writes all metrics and the process's own.
func (s *Set) WritePrometheus(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Count returns the value of an event's counter, for tests and status.
func (s *Set) EventCount(name string) uint64 {
	return s.set.GetOrCreateCounter(fmt.Sprintf(`basilstall_events_total{event=%q}`, name)).Get()
}

func (s *Set) count(format string, args ...any) {
	s.set.GetOrCreateCounter(fmt.Sprintf(format, args...)).Inc()
}
