package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
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

// Results at a worker that has asked for a pause are freed after it. Guards against calls in the pause, and against results
// that occupy room until they expire.
func TestResultsAreFreedAfterPause(t *testing.T) {
	b := newTestBed(t)
	run := b.deps.RunPieces
	b.deps.RunPieces = func(ctx context.Context, c relay.Call, pieces []model.Piece) (relay.PieceReply, error) {
		out, err := run(ctx, c, pieces)
		out.Statement.PauseFor = 200 * time.Millisecond
		return out, err
	}
	must.True(t, b.serve("/gen/1", 1).Complete)
	select {
	case freed := <-b.freed:
		must.Eq(t, []string{"worker-0/h"}, freed)
	case <-time.After(10 * time.Second):
		t.Fatal("the results were not freed")
	}
}
