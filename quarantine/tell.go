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

// word is a word to the keepers of a pool on its way.
type word struct {
	pool string
	kind peer.Kind
	// message is made anew for each try, as it bears times; lost tells it that the keeper does not answer.
	message func(lost bool) any
	told    map[string]bool
	// lost is the keeper that did not answer, as the next one was told.
	lost string
}

// tell sends a word to the keepers of a pool. Who they are is looked at again and again for a while: a node that has
// just started does not know the others yet, and one that is cut off does not reach them.
func (k *Keeper) tell(pool string, kind peer.Kind, message func(lost bool) any) {
	w := &word{pool: pool, kind: kind, message: message, told: map[string]bool{k.name: true}}
	k.mu.Lock()
	if k.telling >= mostTelling {
		k.mu.Unlock()
		k.metrics.Event("KeeperNotTold")
		return
	}
	k.telling++
	k.mu.Unlock()
	go func() {
		defer func() {
			k.mu.Lock()
			k.telling--
			k.mu.Unlock()
		}()
		all := false
		for range tellTries {
			all = k.tellOnce(w)
			if !clock.Sleep(k.ctx, tellPause) {
				return
			}
		}
		if !all {
			k.metrics.Event("KeeperNotTold")
		}
	}()
}

// tellOnce tells the keepers that were not told yet, all at once; it reports whether all were. Where the first one
// does not answer, the next one is told so: it has not noticed, and would leave the decision to the first.
func (k *Keeper) tellOnce(w *word) bool {
	keepers := k.keepers(w.pool)
	keepers = keepers[:min(keepersTold, len(keepers))]
	answered := make([]bool, len(keepers))
	var asked sync.WaitGroup
	for i, node := range keepers {
		if w.told[node] {
			answered[i] = true
			continue
		}
		asked.Go(func() { answered[i] = k.callOnce(node, w.kind, w.message(false)) })
	}
	asked.Wait()
	all := true
	for i, node := range keepers {
		w.told[node] = answered[i]
		all = all && answered[i]
	}
	if answered[0] || len(keepers) < keepersTold || w.lost == keepers[0] {
		return all
	}
	w.lost = keepers[0]
	next := keepers[1]
	if next == k.name {
		k.actFor(w.pool)
	} else {
		k.callOnce(next, w.kind, w.message(true))
	}
	return all
}

func (k *Keeper) callOnce(node string, kind peer.Kind, message any) bool {
	ctx, cancel := context.WithTimeout(k.ctx, tellTimeout)
	defer cancel()
	return k.seams.Call(ctx, node, kind, message, &peer.Empty{}) == nil
}

// actFor has this node decide on a pool's cases for a while, in the place of a keeper that does not answer.
func (k *Keeper) actFor(pool string) {
	k.mu.Lock()
	k.acting[pool] = k.now().Add(actingTime)
	k.mu.Unlock()
	k.judgeSoon()
}

// clear has a request cleared here and at its pool's keepers, and its entry taken out of the store.
func (k *Keeper) clear(digest model.Digest, pool string) {
	keepers := k.keepers(pool)
	k.takeClear(digest, slices.Contains(keepers[:min(keepersTold, len(keepers))], k.name))
	k.tell(pool, peer.KindClear, func(bool) any { return peer.Clear{Digest: digest} })
}

// takeClear clears a request. With removes its entry is taken out of the store: by each keeper that is told, since
// the first may not answer, and by no other node, since many may have seen an answer.
func (k *Keeper) takeClear(digest model.Digest, removes bool) {
	passage, _, _ := k.look(digest)
	change := kernel.QuarantineChange{Lift: []model.Digest{digest}}
	k.Learn(change)
	k.mu.Lock()
	k.q.Trust(k.now(), digest)
	k.mu.Unlock()
	if passage != kernel.Free && removes {
		k.store(change)
	}
}

// askTrial asks the keeper of a request's pool for a trial. Where it is not permitted, it returns when the caller may
// come back, or zero where the keeper did not answer.
func (k *Keeper) askTrial(ctx context.Context, held kernel.HeldRequest) (permitted bool, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply := k.trial(ctx, held.Pool, peer.Trial{Digest: held.Digest})
	return reply.Permitted, reply.RetryAfter
}

// trial takes a word on a trial to the keeper of a pool.
func (k *Keeper) trial(ctx context.Context, pool string, word peer.Trial) peer.TrialReply {
	keeper := k.keepers(pool)[0]
	if keeper == k.name {
		return k.takeTrial(word)
	}
	var reply peer.TrialReply
	if k.seams.Call(ctx, keeper, peer.KindTrial, word, &reply) != nil {
		k.metrics.Event("KeeperNotTold")
		return peer.TrialReply{}
	}
	return reply
}

func (k *Keeper) takeTrial(word peer.Trial) peer.TrialReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	if word.Unused {
		k.q.ReturnTrial(word.Digest)
		return peer.TrialReply{}
	}
	permitted, retryAfter := k.q.TakeTrial(k.now(), word.Digest)
	return peer.TrialReply{Permitted: permitted, RetryAfter: retryAfter}
}

// Handlers answer other nodes.
func (k *Keeper) Handlers() map[peer.Kind]peer.Handler {
	return map[peer.Kind]peer.Handler{
		peer.KindCrash: k.answerCrash,
		peer.KindTrial: k.answerTrial,
		peer.KindClear: k.answerClear,
		peer.KindHold:  k.answerHold,
	}
}

func (k *Keeper) answerCrash(_ context.Context, body []byte) (any, error) {
	var m peer.Crash
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	if m.KeeperLost {
		k.actFor(m.Pool)
	}
	k.takeCrash(m.Pool, kernel.Crash{Incarnation: m.Incarnation, At: k.now().Add(-m.EndedAgo)}, m.Digests)
	return peer.Empty{}, nil
}

func (k *Keeper) answerTrial(_ context.Context, body []byte) (any, error) {
	var m peer.Trial
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	return k.takeTrial(m), nil
}

func (k *Keeper) answerClear(_ context.Context, body []byte) (any, error) {
	var m peer.Clear
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	k.takeClear(m.Digest, true)
	return peer.Empty{}, nil
}

func (k *Keeper) answerHold(ctx context.Context, body []byte) (any, error) {
	var m peer.Hold
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	k.Learn(m.Change)
	return peer.Empty{}, k.seams.Store(ctx, m.Change)
}
