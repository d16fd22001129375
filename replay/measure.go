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

// nodeKillDelay is when, after the start of a trace, a node is killed.
const nodeKillDelay = 3 * time.Second

type (
	// Condition is what goes wrong during a measurement.
	Condition struct {
		Name string
		// Begin causes it on a set-up; it must not block.
		Apply func(*Setup)
	}

	// Measurement is one trace under one load and condition, with both policies at once.
	Measurement struct {
		Trace     string
		Load      float64
		Condition string
		Default   Report
		Plain     Report
	}
)

// Conditions are what each measurement is made under.
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

// ConditionByName returns the condition of that name.
func ConditionByName(name string) (Condition, bool) {
	for _, c := range Conditions() {
		if c.Name == name {
			return c, true
		}
	}
	return Condition{}, false
}

// Measure runs a trace with both policies at the same time, each on a set-up of its own.
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

// PrintMeasurementsHeader writes the head of a table in Markdown.
func PrintMeasurementsHeader(w io.Writer) {
	fmt.Fprintln(w, "| trace | load | condition | attained | plain | goodput/s | plain | least customer | plain | endpoint-s an answer | plain | tokens an answer | plain | p99 of the small calls | plain | doubles |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

// Print writes a row of the table.
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

// minCustomerAttainment returns the attainment of the customer that fared worst.
func (r Report) minCustomerAttainment() float64 {
	least := 1.0
	for _, g := range r.Customers {
		least = min(least, g.Attainment())
	}
	return least
}

// callPipelineP99 returns the 99th percentile of the pipelines that only call a plain service.
func (r Report) callPipelineP99() time.Duration {
	for _, name := range []string{"collection-ticket", "drop-confirmation"} {
		if g := r.Pipelines[name]; g != nil {
			return g.P99.Round(100 * time.Microsecond)
		}
	}
	return 0
}
