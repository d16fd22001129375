package cli

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/operator"
	"basilstall.example/basilstall/table"
)

func (sh *program) settingsCommand() *ff.Command {
	return &ff.Command{
		Name:      "settings",
		Usage:     "basilstall settings get|set|check|history [FLAGS] [PATH]",
		ShortHelp: "read and change the settings",
		Exec: func(context.Context, []string) error {
			return usageError("settings needs get, set, check or history")
		},
		Subcommands: []*ff.Command{
			sh.settingsGet(),
			sh.settingsSet(),
			sh.settingsCheck(),
			sh.settingsHistory(),
		},
	}
}

func (sh *program) settingsGet() *ff.Command {
	fs := ff.NewFlagSet("get")
	flags := newOperatorFlags(fs)
	return &ff.Command{
		Name:      "get",
		Usage:     "basilstall settings get [FLAGS] [PATH]",
		ShortHelp: "print the document at a path, or list what is in force",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return sh.listSettings(ctx, flags)
			}
			var doc model.Document
			if err := flags.get(ctx, "/v1/settings/"+args[0], &doc); err != nil {
				return err
			}
			if *flags.asJSON {
				return sh.printJSON(doc)
			}
			fmt.Fprintf(sh.stdout, "# %s revision %d by %s at %s\n%s", doc.Path, doc.Revision, doc.Author, doc.At.Format("2006-01-02 15:04:05"), doc.YAML)
			return nil
		},
	}
}

func (sh *program) listSettings(ctx context.Context, flags operatorFlags) error {
	var snapshot model.Snapshot
	if err := flags.get(ctx, "/v1/settings", &snapshot); err != nil {
		return err
	}
	if *flags.asJSON {
		return sh.printJSON(snapshot)
	}
	fmt.Fprintf(sh.stdout, "revision %d in force\n", snapshot.Revision)
	for _, doc := range snapshot.Documents {
		fmt.Fprintf(sh.stdout, "%-24s revision %-6d %s\n", doc.Path, doc.Revision, doc.Author)
	}
	return nil
}

func (sh *program) settingsSet() *ff.Command {
	fs := ff.NewFlagSet("set")
	flags := newOperatorFlags(fs)
	base := fs.Uint64Long("base", 0, "revision that the change was made from; 0 for a new document")
	operation := fs.StringLong("operation", "", "number of the change; the same number asks again for the same change")
	author := fs.StringLong("author", os.Getenv("USER"), "who makes the change")
	return &ff.Command{
		Name:      "set",
		Usage:     "basilstall settings set [FLAGS] PATH FILE",
		ShortHelp: "change the document at a path",
		LongHelp:  "Exits 0 if the change was applied, 1 if it was not (another change came first, or the document is bad), 3 if that is unknown: then ask again with the operation number that was printed.",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			path, text, err := readPathAndFile(args)
			if err != nil {
				return err
			}
			change := operator.Change{Base: *base, Operation: *operation, Author: *author, YAML: text}
			if change.Operation == "" {
				change.Operation = uuid.NewString()
			}
			result, err := flags.client().SetDocument(ctx, path, change)
			var response *operator.ResponseError
			if err != nil && !errors.As(err, &response) {
				// The node may have written the change before the answer was lost.
				result = operator.ChangeResult{Outcome: table.Unknown, Operation: change.Operation, Detail: err.Error()}
			} else if err != nil {
				return operatorError(err)
			}
			return sh.printChange(result, text, *flags.asJSON)
		},
	}
}

func (sh *program) printChange(result operator.ChangeResult, wanted string, asJSON bool) error {
	if asJSON {
		_ = sh.printJSON(result)
	}
	switch result.Outcome {
	case table.Applied:
		if !asJSON {
			fmt.Fprintf(sh.stdout, "Applied as revision %d, operation %s\n", result.Revision, result.Operation)
		}
		return nil
	case table.Unknown:
		return exitWith(ExitUnreachable, errors.Errorf("Unknown: %s; ask again with --operation %s", result.Detail, result.Operation))
	}
	if result.Current != nil && !asJSON {
		fmt.Fprintf(sh.stdout, "%s now has revision %d by %s:\n", result.Current.Path, result.Current.Revision, result.Current.Author)
		fmt.Fprint(sh.stdout, diffLines(wanted, result.Current.YAML))
	}
	return exitWith(ExitFailed, errors.Errorf("NotApplied: %s", result.Detail))
}

// difference shows the lines that only one of two documents has.
func diffLines(wanted, current string) string {
	var b strings.Builder
	only := func(sign, text, other string) {
		has := map[string]bool{}
		for line := range strings.Lines(other) {
			has[strings.TrimSpace(line)] = true
		}
		for line := range strings.Lines(text) {
			if !has[strings.TrimSpace(line)] {
				fmt.Fprintf(&b, "%s %s\n", sign, strings.TrimRight(line, "\n"))
			}
		}
	}
	only("+", current, wanted)
	only("-", wanted, current)
	return b.String()
}

func (sh *program) settingsCheck() *ff.Command {
	fs := ff.NewFlagSet("check")
	flags := newOperatorFlags(fs)
	return &ff.Command{
		Name:      "check",
		Usage:     "basilstall settings check [FLAGS] PATH FILE",
		ShortHelp: "tell what is wrong with a document, without setting it",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			path, text, err := readPathAndFile(args)
			if err != nil {
				return err
			}
			if err := flags.client().CheckDocument(ctx, path, []byte(text)); err != nil {
				return operatorError(err)
			}
			fmt.Fprintln(sh.stdout, "good")
			return nil
		},
	}
}

func (sh *program) settingsHistory() *ff.Command {
	fs := ff.NewFlagSet("history")
	flags := newOperatorFlags(fs)
	return &ff.Command{
		Name:      "history",
		Usage:     "basilstall settings history [FLAGS] [PATH]",
		ShortHelp: "list the changes of a path, or all",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			path := ""
			if len(args) > 0 {
				path = args[0]
			}
			var history []model.Document
			if err := flags.get(ctx, operator.HistoryPath(path), &history); err != nil {
				return err
			}
			if *flags.asJSON {
				return sh.printJSON(history)
			}
			for _, doc := range history {
				fmt.Fprintf(sh.stdout, "%6d  %s  %-20s %-12s %s\n", doc.Revision, doc.At.Format("2006-01-02 15:04:05"), doc.Path, doc.Author, doc.Operation)
			}
			return nil
		},
	}
}

func readPathAndFile(args []string) (path, text string, err error) {
	if len(args) != 2 {
		return "", "", usageError("PATH and FILE are needed")
	}
	data, err := os.ReadFile(args[1])
	if err != nil {
		return "", "", exitWith(ExitUsage, err)
	}
	return args[0], string(data), nil
}
