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
	// message returns the message. It is called for each attempt, because the message contains elapsed times. If
	// coordinatorLost is true, the message says that the coordinator does not answer.
	message func(coordinatorLost bool) any
	// notified holds the nodes that have received the message, and this node.
	notified map[string]bool
	// unresponsive is the last coordinator that did not answer and whose successor was informed of this.
	unresponsive string
}

// notify sends a message to the first coordinatorsPerPool coordinators of a pool in the background. It looks them up
// again in each round, because a node that has just started does not know the others yet, and a partitioned one cannot
// reach them.
func (a *Agent) notify(pool string, kind peer.Kind, message func(coordinatorLost bool) any) {
	n := &notification{pool: pool, kind: kind, message: message, notified: map[string]bool{a.name: true}}
	a.mu.Lock()
	if a.activeNotifications >= maxNotifications {
		a.mu.Unlock()
		a.metrics.CountEvent("CoordinatorNotInformed")
		return
	}
	a.activeNotifications++
	a.mu.Unlock()
	go func() {
		defer func() {
			a.mu.Lock()
			a.activeNotifications--
			a.mu.Unlock()
		}()
		allNotified := false
		for range notifyRounds {
			allNotified = a.notifyRound(n)
			if !clock.Sleep(a.ctx, notifyInterval) {
				return
			}
		}
		if !allNotified {
			a.metrics.CountEvent("CoordinatorNotInformed")
		}
	}()
}

// notifyRound notifies, in parallel, the coordinators that have not been notified yet, and reports whether all have
// been. If the first one does not answer, it informs the next one of this, which may not have noticed and would leave
// the decision to the first.
func (a *Agent) notifyRound(n *notification) bool {
	coordinators := a.coordinators(n.pool)
	coordinators = coordinators[:min(coordinatorsPerPool, len(coordinators))]
	answered := make([]bool, len(coordinators))
	var calls sync.WaitGroup
	for i, node := range coordinators {
		if n.notified[node] {
			answered[i] = true
			continue
		}
		calls.Go(func() { answered[i] = a.call(node, n.kind, n.message(false)) })
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
	if next == a.name {
		a.actAsCoordinator(n.pool)
	} else {
		a.call(next, n.kind, n.message(true))
	}
	return allNotified
}

// call sends a message to a node and reports whether it answered.
func (a *Agent) call(node string, kind peer.Kind, message any) bool {
	ctx, cancel := context.WithTimeout(a.ctx, notifyTimeout)
	defer cancel()
	return a.deps.Call(ctx, node, kind, message, &peer.Empty{}) == nil
}

// actAsCoordinator makes this node decide for a pool during actingDuration, because the pool's coordinator does not
// answer.
func (a *Agent) actAsCoordinator(pool string) {
	a.mu.Lock()
	a.actingUntil[pool] = a.now().Add(actingDuration)
	a.mu.Unlock()
	a.scheduleEvaluation()
}

// clearAndNotify clears a request on this node and on its pool's coordinators, which remove its entry from the store.
func (a *Agent) clearAndNotify(digest model.Digest, pool string) {
	coordinators := a.coordinators(pool)
	a.applyClear(digest, slices.Contains(coordinators[:min(coordinatorsPerPool, len(coordinators))], a.name))
	a.notify(pool, peer.KindClear, func(bool) any { return peer.Clear{Digest: digest} })
}

// applyClear clears a request that was answered. If removeEntry is true, it also removes the request's entry from the
// store. Each notified coordinator does so, as the first may not answer; other nodes do not, because many of them may
// have seen an answer.
func (a *Agent) applyClear(digest model.Digest, removeEntry bool) {
	state, _, _ := a.holdState(digest)
	change := kernel.QuarantineChange{Lift: []model.Digest{digest}}
	a.ApplyChange(change)
	a.mu.Lock()
	a.quarantine.Trust(a.now(), digest)
	a.mu.Unlock()
	if state != kernel.NotHeld && removeEntry {
		if digest.IsPart() {
			a.spread(change)
		}
		a.persist(change)
	}
}

// requestTrial asks the coordinator of a request's pool for a trial. If the trial is denied, retryAfter is the time
// after which the caller may retry, or zero if the coordinator did not answer.
func (a *Agent) requestTrial(ctx context.Context, held kernel.HeldRequest, request model.Digest) (permitted bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply := a.sendTrial(ctx, held.Pool, peer.Trial{Digest: held.Digest, Request: request})
	return reply.Permitted, reply.RetryAfter
}

// sendTrial sends a trial message to the coordinator of a pool. If the coordinator does not answer, the reply is
// zero.
func (a *Agent) sendTrial(ctx context.Context, pool string, request peer.Trial) peer.TrialReply {
	coordinator := a.coordinators(pool)[0]
	if coordinator == a.name {
		return a.applyTrial(request)
	}
	var reply peer.TrialReply
	if a.deps.Call(ctx, coordinator, peer.KindTrial, request, &reply) != nil {
		a.metrics.CountEvent("CoordinatorNotInformed")
		return peer.TrialReply{}
	}
	return reply
}

// isNewCoordinator reports whether another node may have permitted a trial in a pool that is still running: it came before
// this one lately, or nodes that do not reach it ask this one. The caller holds a.mu.
func (a *Agent) isNewCoordinator(pool string) bool {
	if a.coordinators(pool)[0] != a.name {
		a.notFirstAt[pool] = a.now()
	}
	at, known := a.notFirstAt[pool]
	return known && a.now().Sub(at) < kernel.TrialTimeout
}

// applyTrial handles a trial message as the coordinator of the request's pool.
func (a *Agent) applyTrial(request peer.Trial) peer.TrialReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	if request.Unused {
		a.quarantine.CancelTrial(request.Digest)
		return peer.TrialReply{}
	}
	if pool := a.quarantine.PoolOf(request.Digest); a.isNewCoordinator(pool) {
		a.metrics.CountEvent("QuarantineTrialDeferred")
		return peer.TrialReply{RetryAfter: newCoordinatorRetryAfter}
	}
	permitted, retryAfter := a.quarantine.StartTrial(a.now(), request.Digest, request.Request)
	return peer.TrialReply{Permitted: permitted, RetryAfter: retryAfter}
}

// Handlers returns the handlers of the messages on the quarantine that other nodes send to this one.
func (a *Agent) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindCrash:           a.handleCrash,
		peer.KindTrial:           a.handleTrial,
		peer.KindClear:           a.handleClear,
		peer.KindStoreQuarantine: a.handleStoreQuarantine,

		peer.KindSpreadQuarantine: a.handleSpreadQuarantine,
		peer.KindAskParts:         a.handleAskParts,
	}
}

func (a *Agent) handleCrash(_ context.Context, body []byte) (any, error) {
	var m peer.Crash
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	if m.CoordinatorLost {
		a.actAsCoordinator(m.Pool)
	}
	a.recordCrash(decodeCrash(a.now(), m))
	return peer.Empty{}, nil
}

func (a *Agent) handleTrial(_ context.Context, body []byte) (any, error) {
	var m peer.Trial
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	return a.applyTrial(m), nil
}

func (a *Agent) handleClear(_ context.Context, body []byte) (any, error) {
	var m peer.Clear
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	a.applyClear(m.Digest, true)
	return peer.Empty{}, nil
}

// handleStoreQuarantine applies a change and writes it to the store for a node that the store does not answer.
func (a *Agent) handleStoreQuarantine(ctx context.Context, body []byte) (any, error) {
	var m peer.StoreQuarantine
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	a.ApplyChange(m.Change)
	return peer.Empty{}, a.deps.Store(ctx, m.Change)
}
