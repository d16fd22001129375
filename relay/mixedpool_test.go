package relay_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// Of what an endpoint takes that gets requests as well as pieces, the nodes that send requests use a part: permits come half as
// often. Guards against a rate cap of which requests and pieces each take the whole.
func TestRateCapIsSharedByRequestsAndPieces(t *testing.T) {
	const perSecond = 2.0
	const usual = 4 * time.Second / perSecond
	b := newTestBed(t)
	b.fakeNow.Store(time.Now().UnixNano())
	b.relay.SetNodes([]relay.Node{{Name: "node"}}, nil)
	b.relay.SetRateCap("worker-0", model.NewRateCap(perSecond))
	ask := func() peer.CapPermitReply {
		body, err := peer.EncodeBody(peer.CapPermit{Pool: "workers", Incarnation: "worker-0"})
		must.NoError(t, err)
		reply, err := b.relay.Handlers()[peer.KindCapPermit](t.Context(), body)
		must.NoError(t, err)
		return reply.(peer.CapPermitReply)
	}
	granted := func() {
		for end := time.Now().Add(20 * time.Second); !ask().Granted; time.Sleep(50 * time.Millisecond) {
			must.True(t, time.Now().Before(end), must.Sprint("waited in vain for a permit"))
			b.fakeNow.Add(int64(time.Second))
		}
	}
	granted()
	must.LessEq(t, usual, ask().Wait)

	b.addRoute(model.Route{Name: "plain", Host: "h", Prefix: "/plain/", Split: []model.WeightedPool{{Pool: "workers"}}})
	granted()
	must.Greater(t, usual, ask().Wait)
}
