package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// notification is a message to the coordinators of a pool on its way.
type notification struct {
	pool string
	kind peer.Kind
	// message is made anew for each try, as it bears times; lost tells it that the coordinator does not answer.
	message  func(lost bool) any
	notified map[string]bool
	// lost is the coordinator that did not answer, as the next one was notified.
	unresponsive string
}

// notify sends a message to the coordinators of a pool. Who they are is looked at again and again for a while: a node that has
// just started does not know the others yet, and one that is cut off does not reach them.
func (c *Coordinator) notify(pool string, kind peer.Kind, message func(lost bool) any) {
	n := &notification{pool: pool, kind: kind, message: message, notified: map[string]bool{c.name: true}}
	c.mu.Lock()
	if c.notifying >= maxNotifications {
		c.mu.Unlock()
		c.metrics.Event("CoordinatorNotInformed")
		return
	}
	c.notifying++
	c.mu.Unlock()
	go func() {
		defer func() {
			c.mu.Lock()
			c.notifying--
			c.mu.Unlock()
		}()
		allNotified := false
		for range notifyRounds {
			allNotified = c.notifyRound(n)
			if !clock.Sleep(c.ctx, notifyInterval) {
				return
			}
		}
		if !allNotified {
			c.metrics.Event("CoordinatorNotInformed")
		}
	}()
}

// notifyRound notifies the coordinators that were not yet, all at once; it reports whether all were. Where the first one
// does not answer, the next one learns of it: it has not noticed, and would leave the decision to the first.
func (c *Coordinator) notifyRound(n *notification) bool {
	coordinators := c.coordinators(n.pool)
	coordinators = coordinators[:min(coordinatorsPerPool, len(coordinators))]
	answered := make([]bool, len(coordinators))
	var calls sync.WaitGroup
	for i, node := range coordinators {
		if n.notified[node] {
			answered[i] = true
			continue
		}
		calls.Go(func() { answered[i] = c.call(node, n.kind, n.message(false)) })
	}
	calls.Wait()
	allNotified := true
	for i, node := range coordinators {
		n.notified[node] = answered[i]
		allNotified = allNotified && answered[i]
	}
	if answered[0] || len(coordinators) < coordinatorsPerPool || n.unresponsive == coordinators[0] {
		return allNotified
	}
	n.unresponsive = coordinators[0]
	next := coordinators[1]
	if next == c.name {
		c.actAsCoordinator(n.pool)
	} else {
		c.call(next, n.kind, n.message(true))
	}
	return allNotified
}

func (c *Coordinator) call(node string, kind peer.Kind, message any) bool {
	ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
	defer cancel()
	return c.deps.Call(ctx, node, kind, message, &peer.Empty{}) == nil
}

// actAsCoordinator has this node decide on a pool's cases for a while, in the place of a coordinator that does not answer.
func (c *Coordinator) actAsCoordinator(pool string) {
	c.mu.Lock()
	c.actingUntil[pool] = c.now().Add(actingDuration)
	c.mu.Unlock()
	c.scheduleEvaluation()
}

// clear has a request cleared here and at its pool's coordinators, and its entry taken out of the store.
func (c *Coordinator) clearAndNotify(digest model.Digest, pool string) {
	coordinators := c.coordinators(pool)
	c.applyClear(digest, slices.Contains(coordinators[:min(coordinatorsPerPool, len(coordinators))], c.name))
	c.notify(pool, peer.KindClear, func(bool) any { return peer.Clear{Digest: digest} })
}

// applyClear clears a request. With removeEntry its entry is taken out of the store: by each coordinator that is told, since
// the first may not answer, and by no other node, since many may have seen an answer.
func (c *Coordinator) applyClear(digest model.Digest, removeEntry bool) {
	state, _, _ := c.holdState(digest)
	change := kernel.QuarantineChange{Lift: []model.Digest{digest}}
	c.ApplyChange(change)
	c.mu.Lock()
	c.q.Trust(c.now(), digest)
	c.mu.Unlock()
	if state != kernel.NotHeld && removeEntry {
		c.persist(change)
	}
}

// requestTrial asks the coordinator of a request's pool for a trial. Where it is not permitted, it returns when the caller may
// come back, or zero where the coordinator did not answer.
func (c *Coordinator) requestTrial(ctx context.Context, held kernel.HeldRequest) (permitted bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply := c.sendTrial(ctx, held.Pool, peer.Trial{Digest: held.Digest})
	return reply.Permitted, reply.RetryAfter
}

// trial takes a request for a trial to the coordinator of a pool.
func (c *Coordinator) sendTrial(ctx context.Context, pool string, request peer.Trial) peer.TrialReply {
	coordinator := c.coordinators(pool)[0]
	if coordinator == c.name {
		return c.applyTrial(request)
	}
	var reply peer.TrialReply
	if c.deps.Call(ctx, coordinator, peer.KindTrial, request, &reply) != nil {
		c.metrics.Event("CoordinatorNotInformed")
		return peer.TrialReply{}
	}
	return reply
}

func (c *Coordinator) applyTrial(request peer.Trial) peer.TrialReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Unused {
		c.q.CancelTrial(request.Digest)
		return peer.TrialReply{}
	}
	permitted, retryAfter := c.q.StartTrial(c.now(), request.Digest)
	return peer.TrialReply{Permitted: permitted, RetryAfter: retryAfter}
}

// Handlers answer other nodes.
func (c *Coordinator) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindCrash: c.handleCrash,
		peer.KindTrial: c.handleTrial,
		peer.KindClear: c.handleClear,
		peer.KindHold:  c.handleHold,
	}
}

func (c *Coordinator) handleCrash(_ context.Context, body []byte) (any, error) {
	var m peer.Crash
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	if m.CoordinatorLost {
		c.actAsCoordinator(m.Pool)
	}
	c.recordCrash(m.Pool, kernel.Crash{Incarnation: m.Incarnation, At: c.now().Add(-m.EndedAgo)}, m.Digests)
	return peer.Empty{}, nil
}

func (c *Coordinator) handleTrial(_ context.Context, body []byte) (any, error) {
	var m peer.Trial
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	return c.applyTrial(m), nil
}

func (c *Coordinator) handleClear(_ context.Context, body []byte) (any, error) {
	var m peer.Clear
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	c.applyClear(m.Digest, true)
	return peer.Empty{}, nil
}

func (c *Coordinator) handleHold(ctx context.Context, body []byte) (any, error) {
	var m peer.Hold
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	c.ApplyChange(m.Change)
	return peer.Empty{}, c.deps.Store(ctx, m.Change)
}
