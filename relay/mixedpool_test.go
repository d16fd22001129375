package relay_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// If an endpoint gets both requests and pieces, each of them may use half of its rate cap: permits for requests are
// granted half as often. Guards against requests and pieces that each use the whole cap.
func TestRateCapIsSharedByRequestsAndPieces(t *testing.T) {
	const perSecond = 2.0
	// wholeCapWait bounds the wait for a permit while requests may use the whole cap.
	const wholeCapWait = 4 * time.Second / perSecond
	b := newTestBed(t)
	b.fakeNow.Store(time.Now().UnixNano())
	b.relay.SetNodes([]relay.Node{{Name: "node"}}, nil)
	b.relay.SetRateCap("worker-0", model.NewRateCap(perSecond))
	requestPermit := func() peer.CapPermitReply {
		body, err := peer.EncodeBody(peer.CapPermit{Pool: "workers", Incarnation: "worker-0"})
		must.NoError(t, err)
		reply, err := b.relay.Handlers()[peer.KindCapPermit](t.Context(), body)
		must.NoError(t, err)
		return reply.(peer.CapPermitReply)
	}
	awaitPermit := func() {
		for end := time.Now().Add(20 * time.Second); !requestPermit().Granted; time.Sleep(50 * time.Millisecond) {
			must.True(t, time.Now().Before(end), must.Sprint("no permit was granted within 20 s"))
			b.fakeNow.Add(int64(time.Second))
		}
	}
	awaitPermit()
	must.LessEq(t, wholeCapWait, requestPermit().Wait)

	b.addRoute(model.Route{Name: "plain", Host: "h", Prefix: "/plain/", Split: []model.WeightedPool{{Pool: "workers"}}})
	awaitPermit()
	must.Greater(t, wholeCapWait, requestPermit().Wait)
}
