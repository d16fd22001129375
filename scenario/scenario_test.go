// Package scenario_test runs scripted scenarios with real processes and sockets: a stand-in for
// platform and endpoints, nodes, load, and the failures of the brief.
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
			"fault":   cmdFault,
			"clear":   cmdClear,
			"load":    cmdLoad,
			"join":    cmdJoin,
			"reached": cmdReached,
			"expect":  cmdExpect,
			"await":   cmdAwait,
		},
		RequireUniqueNames: true,
		Setup: func(env *testscript.Env) error {
			if err := copyFile("testdata/bilbao.yaml", filepath.Join(env.WorkDir, "bilbao.yaml")); err != nil {
				return err
			}
			f := newFleet(env.WorkDir, env.Vars)
			env.Values[fleetKey] = f
			env.Defer(f.close)
			return nil
		},
	})
}

func copyFile(from, to string) error {
	data, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, data, 0o600)
}
