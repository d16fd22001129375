// Package scenario_test runs scripted scenarios with real processes and sockets: nodes, a stand-in for the platform and
// the endpoints, load, and injected faults.
package scenario_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"basilstall.example/basilstall/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"basilstall": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"standin": cmdStandin,
			"node":    cmdNode,
			"settled": cmdSettled,
			"signal":  cmdSignal,
			"exited":  cmdExited,
			"occupy":  cmdOccupy,
			"fault":   cmdFault,
			"clear":   cmdClear,
			"load":    cmdLoad,
			"join":    cmdJoin,
			"reached": cmdReached,
			"expect":  cmdExpect,
			"await":   cmdAwait,
			"mark":    cmdMark,
			"quiet":   cmdQuiet,
			"change":  cmdChange,
			"holder":  cmdHolder,
			"orders":  cmdOrders,
		},
		RequireUniqueNames: true,
		Setup: func(env *testscript.Env) error {
			if err := copyConfigs(env.WorkDir); err != nil {
				return err
			}
			f := newFleet(env.WorkDir, env.Vars)
			env.Values[fleetKey] = f
			env.Defer(f.close)
			return nil
		},
	})
}

// copyConfigs copies the configurations of the stand-in into the folder of a script.
func copyConfigs(dir string) error {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil {
		return err
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(file)), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}
