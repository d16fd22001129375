package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

const (
	// keepersTold is how many nodes are told of a crash: the keeper, and the next one, which takes its place where
	// it is lost.
	keepersTold = 2
	// tellTimeout bounds a word to a keeper; tellTries is how often it is looked who has yet to be told, tellPause
	// apart.
	tellTimeout = time.Second
	tellTries   = 6
	tellPause   = time.Second
	// mostTelling bounds the words to keepers that are under way; the others are dropped and counted.
	mostTelling = 256
	// trialTimeout bounds the question for a trial; without an answer the request is refused.
	trialTimeout = 300 * time.Millisecond
	// storePause is how long after a failure the store is written to again, storeTries how often at most.
	storePause = time.Second
	storeTries = 30
	// storeHelpers is how many other nodes are asked to write where the store does not answer this one.
	storeHelpers = 3
	// actingTime is how long a node decides in the place of a keeper that does not answer: until all nodes that need
	// it have noticed.
	actingTime = 10 * time.Second
	// mostLogged bounds the digests of one line.
	mostLogged = 16
)

type (
	// Seams are how a keeper reaches endpoints, other nodes and the store.
	Seams struct {
		// Peers returns the nodes that answer, this one among them.
		Peers func() []kernel.Peer
		// Call calls another node by its name.
		Call func(ctx context.Context, node string, kind peer.Kind, message, reply any) error
		// Connect opens a connection to an address, for no request: the error tells whether anything listens.
		Connect func(ctx context.Context, address string) error
		// Store writes a change into the store for all nodes to learn.
		Store func(ctx context.Context, change kernel.QuarantineChange) error
	}

	// Keeper is one node's part in the quarantine. It is safe for concurrent use.
	Keeper struct {
		name    string
		seams   Seams
		now     func() time.Time
		log     zerolog.Logger
		metrics *metric.Set
		ctx     context.Context

		mu sync.Mutex
		q  *kernel.Quarantine
		// ends has the endpoints of which it is being found out, or is known, whether their process ended.
		ends map[string]*end
		// acting holds until when this node decides on the cases of pools whose keeper does not answer.
		acting map[string]time.Time
		// telling counts the words to keepers that are under way.
		telling int
	}
)

// NewKeeper returns a keeper that knows nothing; it works until ctx ends.
func NewKeeper(ctx context.Context, name string, seams Seams, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Keeper {
	return &Keeper{
		name: name, seams: seams, now: now, log: log, metrics: metrics, ctx: ctx,
		q: kernel.NewQuarantine(), ends: map[string]*end{}, acting: map[string]time.Time{},
	}
}

// Admit tells whether a request may go on its way. A trial that was permitted is to be given back with TrialUnused
// where the request is not sent.
func (k *Keeper) Admit(ctx context.Context, digest model.Digest) (trial bool, refusal *model.Refusal) {
	passage, held, retry := k.look(digest)
	switch passage {
	case kernel.Free:
		return false, nil
	case kernel.OnTrial:
		permitted, again := k.askTrial(ctx, held)
		if permitted {
			k.metrics.Event("QuarantineTrial")
			k.log.Info().Str("Digest", string(digest)).Str("Pool", held.Pool).Msg("request that is held back runs on trial")
			return true, nil
		}
		return false, refuse(max(retry, again))
	default:
		return false, refuse(retry)
	}
}

// Refuses looks once more, right before a request is sent.
func (k *Keeper) Refuses(digest model.Digest) *model.Refusal {
	if passage, _, retry := k.look(digest); passage != kernel.Free {
		return refuse(retry)
	}
	return nil
}

func refuse(retry time.Duration) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.Quarantined, retry, "endpoints ended that ran this request; it is held back")
}

func (k *Keeper) look(digest model.Digest) (kernel.Passage, kernel.HeldRequest, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.q.Look(k.now(), digest)
}

// Len returns how many requests are held back.
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.q.Len()
}

// TrialUnused gives the trial of a request back that was not sent.
func (k *Keeper) TrialUnused(digest model.Digest) {
	_, held, _ := k.look(digest)
	if held.Digest == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(k.ctx, tellTimeout)
		defer cancel()
		k.trial(ctx, held.Pool, peer.Trial{Digest: digest, Unused: true})
	}()
}

// Answered notes that an endpoint answered a request whole, and tells the keepers where that clears it.
func (k *Keeper) Answered(digest model.Digest) {
	k.mu.Lock()
	suspected, pool := k.q.Answered(k.now(), digest)
	k.mu.Unlock()
	if suspected {
		k.clear(digest, pool)
	}
}

