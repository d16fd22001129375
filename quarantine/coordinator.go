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
	// coordinatorsPerPool is the number of nodes that receive reports on a pool: its coordinator, and the node that
	// replaces the coordinator if it is lost.
	coordinatorsPerPool = 2
	// notifyTimeout bounds each call to another node, except requests for a trial.
	notifyTimeout = time.Second
	// notifyRounds is the number of times that the coordinators of a pool are looked up and those not yet notified are
	// called. notifyInterval is the pause after each round.
	notifyRounds   = 6
	notifyInterval = time.Second
	// maxNotifications bounds the notifications in progress. Further ones are dropped and counted.
	maxNotifications = 256
	// trialTimeout bounds the wait for the permit of a trial. Without an answer the request is refused.
	trialTimeout = 300 * time.Millisecond
	// storeRetryInterval is the pause after a failed write to the store. maxStoreAttempts bounds the writes of a change.
	storeRetryInterval = time.Second
	maxStoreAttempts   = 30
	// maxStoreDelegates bounds the other nodes that are asked to write if the store does not answer this one.
	maxStoreDelegates = 3
	// actingDuration is how long a node acts for a coordinator that does not answer. By then all nodes that need to know
	// have noticed the loss.
	actingDuration = 10 * time.Second
	// maxLoggedDigests bounds the digests in one log line.
	maxLoggedDigests = 16
)

type (
	// Dependencies are the functions through which a Coordinator reaches endpoints, other nodes and the store.
	Dependencies struct {
		// Peers returns the nodes that answer, including this one.
		Peers func() []kernel.Peer
		// Call calls the named node and decodes its answer into reply.
		Call func(ctx context.Context, node string, kind peer.Kind, message, reply any) error
		// Connect opens a connection to an address without sending a request. Its error shows whether a process
		// listens there.
		Connect func(ctx context.Context, address string) error
		// Store writes a change to the store, from which all nodes learn it.
		Store func(ctx context.Context, change kernel.QuarantineChange) error
	}

	// Coordinator is a node's part of the quarantine: it reports crashes, decides for the pools that the node
	// coordinates, and holds requests back. It is safe for concurrent use.
	Agent struct {
		name    string
		deps    Dependencies
		now     func() time.Time
		log     zerolog.Logger
		metrics *metric.Set
		ctx     context.Context

		mu         sync.Mutex
		quarantine *kernel.Quarantine
		// crashChecks holds the endpoints whose connections broke recently, by incarnation.
		crashChecks map[string]*crashCheck
		// actingUntil holds, by pool, until when this node acts for a coordinator that does not answer.
		actingUntil map[string]time.Time
		// notifying is the number of notifications in progress.
		activeNotifications int
	}
)

// NewAgent returns a coordinator without any recorded crashes. Its background work ends with ctx.
func NewAgent(ctx context.Context, name string, deps Dependencies, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Agent {
	return &Agent{
		name: name, deps: deps, now: now, log: log, metrics: metrics, ctx: ctx,
		quarantine: kernel.NewQuarantine(), crashChecks: map[string]*crashCheck{}, actingUntil: map[string]time.Time{},
	}
}

// Admit decides whether a request may proceed. If trial is true, the request runs on trial, and CancelTrial must be
// called if it is not sent after all.
func (c *Agent) Admit(ctx context.Context, digest model.Digest) (trial bool, refusal *model.Refusal) {
	state, held, retryAfter := c.holdState(digest)
	switch state {
	case kernel.NotHeld:
		return false, nil
	case kernel.TrialOnly:
		permitted, trialRetryAfter := c.requestTrial(ctx, held)
		if permitted {
			c.metrics.CountEvent("QuarantineTrial")
			c.log.Info().Str("Digest", string(digest)).Str("Pool", held.Pool).Msg("request that is held back runs on trial")
			return true, nil
		}
		return false, newRefusal(max(retryAfter, trialRetryAfter))
	default:
		return false, newRefusal(retryAfter)
	}
}

// Check is called right before a request is sent, and returns a refusal if the request has been held back since it
// was admitted.
func (c *Agent) Check(digest model.Digest) *model.Refusal {
	if state, _, retryAfter := c.holdState(digest); state != kernel.NotHeld {
		return newRefusal(retryAfter)
	}
	return nil
}

func newRefusal(retryAfter time.Duration) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.Quarantined, retryAfter, "endpoints ended that ran this request; it is held back")
}

func (c *Agent) holdState(digest model.Digest) (kernel.HoldState, kernel.HeldRequest, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Check(c.now(), digest)
}

