package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/config"
	"basilstall.example/basilstall/node"
)

func (sh *program) serveCommand() *ff.Command {
	fs := ff.NewFlagSet("serve")
	options := config.NewOptions()
	options.RegisterFlags(fs)
	sh.nodeConfigFile = fs.StringLong("config", "", "YAML file with the node's settings")
	addresses := fs.StringLong("addresses-file", "", "file that gets the addresses once the node listens")
	return &ff.Command{
		Name:      "serve",
		Usage:     "basilstall serve --config FILE [FLAGS]",
		ShortHelp: "run a node until SIGTERM, which drains it",
		LongHelp:  "SIGTERM drains the node: requests in flight are finished. A second SIGTERM ends it at once.",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			if err := options.Validate(); err != nil {
				return exitWith(ExitUsage, withFileName(*sh.nodeConfigFile, err))
			}
			return sh.serve(ctx, *options, *addresses)
		},
	}
}

func (sh *program) serve(ctx context.Context, options config.Options, addresses string) error {
	n, err := node.NewNode(options, sh.logger(options.LogLevel))
	if err != nil {
		return exitWith(ExitFailed, err)
	}
	if addresses != "" {
		text := fmt.Sprintf("%s\n%s\n%s\n", n.CallersAddress(), n.OperatorsAddress(), n.PeersAddress())
		if err := writeFileAtomic(addresses, text); err != nil {
			n.Close()
			return exitWith(ExitFailed, err)
		}
	}
	<-sh.signals
	drained := make(chan int, 1)
	go func() { drained <- n.Drain(ctx) }()
	select {
	case cut := <-drained:
		if cut > 0 {
			return exitWith(ExitFailed, errors.Errorf("%d requests exceeded the drain limit and were cut", cut))
		}
		return nil
	case <-sh.signals:
		n.Close()
		return exitWith(ExitFailed, errors.New("ended by a second signal while draining"))
	}
}

// writeFileAtomic writes a file so that whoever waits for it never reads a part.
func writeFileAtomic(name, text string) error {
	part := name + ".part"
	if err := os.WriteFile(part, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "cli: unable to write")
	}
	if err := os.Rename(part, name); err != nil {
		return errors.Wrap(err, "cli: unable to write")
	}
	return nil
}

func withFileName(file string, err error) error {
	if file == "" {
		return err
	}
	return errors.Wrap(err, file)
}
