package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

// A sound worker may be silent for longer than a call for pieces usually takes. Guards against a request that is refused because its
// last call for a piece was given up, with nothing to take its place.
func TestSilentWorkerEndsNoRequest(t *testing.T) {
	b := newTestBed(t)
	run := b.deps.RunPieces
	over := make(chan struct{})
	var calls atomic.Int64
	b.deps.RunPieces = func(ctx context.Context, c relay.Call, pieces []model.Piece) (relay.PieceReply, error) {
		if calls.Add(1) == 3 {
			// The time of the call, which is the last that may be made for the piece, is up well before.
			time.AfterFunc(3*time.Second, func() { close(over) })
		}
		select {
		case <-over:
			return run(ctx, c, pieces)
		case <-ctx.Done():
			return relay.PieceReply{}, &endpoint.Fault{Kind: endpoint.Silent, Verdict: model.MayHaveRun, Err: context.Cause(ctx)}
		}
	}
	must.True(t, b.serve("/gen/1", 1).Complete)
	must.EqOp(t, 3, calls.Load())
}