// Len returns the number of requests that are held back.
func (c *Agent) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Len()
}

// CancelTrial informs the coordinator that a request permitted to run on trial was not sent.
func (c *Agent) CancelTrial(digest model.Digest) {
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

// RecordAnswer records that an endpoint answered a request completely. If the request is suspected or held back, this
// clears it, and its coordinators are informed.
func (c *Agent) RecordAnswer(digest model.Digest) {
	c.mu.Lock()
	suspected, pool := c.quarantine.RecordAnswer(c.now(), digest)
	c.mu.Unlock()
	if suspected {
		c.clearAndNotify(digest, pool)
	}
}

// ApplyChange applies a change of the held requests, as read from the store, received from another node or decided
// here.
func (c *Agent) ApplyChange(change kernel.QuarantineChange) {
	for _, h := range change.Hold {
		c.mu.Lock()
		state, before, _ := c.quarantine.Check(c.now(), h.Digest)
		applied := c.quarantine.ApplyHold(c.now(), h)
		c.mu.Unlock()
		if !applied {
			c.clearAndNotify(h.Digest, h.Pool)
			continue
		}
		if state == kernel.NotHeld {
			c.metrics.CountEvent("QuarantineLearned")
		}
		if before.Firm != h.Firm || len(before.Incarnations) != len(h.Incarnations) {
			c.log.Info().Str("Digest", string(h.Digest)).Str("Pool", h.Pool).Bool("Firm", h.Firm).Strs("Ended", h.Incarnations).
				Msg("request held back")
		}
	}
	for _, digest := range change.Lift {
		c.mu.Lock()
		before, _, _ := c.quarantine.Check(c.now(), digest)
		c.quarantine.Clear(digest)
		c.mu.Unlock()
		if before != kernel.NotHeld {
			c.metrics.CountEvent("QuarantineLifted")
			c.log.Info().Str("Digest", string(digest)).Msg("request no longer held back")
		}
	}
	// Once a request is cleared, the evaluation may find that another one is the cause.
	c.scheduleEvaluation()
}

// coordinators returns the nodes in the order in which they coordinate a pool. The first one decides.
func (c *Agent) coordinators(pool string) []string {
	return kernel.NodesByHash(pool, c.deps.Peers())
}

// coordinates reports whether this node is the coordinator of a pool.
func (c *Agent) coordinates(pool string) bool {
	return c.coordinators(pool)[0] == c.name
}

// scheduleEvaluation evaluates the suspects once all reports on the same crashes have arrived.
func (c *Agent) scheduleEvaluation() {
	time.AfterFunc(kernel.EvaluationDelay+kernel.EvaluationDelay/10, func() {
		if c.ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		// Hashing hundreds of nodes is costly, so it is done once for each pool.
		decides := map[string]bool{}
		coordinates := func(pool string) bool {
			if _, known := decides[pool]; !known {
				decides[pool] = c.coordinates(pool) || c.now().Before(c.actingUntil[pool])
			}
			return decides[pool]
		}
		change := c.quarantine.Evaluate(c.now(), coordinates)
		c.mu.Unlock()
		if len(change.Hold)+len(change.Lift) == 0 {
			return
		}
		c.ApplyChange(change)
		c.persist(change)
	})
}

// persist writes a change to the store in the background, and retries until this node or another one succeeds or
// maxStoreAttempts is reached.
func (c *Agent) persist(change kernel.QuarantineChange) {
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
			c.metrics.CountEvent("QuarantineStoreFailed")
			c.log.Warn().Int("Held", len(change.Hold)).Int("Lifted", len(change.Lift)).Err(err).Msg("held requests not written")
			if !clock.Sleep(c.ctx, storeRetryInterval) {
				return
			}
		}
	}()
}

// dropOutdated returns the part of a change that is still in force, so that a late write does not undo later
// decisions.
func (c *Agent) dropOutdated(change kernel.QuarantineChange) kernel.QuarantineChange {
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

// persistViaPeers asks other nodes, chosen at random, to write a change to the store, and reports whether one did.
// Each node that is asked applies the change at once, so that it spreads even if the store answers no node.
func (c *Agent) persistViaPeers(change kernel.QuarantineChange) bool {
	remaining := maxStoreDelegates
	peers := c.deps.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if p.Name == c.name || remaining == 0 {
			continue
		}
		remaining--
		ctx, cancel := context.WithTimeout(c.ctx, notifyTimeout)
		err := c.deps.Call(ctx, p.Name, peer.KindStoreQuarantine, peer.StoreQuarantine{Change: change}, &peer.Empty{})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
