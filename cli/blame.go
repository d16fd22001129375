package cli

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/blame"
)

// defaultBlameWindow is the usual length of the windows that a report counts by.
const defaultBlameWindow = 2 * time.Second

func (sh *program) blameCommand() *ff.Command {
	fs := ff.NewFlagSet("blame")
	window := fs.DurationLong("window", defaultBlameWindow, "how long the windows are that requests are counted by")
	return &ff.Command{
		Name:      "blame",
		Usage:     "basilstall blame [FLAGS] LOG...",
		ShortHelp: "say from nodes' logs what was refused, late or broken off, and what decided it",
		LongHelp:  "Reads the JSON lines of all nodes. Exits 0, or 2 if a file can't be read.",
		Flags:     fs,
		Exec: func(_ context.Context, files []string) error {
			return sh.blame(*window, files)
		},
	}
}

func (sh *program) blame(window time.Duration, files []string) error {
	if len(files) == 0 || window <= 0 {
		return usageError("blame needs the names of log files, and a window above zero")
	}
	report := blame.NewReport(window)
	for _, name := range files {
		if err := readLog(report, name); err != nil {
			return exitWith(ExitUsage, err)
		}
	}
	return report.Write(sh.stdout)
}

func readLog(report *blame.Report, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "unable to open the log")
	}
	defer file.Close()
	return report.Read(file)
}
