package node_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/sample"
	"basilstall.example/basilstall/standin"
)

// Engines of two versions break streams off midway: the next call for the rest went to any of them. Callers come at once to two
// nodes.
func TestInterruptedStreamStaysAtItsVersion(t *testing.T) {
	setup := sample.Bilbao()
	for i := range setup.Pools {
		setup.Pools[i].Versions = []string{"v1", "v2"}
	}
	f := newFleetOf(t, setup, 2)
	for i := 1; i <= 6; i++ {
		f.platform.InjectFault(standin.Fault{Target: fmt.Sprint("runners/runners-", i), Kind: standin.FaultCutAfter, Count: 2})
	}
	var requests sync.WaitGroup
	for i := range 40 {
		requests.Go(func() { f.send(f.nodes[i%2], "route-note", fmt.Sprint("text ", i)) })
	}
	requests.Wait()
	versions, resumed := map[string]string{}, 0
	for _, run := range f.platform.Journal.Runs() {
		if run.Version == "" {
			t.Fatalf("run without a version: %+v", run)
		}
		switch began, seen := versions[run.Request+run.Stage]; {
		case run.From == 0:
			versions[run.Request+run.Stage] = run.Version
		case seen:
			resumed++
			must.EqOp(t, began, run.Version, must.Sprintf("%+v", run))
		}
	}
	must.Positive(t, resumed)
}
