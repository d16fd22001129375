package cli

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v4"
)

// Version is the release; the build information adds the revision.
const Version = "0.1.0"

type versionInfo struct {
	Version  string
	Revision string
	Go       string
}

func (sh *program) versionCommand() *ff.Command {
	fs := ff.NewFlagSet("version")
	asJSON := fs.BoolLong("json", "print JSON")
	return &ff.Command{
		Name:      "version",
		Usage:     "basilstall version [--json]",
		ShortHelp: "print the version",
		Flags:     fs,
		Exec: func(context.Context, []string) error {
			v := newVersionInfo()
			if *asJSON {
				return sh.printJSON(v)
			}
			fmt.Fprintf(sh.stdout, "basilstall %s %s %s\n", v.Version, v.Revision, v.Go)
			return nil
		},
	}
}

func newVersionInfo() versionInfo {
	v := versionInfo{Version: Version}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Go = build.GoVersion
	for _, s := range build.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
