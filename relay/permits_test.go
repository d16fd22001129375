package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

// permitHarness is a relay that has to ask another node before it may send to any endpoint of the pool, and that node's answers.
type permitHarness struct {
	*testBed
	granted        atomic.Bool
	permitRequests atomic.Int64
	sent           []string
}

func newPermitHarness(t *testing.T) *permitHarness {
	b := &permitHarness{testBed: newTestBed(t)}
	sharer, err := peer.NewServer("127.0.0.1:0", "")
	must.NoError(t, err)
	t.Cleanup(func() { sharer.Close() })
	sharer.Serve(kernel.Member{Node: "other"}, map[peer.Kind]peer.Handler{
		peer.KindCapPermit: func(context.Context, []byte) (any, error) {
			b.permitRequests.Add(1)
			return peer.CapPermitReply{Granted: b.granted.Load(), Wait: 3 * time.Second}, nil
		},
	})
	b.relay.SetNodes([]relay.Node{{Name: "other", Address: sharer.Address()}}, nil)
	for _, name := range []string{"plain-0", "plain-1"} {
		b.relay.SetRateCap(model.Endpoint{Name: name}.Incarnation(), model.NewRateCap(1))
	}
	b.deps.Forward = func(_ context.Context, s relay.Send) (*model.ForwardReply, error) {
		if err := s.BeforeSend(); err != nil {
			return nil, err
		}
		b.sent = append(b.sent, s.Endpoint.Name)
		return reply("answer"), nil
	}
	// The relay looks each second which nodes there are.
	for end := time.Now().Add(20 * time.Second); b.permitRequests.Load() == 0; time.Sleep(50 * time.Millisecond) {
		must.True(t, time.Now().Before(end))
		b.serve("/get/one")
	}
	b.sent = nil
	return b
}

// A request that only another node may let through is sent once that node grants it, and refused with when to come back
// while it does not; what was denied is not asked again before its turn.
func TestRequestIsSentWithPermitOfAnotherNode(t *testing.T) {
	t.Parallel()
	b := newPermitHarness(t)
	refusal := b.serve("/get/one").Refusal
	must.NotNil(t, refusal)
	must.EqOp(t, model.EndpointsCapped, refusal.Reason)
	must.EqOp(t, model.NotRun, refusal.Verdict)
	must.Between(t, time.Second, refusal.RetryAfter, 4*time.Second)
	asked := b.permitRequests.Load()
	must.NotNil(t, b.serve("/get/one").Refusal)
	must.EqOp(t, asked, b.permitRequests.Load())
	must.SliceEmpty(t, b.sent)

	b.granted.Store(true)
	time.Sleep(3 * time.Second)
	must.Nil(t, b.serve("/get/one").Refusal)
	must.SliceLen(t, 1, b.sent)
}

// A permit counts for a moment only: a request whose connection took longer to open is not sent with it. Guards against
// sends that arrive together with those of the node that granted them.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	t.Parallel()
	b := newPermitHarness(t)
	b.granted.Store(true)
	time.Sleep(3 * time.Second)
	late := 0
	forward := b.deps.Forward
	b.deps.Forward = func(ctx context.Context, s relay.Send) (*model.ForwardReply, error) {
		late++
		time.Sleep(kernel.PermitLifetime)
		return forward(ctx, s)
	}
	must.NotNil(t, b.serve("/get/one").Refusal)
	must.Positive(t, late)
	must.SliceEmpty(t, b.sent)
}
