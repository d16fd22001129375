package relay

import (
	"context"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// returning guards a kernel.Returning, which one node holds for each pool of stages: its batcher,
// whom all nodes talk to anyway. It is soft state: with the batcher lost, callers that come back
// count as new ones.
type refusedRequests struct {
	mu       sync.Mutex
	requests *kernel.RefusedRequests
}

func newRefusedRequests() *refusedRequests {
	return &refusedRequests{requests: kernel.NewRefusedRequests()}
}

func (m *refusedRequests) add(now time.Time, identity string, waited time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests.Add(now, identity, waited)
}

func (m *refusedRequests) takeWaited(now time.Time, identity string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.requests.TakeWaited(now, identity)
}

// previousWait returns how long the caller of a request has waited since its first attempt.
func (r *Relay) previousWait(ctx context.Context, f model.Forward, a kernel.Admission) time.Duration {
	identity := kernel.RequestIdentity(a.Customer, f.Prompt)
	if identity == "" {
		return 0
	}
	coordinator := r.refusedRequestsCoordinator(a.Route.Stages)
	if coordinator == r.options.Name {
		return r.refusedRequests.takeWaited(r.now(), identity)
	}
	ctx, cancel := context.WithTimeout(ctx, queueReportTimeout)
	defer cancel()
	var reply peer.ReturnReply
	if r.peers.Call(ctx, r.addressOf(coordinator), peer.KindReturn, peer.Return{Identity: identity}, &reply) != nil {
		r.metrics.Event("ReturnUnknown")
		return 0
	}
	if reply.Waited > 0 {
		r.metrics.Event("CallerReturned")
	}
	return reply.Waited
}

// recordRefused tells the coordinator that a request with stages was refused and may come back.
func (r *Relay) recordRefused(f model.Forward, a kernel.Admission) {
	identity := kernel.RequestIdentity(a.Customer, f.Prompt)
	if identity == "" || len(a.Route.Stages) == 0 {
		return
	}
	waited := f.Waited + r.now().Sub(f.ReceivedAt)
	coordinator := r.refusedRequestsCoordinator(a.Route.Stages)
	if coordinator == r.options.Name {
		r.refusedRequests.add(r.now(), identity, waited)
		return
	}
	address := r.addressOf(coordinator)
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, notifyTimeout)
		defer cancel()
		var reply peer.ReturnReply
		if r.peers.Call(ctx, address, peer.KindReturn, peer.Return{Identity: identity, Refused: true, Waited: waited}, &reply) != nil {
			r.metrics.Event("ReturnNotNoted")
		}
	}()
}

// refusedRequestsCoordinator returns the node that remembers the refused requests of a route.
func (r *Relay) refusedRequestsCoordinator(stages []model.StageNode) string {
	return kernel.NodesByHash(stages[0].Pool, r.Reachable())[0]
}

func (r *Relay) handleReturn(_ context.Context, body []byte) (any, error) {
	var m peer.Return
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	if m.Refused {
		r.refusedRequests.add(r.now(), m.Identity, m.Waited)
		return peer.ReturnReply{}, nil
	}
	return peer.ReturnReply{Waited: r.refusedRequests.takeWaited(r.now(), m.Identity)}, nil
}
