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
	lost string
}

// notify sends a message to the coordinators of a pool. Who they are is looked at again and again for a while: a node that has
// just started does not know the others yet, and one that is cut off does not reach them.
func (c *Coordinator) notify(pool string, kind peer.Kind, message func(lost bool) any) {
	n := &notification{pool: pool, kind: kind, message: message, notified: map[string]bool{c.name: true}}
	c.mu.Lock()
	if c.notifying >= mostNotifications {
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
		all := false
		for range notifyTries {
			all = c.notifyOnce(n)
			if !clock.Sleep(c.ctx, notifyPause) {
				return
			}
		}
		if !all {
			c.metrics.Event("CoordinatorNotInformed")
		}
	}()
}

// notifyOnce notifies the coordinators that were not yet, all at once; it reports whether all were. Where the first one
// does not answer, the next one learns of it: it has not noticed, and would leave the decision to the first.
func (c *Coordinator) notifyOnce(n *notification) bool {
	coordinators := c.coordinators(n.pool)
	coordinators = coordinators[:min(coordinatorsInformed, len(coordinators))]
	answered := make([]bool, len(coordinators))
	var asked sync.WaitGroup
	for i, node := range coordinators {
		if n.notified[node] {
			answered[i] = true
			continue
		}
		asked.Go(func() { answered[i] = c.callOnce(node, n.kind, n.message(false)) })
	}
	asked.Wait()
	all := true
	for i, node := range coordinators {
		n.notified[node] = answered[i]
		all = all && answered[i]
	}
	if answered[0] || len(coordinators) < coordinatorsInformed || n.lost == coordinators[0] {
		return all
	}
	n.lost = coordinators[0]
	next := coordinators[1]
	if next == c.name {
		c.actFor(n.pool)
	} else {
		c.callOnce(next, n.kind, n.message(true))
	}
	return all
}

func (c *Coordinator) callOnce(node string, kind peer.Kind, message any) bool {
	ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
	defer cancel()
	return c.seams.Call(ctx, node, kind, message, &peer.Empty{}) == nil
}

// actFor has this node decide on a pool's cases for a while, in the place of a coordinator that does not answer.
func (c *Coordinator) actFor(pool string) {
	c.mu.Lock()
	c.acting[pool] = c.now().Add(actingTime)
	c.mu.Unlock()
	c.judgeSoon()
}

// clear has a request cleared here and at its pool's coordinators, and its entry taken out of the store.
func (c *Coordinator) clear(digest model.Digest, pool string) {
	coordinators := c.coordinators(pool)
	c.takeClear(digest, slices.Contains(coordinators[:min(coordinatorsInformed, len(coordinators))], c.name))
	c.notify(pool, peer.KindClear, func(bool) any { return peer.Clear{Digest: digest} })
}

// takeClear clears a request. With removes its entry is taken out of the store: by each coordinator that is told, since
// the first may not answer, and by no other node, since many may have seen an answer.
func (c *Coordinator) takeClear(digest model.Digest, removes bool) {
	passage, _, _ := c.look(digest)
	change := kernel.QuarantineChange{Lift: []model.Digest{digest}}
	c.Learn(change)
	c.mu.Lock()
	c.q.Trust(c.now(), digest)
	c.mu.Unlock()
	if passage != kernel.NotHeld && removes {
		c.store(change)
	}
}

// askTrial asks the coordinator of a request's pool for a trial. Where it is not permitted, it returns when the caller may
// come back, or zero where the coordinator did not answer.
func (c *Coordinator) askTrial(ctx context.Context, held kernel.HeldRequest) (permitted bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply := c.trial(ctx, held.Pool, peer.Trial{Digest: held.Digest})
	return reply.Permitted, reply.RetryAfter
}

// trial takes a question for a trial to the coordinator of a pool.
func (c *Coordinator) trial(ctx context.Context, pool string, question peer.Trial) peer.TrialReply {
	coordinator := c.coordinators(pool)[0]
	if coordinator == c.name {
		return c.takeTrial(question)
	}
	var reply peer.TrialReply
	if c.seams.Call(ctx, coordinator, peer.KindTrial, question, &reply) != nil {
		c.metrics.Event("CoordinatorNotInformed")
		return peer.TrialReply{}
	}
	return reply
}

func (c *Coordinator) takeTrial(question peer.Trial) peer.TrialReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if question.Unused {
		c.q.CancelTrial(question.Digest)
		return peer.TrialReply{}
	}
	permitted, retryAfter := c.q.StartTrial(c.now(), question.Digest)
	return peer.TrialReply{Permitted: permitted, RetryAfter: retryAfter}
}

// Handlers answer other nodes.
func (c *Coordinator) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindCrash: c.answerCrash,
		peer.KindTrial: c.answerTrial,
		peer.KindClear: c.answerClear,
		peer.KindHold:  c.answerHold,
	}
}

func (c *Coordinator) answerCrash(_ context.Context, body []byte) (any, error) {
	var m peer.Crash
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	if m.CoordinatorLost {
		c.actFor(m.Pool)
	}
	c.takeCrash(m.Pool, kernel.Crash{Incarnation: m.Incarnation, At: c.now().Add(-m.EndedAgo)}, m.Digests)
	return peer.Empty{}, nil
}

func (c *Coordinator) answerTrial(_ context.Context, body []byte) (any, error) {
	var m peer.Trial
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	return c.takeTrial(m), nil
}

func (c *Coordinator) answerClear(_ context.Context, body []byte) (any, error) {
	var m peer.Clear
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	c.takeClear(m.Digest, true)
	return peer.Empty{}, nil
}

func (c *Coordinator) answerHold(ctx context.Context, body []byte) (any, error) {
	var m peer.Hold
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	c.Learn(m.Change)
	return peer.Empty{}, c.seams.Store(ctx, m.Change)
}
