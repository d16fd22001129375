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
	// coordinatorsInformed is how many nodes are told of a crash: the coordinator, and the next one, which takes its place where
	// it is lost.
	coordinatorsInformed = 2
	// notifyTimeout bounds a message to a coordinator; notifyTries is how often it is looked who has yet to be notified, notifyPause
	// apart.
	notifyTimeout = time.Second
	notifyTries   = 6
	notifyPause   = time.Second
	// mostNotifications bounds the messages to coordinators that are under way; the others are dropped and counted.
	mostNotifications = 256
	// trialTimeout bounds the question for a trial; without an answer the request is refused.
	trialTimeout = 300 * time.Millisecond
	// storePause is how long after a failure the store is written to again, storeTries how often at most.
	storePause = time.Second
	storeTries = 30
	// storeHelpers is how many other nodes are asked to write where the store does not answer this one.
	storeHelpers = 3
	// actingTime is how long a node decides in the place of a coordinator that does not answer: until all nodes that need
	// it have noticed.
	actingTime = 10 * time.Second
	// mostLogged bounds the digests of one line.
	mostLogged = 16
)

type (
	// Seams are how a coordinator reaches endpoints, other nodes and the store.
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

	// Coordinator is one node's part in the quarantine. It is safe for concurrent use.
	Coordinator struct {
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
		// acting holds until when this node decides on the cases of pools whose coordinator does not answer.
		acting map[string]time.Time
		// notifying counts the messages to coordinators that are under way.
		notifying int
	}
)

// NewCoordinator returns a coordinator that knows nothing; it works until ctx ends.
func NewCoordinator(ctx context.Context, name string, seams Seams, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Coordinator {
	return &Coordinator{
		name: name, seams: seams, now: now, log: log, metrics: metrics, ctx: ctx,
		q: kernel.NewQuarantine(), ends: map[string]*end{}, acting: map[string]time.Time{},
	}
}

// Admit tells whether a request may go on its way. A trial that was permitted is to be given back with TrialUnused
// where the request is not sent.
func (c *Coordinator) Admit(ctx context.Context, digest model.Digest) (trial bool, refusal *model.Refusal) {
	passage, held, retry := c.look(digest)
	switch passage {
	case kernel.NotHeld:
		return false, nil
	case kernel.TrialOnly:
		permitted, again := c.askTrial(ctx, held)
		if permitted {
			c.metrics.Event("QuarantineTrial")
			c.log.Info().Str("Digest", string(digest)).Str("Pool", held.Pool).Msg("request that is held back runs on trial")
			return true, nil
		}
		return false, refuse(max(retry, again))
	default:
		return false, refuse(retry)
	}
}

// Refuses looks once more, right before a request is sent.
func (c *Coordinator) Refuses(digest model.Digest) *model.Refusal {
	if passage, _, retry := c.look(digest); passage != kernel.NotHeld {
		return refuse(retry)
	}
	return nil
}

func refuse(retry time.Duration) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.Quarantined, retry, "endpoints ended that ran this request; it is held back")
}

func (c *Coordinator) look(digest model.Digest) (kernel.HoldState, kernel.HeldRequest, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.q.Check(c.now(), digest)
}

// Len returns how many requests are held back.
func (c *Coordinator) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.q.Len()
}

// TrialUnused gives the trial of a request back that was not sent.
func (c *Coordinator) TrialUnused(digest model.Digest) {
	_, held, _ := c.look(digest)
	if held.Digest == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
		defer cancel()
		c.trial(ctx, held.Pool, peer.Trial{Digest: digest, Unused: true})
	}()
}

// Answered notes that an endpoint answered a request whole, and tells the coordinators where that clears it.
func (c *Coordinator) Answered(digest model.Digest) {
	c.mu.Lock()
	suspected, pool := c.q.RecordAnswer(c.now(), digest)
	c.mu.Unlock()
	if suspected {
		c.clear(digest, pool)
	}
}

