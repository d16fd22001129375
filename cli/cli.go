// Package cli implements the command line, with one file for each command.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/rs/zerolog"

	"basilstall.example/basilstall/config"
	"basilstall.example/basilstall/yamldoc"
)

// The exit codes.
const (
	ExitOK = 0
	// ExitFailed: the command ran and failed: a refusal, a conflicting change, or an outcome that a replay did
	// not reach.
	ExitFailed = 1
	// ExitUsage: the command line or a file is invalid; nothing was done.
	ExitUsage = 2
	// ExitUnreachable: the node was not reached, or it is not known whether it carried out the command.
	ExitUnreachable = 3
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, err error) error {
	return &exitError{code: code, err: err}
}

func usageError(format string, args ...any) error {
	return exitWith(ExitUsage, errors.Errorf(format, args...))
}

// program is the state that all commands share.
type program struct {
	stdout io.Writer
	stderr io.Writer
	// nodeConfigFile is the --config file of serve, which ff reads. Other commands read their files themselves.
	nodeConfigFile *string
	// signals receives SIGTERM and SIGINT, and in the edge command also SIGHUP.
	signals chan os.Signal
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	p := &program{stdout: stdout, stderr: stderr, signals: make(chan os.Signal, 2)}
	signal.Notify(p.signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(p.signals)
	root := p.root()
	err := root.ParseAndRun(context.Background(), args,
		ff.WithEnvVarPrefix(config.EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(p.parseNodeConfig),
	)
	return p.exitCode(root, err)
}

func (p *program) root() *ff.Command {
	return &ff.Command{
		Name:      "basilstall",
		Usage:     "basilstall COMMAND [FLAGS]",
		ShortHelp: "serve multi-stage model pipelines",
		Exec: func(context.Context, []string) error {
			return ff.ErrHelp
		},
		Subcommands: []*ff.Command{
			p.serveCommand(),
			p.edgeCommand(),
			p.checkCommand(),
			p.standinCommand(),
			p.demoCommand(),
			p.requestCommand(),
			p.settingsCommand(),
			p.statusCommand(),
			p.endpointsCommand(),
			p.explainCommand(),
			p.blameCommand(),
			p.replayCommand(),
			p.measureCommand(),
			p.versionCommand(),
		},
	}
}

// parseNodeConfig is called by ff for the --config of each command, but parses only that of serve.
func (p *program) parseNodeConfig(r io.Reader, set func(name, value string) error) error {
	if *p.nodeConfigFile == "" {
		return nil
	}
	return config.ParseFile(*p.nodeConfigFile, r, set)
}

func (p *program) exitCode(root *ff.Command, err error) int {
	var exit *exitError
	var document *yamldoc.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ff.ErrHelp):
		selected := root.GetSelected()
		if selected == nil {
			selected = root
		}
		fmt.Fprintf(p.stdout, "%s\n", ffhelp.Command(selected))
		return ExitOK
	case errors.As(err, &document):
		fmt.Fprintf(p.stderr, "basilstall: %s\n", document)
		return ExitUsage
	case errors.As(err, &exit):
		fmt.Fprintf(p.stderr, "basilstall: %s\n", err)
		return exit.code
	default:
		fmt.Fprintf(p.stderr, "basilstall: %s\n", err)
		return ExitUsage
	}
}

// logger returns the logger of a long-running process, which writes one JSON line for each change of state. An unknown
// level stands for info.
func (p *program) logger(level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(p.stderr).Level(parsed).With().Timestamp().Logger()
}

func (p *program) printJSON(value any) error {
	encoder := json.NewEncoder(p.stdout)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}
