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

// permitTestBed is a relay that needs the permit of another node to send to any endpoint of the pool, and that node.
type permitTestBed struct {
	*testBed
	// granted is the other node's answer.
	granted atomic.Bool
	// permitRequests is the number of requests for permits that the other node has received.
	permitRequests atomic.Int64
	// sent are the endpoints that requests were sent to.
	sent []string
}

func newPermitTestBed(t *testing.T) *permitTestBed {
	h := &permitTestBed{testBed: newTestBed(t)}
	server, err := peer.NewServer("127.0.0.1:0", "")
	must.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	server.Serve(kernel.Member{Node: "other"}, map[peer.Kind]peer.Handler{
		peer.KindCapPermit: func(context.Context, []byte) (any, error) {
			h.permitRequests.Add(1)
			return peer.CapPermitReply{Granted: h.granted.Load(), Wait: 3 * time.Second}, nil
		},
	})
	h.relay.SetNodes([]relay.Node{{Name: "other", Address: server.Address()}}, nil)
	for _, name := range []string{"plain-0", "plain-1"} {
		h.relay.SetRateCap(model.Endpoint{Name: name}.Incarnation(), model.NewRateCap(1))
	}
	h.deps.Forward = func(_ context.Context, s relay.Send) (*model.ForwardReply, error) {
		if err := s.BeforeSend(); err != nil {
			return nil, err
		}
		h.sent = append(h.sent, s.Endpoint.Name)
		return reply("answer"), nil
	}
	// The limiter refreshes the list of nodes once a second.
	for deadline := time.Now().Add(20 * time.Second); h.permitRequests.Load() == 0; time.Sleep(50 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
		h.serve("/get/one")
	}
	h.sent = nil
	return h
}

// A request that needs another node's permit is sent once that node grants it. As long as the permit is denied, the
// request is refused with the time until this node's turn, and the permit is not requested again before.
func TestRequestIsSentWithPermitOfAnotherNode(t *testing.T) {
	t.Parallel()
	h := newPermitTestBed(t)
	refusal := h.serve("/get/one").Refusal
	must.NotNil(t, refusal)
	must.EqOp(t, model.EndpointsCapped, refusal.Reason)
	must.EqOp(t, model.NotRun, refusal.Verdict)
	must.Between(t, time.Second, refusal.RetryAfter, 4*time.Second)
	permitRequests := h.permitRequests.Load()
	must.NotNil(t, h.serve("/get/one").Refusal)
	must.EqOp(t, permitRequests, h.permitRequests.Load())
	must.SliceEmpty(t, h.sent)

	h.granted.Store(true)
	time.Sleep(3 * time.Second)
	must.Nil(t, h.serve("/get/one").Refusal)
	must.SliceLen(t, 1, h.sent)
}

// A permit expires soon: a request whose connection takes longer to open must not be sent with it, as it could arrive
// together with the next requests of the node that granted the permit.
func TestExpiredPermitIsNotUsed(t *testing.T) {
	t.Parallel()
	h := newPermitTestBed(t)
	h.granted.Store(true)
	time.Sleep(3 * time.Second)
	attempts := 0
	forward := h.deps.Forward
	h.deps.Forward = func(ctx context.Context, s relay.Send) (*model.ForwardReply, error) {
		attempts++
		time.Sleep(kernel.PermitLifetime)
		return forward(ctx, s)
	}
	must.NotNil(t, h.serve("/get/one").Refusal)
	must.Positive(t, attempts)
	must.SliceEmpty(t, h.sent)
}

// A request whose permits were denied is refused because of the rate caps, with when to come back, also if another endpoint
// could have been asked for. Guards against a refusal that names no endpoint as its reason.
func TestRefusalAfterDeniedPermitsNamesRateCaps(t *testing.T) {
	t.Parallel()
	h := newPermitTestBed(t)
	now := time.Now()
	var added []model.Endpoint
	for _, name := range []string{"plain-2", "plain-3", "plain-4"} {
		e := model.Endpoint{Name: name, Pool: "plain", State: model.Live}
		added = append(added, e)
		h.relay.SetRateCap(e.Incarnation(), model.NewRateCap(1))
	}
	h.relay.UpdateRegistry(func(before kernel.Registry) kernel.Registry {
		return before.WithChanges(now, now, added, nil, nil)
	})
	refusal := h.serve("/get/one").Refusal
	must.NotNil(t, refusal)
	must.EqOp(t, model.EndpointsCapped, refusal.Reason)
	must.EqOp(t, model.NotRun, refusal.Verdict)
	must.Positive(t, refusal.RetryAfter)
}
