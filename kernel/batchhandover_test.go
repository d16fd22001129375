package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Groups that were not started move to the next batcher; running ones are completed by the previous one.
func TestHandOverMovesUnstartedGroups(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	must.True(t, addGroup(q, now, 1, 8, 1_500_000))
	running, ok := q.Next(now)
	must.True(t, ok)
	must.True(t, addGroup(q, now, 2, 2, 8000))
	moved := q.HandOver()
	must.SliceLen(t, 1, moved)
	must.EqOp(t, uint64(2), moved[0].Group)
	must.EqOp(t, model.PieceMoved, moved[0].Fault)
	ended, unwanted := q.Done(now.Add(368*time.Millisecond), running, resultsFor(running))
	must.SliceLen(t, 1, ended)
	must.Len(t, 8, ended[0].Made)
	must.SliceEmpty(t, unwanted)
}

// While another batcher may call the same worker, a call may wait there and fetch its inputs later than
// estimated.
func TestInputsAreKeptAfterTakeover(t *testing.T) {
	now := time.Unix(1000, 0)
	q := kernel.NewBatchQueue(fetchTraits)
	q.SetEndpoints(workerEndpoints(1))
	q.TakeOver(now)
	q.Add(now, groupWithInputs(1, 10, now, true))
	batch, ok := q.Next(now)
	must.True(t, ok)
	must.SliceEmpty(t, q.TakeFetchedInputs(now.Add(batch.FetchTime())))
	must.Len(t, 4, q.TakeFetchedInputs(now.Add(5*time.Second)))
}
