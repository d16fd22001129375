// Package metric collects the metrics of a node and writes them in the Prometheus text format.
package metric

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
)

// Set holds the metrics of one node. A metric is created on first use, so that idle customers and
// pools take no memory.
type Set struct {
	set *metrics.Set
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{set: metrics.NewSet()}
}

// CountRefusal counts a refusal that was sent to a caller.
func (s *Set) CountRefusal(r *model.Refusal) {
	s.count(`basilstall_refusals_total{reason=%q,verdict=%q}`, string(r.Reason), string(r.Verdict))
}

// ObserveRefusalTime records the time from the arrival of a request to its refusal.
func (s *Set) ObserveRefusalTime(r *model.Refusal, elapsed time.Duration) {
	s.set.GetOrCreateHistogram(fmt.Sprintf(`basilstall_refused_after_seconds{reason=%q}`, string(r.Reason))).Update(elapsed.Seconds())
}

// CountRetry counts a retry of a stage call.
func (s *Set) CountRetry(reason model.Reason, pool string) {
	s.count(`basilstall_retries_total{reason=%q,pool=%q}`, string(reason), pool)
}

// ObserveAnswer counts a complete answer and records its latency.
func (s *Set) ObserveAnswer(pipeline string, elapsed time.Duration) {
	s.count(`basilstall_answers_total{pipeline=%q}`, pipeline)
	s.set.GetOrCreateHistogram(fmt.Sprintf(`basilstall_answer_seconds{pipeline=%q}`, pipeline)).Update(elapsed.Seconds())
}

// ObserveWaitError records by how much the actual wait of pieces was longer or shorter than the wait that the pool's
// batcher had estimated.
func (s *Set) ObserveWaitError(pool string, estimated, waited time.Duration) {
	side, deviation := "longer", waited-estimated
	if deviation < 0 {
		side, deviation = "shorter", -deviation
	}
	s.set.GetOrCreateHistogram(fmt.Sprintf(`basilstall_wait_error_seconds{pool=%q,side=%q}`, pool, side)).Update(deviation.Seconds())
}

// ObserveFeed records a complete answer to a read of the store's tables: its size in bytes and the time since it was
// requested. source is "store" or "node".
func (s *Set) ObserveFeed(source string, size int64, elapsed time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`basilstall_feed_bytes_total{from=%q,outcome="taken"}`, source)).AddInt64(size)
	s.set.GetOrCreateHistogram(fmt.Sprintf(`basilstall_feed_seconds{from=%q}`, source)).Update(elapsed.Seconds())
}

// CountAbandonedFeed counts the bytes that had been received of an answer to a read of the store's tables when the read
// was abandoned.
func (s *Set) CountAbandonedFeed(source string, received int64) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`basilstall_feed_bytes_total{from=%q,outcome="given up"}`, source)).AddInt64(received)
}

// AddStageUsage adds the endpoint time and the tokens of a stage to the usage of a pool and customer.
func (s *Set) AddStageUsage(customer string, timing model.StageTiming, pool string) {
	s.set.GetOrCreateFloatCounter(fmt.Sprintf(`basilstall_endpoint_seconds_total{pool=%q,customer=%q}`, pool, customer)).Add(timing.Busy.Seconds())
	if timing.Tokens > 0 {
		s.set.GetOrCreateCounter(fmt.Sprintf(`basilstall_tokens_total{pool=%q,customer=%q}`, pool, customer)).Add(timing.Tokens)
	}
}

// CountEvent counts an event that has no metric of its own, by its name.
func (s *Set) CountEvent(name string) {
	s.count(`basilstall_events_total{event=%q}`, name)
}

// Gauge registers a gauge whose value is obtained from read each time the metrics are written.
func (s *Set) Gauge(name string, read func() float64) {
	s.set.GetOrCreateGauge("basilstall_"+name, read)
}

// GaugeSlowEndpoints registers the gauge of a pool's slow endpoints, whose number read returns.
func (s *Set) GaugeSlowEndpoints(pool string, read func() int) {
	s.set.GetOrCreateGauge(fmt.Sprintf(`basilstall_slow_endpoints{pool=%q}`, pool), func() float64 { return float64(read()) })
}

// WriteAnswer writes metrics as the body of an HTTP answer with its length. The format has no end of its own, and without a
// length net/http states none for a body over 2 KiB to a client of HTTP/1.0.
func WriteAnswer(w http.ResponseWriter, write func(io.Writer)) error {
	var body bytes.Buffer
	write(&body)
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	if _, err := w.Write(body.Bytes()); err != nil {
		return errors.Wrap(err, "metric: unable to write an answer")
	}
	return nil
}

// WritePrometheus writes all metrics of the set, and those of the process.
func (s *Set) WritePrometheus(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// EventCount returns the value of an event's counter, for tests and status.
func (s *Set) EventCount(name string) uint64 {
	return s.set.GetOrCreateCounter(fmt.Sprintf(`basilstall_events_total{event=%q}`, name)).Get()
}

func (s *Set) count(format string, args ...any) {
	s.set.GetOrCreateCounter(fmt.Sprintf(format, args...)).Inc()
}
