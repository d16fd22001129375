package relay_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// Guards against an answer that is counted twice as broken off: the counters of ends by their evidence have names of their own.
func TestBrokenOffAnswerIsCountedOnce(t *testing.T) {
	b := newTestBed(t)
	metrics := metric.NewSet()
	deps := b.deps
	deps.CloseIdle = func(string) {}
	deps.StoreQuarantine = func(context.Context, kernel.QuarantineChange) error { return nil }
	deps.PublishRateCap = func(context.Context, string, model.RateCap) error { return nil }
	deps.WriteVersion = func(context.Context, kernel.VersionWrite) error { return nil }
	deps.WriteBindings = func(context.Context, string, []peer.StreamBinding, []string) error { return nil }
	deps.ReadBindings = func(context.Context, string) (map[string][]peer.StreamBinding, error) { return nil, nil }
	deps.Forward = func(context.Context, relay.Send) (*model.ForwardReply, error) {
		r := reply("id: 1\ndata: x\n\n")
		r.Framing = ending.Connection
		return r, nil
	}
	r := relay.NewRelay(relay.Options{Name: "counted", Domain: "d", RetryLimits: kernel.FleetRetryLimits{Ratio: 1, Slack: 100, Window: 10 * time.Second}}, deps, time.Now, metrics, zerolog.Nop())
	t.Cleanup(r.Close)
	r.SetNodes(nil, nil)
	r.SetRouting(time.Now(), b.relay.View().Table)
	r.UpdateRegistry(func(kernel.Registry) kernel.Registry { return b.relay.Registry() })
	f := model.Forward{ID: "id", Method: "POST", URI: "/gen/1", Path: "/gen/1", Host: "h", ReceivedAt: time.Now(), Pieces: []int{1}}
	outcome := r.Serve(context.Background(), f, relay.Responder{
		Begin: func(_ int, _ http.Header, f ending.Framing) ending.Framing { return f },
		Write: func([]byte) error { return errors.New("the caller is gone") },
	})
	must.False(t, outcome.Complete)
	must.EqOp(t, 1, metrics.EventCount("AnswerBrokenOff"))
}

// olderNode is a node of a build that tells neither the framing of an answer nor whether its end was stated.
func olderNode(t *testing.T, status int, header map[string][]string, body string) *peer.Server {
	t.Helper()
	server, err := peer.NewServer("127.0.0.1:0", "")
	must.NoError(t, err)
	t.Cleanup(server.Close)
	server.StreamHandlers = map[peer.Kind]peer.StreamHandler{peer.KindRelay: func(_ context.Context, _ []byte, stream *peer.Stream) error {
		if err := stream.Send(peer.KindRelay, peer.RelayReply{}); err != nil {
			return err
		}
		var request peer.RelayRequest
		if err := stream.Receive(peer.KindRelayRequest, &request); err != nil {
			return err
		}
		if err := stream.Send(peer.KindRelaySent, peer.RelaySent{Attempts: 1}); err != nil {
			return err
		}
		if err := stream.Send(peer.KindRelayHead, peer.RelayHead{Status: status, Header: header}); err != nil {
			return err
		}
		if err := stream.Send(peer.KindRelayData, peer.RelayData{Data: []byte(body)}); err != nil {
			return err
		}
		return stream.Send(peer.KindRelayEnd, peer.RelayEnd{Complete: true, Attempts: 1})
	}}
	server.Serve(kernel.Member{Node: "older"}, nil)
	return server
}

// Guards against an answer that states an end to its caller by the length that a node of an older build has counted, although
// its end counts as unstated: net/http sends a Content-Length whatever the framing.
func TestAnswerThroughOlderNodeStatesNoLength(t *testing.T) {
	b := newTestBed(t)
	body := "the beginning of an answer"
	older := olderNode(t, http.StatusOK, map[string][]string{"Content-Length": {"26"}}, body)
	b.relay.SetNodes([]relay.Node{{Name: "older", Address: older.Address(), Capacity: 1}}, nil)
	b.deps.Forward = func(context.Context, relay.Send) (*model.ForwardReply, error) {
		return nil, &endpoint.Fault{Kind: endpoint.Refused, Verdict: model.NotRun, Err: errors.New("refused")}
	}
	f := model.Forward{ID: "id", Method: "POST", URI: "/get/1", Path: "/get/1", Host: "h", ReceivedAt: time.Now()}
	var framing ending.Framing
	var header http.Header
	var out strings.Builder
	outcome := b.relay.Serve(context.Background(), f, relay.Responder{
		Begin: func(_ int, h http.Header, f ending.Framing) ending.Framing {
			header, framing = h.Clone(), f
			return f
		},
		Write: func(p []byte) error { out.Write(p); return nil },
	})
	must.Nil(t, outcome.Refusal, must.Sprint(outcome.Refusal))
	must.EqOp(t, body, out.String())
	must.EqOp(t, ending.Unstated, outcome.End)
	must.EqOp(t, ending.Connection, framing)
	must.EqOp(t, "", header.Get("Content-Length"))
}
