package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// Guards against a process that crashes as another node asks it to send a request, while it knows the endpoints and their
// refusal caps, and not yet the routing.
func TestNodeWithoutRoutingDeclinesRequestOfOtherNode(t *testing.T) {
	b := newTestBed(t)
	r := relay.NewRelay(relay.Options{Name: "starting", Domain: "d"}, b.deps, time.Now, metric.NewSet(), zerolog.Nop())
	t.Cleanup(r.Close)
	r.UpdateRegistry(func(kernel.Registry) kernel.Registry { return b.relay.Registry() })
	for _, e := range r.Registry().Endpoints("plain") {
		r.SetRefusalCap(e.Incarnation(), model.RateCap{PerSecond: 3, Stated: true})
	}
	server, err := peer.NewServer("127.0.0.1:0", "")
	must.NoError(t, err)
	t.Cleanup(server.Close)
	server.StreamHandlers = r.StreamHandlers()
	server.Serve(kernel.Member{Node: "starting"}, nil)
	stream, err := peer.NewClient("node", "").OpenStream(context.Background(), server.Address())
	must.NoError(t, err)
	t.Cleanup(stream.Close)
	must.NoError(t, stream.Send(peer.KindRelay, peer.Relay{Pool: "plain", Version: 1}))
	var reply peer.RelayReply
	must.NoError(t, stream.Receive(peer.KindRelay, &reply))
	must.EqOp(t, model.NotReady, reply.Declined)
}
