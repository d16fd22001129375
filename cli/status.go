package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/operator"
)

func (p *program) statusCommand() *ff.Command {
	fs := ff.NewFlagSet("status")
	flags := newOperatorFlags(fs)
	return &ff.Command{
		Name:      "status",
		Usage:     "basilstall status [FLAGS]",
		ShortHelp: "show a node and the fleet as it sees it",
		LongHelp:  "Exits 0 if the node is ready, 1 if it is not, 3 if it was not reached.",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			var s operator.Status
			if err := flags.get(ctx, "/v1/status", &s); err != nil {
				return err
			}
			if *flags.asJSON {
				_ = p.printJSON(s)
			} else {
				p.printStatus(s)
			}
			if !s.Ready {
				return exitWith(ExitFailed, fmt.Errorf("not ready: %s", s.NotReady))
			}
			return nil
		},
	}
}

func (p *program) printStatus(s operator.Status) {
	fmt.Fprintf(p.stdout, "node %s in %s, ready %t, table answers %t\n", s.Node, s.FailureDomain, s.Ready, s.TableAnswers)
	fmt.Fprintf(p.stdout, "settings revision %d, in flight %d, keys remembered %d\n", s.Revision, s.InFlight, s.Keys)
	fmt.Fprintf(p.stdout, "era %d of %s, horizon %s\n", s.Era, strings.Join(s.EraMembers, " "), s.Horizon.Format("15:04:05.000"))
	for _, e := range s.Evacuated {
		fmt.Fprintf(p.stdout, "failure domain %s evacuated since %s\n", e.FailureDomain, e.Since.Format("15:04:05.000"))
	}
	for _, c := range s.Customers {
		fmt.Fprintf(p.stdout, "customer %s keeps %.2f slots busy, %.1f requests/s, %.1f refusals/s\n", c.Customer, c.Busy, c.Requests, c.Refusals)
	}
	for _, m := range s.Members {
		fmt.Fprintf(p.stdout, "  %-16s %-16s %s\n", m.Node, m.FailureDomain, m.State)
	}
}
