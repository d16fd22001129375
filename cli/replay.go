package cli

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/replay"
)

func (sh *shell) replayCommand() *ff.Command {
	fs := ff.NewFlagSet("replay")
	trace := fs.StringLong("trace", "", "the recorded trace, JSON lines")
	outcomes := fs.StringLong("outcomes", "", "YAML file with the outcomes that must be reached")
	load := fs.Float64Long("load", 1, "multiplies the trace's load")
	plain := fs.BoolLong("plain", "run with the baseline policies: round robin, no admission, naive retries")
	asJSON := fs.BoolLong("json", "print one line of JSON")
	return &ff.Command{
		Name:      "replay",
		Usage:     "basilstall replay --trace FILE [--outcomes FILE] [FLAGS]",
		ShortHelp: "send a recorded trace to nodes and stand-ins in this process and check the outcomes",
		LongHelp:  "Exits 0 if all outcomes are reached, 1 if one is missed, 2 if a file is wrong.",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			t, err := replay.ReadTrace(*trace)
			if err != nil {
				return exitWith(ExitUsage, err)
			}
			var wanted replay.Outcomes
			if *outcomes != "" {
				if wanted, err = replay.ReadOutcomes(*outcomes); err != nil {
					return exitWith(ExitUsage, err)
				}
			}
			setup, err := replay.NewSetup(ctx, t.Head, *plain, sh.logger("error"))
			if err != nil {
				return exitWith(ExitFailed, err)
			}
			defer setup.Close()
			report := replay.NewReplay(t.WithLoad(*load), setup).Run(ctx)
			if *asJSON {
				_ = sh.printJSON(report)
			} else {
				report.Print(sh.stdout)
			}
			if *outcomes == "" {
				return nil
			}
			return sh.printMissed(wanted.Missed(report))
		},
	}
}

func (sh *shell) printMissed(missed []string) error {
	if len(missed) == 0 {
		return nil
	}
	for _, m := range missed {
		fmt.Fprintf(sh.stderr, "missed: %s\n", m)
	}
	return exitWith(ExitFailed, errors.Errorf("%d outcomes missed", len(missed)))
}
