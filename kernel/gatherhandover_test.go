package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Nodes that are restarted in turn hand their pools over every few seconds. The next gatherer knows what
// room is taken and which makers work on a call: without that it gave room out twice, called makers that
// were busy, and fetched inputs that had been freed meanwhile.
func TestTheNextGathererKnowsTheAccount(t *testing.T) {
	now := time.Unix(1000, 0)
	first, next := newGathering(2), newGathering(2)
	must.True(t, addPieces(first, now, 1, 8, 1_500_000))
	batch, ok := first.Next(now)
	must.True(t, ok)
	made := madeAll(batch)
	now = now.Add(400 * time.Millisecond)
	ended, _ := first.Done(now, batch, made)
	must.SliceLen(t, 1, ended)
	must.True(t, addPieces(first, now, 2, 8, 1_500_000))
	running, ok := first.Next(now)
	must.True(t, ok)
	must.NotEq(t, batch.Endpoint.Name, running.Endpoint.Name)
	must.True(t, addPieces(first, now, 3, 2, 8000))

	accounts, moved := first.HandOver(now)
	must.SliceLen(t, 1, moved)
	must.EqOp(t, uint64(3), moved[0].Group, must.Sprint("no piece of it was started"))
	must.EqOp(t, model.PieceMoved, moved[0].Fault)
	next.Inherit(now, accounts)
	must.True(t, addPieces(next, now, 1, 8, 1_500_000))
	got, ok := next.Next(now)
	must.True(t, ok)
	must.EqOp(t, batch.Endpoint.Name, got.Endpoint.Name, must.Sprint("the other one works on a call"))
	must.Len(t, 3, got.Pieces, must.Sprint("12 of 17.46 MB are taken"))
	_, ok = next.Next(now.Add(next.Spacing()))
	must.False(t, ok)

	// The call that was under way ends at the first gatherer; its results count at the next one.
	now = now.Add(368 * time.Millisecond)
	ended, unwanted := first.Done(now, running, madeAll(running))
	must.SliceLen(t, 1, ended)
	must.SliceEmpty(t, unwanted)
	used, _ := first.Used(running.Endpoint.Life())
	must.EqOp(t, 0, used)
	for _, m := range ended[0].Made {
		next.Release(now, m)
	}
	more, ok := next.Next(now)
	must.True(t, ok)
	must.EqOp(t, running.Endpoint.Name, more.Endpoint.Name)
	must.Len(t, 5, more.Pieces)
}

// Back at a node that gathered before, what it had made counts once.
func TestAnAccountThatComesBackCountsOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	first, next := newGathering(1), newGathering(1)
	must.True(t, addPieces(first, now, 1, 8, 1_500_000))
	batch, _ := first.Next(now)
	first.Done(now, batch, madeAll(batch))
	accounts, _ := first.HandOver(now)
	next.Inherit(now, accounts)
	accounts, _ = next.HandOver(now)
	first.Inherit(now, accounts)
	must.EqOp(t, 12_000_000, accounts[0].Used)
	must.Less(t, 0.7, first.RoomTaken(now))
}

// Beside another gatherer's calls a call may wait at its maker, and fetch later than reckoned.
func TestInputsAreKeptWhileAnotherGatherersCallsMayBeUnderWay(t *testing.T) {
	now := time.Unix(1000, 0)
	g := kernel.NewGathering(fetchTraits)
	g.SetEndpoints(makers(1))
	g.TakeOver(now)
	g.Add(now, fetchingGroup(1, 10, now, true))
	batch, ok := g.Next(now)
	must.True(t, ok)
	must.SliceEmpty(t, g.Fetched(now.Add(batch.FetchTime())))
	must.Len(t, 4, g.Fetched(now.Add(5*time.Second)))
}
