// Package blame analyzes the JSON logs of nodes. It reports, by time window and route, why requests were refused, late
// or broken off. A pool may be the cause in two ways: pieces, the units of a stage's work, wait too long in its queue,
// or its room, the memory of its endpoints for results, is nearly full (see kernel.BatchQueue).
package blame

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// maxLineBytes bounds the length of a log line. Reading fails at a longer line.
const maxLineBytes = 1 << 20

type (
	// Line is a log line on the end of a request. Durations are in milliseconds.
	Line struct {
		Time  time.Time
		Route string
		// Outcome is "Answered", "Refused" or "BrokenOff"; empty in lines on anything else.
		Outcome    string
		Reason     string
		Message    string
		Late       bool
		RetryAfter float64
		Stages     []Stage
		Estimates  []Estimate
	}

	// Stage is a stage of a request: the estimated wait of its pieces and the actual one, in milliseconds.
	Stage struct {
		Pool     string
		Estimate float64
		Waited   float64
		// Fault is why the pieces were not made; empty if they were.
		Fault string
	}

	// Estimate is an estimate for which a request was refused: the wait at a pool, in milliseconds, and the share of
	// the pool's room that was taken, from 0 to 1.
	Estimate struct {
		Pool      string
		Wait      float64
		RoomTaken float64
	}

	// Report aggregates log lines. It is not safe for concurrent use.
	Report struct {
		window time.Duration
		causes map[cause]int
		pools  map[string]*waitSamples
		// requestLines is the number of lines on the end of a request.
		requestLines int
		// skipped is the number of lines that are not valid JSON.
		skipped int
	}

	cause struct {
		from        time.Time
		route       string
		description string
	}

	// waitSamples holds the estimated and the actual waits of the same groups of pieces at a pool, in milliseconds. A
	// group is the pieces of one stage of one request.
	waitSamples struct {
		estimated []float64
		waited    []float64
	}
)

// NewReport returns an empty report that counts requests by windows of the given length.
func NewReport(window time.Duration) *Report {
	return &Report{window: window, causes: map[cause]int{}, pools: map[string]*waitSamples{}}
}

// Read adds log lines to the report. It ignores any text before the first brace of a line, such as the prefix of a
// log that was collected from several nodes.
func (r *Report) Read(lines io.Reader) error {
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if i := bytes.IndexByte(text, '{'); i >= 0 {
			r.addLine(text[i:])
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "unable to read the log")
	}
	return nil
}

func (r *Report) addLine(text []byte) {
	var line Line
	if err := json.Unmarshal(text, &line); err != nil {
		r.skipped++
		return
	}
	if line.Outcome == "" {
		return
	}
	r.requestLines++
	for _, s := range line.Stages {
		if s.Fault == "" {
			r.poolWaits(s.Pool).add(s)
		}
	}
	if description := line.cause(); description != "" {
		r.causes[cause{from: line.Time.Truncate(r.window), route: line.Route, description: description}]++
	}
}

func (r *Report) poolWaits(name string) *waitSamples {
	if r.pools[name] == nil {
		r.pools[name] = &waitSamples{}
	}
	return r.pools[name]
}

func (w *waitSamples) add(s Stage) {
	w.estimated = append(w.estimated, s.Estimate)
	w.waited = append(w.waited, s.Waited)
}

// cause describes why a request was refused, late or broken off. It is empty if the request was none of these.
func (l Line) cause() string {
	switch {
	case l.Outcome == "Refused" && len(l.Estimates) > 0:
		return l.Reason + ", " + l.longestWait()
	case l.Outcome == "Refused":
		return l.Reason + ", " + l.Message
	case l.Outcome == "BrokenOff":
		return "broken off"
	case l.Late:
		return "late, " + l.slowestPool()
	default:
		return ""
	}
}

// longestWait names the pool with the longest estimated wait. The room of that pool is given as the cause if more than
// 0.9 of it was taken, otherwise the wait.
func (l Line) longestWait() string {
	w := slices.MaxFunc(l.Estimates, func(a, b Estimate) int { return int(a.Wait - b.Wait) })
	if w.RoomTaken > 0.9 {
		return "room of " + w.Pool
	}
	return "wait of " + w.Pool
}

// slowestPool names the pool whose pieces waited longest.
func (l Line) slowestPool() string {
	if len(l.Stages) == 0 {
		return "no stages"
	}
	s := slices.MaxFunc(l.Stages, func(a, b Stage) int { return int(a.Waited - b.Waited) })
	return "pieces in " + s.Pool
}

// Write prints the causes by window, the most frequent first, and the estimated and actual waits at each pool.
func (r *Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "from\troute\trequests\tcause")
	for _, c := range r.sortedCauses() {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", c.from.Format("15:04:05"), orDash(c.route), r.causes[c], c.description)
	}
	fmt.Fprintln(table, "\t\t\t")
	fmt.Fprintln(table, "pool\tgroups\testimated ms (p50, p90)\twaited ms (p50, p90)")
	names := make([]string, 0, len(r.pools))
	for name := range r.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		w := r.pools[name]
		fmt.Fprintf(table, "%s\t%d\t%.0f, %.0f\t%.0f, %.0f\n", name, len(w.estimated),
			quantile(w.estimated, 0.5), quantile(w.estimated, 0.9), quantile(w.waited, 0.5), quantile(w.waited, 0.9))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "unable to write the report")
	}
	if _, err := fmt.Fprintf(out, "\n%d lines on ended requests; %d lines skipped (not valid JSON)\n", r.requestLines, r.skipped); err != nil {
		return errors.Wrap(err, "unable to write the report")
	}
	return nil
}

func (r *Report) sortedCauses() []cause {
	out := make([]cause, 0, len(r.causes))
	for c := range r.causes {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b cause) int {
		if c := a.from.Compare(b.from); c != 0 {
			return c
		}
		if r.causes[a] != r.causes[b] {
			return r.causes[b] - r.causes[a]
		}
		return strings.Compare(a.route+a.description, b.route+b.description)
	})
	return out
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
