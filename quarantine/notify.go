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

// notification is a message that is being sent to the coordinators of a pool.
type notification struct {
	pool string
	kind peer.Kind
	// message returns the message. It is called for each attempt, because the message contains elapsed times. If lost
	// is true, the message says that the coordinator does not answer.
	message  func(lost bool) any
	notified map[string]bool
	// unresponsive is the last coordinator that did not answer and whose successor was informed of this.
	unresponsive string
}

// notify sends a message to the coordinators of a pool in the background. It looks them up again in each round,
// because a node that has just started does not know the others yet, and one that is cut off cannot reach them.
func (c *Agent) notify(pool string, kind peer.Kind, message func(lost bool) any) {
	n := &notification{pool: pool, kind: kind, message: message, notified: map[string]bool{c.name: true}}
	c.mu.Lock()
	if c.activeNotifications >= maxNotifications {
		c.mu.Unlock()
		c.metrics.CountEvent("CoordinatorNotInformed")
		return
	}
	c.activeNotifications++
	c.mu.Unlock()
	go func() {
		defer func() {
			c.mu.Lock()
			c.activeNotifications--
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
			c.metrics.CountEvent("CoordinatorNotInformed")
		}
	}()
}

// notifyRound notifies, in parallel, the coordinators that have not been notified yet, and reports whether all have
// been. If the first one does not answer, it informs the next one, which may not have noticed and would leave the
// decision to the first.
func (c *Agent) notifyRound(n *notification) bool {
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

func (c *Agent) call(node string, kind peer.Kind, message any) bool {
	ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
	defer cancel()
	return c.deps.Call(ctx, node, kind, message, &peer.Empty{}) == nil
}

// actAsCoordinator makes this node decide for a pool during actingDuration, because the pool's coordinator does not
// answer.
func (c *Agent) actAsCoordinator(pool string) {
	c.mu.Lock()
	c.actingUntil[pool] = c.now().Add(actingDuration)
	c.mu.Unlock()
	c.scheduleEvaluation()
}

// clearAndNotify clears a request on this node and on its pool's coordinators, which remove its entry from the store.
func (c *Agent) clearAndNotify(digest model.Digest, pool string) {
	coordinators := c.coordinators(pool)
	c.applyClear(digest, slices.Contains(coordinators[:min(coordinatorsPerPool, len(coordinators))], c.name))
	c.notify(pool, peer.KindClear, func(bool) any { return peer.Clear{Digest: digest} })
}

// applyClear clears a request that was answered. If removeEntry is true, it also removes the request's entry from the
// store. Each notified coordinator does so, as the first may not answer; other nodes do not, because many of them may
// have seen an answer.
func (c *Agent) applyClear(digest model.Digest, removeEntry bool) {
	state, _, _ := c.holdState(digest)
	change := kernel.QuarantineChange{Lift: []model.Digest{digest}}
	c.ApplyChange(change)
	c.mu.Lock()
	c.quarantine.Trust(c.now(), digest)
	c.mu.Unlock()
	if state != kernel.NotHeld && removeEntry {
		c.persist(change)
	}
}

// requestTrial asks the coordinator of a request's pool for a trial. If the trial is denied, retryAfter is the time
// after which the caller may retry, or zero if the coordinator did not answer.
func (c *Agent) requestTrial(ctx context.Context, held kernel.HeldRequest) (permitted bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply := c.sendTrial(ctx, held.Pool, peer.Trial{Digest: held.Digest})
	return reply.Permitted, reply.RetryAfter
}

// sendTrial sends a trial message to the coordinator of a pool. If the coordinator does not answer, the reply is
// zero.
func (c *Agent) sendTrial(ctx context.Context, pool string, request peer.Trial) peer.TrialReply {
	coordinator := c.coordinators(pool)[0]
	if coordinator == c.name {
		return c.applyTrial(request)
	}
	var reply peer.TrialReply
	if c.deps.Call(ctx, coordinator, peer.KindTrial, request, &reply) != nil {
		c.metrics.CountEvent("CoordinatorNotInformed")
		return peer.TrialReply{}
	}
	return reply
}

func (c *Agent) applyTrial(request peer.Trial) peer.TrialReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.Unused {
		c.quarantine.CancelTrial(request.Digest)
		return peer.TrialReply{}
	}
	permitted, retryAfter := c.quarantine.StartTrial(c.now(), request.Digest)
	return peer.TrialReply{Permitted: permitted, RetryAfter: retryAfter}
}

// Handlers returns the handlers of the messages that other nodes send to the coordinator.
func (c *Agent) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindCrash:           c.handleCrash,
		peer.KindTrial:           c.handleTrial,
		peer.KindClear:           c.handleClear,
		peer.KindStoreQuarantine: c.handleStoreQuarantine,
	}
}

func (c *Agent) handleCrash(_ context.Context, body []byte) (any, error) {
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

func (c *Agent) handleTrial(_ context.Context, body []byte) (any, error) {
	var m peer.Trial
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	return c.applyTrial(m), nil
}

func (c *Agent) handleClear(_ context.Context, body []byte) (any, error) {
	var m peer.Clear
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	c.applyClear(m.Digest, true)
	return peer.Empty{}, nil
}

func (c *Agent) handleStoreQuarantine(ctx context.Context, body []byte) (any, error) {
	var m peer.StoreQuarantine
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	c.ApplyChange(m.Change)
	return peer.Empty{}, c.deps.Store(ctx, m.Change)
}