// Learn takes in which requests are held back, as the store says, and which no longer.
func (k *Keeper) Learn(change kernel.QuarantineChange) {
	for _, h := range change.Hold {
		k.mu.Lock()
		passage, before, _ := k.q.Look(k.now(), h.Digest)
		taken := k.q.Learn(k.now(), h)
		k.mu.Unlock()
		if !taken {
			k.clear(h.Digest, h.Pool)
			continue
		}
		if passage == kernel.Free {
			k.metrics.Event("QuarantineLearned")
		}
		if before.Firm != h.Firm || len(before.Incarnations) != len(h.Incarnations) {
			k.log.Info().Str("Digest", string(h.Digest)).Str("Pool", h.Pool).Bool("Firm", h.Firm).Strs("Ended", h.Incarnations).
				Msg("request held back")
		}
	}
	for _, digest := range change.Lift {
		k.mu.Lock()
		before, _, _ := k.q.Look(k.now(), digest)
		k.q.Clear(digest)
		k.mu.Unlock()
		if before != kernel.Free {
			k.metrics.Event("QuarantineLifted")
			k.log.Info().Str("Digest", string(digest)).Msg("request no longer held back")
		}
	}
	// With one request cleared, another may be found to be the cause.
	k.judgeSoon()
}

// keepers returns the nodes that keep a pool's cases, the first one that decides.
func (k *Keeper) keepers(pool string) []string {
	return kernel.NodesByHash(pool, k.seams.Peers())
}

// keeps tells whether this node decides on a pool's cases.
func (k *Keeper) keeps(pool string) bool {
	return k.keepers(pool)[0] == k.name
}

// judgeSoon has the cases judged when all reports on the same ends have come.
func (k *Keeper) judgeSoon() {
	time.AfterFunc(kernel.JudgeAfter+kernel.JudgeAfter/10, func() {
		if k.ctx.Err() != nil {
			return
		}
		k.mu.Lock()
		// The order of hundreds of nodes is worked out once for each pool.
		kept := map[string]bool{}
		keeps := func(pool string) bool {
			if _, known := kept[pool]; !known {
				kept[pool] = k.keeps(pool) || k.now().Before(k.acting[pool])
			}
			return kept[pool]
		}
		change := k.q.Judge(k.now(), keeps)
		k.mu.Unlock()
		if len(change.Hold)+len(change.Lift) == 0 {
			return
		}
		k.Learn(change)
		k.store(change)
	})
}

// store writes a change into the store until that is done: by itself, or through nodes that the store answers.
func (k *Keeper) store(change kernel.QuarantineChange) {
	go func() {
		for range storeTries {
			change = k.stillTrue(change)
			if len(change.Hold)+len(change.Lift) == 0 {
				return
			}
			err := k.seams.Store(k.ctx, change)
			if err == nil || k.storeElsewhere(change) {
				return
			}
			k.metrics.Event("QuarantineStoreFailed")
			k.log.Warn().Int("Held", len(change.Hold)).Int("Lifted", len(change.Lift)).Err(err).Msg("held requests not written")
			if !clock.Sleep(k.ctx, storePause) {
				return
			}
		}
	}()
}

// stillTrue returns the part of a change that holds by now: what is written late must not undo what was found since.
func (k *Keeper) stillTrue(change kernel.QuarantineChange) kernel.QuarantineChange {
	var out kernel.QuarantineChange
	for _, h := range change.Hold {
		if passage, _, _ := k.look(h.Digest); passage != kernel.Free {
			out.Hold = append(out.Hold, h)
		}
	}
	for _, digest := range change.Lift {
		if passage, _, _ := k.look(digest); passage == kernel.Free {
			out.Lift = append(out.Lift, digest)
		}
	}
	return out
}

// storeElsewhere has other nodes write, other ones each time: each of them holds back at once what it is told, also
// where the store answers none.
func (k *Keeper) storeElsewhere(change kernel.QuarantineChange) bool {
	helpers := storeHelpers
	peers := k.seams.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if p.Name == k.name || helpers == 0 {
			continue
		}
		helpers--
		ctx, cancel := context.WithTimeout(k.ctx, tellTimeout)
		err := k.seams.Call(ctx, p.Name, peer.KindHold, peer.Hold{Change: change}, &peer.Empty{})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
