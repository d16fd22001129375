package relay_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// Guards against customers and shares that are lost between a node and a batcher, and against groups of nodes of an earlier
// build, which state neither, that are ordered by shares.
func TestBatcherTellsShares(t *testing.T) {
	b := newTestBed(t)
	began := time.Now()
	b.fakeNow.Store(began.UnixNano())
	finish := make(chan struct{})
	defer close(finish)
	b.deps.RunPieces = func(context.Context, relay.Call, []model.Piece) (relay.PieceReply, error) {
		<-finish
		return relay.PieceReply{NotRun: true}, nil
	}
	ask := func(id int, m peer.Batch) peer.BatchReply {
		m.Pool, m.Group, m.Request = "workers", fmt.Sprint("node-2/", id), fmt.Sprint("request-", id)
		m.Numbers = []int{0, 1, 2, 3}
		m.DueIn, m.UntilIn = 30*time.Second, time.Minute
		body, err := peer.EncodeBody(m)
		must.NoError(t, err)
		out, err := b.relay.Handlers()[peer.KindBatch](context.Background(), body)
		must.NoError(t, err)
		return out.(peer.BatchReply)
	}
	large := peer.Batch{Customer: "large", Rank: 10, Shared: true}
	for id := range 400 {
		// The capacity of the worker is 200 groups a second.
		go ask(id, large)
	}
	large.OnlyAsk = true
	id := 1000
	var reply peer.BatchReply
	for reply.Shares == nil || !reply.Shares.Beyond {
		// Each step of the clock lets the batcher, which runs every 30 ms while pieces wait, divide the capacity again.
		b.fakeNow.Add(int64(time.Millisecond))
		id++
		reply = ask(id, large)
		time.Sleep(time.Millisecond)
	}
	must.True(t, reply.Shares.Applies)
	must.True(t, reply.Shares.Limited)
	must.Positive(t, reply.Shares.Share)
	must.Positive(t, reply.Wait)
	small := ask(id+1, peer.Batch{OnlyAsk: true, Customer: "small", Rank: 12, Shared: true})
	must.NotNil(t, small.Shares)
	must.False(t, small.Shares.Beyond)
	must.Less(t, reply.Wait, small.Wait)
	must.Nil(t, ask(id+2, peer.Batch{OnlyAsk: true, Rank: 10}).Shares)
}
