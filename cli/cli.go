// Package cli is the command line: one file per command.
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
	// ExitFailed: the command was carried out and its outcome is bad: a refusal, a lost race,
	// a missed outcome.
	ExitFailed = 1
	// ExitUsage: the command line or a file is wrong; nothing was done.
	ExitUsage = 2
	// ExitUnreachable: the node was not reached or its answer is unknown.
	ExitUnreachable = 3
)

// exitError carries an exit code.
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

// shell is what all commands share.
type program struct {
	stdout io.Writer
	stderr io.Writer
	// nodeConfigFile is the node's settings file, which ff reads; other commands read theirs.
	nodeConfigFile *string
	// signals gets SIGTERM and SIGINT.
	signals chan os.Signal
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	sh := &program{stdout: stdout, stderr: stderr, signals: make(chan os.Signal, 2)}
	signal.Notify(sh.signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(sh.signals)
	root := sh.root()
	err := root.ParseAndRun(context.Background(), args,
		ff.WithEnvVarPrefix(config.EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(sh.parseNodeConfig),
	)
	return sh.exitCode(root, err)
}

func (sh *program) root() *ff.Command {
	return &ff.Command{
		Name:      "basilstall",
		Usage:     "basilstall COMMAND [FLAGS]",
		ShortHelp: "serve multi-stage model pipelines",
		Exec: func(context.Context, []string) error {
			return ff.ErrHelp
		},
		Subcommands: []*ff.Command{
			sh.serveCommand(),
			sh.edgeCommand(),
			sh.checkCommand(),
			sh.standinCommand(),
			sh.demoCommand(),
			sh.requestCommand(),
			sh.settingsCommand(),
			sh.statusCommand(),
			sh.endpointsCommand(),
			sh.explainCommand(),
			sh.blameCommand(),
			sh.replayCommand(),
			sh.measureCommand(),
			sh.versionCommand(),
		},
	}
}

// parseNodeConfig is called for each command's --config; only that of serve is for ff to read.
func (sh *program) parseNodeConfig(r io.Reader, set func(name, value string) error) error {
	if *sh.nodeConfigFile == "" {
		return nil
	}
	return config.ParseFile(*sh.nodeConfigFile, r, set)
}

func (sh *program) exitCode(root *ff.Command, err error) int {
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
		fmt.Fprintf(sh.stdout, "%s\n", ffhelp.Command(selected))
		return ExitOK
	case errors.As(err, &document):
		fmt.Fprintf(sh.stderr, "basilstall: %s\n", document)
		return ExitUsage
	case errors.As(err, &exit):
		fmt.Fprintf(sh.stderr, "basilstall: %s\n", err)
		return exit.code
	default:
		fmt.Fprintf(sh.stderr, "basilstall: %s\n", err)
		return ExitUsage
	}
}

// logger returns the log of a process that runs on: one line of JSON a change of state.
func (sh *program) logger(level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(sh.stderr).Level(parsed).With().Timestamp().Logger()
}

func (sh *program) printJSON(value any) error {
	encoder := json.NewEncoder(sh.stdout)
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}
