package relay_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// testBed is a relay whose endpoints are functions.
type testBed struct {
	relay *relay.Relay
	// deps are called by the relay; a test may replace Forward, RunPieces and Connect at any time.
	deps relay.Dependencies
	// body has all that was sent to callers.
	body strings.Builder
	// freed receives the handles of the results that were freed.
	freed          chan []string
	routingVersion uint64
	// fakeNow is the relay's time in nanoseconds since the Unix epoch; if it is 0, the relay uses the system clock.
	fakeNow atomic.Int64
}

func newTestBed(t *testing.T) *testBed {
	t.Helper()
	b := &testBed{freed: make(chan []string, 16)}
	b.deps = relay.Dependencies{
		Forward: func(context.Context, relay.Send) (*model.ForwardReply, error) {
			return reply("id: 1\ndata: x\n\n"), nil
		},
		RunPieces: func(_ context.Context, c relay.Call, pieces []model.Piece) (relay.PieceReply, error) {
			out := relay.PieceReply{}
			for range pieces {
				out.Results = append(out.Results, model.PieceResult{Handle: c.Endpoint.Name + "/h"})
			}
			return out, nil
		},
		FreeResults: func(_ context.Context, _ relay.Call, handles []string) (model.Statement, error) {
			b.freed <- handles
			return model.Statement{}, nil
		},
		FreeRoom: func(context.Context, relay.Call) (int64, model.Statement, error) {
			return 18_000_000, model.Statement{}, nil
		},
		Connect:      func(context.Context, string) error { return nil },
		ReadVersions: func(context.Context) ([]kernel.VersionChange, error) { return nil, nil },
	}
	deps := relay.Dependencies{
		Forward: func(ctx context.Context, s relay.Send) (*model.ForwardReply, error) { return b.deps.Forward(ctx, s) },
		RunPieces: func(ctx context.Context, c relay.Call, p []model.Piece) (relay.PieceReply, error) {
			return b.deps.RunPieces(ctx, c, p)
		},
		FreeResults:     b.deps.FreeResults,
		FreeRoom:        b.deps.FreeRoom,
		CloseIdle:       func(string) {},
		Connect:         func(ctx context.Context, address string) error { return b.deps.Connect(ctx, address) },
		StoreQuarantine: func(context.Context, kernel.QuarantineChange) error { return nil },
		PublishRateCap:  func(context.Context, string, model.RateCap) error { return nil },
		ReadVersions:    func(ctx context.Context) ([]kernel.VersionChange, error) { return b.deps.ReadVersions(ctx) },
		WriteVersion:    func(context.Context, kernel.VersionWrite) error { return nil },
		WriteBindings:   b.writeBindings,
		HoldRelayed:     b.holdRelayed,
		ReadBindings:    func(context.Context, string) (map[string][]peer.StreamBinding, error) { return nil, nil },
	}
	options := relay.Options{Name: "node", Domain: "d", RetryLimits: kernel.FleetRetryLimits{Ratio: 1, Slack: 100, Window: 10 * time.Second}}
	now := func() time.Time {
		if fake := b.fakeNow.Load(); fake != 0 {
			return time.Unix(0, fake)
		}
		return time.Now()
	}
	b.relay = relay.NewRelay(options, deps, now, metric.NewSet(), zerolog.Nop())
	t.Cleanup(b.relay.Close)
	b.relay.SetNodes(nil, nil)
	b.setObjective(time.Minute)
	began := time.Now()
	registry := kernel.NewRegistry().WithChanges(began, began, []model.Endpoint{
		{Name: "plain-0", Pool: "plain", State: model.Live},
		{Name: "plain-1", Pool: "plain", State: model.Live},
		{Name: "engine-0", Pool: "engines", State: model.Live},
		{Name: "worker-0", Pool: "workers", State: model.Live},
	}, nil, nil)
	b.relay.UpdateRegistry(func(kernel.Registry) kernel.Registry { return registry })
	return b
}

func (b *testBed) writeBindings(ctx context.Context, key string, records []peer.StreamBinding, remove []string) error {
	if b.deps.WriteBindings == nil {
		return nil
	}
	return b.deps.WriteBindings(ctx, key, records, remove)
}

func (b *testBed) holdRelayed(n int64) (relay.HeldRequest, bool) {
	if b.deps.HoldRelayed == nil {
		return relay.HeldRequest{End: func() {}}, true
	}
	return b.deps.HoldRelayed(n)
}

