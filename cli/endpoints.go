package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/dispatch"
)

func (p *program) endpointsCommand() *ff.Command {
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
				return p.printJSON(endpoints)
			}
			fmt.Fprintf(p.stdout, "%-20s %-16s %-14s %-8s %8s %8s %8s %-10s %6s %s\n", "endpoint", "pool", "domain", "state", "inflight", "calls", "faults", "load", "speed", "contention")
			for _, e := range endpoints {
				state := string(e.Endpoint.State)
				if e.Ejected {
					state = "Ejected"
				}
				fmt.Fprintf(p.stdout, "%-20s %-16s %-14s %-8s %8d %8d %8d %-10s %6s %s\n", e.Endpoint.Name, e.Endpoint.Pool, e.Endpoint.FailureDomain, state,
					e.InFlight, e.Calls, e.Faults, fmt.Sprintf("%d/%d+%d", e.Load.Running, e.Load.Slots, e.Load.Queued), formatRatio(e.Pace.Speed), formatRatio(e.Pace.Contention))
			}
			return nil
		},
	}
}

// formatRatio formats an estimate that is 0 if it is unknown.
func formatRatio(ratio float64) string {
	if ratio == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", ratio)
}
