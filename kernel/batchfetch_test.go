package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// fetchTraits are the traits of a pool with full calls of 374 ms, which fetch their inputs in about 10 ms.
var fetchTraits = model.PieceTraits{
	Slots: 1, MaxBatch: 62, CallTime: 200 * time.Millisecond, PieceTime: 2800 * time.Microsecond,
	Room: 810_000, ResultTTL: 4 * time.Second, LinkBandwidth: 1_250_000_000,
}

// groupWithInputs returns a group with four inputs of 60 kB. If freeInputs is set, the inputs may be freed once
// they were fetched.
func groupWithInputs(id uint64, pieces int, now time.Time, freeInputs bool) kernel.PieceGroup {
	group := newPieceGroup(id, pieces, 6000, now.Add(2*time.Second))
	group.FreeInputs = freeInputs
	for n := range 4 {
		group.Inputs = append(group.Inputs, kernel.ResultRef{Number: n, Handle: "input", Worker: "before", Pool: "q", Bytes: 60_000})
	}
	return group
}

func newFetchQueue(now time.Time, groups ...kernel.PieceGroup) *kernel.BatchQueue {
	q := kernel.NewBatchQueue(fetchTraits)
	q.SetEndpoints(workerEndpoints(1))
	for _, group := range groups {
		q.Add(now, group)
	}
	return q
}

// Results that are kept until the call that consumes them ends occupy room for another 400 ms. Freed once
// fetched, they occupy it for a fifth of that.
func TestFetchedInputsAreFreed(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newFetchQueue(now, groupWithInputs(1, 10, now, true))
	batch, ok := q.Next(now)
	must.True(t, ok)
	must.Less(t, 100*time.Millisecond, batch.FetchTime())
	must.SliceEmpty(t, q.TakeFetchedInputs(now.Add(batch.FetchTime()-time.Millisecond)))
	must.Len(t, 4, q.TakeFetchedInputs(now.Add(batch.FetchTime())))
	must.SliceEmpty(t, q.TakeFetchedInputs(now.Add(batch.FetchTime())), must.Sprint("each input is returned once"))
	ended, _ := q.Done(now.Add(228*time.Millisecond), batch, resultsFor(batch))
	must.Len(t, 1, ended)
	must.True(t, ended[0].InputsFreed)
}

func TestSharedInputsAreKept(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newFetchQueue(now, groupWithInputs(1, 10, now, false))
	batch, _ := q.Next(now)
	must.SliceEmpty(t, q.TakeFetchedInputs(now.Add(batch.FetchTime())))
	ended, _ := q.Done(now.Add(228*time.Millisecond), batch, resultsFor(batch))
	must.False(t, ended[0].InputsFreed)
}

func TestInputsAreKeptWhilePiecesWait(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newFetchQueue(now, groupWithInputs(1, 70, now, true))
	batch, _ := q.Next(now)
	must.Len(t, 62, batch.Pieces)
	must.SliceEmpty(t, q.TakeFetchedInputs(now.Add(batch.FetchTime())))
	refused := q.Refused(now, batch)
	must.SliceEmpty(t, refused)
	must.SliceEmpty(t, q.TakeFetchedInputs(now.Add(batch.FetchTime())))
}

// A piece whose inputs were freed cannot be made again, so a retry would waste a call.
func TestFailureAfterInputsFreedEndsGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newFetchQueue(now, groupWithInputs(1, 10, now, true))
	batch, _ := q.Next(now)
	q.TakeFetchedInputs(now.Add(batch.FetchTime()))
	results := resultsFor(batch)
	results[3] = model.PieceResult{Fault: model.PieceFailed}
	ended, _ := q.Done(now.Add(228*time.Millisecond), batch, results)
	must.Len(t, 1, ended)
	must.EqOp(t, model.PieceFailed, ended[0].Fault)
	must.Len(t, 9, ended[0].Made)
}

// While half of a pool's room is free, results are kept for as long as they might be needed again.
func TestRoomIsScarceAboveHalf(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(2)
	must.EqOp(t, 0, q.RoomTaken(now))
	must.True(t, addGroup(q, now, 1, 8, 2_000_000))
	batch, ok := q.Next(now)
	must.True(t, ok)
	must.Len(t, 8, batch.Pieces)
	must.False(t, kernel.PoolEstimate{RoomTaken: q.RoomTaken(now)}.Scarce(), must.Sprint("16 of 36 MB"))
	now = now.Add(q.Spacing(now))
	must.True(t, addGroup(q, now, 2, 2, 2_000_000))
	_, ok = q.Next(now)
	must.True(t, ok)
	must.True(t, kernel.PoolEstimate{RoomTaken: q.RoomTaken(now)}.Scarce(), must.Sprint("20 of 36 MB"))
}
