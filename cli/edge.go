package cli

import (
	"context"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"basilstall.example/basilstall/platform"
)

const (
	// logBufferLines is how many lines wait for the log's reader; further ones are dropped and counted.
	logBufferLines  = 4096
	logPollInterval = 100 * time.Millisecond
)

func (sh *program) edgeCommand() *ff.Command {
	fs := ff.NewFlagSet("edge")
	settings := fs.StringLong("settings", "", "the platform's settings file; "+platform.SettingsVariable+" names it otherwise")
	return &ff.Command{
		Name:      "edge",
		Usage:     "basilstall edge [--settings FILE]",
		ShortHelp: "run a node on the users' platform until SIGTERM",
		Flags:     fs,
		Exec: func(context.Context, []string) error {
			path := *settings
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			if path == "" {
				return usageError("edge: no settings file is given")
			}
			return sh.edge(path)
		},
	}
}

func (sh *program) edge(path string) error {
	signal.Notify(sh.signals, syscall.SIGHUP)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldUnit = time.Millisecond
	writer := diode.NewWriter(sh.stdout, logBufferLines, logPollInterval, func(missed int) {
		// The line is written by the diode's own goroutine, in place of those it lost.
		_, _ = sh.stderr.Write([]byte(`{"level":"warn","Lost":` + strconv.Itoa(missed) + `,"message":"log lines dropped"}` + "\n"))
	})
	defer writer.Close()
	log := zerolog.New(writer).With().Timestamp().Logger()
	if err := platform.Run(path, sh.signals, log); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitWith(ExitFailed, err)
	}
	return nil
}
