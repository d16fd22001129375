package relay_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
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

// startHelpers starts nodes that send streams in place of this one. The first that gets a request is lost before it answers; the
// others answer with events of version v2.
func (b *testBed) startHelpers(t *testing.T) {
	var received atomic.Int64
	var nodes []relay.Node
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
			if received.Add(1) == 1 {
				return errors.New("the node is lost")
			}
			_ = stream.Send(peer.KindRelayHead, peer.RelayHead{
				Status: http.StatusOK, Header: map[string][]string{}, Framing: ending.Chunks, Binding: &kernel.Binding{Pool: "engines", Version: "v2"},
			})
			_ = stream.Send(peer.KindRelayData, peer.RelayData{Data: []byte("id: 1\ndata: x\n\n")})
			return stream.Send(peer.KindRelayEnd, peer.RelayEnd{Complete: true})
		}}
		helper.Handlers = map[peer.Kind]peer.Handler{peer.KindBindStreams: func(_ context.Context, body []byte) (any, error) {
			var message peer.BindStreams
			if err := peer.DecodeBody(body, &message); err != nil || message.Overtaking {
				return nil, errors.New("the registrar does not store it")
			}
			return peer.Empty{}, nil
		}}
		helper.Serve(kernel.Member{Node: name}, nil)
		nodes = append(nodes, relay.Node{Name: name, Address: helper.Address(), Capacity: 1, SettlesBindings: true})
	}
	b.relay.SetNodes(nodes, nil)
	b.deps.Forward = func(context.Context, relay.Send) (*model.ForwardReply, error) {
		t.Error("sent by the node itself")
		return reply(""), nil
	}
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
}

// A node that was lost may have recorded a stream at any version before another one answered. Guards against a first event that is passed on
// before the store has what the stream is bound to, and against one that is passed on although the store does not take it.
func TestStreamThatTwoNodesGotIsSettledInTheStore(t *testing.T) {
	for _, taken := range []bool{true, false} {
		b := newTestBed(t)
		var mu sync.Mutex
		settled := false
		b.deps.WriteBindings = func(_ context.Context, key string, records []peer.StreamBinding, _ []string) error {
			if !taken {
				return errors.New("the store is away")
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range records {
				settled = settled || strings.HasPrefix(key, "overtaking/") && r.Settled && r.Binding.Version == "v2"
			}
			return nil
		}
		b.startHelpers(t)
		f := model.Forward{ID: "id", Method: "POST", URI: "/res/1", Path: "/res/1", Host: "h", ReceivedAt: time.Now(), Pieces: []int{1}}
		written := false
		outcome := b.relay.Serve(context.Background(), f, relay.Responder{
			Begin: func(_ int, _ http.Header, f ending.Framing) ending.Framing { return f },
			Write: func([]byte) error {
				mu.Lock()
				defer mu.Unlock()
				must.True(t, settled)
				written = true
				return nil
			},
		})
		must.EqOp(t, taken, written)
		must.EqOp(t, taken, outcome.Complete)
		if !taken {
			must.EqOp(t, model.StreamUnknown, outcome.Refusal.Reason)
			must.EqOp(t, model.MayHaveRun, outcome.Refusal.Verdict)
		}
	}
}
