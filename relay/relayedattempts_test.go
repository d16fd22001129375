package relay_test

import (
	"context"
	"net/http"
	"sync/atomic"
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

// Guards against a stream that runs at more endpoints than its route allows: the node that sends it for another one goes on at
// a second endpoint after the head of the answer, and is then lost.
func TestAttemptsAfterHeadOfRelayedStreamCount(t *testing.T) {
	b := newTestBed(t)
	var received atomic.Int64
	nodes := []relay.Node{}
	for _, name := range []string{"helper-0", "helper-1"} {
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
			received.Add(1)
			_ = stream.Send(peer.KindRelaySent, peer.RelaySent{Attempts: 1})
			_ = stream.Send(peer.KindRelayHead, peer.RelayHead{Status: http.StatusOK, Header: map[string][]string{}, Framing: ending.Chunks, Binding: &kernel.Binding{Pool: "engines"}})
			_ = stream.Send(peer.KindRelayData, peer.RelayData{Data: []byte("id: 1\ndata: x\n\n")})
			_ = stream.Send(peer.KindRelaySent, peer.RelaySent{Attempts: 2})
			go helper.Close()
			return errors.New("the node ends")
		}}
		helper.Serve(kernel.Member{Node: name}, nil)
		nodes = append(nodes, relay.Node{Name: name, Address: helper.Address(), Capacity: 1, SettlesBindings: true})
	}
	b.relay.SetNodes(nodes, nil)
	b.deps.Connect = func(context.Context, string) error { return syscall.EHOSTUNREACH }
	b.addResumable()
	began := time.Now()
	b.relay.UpdateRegistry(func(before kernel.Registry) kernel.Registry {
		return before.WithChanges(began, began, []model.Endpoint{
			{Name: "engine-0", Address: "e0", Pool: "engines", State: model.Live}, {Name: "engine-1", Address: "e1", Pool: "engines", State: model.Live},
		}, nil, nil)
	})
	for _, address := range []string{"e0", "e1"} {
		b.relay.RecordDial(address, time.Now(), syscall.EHOSTUNREACH)
	}
	f := model.Forward{ID: "id", Method: "POST", URI: "/res/1", Path: "/res/1", Host: "h", ReceivedAt: time.Now(), Pieces: []int{1}}
	outcome := b.relay.Serve(context.Background(), f, relay.Responder{
		Begin: func(_ int, _ http.Header, f ending.Framing) ending.Framing { return f },
		Write: func([]byte) error { return nil },
	})
	must.EqOp(t, 1, received.Load(), must.Sprint("nodes that sent the request"))
	must.EqOp(t, 2, outcome.Attempts)
	must.False(t, outcome.Complete)
}
