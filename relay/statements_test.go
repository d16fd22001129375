package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// statements are what endpoints state so that they get nothing more from the node.
var statements = map[string]model.Statement{"leaving": {Leaving: true}, "pause": {PauseFor: time.Hour}}

// state makes the relay believe that an endpoint has stated something in an answer.
func (b *testBed) state(e model.Endpoint, stated model.Statement) {
	b.relay.UpdateRegistry(func(before kernel.Registry) kernel.Registry {
		after, _ := before.WithStatement(time.Now(), time.Now(), e, stated)
		return after
	})
}

// A request whose endpoint states that it is leaving, or asks for a pause, before the connection is open goes to another
// endpoint, which is no retry. Guards against requests that are sent by an outdated choice.
func TestStatementBeforeSendMovesRequest(t *testing.T) {
	for name, stated := range statements {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			var sent []string
			first := ""
			b.deps.Forward = func(_ context.Context, s relay.Send) (*model.ForwardReply, error) {
				if first == "" {
					first = s.Endpoint.Name
					b.state(s.Endpoint, stated)
				}
				if err := s.BeforeSend(); err != nil {
					return nil, err
				}
				sent = append(sent, s.Endpoint.Name)
				return reply("answer"), nil
			}
			outcome := b.serve("/get/one")
			must.Nil(t, outcome.Refusal)
			must.EqOp(t, 1, outcome.Attempts)
			must.SliceLen(t, 1, sent)
			must.NotEq(t, first, sent[0])
		})
	}
}

// A call for pieces is withdrawn if its worker states, before the connection is open, that it is leaving or wants a pause.
// Guards against calls besides requests that do not look once more.
func TestStatementBeforeSendWithdrawsPieces(t *testing.T) {
	for name, stated := range statements {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			b.relay.UpdateRegistry(func(before kernel.Registry) kernel.Registry {
				return before.WithChanges(time.Now(), time.Now(), []model.Endpoint{{Name: "worker-1", Pool: "workers", State: model.Live}}, nil, nil)
			})
			run := b.deps.RunPieces
			var called []string
			first := ""
			b.deps.RunPieces = func(ctx context.Context, c relay.Call, pieces []model.Piece) (relay.PieceReply, error) {
				if first == "" {
					first = c.Endpoint.Name
					b.state(c.Endpoint, stated)
				}
				if err := c.BeforeSend(); err != nil {
					return relay.PieceReply{}, err
				}
				called = append(called, c.Endpoint.Name)
				return run(ctx, c, pieces)
			}
			must.True(t, b.serve("/gen/1", 1).Complete)
			must.SliceLen(t, 1, called)
			must.NotEq(t, first, called[0])
		})
	}
}

// A trial of a quarantined request goes to no endpoint that is leaving or wants a pause, and is not used up by a refusal.
func TestTrialObeysStatements(t *testing.T) {
	for name, stated := range statements {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			var sent []string
			b.deps.Forward = func(_ context.Context, s relay.Send) (*model.ForwardReply, error) {
				sent = append(sent, s.Endpoint.Name)
				return reply("answer"), nil
			}
			b.relay.ApplyQuarantineChange(kernel.QuarantineChange{Hold: []kernel.HeldRequest{{Digest: model.NewDigest("", "h", "/get/one", ""), Pool: "plain"}}})
			b.state(model.Endpoint{Name: "plain-0"}, stated)
			b.state(model.Endpoint{Name: "plain-1"}, stated)
			must.NotNil(t, b.serve("/get/one").Refusal)
			must.SliceEmpty(t, sent)
			b.relay.UpdateRegistry(func(before kernel.Registry) kernel.Registry {
				return before.WithChanges(time.Now(), time.Now(), []model.Endpoint{{Name: "plain-2", Pool: "plain", State: model.Live}}, nil, nil)
			})
			must.Nil(t, b.serve("/get/one").Refusal)
			must.Eq(t, []string{"plain-2"}, sent)
		})
	}
}

// A node grants no permit for an endpoint that it knows to be leaving. Guards against requests of other nodes
// that have had no answer of the endpoint since.
func TestPermitForLeavingEndpointIsDenied(t *testing.T) {
	b := newTestBed(t)
	b.fakeNow.Store(time.Now().UnixNano())
	b.relay.SetNodes([]relay.Node{{Name: "node"}}, nil)
	b.relay.SetRateCap("plain-0", model.NewRateCap(1))
	body, err := peer.EncodeBody(peer.CapPermit{Pool: "plain", Incarnation: "plain-0"})
	must.NoError(t, err)
	requestPermit := func() peer.CapPermitReply {
		b.fakeNow.Add(int64(time.Minute))
		reply, err := b.relay.Handlers()[peer.KindCapPermit](t.Context(), body)
		must.NoError(t, err)
		return reply.(peer.CapPermitReply)
	}
	for end := time.Now().Add(20 * time.Second); !requestPermit().Granted; time.Sleep(50 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("no permit was granted within 20 s"))
	}
	b.state(model.Endpoint{Name: "plain-0"}, model.Statement{Leaving: true})
	denied := requestPermit()
	must.False(t, denied.Granted)
	must.Positive(t, denied.Wait)
}
