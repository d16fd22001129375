package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/platform"
)

func (p *program) checkCommand() *ff.Command {
	fs := ff.NewFlagSet("check")
	settings := fs.StringLong("settings", "", "settings file of the users' platform")
	routing := fs.StringLong("routing", "", "file with the routing as operators write it into the platform's store")
	return &ff.Command{
		Name:      "check",
		Usage:     "basilstall check [--settings FILE] [--routing FILE]",
		ShortHelp: "say what is wrong with a platform settings file or a routing, before use",
		Flags:     fs,
		Exec: func(context.Context, []string) error {
			if *settings == "" && *routing == "" {
				return usageError("check: nothing to check is given")
			}
			if *settings != "" {
				if err := p.checkSettings(*settings); err != nil {
					return err
				}
			}
			if *routing != "" {
				return p.checkRouting(*routing)
			}
			return nil
		},
	}
}

func (p *program) checkSettings(name string) error {
	s, err := platform.ReadSettings(name)
	if err != nil {
		return exitWith(ExitUsage, withFileName(name, err))
	}
	fmt.Fprintf(p.stdout, "%s: node %s in %s, store at %s, keys trusted for %s, routes for %s\n", name, s.Name, s.FailureDomain, s.StoreAddress, s.MaxRoutingAge, s.MaxRouteAge)
	return nil
}

func (p *program) checkRouting(name string) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	r, err := platform.DecodeRouting(text)
	if err != nil {
		return exitWith(ExitUsage, withFileName(name, err))
	}
	for _, f := range r.Unread.Faults {
		fmt.Fprintf(p.stderr, "%s: %s %s: %s\n", name, f.Part, f.Name, f.Err)
	}
	if len(r.Unread.Faults) > 0 {
		return exitWith(ExitUsage, errors.Errorf("%s: %d parts can't be read", name, len(r.Unread.Faults)))
	}
	fmt.Fprintf(p.stdout, "%s: version %d, %d routes, %d pools, %d customers\n", name, r.Version, len(r.Routes), len(r.Pools), len(r.Customers))
	return nil
}
