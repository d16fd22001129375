package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/replay"
)

// measuredLoads are the multiples of a trace's load that are measured.
var measuredLoads = []float64{0.5, 1, 1.5, 3}

func (sh *shell) measureCommand() *ff.Command {
	fs := ff.NewFlagSet("measure")
	quick := fs.BoolLong("quick", "measure the healthy condition at one load only")
	return &ff.Command{
		Name:      "measure",
		Usage:     "basilstall measure [--quick] TRACE...",
		ShortHelp: "replay traces under loads and faults beside the baseline policies and print a table",
		LongHelp:  "Both policies run at the same time, each on nodes and stand-ins of its own. All of it takes about 13 minutes for two traces.",
		Flags:     fs,
		Exec: func(ctx context.Context, files []string) error {
			if len(files) == 0 {
				return usageError("a TRACE is needed")
			}
			loads, conditions := measuredLoads, replay.Conditions()
			if *quick {
				loads, conditions = []float64{1}, conditions[:1]
			}
			replay.PrintMeasurementsHead(sh.stdout)
			for _, file := range files {
				trace, err := replay.ReadTrace(file)
				if err != nil {
					return exitWith(ExitUsage, err)
				}
				if err := sh.measure(ctx, trace, loads, conditions); err != nil {
					return exitWith(ExitFailed, fmt.Errorf("%s: %w", file, err))
				}
			}
			return nil
		},
	}
}

func (sh *shell) measure(ctx context.Context, trace replay.Trace, loads []float64, conditions []replay.Condition) error {
	for _, condition := range conditions {
		for _, load := range loads {
			m, err := replay.Measure(ctx, trace, load, condition)
			if err != nil {
				return err
			}
			m.Print(sh.stdout)
		}
	}
	return nil
}
