package relay_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// A cold worker gets only calls for pieces. It is not asked to free results or for its free room, because such calls
// may count towards the few that it accepts. Guards against calls to cold workers that bypass the cold limits.
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
		t.Fatal("results were freed at a cold worker:", freed)
	case <-time.After(500 * time.Millisecond):
	}
}
