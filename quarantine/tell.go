package quarantine

import (
	"context"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// tell sends a word to the keepers of a pool. Who they are is looked at again and again for a while: a node that has
// just started does not know the others yet, and one that is cut off does not reach them. The message is made anew
// for each try, as it bears times.
func (k *Keeper) tell(pool string, kind peer.Kind, message func() any) {
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
		told := map[string]bool{k.name: true}
		all := false
		for range tellTries {
			all = k.tellOnce(pool, kind, message, told)
			if !clock.Sleep(k.ctx, tellPause) {
				return
			}
		}
		if !all {
			k.metrics.Event("KeeperNotTold")
		}
	}()
}

// tellOnce tells the keepers that were not told yet; it reports whether all were.
func (k *Keeper) tellOnce(pool string, kind peer.Kind, message func() any, told map[string]bool) bool {
	keepers := k.keepers(pool)
	all := true
	for _, node := range keepers[:min(keepersTold, len(keepers))] {
		if told[node] {
			continue
		}
		ctx, cancel := context.WithTimeout(k.ctx, tellTimeout)
		told[node] = k.seams.Call(ctx, node, kind, message(), &peer.Empty{}) == nil
		cancel()
		all = all && told[node]
	}
	return all
}

// clear has a request cleared here and at its pool's keepers, and its entry taken out of the store.
func (k *Keeper) clear(digest model.Digest, pool string) {
	k.takeClear(digest, pool)
	k.tell(pool, peer.KindClear, func() any { return peer.Clear{Digest: digest, Pool: pool} })
}

func (k *Keeper) takeClear(digest model.Digest, pool string) {
	passage, _, _ := k.look(digest)
	change := kernel.QuarantineChange{Lift: []model.Digest{digest}}
	k.Learn(change)
	k.mu.Lock()
	k.q.Trust(k.now(), digest)
	k.mu.Unlock()
	if passage != kernel.Free && k.keeps(pool) {
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
	k.takeCrash(m.Pool, kernel.Crash{Life: m.Life, At: k.now().Add(-m.EndedAgo)}, m.Digests)
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
	k.takeClear(m.Digest, m.Pool)
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
