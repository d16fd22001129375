package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/model"
)

func (sh *program) explainCommand() *ff.Command {
	fs := ff.NewFlagSet("explain")
	flags := newOperatorFlags(fs)
	return &ff.Command{
		Name:      "explain",
		Usage:     "basilstall explain [FLAGS] REQUEST-ID",
		ShortHelp: "tell what happened to a request and why",
		LongHelp:  "Any node may be asked: it asks the one that ran the request. Records are kept in a bounded ring.",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("one REQUEST-ID is needed")
			}
			var record model.Record
			if err := flags.get(ctx, "/v1/requests/"+args[0], &record); err != nil {
				return err
			}
			if *flags.asJSON {
				return sh.printJSON(record)
			}
			sh.printRecord(record)
			return nil
		},
	}
}

func (sh *program) printRecord(r model.Record) {
	fmt.Fprintf(sh.stdout, "request %s of %s/%s to %s on node %s\n", r.Request, r.Team, r.Customer, r.Pipeline, r.Node)
	fmt.Fprintf(sh.stdout, "began %s, took %s, %s %s %s\n", r.Began.Format("15:04:05.000"), r.Elapsed, r.Verdict, r.Reason, r.Detail)
	if r.Key != "" {
		fmt.Fprintf(sh.stdout, "key %s\n", r.Key)
	}
	if r.Forwarded != "" {
		fmt.Fprintf(sh.stdout, "ran on node %s\n", r.Forwarded)
	}
	for _, s := range r.Stages {
		fmt.Fprintf(sh.stdout, "  %-12s %-18s attempts %d, took %s, endpoints busy %s, tokens %d\n", s.Stage, s.Endpoint, s.Attempts, s.Elapsed, s.Busy, s.Tokens)
	}
}
