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
	// coordinatorsPerPool is how many nodes are told of a crash: the coordinator, and the next one, which takes its place where
	// it is lost.
	coordinatorsPerPool = 2
	// notifyTimeout bounds a message to a coordinator; notifyRounds is how often it is looked who has yet to be notified, notifyInterval
	// apart.
	notifyTimeout  = time.Second
	notifyRounds   = 6
	notifyInterval = time.Second
	// maxNotifications bounds the messages to coordinators that are under way; the others are dropped and counted.
	maxNotifications = 256
	// trialTimeout bounds the question for a trial; without an answer the request is refused.
	trialTimeout = 300 * time.Millisecond
	// storeRetryInterval is how long after a failure the store is written to trialRetryAfter, maxStoreAttempts how often at most.
	storeRetryInterval = time.Second
	maxStoreAttempts   = 30
	// maxStoreDelegates is how many other nodes are asked to write where the store does not answer this one.
	maxStoreDelegates = 3
	// actingDuration is how long a node decides in the place of a coordinator that does not answer: until all nodes that need
	// it have noticed.
	actingDuration = 10 * time.Second
	// maxLoggedDigests bounds the digests of one line.
	maxLoggedDigests = 16
)

type (
	// Dependencies are how a coordinator reaches endpoints, other nodes and the store.
	Dependencies struct {
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
		deps    Dependencies
		now     func() time.Time
		log     zerolog.Logger
		metrics *metric.Set
		ctx     context.Context

		mu sync.Mutex
		q  *kernel.Quarantine
		// ends has the endpoints of which it is being found out, or is known, whether their process ended.
		crashChecks map[string]*crashCheck
		// acting holds until when this node decides on the cases of pools whose coordinator does not answer.
		actingUntil map[string]time.Time
		// notifying counts the messages to coordinators that are under way.
		notifying int
	}
)

// NewCoordinator returns a coordinator that knows nothing; it works until ctx ends.
func NewCoordinator(ctx context.Context, name string, deps Dependencies, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Coordinator {
	return &Coordinator{
		name: name, deps: deps, now: now, log: log, metrics: metrics, ctx: ctx,
		q: kernel.NewQuarantine(), crashChecks: map[string]*crashCheck{}, actingUntil: map[string]time.Time{},
	}
}

// Admit tells whether a request may go on its way. A trial that was permitted is to be given back with CancelTrial
// where the request is not sent.
func (c *Coordinator) Admit(ctx context.Context, digest model.Digest) (trial bool, refusal *model.Refusal) {
	state, held, retryAfter := c.holdState(digest)
	switch state {
	case kernel.NotHeld:
		return false, nil
	case kernel.TrialOnly:
		permitted, trialRetryAfter := c.requestTrial(ctx, held)
		if permitted {
			c.metrics.Event("QuarantineTrial")
			c.log.Info().Str("Digest", string(digest)).Str("Pool", held.Pool).Msg("request that is held back runs on trial")
			return true, nil
		}
		return false, newRefusal(max(retryAfter, trialRetryAfter))
	default:
		return false, newRefusal(retryAfter)
	}
}

// Check looks once more, right before a request is sent.
func (c *Coordinator) Check(digest model.Digest) *model.Refusal {
	if state, _, retryAfter := c.holdState(digest); state != kernel.NotHeld {
		return newRefusal(retryAfter)
	}
	return nil
}

func newRefusal(retryAfter time.Duration) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.Quarantined, retryAfter, "endpoints ended that ran this request; it is held back")
}

func (c *Coordinator) holdState(digest model.Digest) (kernel.HoldState, kernel.HeldRequest, time.Duration) {
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

// CancelTrial gives the trial of a request back that was not sent.
func (c *Coordinator) CancelTrial(digest model.Digest) {
	_, held, _ := c.holdState(digest)
	if held.Digest == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
		defer cancel()
		c.sendTrial(ctx, held.Pool, peer.Trial{Digest: digest, Unused: true})
	}()
}

