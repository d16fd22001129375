package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// A worker that has asked for a pause gets no call in it, and waits are estimated without it. Guards against batchers that
// call such a worker, and against stages that are accepted for work that nobody does in time.
func TestBatcherHeedsPause(t *testing.T) {
	now := time.Now()
	q := kernel.NewBatchQueue(model.PieceTraits{Slots: 1, MaxBatch: 4, CallTime: 200 * time.Millisecond})
	q.SetEndpoints([]model.Endpoint{{Name: "w", State: model.Live, PausedUntil: now.Add(2 * time.Second)}})
	group := func(id uint64, due time.Duration) kernel.PieceGroup {
		return kernel.PieceGroup{ID: id, Pieces: []model.Piece{{}}, Due: now.Add(due), Until: now.Add(due)}
	}
	accepted, retryAfter := q.Add(now, group(1, time.Second))
	must.False(t, accepted)
	must.EqOp(t, 2*time.Second, retryAfter)
	accepted, _ = q.Add(now, group(2, 3*time.Second))
	must.True(t, accepted)
	_, ok := q.Next(now.Add(time.Second))
	must.False(t, ok)
	_, ok = q.Next(now.Add(2 * time.Second))
	must.True(t, ok)
}
