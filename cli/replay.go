package cli

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/replay"
)

// replayFlags are the flags of replay.
type replayFlags struct {
	trace     *string
	outcomes  *string
	load      *float64
	condition *string
	plain     *bool
	durable   *bool
	asJSON    *bool
}

func (sh *program) replayCommand() *ff.Command {
	fs := ff.NewFlagSet("replay")
	flags := replayFlags{
		trace:     fs.StringLong("trace", "", "the recorded trace, JSON lines"),
		outcomes:  fs.StringLong("outcomes", "", "YAML file with the outcomes that must be reached"),
		load:      fs.Float64Long("load", 1, "multiplies the trace's load"),
		condition: fs.StringLong("condition", "healthy", "what goes wrong meanwhile, as in the table of measure"),
		plain:     fs.BoolLong("plain", "run with the baseline policies: round robin, no admission, naive retries"),
		durable:   fs.BoolLong("durable", "send keys that the table arbitrates instead of UUIDv7"),
		asJSON:    fs.BoolLong("json", "print one line of JSON"),
	}
	return &ff.Command{
		Name:      "replay",
		Usage:     "basilstall replay --trace FILE [--outcomes FILE] [FLAGS]",
		ShortHelp: "send a recorded trace to nodes and stand-ins in this process and check the outcomes",
		LongHelp:  "Exits 0 if all outcomes are reached, 1 if one is missed, 2 if a file is wrong.",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			return sh.replay(ctx, flags)
		},
	}
}

func (sh *program) replay(ctx context.Context, flags replayFlags) error {
	trace, err := replay.ReadTrace(*flags.trace)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	var wanted replay.Outcomes
	if *flags.outcomes != "" {
		if wanted, err = replay.ReadOutcomes(*flags.outcomes); err != nil {
			return exitWith(ExitUsage, err)
		}
	}
	condition, ok := replay.ConditionByName(*flags.condition)
	if !ok {
		return usageError("unknown condition %q", *flags.condition)
	}
	setup, err := replay.NewSetup(ctx, trace.Header, *flags.plain, sh.logger("fatal"))
	if err != nil {
		return exitWith(ExitFailed, err)
	}
	defer setup.Close()
	condition.Apply(setup)
	run := replay.NewReplay(trace.WithLoad(*flags.load), setup)
	run.Durable = *flags.durable
	report := run.Run(ctx)
	if *flags.asJSON {
		_ = sh.printJSON(report)
	} else {
		report.Print(sh.stdout)
	}
	if *flags.outcomes == "" {
		return nil
	}
	return sh.printMissed(wanted.Missed(report))
}

func (sh *program) printMissed(missed []string) error {
	if len(missed) == 0 {
		return nil
	}
	for _, m := range missed {
		fmt.Fprintf(sh.stderr, "missed: %s\n", m)
	}
	return exitWith(ExitFailed, errors.Errorf("%d outcomes missed", len(missed)))
}