// Learn takes in which requests are held back, as the store says, and which no longer.
func (c *Coordinator) Learn(change kernel.QuarantineChange) {
	for _, h := range change.Hold {
		c.mu.Lock()
		passage, before, _ := c.q.Check(c.now(), h.Digest)
		taken := c.q.ApplyHold(c.now(), h)
		c.mu.Unlock()
		if !taken {
			c.clear(h.Digest, h.Pool)
			continue
		}
		if passage == kernel.NotHeld {
			c.metrics.Event("QuarantineLearned")
		}
		if before.Firm != h.Firm || len(before.Incarnations) != len(h.Incarnations) {
			c.log.Info().Str("Digest", string(h.Digest)).Str("Pool", h.Pool).Bool("Firm", h.Firm).Strs("Ended", h.Incarnations).
				Msg("request held back")
		}
	}
	for _, digest := range change.Lift {
		c.mu.Lock()
		before, _, _ := c.q.Check(c.now(), digest)
		c.q.Clear(digest)
		c.mu.Unlock()
		if before != kernel.NotHeld {
			c.metrics.Event("QuarantineLifted")
			c.log.Info().Str("Digest", string(digest)).Msg("request no longer held back")
		}
	}
	// With one request cleared, another may be found to be the cause.
	c.judgeSoon()
}

// coordinators returns the nodes that keep a pool's cases, the first one that decides.
func (c *Coordinator) coordinators(pool string) []string {
	return kernel.NodesByHash(pool, c.seams.Peers())
}

// keeps tells whether this node decides on a pool's cases.
func (c *Coordinator) keeps(pool string) bool {
	return c.coordinators(pool)[0] == c.name
}

// judgeSoon has the cases judged when all reports on the same ends have come.
func (c *Coordinator) judgeSoon() {
	time.AfterFunc(kernel.EvaluationDelay+kernel.EvaluationDelay/10, func() {
		if c.ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		// The order of hundreds of nodes is worked out once for each pool.
		kept := map[string]bool{}
		keeps := func(pool string) bool {
			if _, known := kept[pool]; !known {
				kept[pool] = c.keeps(pool) || c.now().Before(c.acting[pool])
			}
			return kept[pool]
		}
		change := c.q.Evaluate(c.now(), keeps)
		c.mu.Unlock()
		if len(change.Hold)+len(change.Lift) == 0 {
			return
		}
		c.Learn(change)
		c.store(change)
	})
}

// store writes a change into the store until that is done: by itself, or through nodes that the store answers.
func (c *Coordinator) store(change kernel.QuarantineChange) {
	go func() {
		for range storeTries {
			change = c.stillTrue(change)
			if len(change.Hold)+len(change.Lift) == 0 {
				return
			}
			err := c.seams.Store(c.ctx, change)
			if err == nil || c.storeElsewhere(change) {
				return
			}
			c.metrics.Event("QuarantineStoreFailed")
			c.log.Warn().Int("Held", len(change.Hold)).Int("Lifted", len(change.Lift)).Err(err).Msg("held requests not written")
			if !clock.Sleep(c.ctx, storePause) {
				return
			}
		}
	}()
}

// stillTrue returns the part of a change that holds by now: what is written late must not undo what was found since.
func (c *Coordinator) stillTrue(change kernel.QuarantineChange) kernel.QuarantineChange {
	var out kernel.QuarantineChange
	for _, h := range change.Hold {
		if passage, _, _ := c.look(h.Digest); passage != kernel.NotHeld {
			out.Hold = append(out.Hold, h)
		}
	}
	for _, digest := range change.Lift {
		if passage, _, _ := c.look(digest); passage == kernel.NotHeld {
			out.Lift = append(out.Lift, digest)
		}
	}
	return out
}

// storeElsewhere has other nodes write, other ones each time: each of them holds back at once what it is told, also
// where the store answers none.
func (c *Coordinator) storeElsewhere(change kernel.QuarantineChange) bool {
	helpers := storeHelpers
	peers := c.seams.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if p.Name == c.name || helpers == 0 {
			continue
		}
		helpers--
		ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
		err := c.seams.Call(ctx, p.Name, peer.KindHold, peer.Hold{Change: change}, &peer.Empty{})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
