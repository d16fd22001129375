package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// addResumable applies a routing with a route whose streams may be resumed.
func (b *testBed) addResumable() {
	b.addRoute(model.Route{
		Name: "res", Host: "h", Prefix: "/res/", Kind: model.Stream, Resumable: true, Timeout: time.Minute, Objective: time.Minute,
		MaxAttempts: 2, Split: []model.WeightedPool{{Pool: "engines"}},
	})
}

// The rows that list versions have not been proven for long, and the store does not answer, or answers a node whose copy stays old. The
// stream is served all the same. Guards against a stream that is refused, or for which the node asks without end.
func TestStreamBeginsWhereRowsAreOutOfDate(t *testing.T) {
	row := kernel.VersionRow{Pool: "engines"}
	change := kernel.VersionChange{Key: kernel.VersionKey(row.Binding()), Row: row, RowVersion: 1}
	for name, answer := range map[string]func(context.Context) ([]kernel.VersionChange, error){
		"the store does not answer": func(context.Context) ([]kernel.VersionChange, error) { return nil, context.DeadlineExceeded },
		"the copy stays old":        func(context.Context) ([]kernel.VersionChange, error) { return []kernel.VersionChange{change}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			b.deps.ReadVersions = answer
			b.addResumable()
			b.relay.ApplyVersions(time.Now().Add(-10*time.Minute), []kernel.VersionChange{change})
			outcome := b.serve("/res/1")
			must.Nil(t, outcome.Refusal)
			must.True(t, outcome.Complete)
		})
	}
}
