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
// it: the first by hash, which usually is the pool's batcher, so that all nodes talk to it anyway. It is soft state: if
// the node is lost, callers that retry count as new ones.
type refusedRequests struct {
	mu       sync.Mutex
	requests *kernel.RefusedRequests
}

func newRefusedRequests() *refusedRequests {
	return &refusedRequests{requests: kernel.NewRefusedRequests()}
}

func (s *refusedRequests) add(now time.Time, m peer.CallerWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests.Add(now, m.Identity, m.Waited)
	s.requests.ExpectRetry(now, m.Identity, m.RetryAfter)
}

func (s *refusedRequests) take(now time.Time, identity string) peer.CallerWaitReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	early := s.requests.EarlyBy(now, identity)
	return peer.CallerWaitReply{Waited: s.requests.TakeWaited(now, identity), EarlyBy: early}
}

// previousWait returns how long the caller of a request has already waited since its first attempt, and whether it retries
// earlier than told. It is zero for a new request, and if the node that keeps the refused requests gives no answer within
// queueReportTimeout.
func (r *Relay) previousWait(ctx context.Context, f model.Forward, a kernel.Admission) peer.CallerWaitReply {
	identity := kernel.RequestIdentity(a.Customer, f.Prompt)
	if identity == "" {
		return peer.CallerWaitReply{}
	}
	coordinator := r.refusedRequestsCoordinator(a.Route.Stages)
	if coordinator == r.options.Name {
		return r.refusedRequests.take(r.now(), identity)
	}
	ctx, cancel := context.WithTimeout(ctx, queueReportTimeout)
	defer cancel()
	var reply peer.CallerWaitReply
	if r.peers.Call(ctx, r.addressOf(coordinator), peer.KindCallerWait, peer.CallerWait{Identity: identity}, &reply) != nil {
		r.metrics.CountEvent("ReturnUnknown")
		return peer.CallerWaitReply{}
	}
	if reply.Waited > 0 {
		r.metrics.CountEvent("CallerReturned")
	}
	if reply.EarlyBy > 0 {
		r.metrics.CountEvent("CallerReturnedEarly")
	}
	return reply
}

// recordRefused records a refused request with stages at the node that keeps the refused requests, as its caller may
// retry it after the given time.
func (r *Relay) recordRefused(f model.Forward, a kernel.Admission, retryAfter time.Duration) {
	identity := kernel.RequestIdentity(a.Customer, f.Prompt)
	if identity == "" || len(a.Route.Stages) == 0 {
		return
	}
	message := peer.CallerWait{Identity: identity, Refused: true, Waited: f.Waited + r.now().Sub(f.ReceivedAt), RetryAfter: retryAfter}
	coordinator := r.refusedRequestsCoordinator(a.Route.Stages)
	if coordinator == r.options.Name {
		r.refusedRequests.add(r.now(), message)
		return
	}
	address := r.addressOf(coordinator)
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, notifyTimeout)
		defer cancel()
		var reply peer.CallerWaitReply
		if r.peers.Call(ctx, address, peer.KindCallerWait, message, &reply) != nil {
			r.metrics.CountEvent("ReturnNotNoted")
		}
	}()
}

// refusedRequestsCoordinator returns the node that keeps the refused requests of routes with the given stages.
func (r *Relay) refusedRequestsCoordinator(stages []model.StageNode) string {
	return r.orders.Of(stages[0].Pool, r.Reachable())[0]
}

// handleCallerWait handles a peer.CallerWait: it records a refused request, or returns how long a caller has waited.
func (r *Relay) handleCallerWait(_ context.Context, body []byte) (any, error) {
	var message peer.CallerWait
	if err := peer.DecodeBody(body, &message); err != nil {
		return nil, err
	}
	if message.Refused {
		r.refusedRequests.add(r.now(), message)
		return peer.CallerWaitReply{}, nil
	}
	return r.refusedRequests.take(r.now(), message.Identity), nil
}
