package relay_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Results that nobody needs are not given up at a worker that is cold, nor is it asked for its room: such calls may count
// among the few that it bears. Guards against calls to cold workers that pass their bound by.
func TestColdWorkerGetsOnlyPieceCalls(t *testing.T) {
	b := newTestBed(t)
	b.relay.UpdateRegistry(func(before kernel.Registry) kernel.Registry {
		now := time.Now()
		worker := model.Endpoint{Name: "worker-0", Pool: "workers", State: model.Live, ColdFor: time.Hour}
		return before.WithChanges(now, now, []model.Endpoint{worker}, nil, nil)
	})
	must.True(t, b.serve("/gen/1", 1).Complete)
	select {
	case freed := <-b.freed:
		t.Fatal("freed", freed)
	case <-time.After(500 * time.Millisecond):
	}
}