// RecordAnswer notes that an endpoint answered a request whole, and tells the coordinators where that clears it.
func (c *Coordinator) RecordAnswer(digest model.Digest) {
	c.mu.Lock()
	suspected, pool := c.q.RecordAnswer(c.now(), digest)
	c.mu.Unlock()
	if suspected {
		c.clearAndNotify(digest, pool)
	}
}

// ApplyChange takes in which requests are held back, as the store says, and which no longer.
func (c *Coordinator) ApplyChange(change kernel.QuarantineChange) {
	for _, h := range change.Hold {
		c.mu.Lock()
		state, before, _ := c.q.Check(c.now(), h.Digest)
		applied := c.q.ApplyHold(c.now(), h)
		c.mu.Unlock()
		if !applied {
			c.clearAndNotify(h.Digest, h.Pool)
			continue
		}
		if state == kernel.NotHeld {
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
	c.scheduleEvaluation()
}

// coordinators returns the nodes that keep a pool's cases, the first one that decides.
func (c *Coordinator) coordinators(pool string) []string {
	return kernel.NodesByHash(pool, c.deps.Peers())
}

// coordinates tells whether this node decides on a pool's cases.
func (c *Coordinator) coordinates(pool string) bool {
	return c.coordinators(pool)[0] == c.name
}

// scheduleEvaluation has the cases judged when all reports on the same ends have come.
func (c *Coordinator) scheduleEvaluation() {
	time.AfterFunc(kernel.EvaluationDelay+kernel.EvaluationDelay/10, func() {
		if c.ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		// The order of hundreds of nodes is worked out once for each pool.
		decides := map[string]bool{}
		coordinates := func(pool string) bool {
			if _, known := decides[pool]; !known {
				decides[pool] = c.coordinates(pool) || c.now().Before(c.actingUntil[pool])
			}
			return decides[pool]
		}
		change := c.q.Evaluate(c.now(), coordinates)
		c.mu.Unlock()
		if len(change.Hold)+len(change.Lift) == 0 {
			return
		}
		c.ApplyChange(change)
		c.persist(change)
	})
}

// store writes a change into the store until that is done: by itself, or through nodes that the store answers.
func (c *Coordinator) persist(change kernel.QuarantineChange) {
	go func() {
		for range maxStoreAttempts {
			change = c.dropOutdated(change)
			if len(change.Hold)+len(change.Lift) == 0 {
				return
			}
			err := c.deps.Store(c.ctx, change)
			if err == nil || c.persistViaPeers(change) {
				return
			}
			c.metrics.Event("QuarantineStoreFailed")
			c.log.Warn().Int("Held", len(change.Hold)).Int("Lifted", len(change.Lift)).Err(err).Msg("held requests not written")
			if !clock.Sleep(c.ctx, storeRetryInterval) {
				return
			}
		}
	}()
}

// dropOutdated returns the part of a change that holds by now: what is written late must not undo what was found since.
func (c *Coordinator) dropOutdated(change kernel.QuarantineChange) kernel.QuarantineChange {
	var out kernel.QuarantineChange
	for _, h := range change.Hold {
		if state, _, _ := c.holdState(h.Digest); state != kernel.NotHeld {
			out.Hold = append(out.Hold, h)
		}
	}
	for _, digest := range change.Lift {
		if state, _, _ := c.holdState(digest); state == kernel.NotHeld {
			out.Lift = append(out.Lift, digest)
		}
	}
	return out
}

// persistViaPeers has other nodes write, other ones each time: each of them holds back at once what it is told, also
// where the store answers none.
func (c *Coordinator) persistViaPeers(change kernel.QuarantineChange) bool {
	remaining := maxStoreDelegates
	peers := c.deps.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if p.Name == c.name || remaining == 0 {
			continue
		}
		remaining--
		ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
		err := c.deps.Call(ctx, p.Name, peer.KindHold, peer.Hold{Change: change}, &peer.Empty{})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