// setObjective applies a new version of the routing in which all routes have the given objective.
func (b *testBed) setObjective(objective time.Duration) {
	b.setRoutes(objective)
}

// addRoute applies a new version of the routing with an additional route.
func (b *testBed) addRoute(route model.Route) {
	b.setRoutes(time.Minute, route)
}

func (b *testBed) setRoutes(objective time.Duration, extra ...model.Route) {
	b.routingVersion++
	now := time.Now()
	stages := []model.StageNode{{Pool: "workers", ResultBytes: 1000}}
	b.relay.SetRouting(now, kernel.NewRouteTable(model.Routing{
		Version: b.routingVersion,
		Routes: append(extra, []model.Route{
			{Name: "get", Host: "h", Prefix: "/get/", Kind: model.Safe, Timeout: time.Minute, Objective: objective, MaxAttempts: 2, Split: []model.WeightedPool{{Pool: "plain"}}},
			{Name: "gen", Host: "h", Prefix: "/gen/", Kind: model.Stream, Timeout: time.Minute, Objective: objective, MaxAttempts: 1, Split: []model.WeightedPool{{Pool: "engines"}}, Stages: stages},
		}...),
		Pools: map[string]model.Pool{"workers": {Name: "workers", ColdRate: 4, Pieces: &model.PieceTraits{
			Slots: 1, MaxBatch: 4, CallTime: time.Millisecond, PieceTime: time.Millisecond, Room: 18_000_000, ResultTTL: time.Minute,
		}}},
	}))
}

func reply(body string) *model.ForwardReply {
	return &model.ForwardReply{Status: http.StatusOK, Header: http.Header{}, Body: strings.NewReader(body), Authentic: true, Close: func() {}}
}

func (b *testBed) serve(path string, pieces ...int) relay.Outcome {
	f := model.Forward{ID: "id", Method: "POST", URI: path, Path: path, Host: "h", ReceivedAt: time.Now(), Pieces: pieces}
	return b.relay.Serve(context.Background(), f, relay.Responder{
		Begin: func(_ int, _ http.Header, f ending.Framing) ending.Framing { return f },
		Write: func(p []byte) error { b.body.Write(p); return nil },
	})
}

func TestPanicFailsOnlyItsRequest(t *testing.T) {
	b := newTestBed(t)
	forward := b.deps.Forward
	b.deps.Forward = func(context.Context, relay.Send) (*model.ForwardReply, error) { panic("forward") }
	outcome := b.serve("/get/1")
	must.NotNil(t, outcome.Refusal)
	must.Eq(t, model.MayHaveRun, outcome.Refusal.Verdict)
	b.deps.Forward = forward

	run := b.deps.RunPieces
	b.deps.RunPieces = func(context.Context, relay.Call, []model.Piece) (relay.PieceReply, error) { panic("pieces") }
	outcome = b.serve("/gen/1", 2)
	must.NotNil(t, outcome.Refusal)
	must.Eq(t, model.NotRun, outcome.Refusal.Verdict)
	b.deps.RunPieces = run
	must.True(t, b.serve("/get/2").Complete)
}

func TestResultsAreFreedForEveryOutcome(t *testing.T) {
	for name, forward := range map[string]func(context.Context, relay.Send) (*model.ForwardReply, error){
		"answered":   func(context.Context, relay.Send) (*model.ForwardReply, error) { return reply("id: 1\n\n"), nil },
		"failed":     func(context.Context, relay.Send) (*model.ForwardReply, error) { return nil, errors.New("broken") },
		"broken off": func(context.Context, relay.Send) (*model.ForwardReply, error) { return reply("id: 1\n\nid"), nil },
		"cut": func(context.Context, relay.Send) (*model.ForwardReply, error) {
			r := reply("")
			r.Body = io.MultiReader(strings.NewReader("id: 1\n\n"), &brokenReader{})
			return r, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			b.deps.Forward = forward
			outcome := b.serve("/gen/1", 1)
			must.Eq(t, name == "answered", outcome.Complete)
			must.Len(t, 1, <-b.freed)
		})
	}
}

