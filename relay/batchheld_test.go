package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// Other nodes send groups of as many pieces as requests state. Guards against a batcher that makes them whatever it holds already, and
// against a count of what it holds that does not end with the group.
func TestBatcherHoldsGroupsWithinItsMemory(t *testing.T) {
	b := newTestBed(t)
	var held, most atomic.Int64
	b.deps.HoldRelayed = func(n int64) (relay.HeldRequest, bool) {
		if held.Load()+n > kernel.GroupBytes(1000, 0) {
			return relay.HeldRequest{}, false
		}
		most.Store(max(most.Load(), held.Add(n)))
		return relay.HeldRequest{End: func() { held.Add(-n) }}, true
	}
	for _, tc := range []struct {
		pieces  int
		onlyAsk bool
		refused bool
	}{{4, false, false}, {1001, false, true}, {200_000, false, true}, {200_000, true, true}, {4, false, false}} {
		m := peer.Batch{Pool: "workers", Group: "node-2/1", Request: "r", OnlyAsk: tc.onlyAsk, DueIn: 30 * time.Second, UntilIn: time.Minute}
		for n := range tc.pieces {
			m.Numbers = append(m.Numbers, n)
		}
		body, err := peer.EncodeBody(m)
		must.NoError(t, err)
		out, err := b.relay.Handlers()[peer.KindBatch](context.Background(), body)
		must.NoError(t, err)
		reply := out.(peer.BatchReply)
		must.EqOp(t, tc.refused, reply.Refused)
		if !tc.refused {
			must.EqOp(t, model.PieceFault(""), reply.Outcome.Fault)
			must.Len(t, tc.pieces, reply.Outcome.Made)
		}
		must.EqOp(t, 0, held.Load())
	}
	must.Positive(t, most.Load())
}
