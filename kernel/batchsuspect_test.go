package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
)

// A piece may crash the worker that begins to make it. Groups that shared its call must not share the next one
// with it: they would crash together at each attempt, could not be told apart, and would all fail.
func TestSuspectGroupsShareNoCall(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(3)
	for id := uint64(1); id <= 3; id++ {
		group := newPieceGroup(id, 2, 8000, now.Add(5*time.Second))
		for i := range group.Pieces {
			group.Pieces[i].Digest = model.Digest(group.Pieces[i].Request)
		}
		ok, _ := q.Add(now, group)
		must.True(t, ok)
	}
	batch, ok := q.Next(now)
	must.True(t, ok)
	must.Len(t, 6, batch.Pieces)
	must.Eq(t, []model.Digest{"request-1", "request-2", "request-3"}, batch.Digests())
	must.SliceEmpty(t, q.Crashed(now, batch))
	for range 2 {
		now = now.Add(time.Second)
		batch, ok = q.Next(now)
		must.True(t, ok)
		must.Len(t, 2, batch.Pieces)
		must.Len(t, 1, batch.Digests())
	}
	// Groups added later join the last of them.
	ok, _ = q.Add(now, newPieceGroup(7, 2, 8000, now.Add(2*time.Second)))
	must.True(t, ok)
	ok, _ = q.Add(now, newPieceGroup(8, 2, 8000, now.Add(2*time.Second)))
	must.True(t, ok)
	now = now.Add(time.Second)
	batch, ok = q.Next(now)
	must.True(t, ok)
	must.Len(t, 6, batch.Pieces)
	must.Len(t, 1, batch.Digests())
}
