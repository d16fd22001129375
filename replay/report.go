package replay

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

const (
	// maxLatencyMicros is the maximum of the latency histograms; higher latencies are recorded as this one.
	maxLatencyMicros           = int64(time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
)

type (
	// Report holds the results of a replay.
	Report struct {
		Requests int
		// Attained counts complete answers of the right request within their deadlines.
		Attained int
		// Attainment is Attained divided by Requests.
		Attainment float64
		Refused    int
		// Failed counts requests that received neither an answer nor a refusal.
		Failed int
		// Late counts such answers after the deadline.
		Late int
		// Wrong counts answers that are incomplete or belong to another request.
		Wrong int
		// NotRunUntrue counts requests that were refused with verdict NotRun although an endpoint ran them.
		NotRunUntrue int
		// MostRunsPerKey is the highest number of runs of an idempotency key in the stand-in's journal.
		MostRunsPerKey int
		Pipelines      map[string]*Group
		Customers      map[string]*Group
		// Reasons counts refusals by REASON/VERDICT, failed requests as NoAnswer and late answers as Late.
		Reasons map[string]int
		// Pools is the work of each pool during the replay, as counted by the stand-in.
		Pools map[string]standin.PoolUsage
		// TableReads and TableWrites count the reads and transactions of the table during the replay.
		TableReads  uint64
		TableWrites uint64
		// Goodput is Attained per second of the trace's length.
		Goodput float64
	}

	// Group holds the results of one pipeline or customer.
	Group struct {
		Requests int
		Attained int
		// P50 and P99 are percentiles of the latencies of answers, from the planned send time.
		P50 time.Duration
		P99 time.Duration

		histogram *hdrhistogram.Histogram
	}
)

// Attainment returns the share of attained requests, or 0 if g is nil or empty.
func (g *Group) Attainment() float64 {
	if g == nil || g.Requests == 0 {
		return 0
	}
	return float64(g.Attained) / float64(g.Requests)
}

// BusyPerAnswer returns a pool's endpoint-seconds per attained answer.
func (r Report) BusyPerAnswer(pool string) float64 {
	return r.Pools[pool].BusySeconds / float64(max(1, r.Attained))
}

// TotalBusyPerAnswer returns the endpoint-seconds of all pools per attained answer.
func (r Report) TotalBusyPerAnswer() float64 {
	sum := 0.0
	for pool := range r.Pools {
		sum += r.BusyPerAnswer(pool)
	}
	return sum
}

// TokensPerAnswer returns the number of generated tokens per attained answer.
func (r Report) TokensPerAnswer() float64 {
	tokens := 0
	for _, u := range r.Pools {
		tokens += u.Tokens
	}
	return float64(tokens) / float64(max(1, r.Attained))
}

func newGroup() *Group {
	return &Group{histogram: hdrhistogram.New(1, maxLatencyMicros, histogramSignificantDigits)}
}

func (g *Group) add(s sentRequest) {
	g.Requests++
	if s.attained() {
		g.Attained++
	}
	if s.result.Answer != nil {
		_ = g.histogram.RecordValue(min(maxLatencyMicros, s.latency.Microseconds()))
	}
}

func (g *Group) computeQuantiles() {
	g.P50 = time.Duration(g.histogram.ValueAtQuantile(50)) * time.Microsecond
	g.P99 = time.Duration(g.histogram.ValueAtQuantile(99)) * time.Microsecond
}

func newReport(requests []sentRequest, length time.Duration) Report {
	r := Report{Requests: len(requests), Pipelines: map[string]*Group{}, Customers: map[string]*Group{}, Reasons: map[string]int{}}
	for _, s := range requests {
		groupNamed(r.Pipelines, s.entry.Pipeline).add(s)
		groupNamed(r.Customers, s.entry.Customer).add(s)
		r.count(s)
	}
	for _, groups := range []map[string]*Group{r.Pipelines, r.Customers} {
		for _, g := range groups {
			g.computeQuantiles()
		}
	}
	r.Attainment = float64(r.Attained) / float64(max(1, r.Requests))
	r.Goodput = float64(r.Attained) / length.Seconds()
	return r
}

func groupNamed(groups map[string]*Group, name string) *Group {
	if groups[name] == nil {
		groups[name] = newGroup()
	}
	return groups[name]
}

func (r *Report) count(s sentRequest) {
	switch {
	case s.attained():
		r.Attained++
	case s.err != nil:
		r.Failed++
		r.Reasons["NoAnswer"]++
	case s.result.Refusal != nil:
		r.Refused++
		r.Reasons[string(s.result.Refusal.Reason)+"/"+string(s.result.Refusal.Verdict)]++
	case !s.correct:
		r.Wrong++
	default:
		r.Late++
		r.Reasons["Late"]++
	}
}

// checkJournal sets MostRunsPerKey and NotRunUntrue from the stand-in's journal.
func (r *Report) checkJournal(requests []sentRequest, journal standin.JournalSummary) {
	for _, n := range journal.Keys {
		r.MostRunsPerKey = max(r.MostRunsPerKey, n)
	}
	for _, s := range requests {
		refusal := s.result.Refusal
		if refusal != nil && refusal.Verdict == model.NotRun && journal.Requests[refusal.Request] > 0 {
			r.NotRunUntrue++
		}
	}
}

// Print writes the report as text.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "requests %d, attained %d (%.2f%%), refused %d, late %d, wrong %d, no answer %d, goodput %.1f/s\n",
		r.Requests, r.Attained, 100*r.Attainment, r.Refused, r.Late, r.Wrong, r.Failed, r.Goodput)
	printGroups(w, "pipeline", r.Pipelines)
	printGroups(w, "customer", r.Customers)
	fmt.Fprintf(w, "%-20s %10s %14s %14s %12s\n", "pool", "calls", "busy seconds", "busy/answer", "tokens")
	for _, pool := range sortedNames(r.Pools) {
		u := r.Pools[pool]
		fmt.Fprintf(w, "%-20s %10d %14.2f %14.4f %12d\n", pool, u.Calls, u.BusySeconds, r.BusyPerAnswer(pool), u.Tokens)
	}
	for _, reason := range sortedNames(r.Reasons) {
		fmt.Fprintf(w, "%-40s %d\n", reason, r.Reasons[reason])
	}
	fmt.Fprintf(w, "max runs per key %d, NotRun but ran %d, table reads %d, writes %d\n", r.MostRunsPerKey, r.NotRunUntrue, r.TableReads, r.TableWrites)
}

func printGroups(w io.Writer, title string, groups map[string]*Group) {
	fmt.Fprintf(w, "%-20s %10s %12s %12s %12s\n", title, "requests", "attainment", "p50", "p99")
	for _, name := range sortedNames(groups) {
		g := groups[name]
		fmt.Fprintf(w, "%-20s %10d %11.2f%% %12s %12s\n", name, g.Requests, 100*g.Attainment(), g.P50.Round(100*time.Microsecond), g.P99.Round(100*time.Microsecond))
	}
}
