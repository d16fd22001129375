package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/dispatch"
)

func (sh *program) endpointsCommand() *ff.Command {
	fs := ff.NewFlagSet("endpoints")
	flags := newOperatorFlags(fs)
	return &ff.Command{
		Name:      "endpoints",
		Usage:     "basilstall endpoints [FLAGS]",
		ShortHelp: "show the endpoints as a node sees them",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			var endpoints []dispatch.EndpointStatus
			if err := flags.get(ctx, "/v1/endpoints", &endpoints); err != nil {
				return err
			}
			if *flags.asJSON {
				return sh.printJSON(endpoints)
			}
			fmt.Fprintf(sh.stdout, "%-20s %-16s %-14s %-8s %8s %8s %8s %s\n", "endpoint", "pool", "domain", "state", "inflight", "calls", "faults", "load")
			for _, e := range endpoints {
				state := string(e.Endpoint.State)
				if e.Ejected {
					state = "Ejected"
				}
				fmt.Fprintf(sh.stdout, "%-20s %-16s %-14s %-8s %8d %8d %8d %d/%d+%d\n", e.Endpoint.Name, e.Endpoint.Pool, e.Endpoint.FailureDomain, state,
					e.InFlight, e.Calls, e.Faults, e.Load.Running, e.Load.Slots, e.Load.Queued)
			}
			return nil
		},
	}
}
