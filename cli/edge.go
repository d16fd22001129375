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
	// logBufferLines is how many lines are buffered for a slow reader of the log. Further lines are dropped and counted.
	logBufferLines = 4096
	// logPollInterval is how often the buffer is checked for lines to write.
	logPollInterval = 100 * time.Millisecond
)

func (p *program) edgeCommand() *ff.Command {
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
			return p.edge(path)
		},
	}
}

func (p *program) edge(path string) error {
	signal.Notify(p.signals, syscall.SIGHUP)
	zerolog.TimeFieldFormat = time.RFC3339Nano
	zerolog.DurationFieldUnit = time.Millisecond
	writer := diode.NewWriter(p.stdout, logBufferLines, logPollInterval, func(missed int) {
		// The diode calls this function from its own goroutine, and the line replaces the dropped ones.
		_, _ = p.stderr.Write([]byte(`{"level":"warn","Lost":` + strconv.Itoa(missed) + `,"message":"log lines dropped"}` + "\n"))
	})
	defer writer.Close()
	log := zerolog.New(writer).With().Timestamp().Logger()
	if err := platform.Run(path, p.signals, log); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitWith(ExitFailed, err)
	}
	return nil
}
