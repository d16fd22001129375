package cli

import (
	"context"

	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/standin"
)

func (sh *program) standinCommand() *ff.Command {
	fs := ff.NewFlagSet("standin")
	file := fs.StringLong("config", "", "YAML file that says what to stand in for")
	addresses := fs.StringLong("addresses-file", "", "file that gets the platform's address")
	return &ff.Command{
		Name:      "standin",
		Usage:     "basilstall standin --config FILE",
		ShortHelp: "stand in for platform and endpoints, with faults to switch on, for tests",
		Flags:     fs,
		Exec: func(context.Context, []string) error {
			if *file == "" {
				return usageError("--config is missing")
			}
			c, err := standin.ReadConfig(*file)
			if err != nil {
				return err
			}
			s, err := standin.NewStandin(c)
			if err != nil {
				return exitWith(ExitFailed, err)
			}
			defer s.Close()
			if *addresses != "" {
				if err := writeFileAtomic(*addresses, s.Address()+"\n"); err != nil {
					return exitWith(ExitFailed, err)
				}
			}
			log := sh.logger("info")
			log.Info().Str("Platform", s.Address()).Int("Endpoints", len(s.Endpoints())).Msg("stand-in started")
			<-sh.signals
			return nil
		},
	}
}