// If a pool is handed over to a node that cannot be reached, the groups that would move there are refused. Guards
// against engines that get a request without its inputs.
func TestGroupIsRefusedIfNextBatcherIsUnreachable(t *testing.T) {
	b := newTestBed(t)
	started, proceed := make(chan struct{}, 8), make(chan struct{})
	run := b.deps.RunPieces
	b.deps.RunPieces = func(ctx context.Context, c relay.Call, pieces []model.Piece) (relay.PieceReply, error) {
		started <- struct{}{}
		<-proceed
		return run(ctx, c, pieces)
	}
	inputs := make(chan int, 8)
	b.deps.Forward = func(_ context.Context, s relay.Send) (*model.ForwardReply, error) {
		inputs <- len(s.Inputs)
		return reply("id: 1\n\n"), nil
	}
	first, second := make(chan relay.Outcome, 1), make(chan relay.Outcome, 1)
	go func() { first <- b.serve("/gen/1", 1) }()
	<-started
	go func() { second <- b.serve("/gen/2", 1) }()
	body, err := peer.EncodeBody(peer.TakeOver{Pool: "workers", Node: "unknown", Capacity: 1})
	must.NoError(t, err)
	var refused relay.Outcome
	for moved := false; !moved; {
		_, err = b.relay.Handlers()[peer.KindTakeOver](t.Context(), body)
		must.NoError(t, err)
		select {
		case refused = <-second:
			moved = true
		case <-time.After(5 * time.Millisecond):
		}
	}
	must.NotNil(t, refused.Refusal)
	must.EqOp(t, model.NotRun, refused.Refusal.Verdict)
	close(proceed)
	must.True(t, (<-first).Complete, must.Sprint("calls in flight are completed"))
	must.EqOp(t, 1, <-inputs)
	must.EqOp(t, 0, len(inputs))
}

// A batcher may answer late because a call takes long. Only a silent batcher counts as lost. Guards against a second
// node that batches for the same pool at the same time.
func TestLateBatcherIsNotSuspected(t *testing.T) {
	b := newTestBed(t)
	batcher, err := peer.NewServer("127.0.0.1:0", "")
	must.NoError(t, err)
	defer batcher.Close()
	batcher.Serve(kernel.Member{Node: "other"}, map[peer.Kind]peer.Handler{
		peer.KindBatch: func(ctx context.Context, _ []byte) (any, error) {
			<-ctx.Done()
			return peer.BatchReply{}, nil
		},
		peer.KindBatchCancel: func(context.Context, []byte) (any, error) { return peer.Empty{}, nil },
	})
	b.relay.SetNodes([]relay.Node{{Name: "other", Address: batcher.Address(), Capacity: 1000}}, nil)
	now := time.Now()
	f := model.Forward{ID: "id", Method: "POST", URI: "/gen/1", Path: "/gen/1", Host: "h", ReceivedAt: now, Deadline: now.Add(600 * time.Millisecond), Pieces: []int{1}}
	outcome := b.relay.Serve(context.Background(), f, relay.Responder{Begin: func(_ int, _ http.Header, f ending.Framing) ending.Framing { return f }, Write: func([]byte) error { return nil }})
	must.NotNil(t, outcome.Refusal)
	must.SliceLen(t, 2, b.relay.Reachable(), must.Sprint("this node and the batcher are reachable"))
}

// Pieces that can no longer be made by their objective are ended, and the request is refused, long before its deadline
// of a minute; the endpoint here never becomes free. Guards against batchers that end such pieces only at the deadline
// of the request, so that its caller waits without any notice until it gives up.
func TestRequestWithStarvedPiecesIsRefused(t *testing.T) {
	b := newTestBed(t)
	started, finish := make(chan struct{}, 1), make(chan struct{})
	defer close(finish)
	b.deps.RunPieces = func(context.Context, relay.Call, []model.Piece) (relay.PieceReply, error) {
		started <- struct{}{}
		<-finish
		return relay.PieceReply{NotRun: true}, nil
	}
	b.setObjective(50 * time.Millisecond)
	outcomes := make(chan relay.Outcome, 2)
	go func() { outcomes <- b.serve("/gen/1", 1) }()
	// Before the call has started, the piece of the second request could join it and would not have to wait.
	<-started
	go func() { outcomes <- b.serve("/gen/1", 1) }()
	outcome := <-outcomes
	must.NotNil(t, outcome.Refusal)
	must.EqOp(t, model.StageLate, outcome.Refusal.Reason)
	must.EqOp(t, model.NotRun, outcome.Refusal.Verdict)
	must.Positive(t, outcome.Refusal.RetryAfter)
	must.SliceLen(t, 1, outcome.Stages)
	must.EqOp(t, model.PieceStarved, outcome.Stages[0].Fault)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
