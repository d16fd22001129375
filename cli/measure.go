package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/replay"
)

// defaultLoads are the multiples of a trace's load that are measured.
var defaultLoads = []float64{0.5, 1, 1.5, 3}

func (sh *program) measureCommand() *ff.Command {
	fs := ff.NewFlagSet("measure")
	only := fs.StringListLong("load", "a multiple of the trace's load, repeatable; 0.5, 1, 1.5 and 3 if not given")
	return &ff.Command{
		Name:      "measure",
		Usage:     "basilstall measure [--load N]... TRACE...",
		ShortHelp: "replay traces under loads and faults beside the baseline policies and print a table",
		LongHelp:  "Both policies run at the same time, each on nodes and stand-ins of its own. All of it takes about 13 minutes for two traces.",
		Flags:     fs,
		Exec: func(ctx context.Context, files []string) error {
			if len(files) == 0 {
				return usageError("a TRACE is needed")
			}
			loads, err := parseLoads(*only)
			if err != nil {
				return err
			}
			replay.PrintMeasurementsHeader(sh.stdout)
			for _, file := range files {
				trace, err := replay.ReadTrace(file)
				if err != nil {
					return exitWith(ExitUsage, err)
				}
				if err := sh.measure(ctx, trace, loads, replay.Conditions()); err != nil {
					return exitWith(ExitFailed, fmt.Errorf("%s: %w", file, err))
				}
			}
			return nil
		},
	}
}

func parseLoads(texts []string) ([]float64, error) {
	if len(texts) == 0 {
		return defaultLoads, nil
	}
	var loads []float64
	for _, text := range texts {
		load, err := strconv.ParseFloat(text, 64)
		if err != nil || load <= 0 {
			return nil, usageError("--load %q is not a number above zero", text)
		}
		loads = append(loads, load)
	}
	return loads, nil
}

func (sh *program) measure(ctx context.Context, trace replay.Trace, loads []float64, conditions []replay.Condition) error {
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
