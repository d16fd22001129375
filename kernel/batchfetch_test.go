package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// fetchTraits are those of a pool whose calls take 374 ms when full, and fetch their inputs in some
// 10 ms.
var fetchTraits = model.PieceTraits{
	Slots: 1, Batch: 62, CallTime: 200 * time.Millisecond, PieceTime: 2800 * time.Microsecond,
	Room: 810_000, Keep: 4 * time.Second, Link: 1_250_000_000,
}

func fetchingGroup(id uint64, pieces int, now time.Time, free bool) kernel.PieceGroup {
	g := pieceGroup(id, pieces, 6000, now.Add(2*time.Second))
	g.FreeInputs = free
	for n := range 4 {
		g.Inputs = append(g.Inputs, kernel.ResultRef{Number: n, Handle: "input", Worker: "before", Pool: "q", Bytes: 60_000})
	}
	return g
}

func fetchQueue(now time.Time, groups ...kernel.PieceGroup) *kernel.BatchQueue {
	g := kernel.NewBatchQueue(fetchTraits)
	g.SetEndpoints(workers(1))
	for _, group := range groups {
		g.Add(now, group)
	}
	return g
}

// Results that wait for their consumer's call to end hold their room for another 400 ms; freed when
// they were fetched, they hold it for a fifth of that.
func TestInputsAreFreedOnceTheirCallHasFetchedThem(t *testing.T) {
	now := time.Unix(1000, 0)
	g := fetchQueue(now, fetchingGroup(1, 10, now, true))
	batch, ok := g.Next(now)
	must.True(t, ok)
	must.Less(t, 100*time.Millisecond, batch.FetchTime())
	must.SliceEmpty(t, g.TakeFetchedInputs(now.Add(batch.FetchTime()-time.Millisecond)))
	must.Len(t, 4, g.TakeFetchedInputs(now.Add(batch.FetchTime())))
	must.SliceEmpty(t, g.TakeFetchedInputs(now.Add(batch.FetchTime())), must.Sprint("each once"))
	ended, _ := g.Done(now.Add(228*time.Millisecond), batch, madeAll(batch))
	must.Len(t, 1, ended)
	must.True(t, ended[0].InputsFreed)
}

func TestInputsThatOthersNeedAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	g := fetchQueue(now, fetchingGroup(1, 10, now, false))
	batch, _ := g.Next(now)
	must.SliceEmpty(t, g.TakeFetchedInputs(now.Add(batch.FetchTime())))
	ended, _ := g.Done(now.Add(228*time.Millisecond), batch, madeAll(batch))
	must.False(t, ended[0].InputsFreed)
}

func TestInputsAreKeptWhilePiecesWait(t *testing.T) {
	now := time.Unix(1000, 0)
	g := fetchQueue(now, fetchingGroup(1, 70, now, true))
	batch, _ := g.Next(now)
	must.Len(t, 62, batch.Pieces)
	must.SliceEmpty(t, g.TakeFetchedInputs(now.Add(batch.FetchTime())))
	refused := g.Refused(now, batch)
	must.SliceEmpty(t, refused)
	must.SliceEmpty(t, g.TakeFetchedInputs(now.Add(batch.FetchTime())))
}

// A piece whose inputs are freed can't be made again: asking would cost a call for nothing.
func TestAPieceThatFailsAfterItsInputsWereFreedEndsItsGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	g := fetchQueue(now, fetchingGroup(1, 10, now, true))
	batch, _ := g.Next(now)
	g.TakeFetchedInputs(now.Add(batch.FetchTime()))
	results := madeAll(batch)
	results[3] = model.PieceResult{Fault: model.PieceFailed}
	ended, _ := g.Done(now.Add(228*time.Millisecond), batch, results)
	must.Len(t, 1, ended)
	must.EqOp(t, model.PieceFailed, ended[0].Fault)
	must.Len(t, 9, ended[0].Made)
}

// Where half of a pool's room is free, results are kept for as long as something might need them again.
func TestResultsAreGivenUpEarlyOnlyWhereRoomIsScarce(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newBatchQueue(2)
	must.EqOp(t, 0, g.RoomTaken(now))
	must.True(t, addPieces(g, now, 1, 8, 2_000_000))
	batch, ok := g.Next(now)
	must.True(t, ok)
	must.Len(t, 8, batch.Pieces)
	must.False(t, kernel.PoolEstimate{RoomTaken: g.RoomTaken(now)}.Scarce(), must.Sprint("16 of 36 MB"))
	now = now.Add(g.Spacing())
	must.True(t, addPieces(g, now, 2, 2, 2_000_000))
	_, ok = g.Next(now)
	must.True(t, ok)
	must.True(t, kernel.PoolEstimate{RoomTaken: g.RoomTaken(now)}.Scarce(), must.Sprint("20 of 36 MB"))
}
