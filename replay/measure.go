package replay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/standin"
)

// nodeKillDelay is the time from the start of a trace until a node is killed.
const nodeKillDelay = 3 * time.Second

type (
	// Condition is a fault that is present during a measurement.
	Condition struct {
		Name string
		// Apply injects the fault into a set-up. It must not block.
		Apply func(*Setup)
	}

	// Measurement holds the results of a trace at one load and condition under both policies.
	Measurement struct {
		Trace     string
		Load      float64
		Condition string
		// Default is the report of the default policies, Plain of the baseline policies (option Plain).
		Default Report
		Plain   Report
	}
)

// Conditions returns all conditions under which traces are measured.
func Conditions() []Condition {
	return []Condition{
		{Name: "healthy", Apply: func(*Setup) {}},
		{Name: "rerankers ten times slower", Apply: func(s *Setup) {
			s.Standin.InjectFault(standin.Fault{Target: "rerankers", Kind: standin.FaultSlow, Factor: 10})
		}},
		{Name: "a quarter of the runners failing", Apply: func(s *Setup) {
			for i := 1; i <= 3; i++ {
				s.Standin.InjectFault(standin.Fault{Target: fmt.Sprintf("runners/runners-%d", i), Kind: standin.FaultDown})
			}
		}},
		{Name: "a failure domain gone", Apply: func(s *Setup) { s.FailFirstDomain() }},
		{Name: "table down", Apply: func(s *Setup) {
			s.Standin.InjectFault(standin.Fault{Target: "table", Kind: standin.FaultDown})
		}},
		{Name: "a node killed", Apply: func(s *Setup) {
			time.AfterFunc(nodeKillDelay, func() { s.KillNode(len(s.nodes) - 1) })
		}},
	}
}

// ConditionByName returns the condition with a name, or false if there is none.
func ConditionByName(name string) (Condition, bool) {
	for _, c := range Conditions() {
		if c.Name == name {
			return c, true
		}
	}
	return Condition{}, false
}

// Measure replays a trace under both policies concurrently, each on its own set-up.
func Measure(ctx context.Context, trace Trace, load float64, condition Condition) (Measurement, error) {
	m := Measurement{Trace: trace.Header.Sample, Load: load, Condition: condition.Name}
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i, plain := range []bool{false, true} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			setup, err := NewSetup(ctx, trace.Header, plain, zerolog.Nop())
			if err != nil {
				errs[i] = err
				return
			}
			defer setup.Close()
			condition.Apply(setup)
			report := NewReplay(trace.WithLoad(load), setup).Run(ctx)
			if plain {
				m.Plain = report
			} else {
				m.Default = report
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return m, err
		}
	}
	return m, nil
}

// PrintMeasurementsHeader writes the header of a Markdown table of measurements.
func PrintMeasurementsHeader(w io.Writer) {
	fmt.Fprintln(w, "| trace | load | condition | attained | plain | goodput/s | plain | lowest customer attainment | plain | endpoint-seconds per answer | plain | tokens per answer | plain | p99 of call pipelines | plain | duplicate runs |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

// Print writes the measurement as a row of the table.
func (m Measurement) Print(w io.Writer) {
	fmt.Fprintf(w, "| %s | %g | %s | %.1f%% | %.1f%% | %.1f | %.1f | %.1f%% | %.1f%% | %.3f | %.3f | %.1f | %.1f | %s | %s | %d |\n",
		m.Trace, m.Load, m.Condition,
		100*m.Default.Attainment, 100*m.Plain.Attainment,
		m.Default.Goodput, m.Plain.Goodput,
		100*m.Default.minCustomerAttainment(), 100*m.Plain.minCustomerAttainment(),
		m.Default.TotalBusyPerAnswer(), m.Plain.TotalBusyPerAnswer(),
		m.Default.TokensPerAnswer(), m.Plain.TokensPerAnswer(),
		m.Default.callPipelineP99(), m.Plain.callPipelineP99(),
		max(0, m.Default.MostRunsPerKey-1)+max(0, m.Plain.MostRunsPerKey-1))
}

// minCustomerAttainment returns the lowest attainment of all customers.
func (r Report) minCustomerAttainment() float64 {
	lowest := 1.0
	for _, g := range r.Customers {
		lowest = min(lowest, g.Attainment())
	}
	return lowest
}

// callPipelineP99 returns the 99th percentile of the latency of the sample's short pipeline that ends in a call of a
// plain service, or 0 if the trace has none.
func (r Report) callPipelineP99() time.Duration {
	for _, name := range []string{"collection-ticket", "drop-confirmation"} {
		if g := r.Pipelines[name]; g != nil {
			return g.P99.Round(100 * time.Microsecond)
		}
	}
	return 0
}
