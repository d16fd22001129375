package relay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// helperThatEnds is another node that passes on an event of an answer with the given framing and ends it with end; it is lost if end is
// nil.
func helperThatEnds(t *testing.T, framing ending.Framing, end *peer.RelayEnd) *peer.Server {
	t.Helper()
	helper, err := peer.NewServer("127.0.0.1:0", "")
	must.NoError(t, err)
	t.Cleanup(helper.Close)
	helper.StreamHandlers = map[peer.Kind]peer.StreamHandler{peer.KindRelay: func(_ context.Context, _ []byte, stream *peer.Stream) error {
		if err := stream.Send(peer.KindRelay, peer.RelayReply{}); err != nil {
			return err
		}
		var request peer.RelayRequest
		if err := stream.Receive(peer.KindRelayRequest, &request); err != nil {
			return err
		}
		_ = stream.Send(peer.KindRelayHead, peer.RelayHead{Status: http.StatusOK, Framing: framing})
		_ = stream.Send(peer.KindRelayData, peer.RelayData{Data: []byte("id: 1\ndata: x\n\n")})
		if end == nil {
			return errors.New("the node ends")
		}
		return stream.Send(peer.KindRelayEnd, *end)
	}}
	helper.Serve(kernel.Member{Node: "helper"}, nil)
	return helper
}

// Guards against an end that is stated or not otherwise than by the node that passes the answer on.
func TestEndThroughNodeIsThatOfTheNode(t *testing.T) {
	for name, tc := range map[string]struct {
		framing  ending.Framing
		end      *peer.RelayEnd
		want     ending.End
		complete bool
	}{
		"stated":         {ending.Chunks, &peer.RelayEnd{Complete: true}, ending.Stated, true},
		"unstated":       {ending.Connection, &peer.RelayEnd{Unstated: true}, ending.Unstated, true},
		"stated later":   {ending.Connection, &peer.RelayEnd{Complete: true}, ending.Stated, true},
		"unstated later": {ending.Chunks, &peer.RelayEnd{Unstated: true}, ending.BrokenOff, false},
		"broken off":     {ending.Connection, &peer.RelayEnd{}, ending.BrokenOff, false},
		"lost":           {ending.Connection, nil, ending.BrokenOff, false},
		"older":          {"", &peer.RelayEnd{Complete: true}, ending.Unstated, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			helper := helperThatEnds(t, tc.framing, tc.end)
			b.relay.SetNodes([]relay.Node{{Name: "helper", Address: helper.Address(), Capacity: 1}}, nil)
			b.deps.Forward = func(context.Context, relay.Send) (*model.ForwardReply, error) {
				return nil, &endpoint.Fault{Kind: endpoint.Refused, Verdict: model.NotRun, Err: errors.New("refused")}
			}
			b.addRoute(model.Route{Name: "s", Host: "h", Prefix: "/s/", Kind: model.Stream, Timeout: time.Minute, Objective: time.Minute, MaxAttempts: 2, Split: []model.WeightedPool{{Pool: "plain"}}})
			f := model.Forward{ID: "id", Method: "POST", URI: "/s/1", Path: "/s/1", Host: "h", ReceivedAt: time.Now()}
			var out strings.Builder
			var framing ending.Framing
			outcome := b.relay.Serve(context.Background(), f, relay.Responder{
				Begin: func(_ int, _ http.Header, f ending.Framing) ending.Framing {
					framing = f
					return f
				},
				Write: func(p []byte) error { out.Write(p); return nil },
			})
			must.EqOp(t, "id: 1\ndata: x\n\n", out.String())
			must.EqOp(t, tc.want, outcome.End)
			must.EqOp(t, tc.complete, outcome.Complete)
			must.EqOp(t, tc.framing.ForStream(), framing)
		})
	}
}
