package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// What was not started moves to the next batcher; what is under way ends where it began.
func TestAHandoverMovesWhatWasNotStarted(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newBatchQueue(1)
	must.True(t, addPieces(g, now, 1, 8, 1_500_000))
	running, ok := g.Next(now)
	must.True(t, ok)
	must.True(t, addPieces(g, now, 2, 2, 8000))
	moved := g.HandOver()
	must.SliceLen(t, 1, moved)
	must.EqOp(t, uint64(2), moved[0].Group)
	must.EqOp(t, model.PieceMoved, moved[0].Fault)
	ended, unwanted := g.Done(now.Add(368*time.Millisecond), running, madeAll(running))
	must.SliceLen(t, 1, ended)
	must.Len(t, 8, ended[0].Made)
	must.SliceEmpty(t, unwanted)
}

// Beside another batcher's calls a call may wait at its worker, and fetch later than reckoned.
func TestInputsAreKeptWhileAnotherBatchersCallsMayBeUnderWay(t *testing.T) {
	now := time.Unix(1000, 0)
	g := kernel.NewBatchQueue(fetchTraits)
	g.SetEndpoints(workers(1))
	g.TakeOver(now)
	g.Add(now, fetchingGroup(1, 10, now, true))
	batch, ok := g.Next(now)
	must.True(t, ok)
	must.SliceEmpty(t, g.TakeFetchedInputs(now.Add(batch.FetchTime())))
	must.Len(t, 4, g.TakeFetchedInputs(now.Add(5*time.Second)))
}
