package relay_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// Guards against a refusal behind the events of a stream that another node began, whose stages are refused as it goes on here.
func TestStreamThatAnotherNodeBeganIsNotRefused(t *testing.T) {
	b := newTestBed(t)
	var helper *peer.Server
	helper, err := peer.NewServer("127.0.0.1:0", "")
	must.NoError(t, err)
	helper.StreamHandlers = map[peer.Kind]peer.StreamHandler{peer.KindRelay: func(_ context.Context, _ []byte, stream *peer.Stream) error {
		if err := stream.Send(peer.KindRelay, peer.RelayReply{}); err != nil {
			return err
		}
		var request peer.RelayRequest
		if err := stream.Receive(peer.KindRelayRequest, &request); err != nil {
			return err
		}
		_ = stream.Send(peer.KindRelaySent, peer.RelaySent{Attempts: 1})
		_ = stream.Send(peer.KindRelayHead, peer.RelayHead{Status: http.StatusOK, Header: map[string][]string{}, Framing: ending.Chunks, Binding: &kernel.Binding{Pool: "engines"}})
		_ = stream.Send(peer.KindRelayData, peer.RelayData{Data: []byte("id: 1\ndata: x\n\n")})
		go helper.Close()
		return errors.New("the node ends")
	}}
	helper.Serve(kernel.Member{Node: "helper"}, nil)
	b.relay.SetNodes([]relay.Node{{Name: "helper", Address: helper.Address(), Capacity: 1, SettlesBindings: true}}, nil)
	b.deps.Connect = func(context.Context, string) error { return syscall.EHOSTUNREACH }
	b.deps.Forward = func(context.Context, relay.Send) (*model.ForwardReply, error) {
		t.Error("sent without its inputs")
		return reply(""), nil
	}
	b.deps.RunPieces = func(context.Context, relay.Call, []model.Piece) (relay.PieceReply, error) {
		return relay.PieceReply{}, errors.New("no piece is made")
	}
	b.addRoute(model.Route{
		Name: "res", Host: "h", Prefix: "/res/", Kind: model.Stream, Resumable: true, Timeout: time.Minute, Objective: time.Minute,
		MaxAttempts: 4, Split: []model.WeightedPool{{Pool: "engines"}}, Stages: []model.StageNode{{Pool: "workers", ResultBytes: 1000}},
	})
	began := time.Now()
	b.relay.UpdateRegistry(func(before kernel.Registry) kernel.Registry {
		return before.WithChanges(began, began, []model.Endpoint{
			{Name: "engine-0", Address: "e0", Pool: "engines", State: model.Live}, {Name: "engine-1", Address: "e1", Pool: "engines", State: model.Live},
		}, nil, nil)
	})
	for _, address := range []string{"e0", "e1"} {
		b.relay.RecordDial(address, time.Now(), syscall.EHOSTUNREACH)
	}
	var out strings.Builder
	begins := 0
	f := model.Forward{ID: "id", Method: "POST", URI: "/res/1", Path: "/res/1", Host: "h", ReceivedAt: time.Now(), Pieces: []int{1}}
	outcome := b.relay.Serve(context.Background(), f, relay.Responder{
		Begin: func(_ int, _ http.Header, f ending.Framing) ending.Framing {
			begins++
			return f
		},
		Write: func(p []byte) error { out.Write(p); return nil },
	})
	must.EqOp(t, 1, begins)
	must.EqOp(t, "id: 1\ndata: x\n\n", out.String())
	must.Nil(t, outcome.Refusal)
	must.NotNil(t, outcome.Cause)
	must.False(t, outcome.Complete)
	must.EqOp(t, ending.BrokenOff, outcome.End)
}
