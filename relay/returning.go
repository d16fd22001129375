package relay

import (
	"context"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// refusedRequests is a kernel.RefusedRequests that is safe for concurrent use. For each pool of stages, one node holds
// it: the pool's batcher, which all nodes talk to anyway. It is soft state: if the batcher is lost, callers that retry
// count as new ones.
type refusedRequests struct {
	mu       sync.Mutex
	requests *kernel.RefusedRequests
}

func newRefusedRequests() *refusedRequests {
	return &refusedRequests{requests: kernel.NewRefusedRequests()}
}

func (s *refusedRequests) add(now time.Time, identity string, waited time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests.Add(now, identity, waited)
}

func (s *refusedRequests) takeWaited(now time.Time, identity string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests.TakeWaited(now, identity)
}

// previousWait returns how long the caller of a request has already waited since its first attempt. It is zero for a
// new request, and if the node that keeps the refused requests gives no answer within queueReportTimeout.
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
	var reply peer.CallerWaitReply
	if r.peers.Call(ctx, r.addressOf(coordinator), peer.KindCallerWait, peer.CallerWait{Identity: identity}, &reply) != nil {
		r.metrics.CountEvent("ReturnUnknown")
		return 0
	}
	if reply.Waited > 0 {
		r.metrics.CountEvent("CallerReturned")
	}
	return reply.Waited
}

// recordRefused records a refused request with stages at the node that keeps the refused requests, as its caller may
// retry it.
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
		var reply peer.CallerWaitReply
		if r.peers.Call(ctx, address, peer.KindCallerWait, peer.CallerWait{Identity: identity, Refused: true, Waited: waited}, &reply) != nil {
			r.metrics.CountEvent("ReturnNotNoted")
		}
	}()
}

// refusedRequestsCoordinator returns the node that keeps the refused requests of a route.
func (r *Relay) refusedRequestsCoordinator(stages []model.StageNode) string {
	return kernel.NodesByHash(stages[0].Pool, r.Reachable())[0]
}

// handleCallerWait handles a peer.Return: it records a refused request, or returns how long a caller has waited.
func (r *Relay) handleCallerWait(_ context.Context, body []byte) (any, error) {
	var message peer.CallerWait
	if err := peer.DecodeBody(body, &message); err != nil {
		return nil, err
	}
	if message.Refused {
		r.refusedRequests.add(r.now(), message.Identity, message.Waited)
		return peer.CallerWaitReply{}, nil
	}
	return peer.CallerWaitReply{Waited: r.refusedRequests.takeWaited(r.now(), message.Identity)}, nil
}
