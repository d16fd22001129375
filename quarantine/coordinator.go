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
	// trialTimeout bounds the wait for the coordinator's permission of a trial. Without an answer the request is
	// refused.
	trialTimeout = 300 * time.Millisecond
	// newCoordinatorRetryAfter is the retry delay for a request whose trial must wait for one that may be running.
	newCoordinatorRetryAfter = time.Second
	// storeRetryInterval is the pause after a failed write to the store. maxStoreAttempts bounds the writes of a change.
	storeRetryInterval = time.Second
	maxStoreAttempts   = 30
	// maxStoreDelegates bounds the other nodes that are asked to write if the store does not answer this one.
	maxStoreDelegates = 3
	// actingDuration is how long a node decides in place of a coordinator that does not answer. By then all nodes that
	// report crashes have noticed the loss.
	actingDuration = 10 * time.Second
	// maxLoggedDigests and maxLoggedParts bound the digests in one log line.
	maxLoggedDigests = 16
	maxLoggedParts   = 32
)

type (
	// Dependencies are the functions through which an Agent reaches endpoints, other nodes and the store.
	Dependencies struct {
		// Peers returns the nodes that are believed to answer, including this one.
		Peers func() []kernel.Peer
		// Call calls the named node and decodes its answer into reply.
		Call func(ctx context.Context, node string, kind peer.Kind, message, reply any) error
		// Connect opens a connection to an address without sending a request. Its error shows whether a process
		// listens there.
		Connect func(ctx context.Context, address string) error
		// ReachesOthers reports whether this node reaches other endpoints than the given one. Where it does not, its own path
		// is the likelier cause of what it sees. It is nil if the path is never in doubt.
		ReachesOthers func(ctx context.Context, e model.Endpoint) bool
		// Store writes a change to the store, from which all nodes learn it.
		Store func(ctx context.Context, change kernel.QuarantineChange) error
	}

	// Agent is a node's part of the quarantine: it reports crashes, decides for the pools that the node coordinates,
	// and holds requests back. It is safe for concurrent use.
	Agent struct {
		name    string
		deps    Dependencies
		orders  *kernel.NodeOrders
		now     func() time.Time
		log     zerolog.Logger
		metrics *metric.Set
		ctx     context.Context

		mu         sync.Mutex
		quarantine *kernel.Quarantine
		// crashChecks holds the endpoints whose connections broke recently, by incarnation.
		crashChecks map[string]*crashCheck
		// actingUntil holds, by pool, until when this node decides in place of a coordinator that does not answer.
		actingUntil map[string]time.Time
		// notFirstAt holds, by pool, when another node last came before this one as its coordinator.
		notFirstAt map[string]time.Time
		// asking is true while all nodes are being asked about parts of prompts.
		asking bool
		// spreadQueue holds the changes that are being sent to all nodes, one after the other: a hold must not overtake its
		// end.
		spreadQueue []kernel.QuarantineChange
		// activeNotifications is the number of notifications in progress.
		activeNotifications int
	}
)

// NewAgent returns the agent of the named node, without any recorded crashes. Its background work ends with ctx.
func NewAgent(ctx context.Context, name string, deps Dependencies, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Agent {
	return &Agent{
		name: name, deps: deps, orders: kernel.NewNodeOrders(), now: now, log: log, metrics: metrics, ctx: ctx,
		quarantine: kernel.NewQuarantine(), crashChecks: map[string]*crashCheck{}, actingUntil: map[string]time.Time{}, notFirstAt: map[string]time.Time{},
	}
}

// Admit decides whether a request may proceed. If trial is true, the request runs on trial, and CancelTrial must be
// called if it is not sent after all.
func (a *Agent) Admit(ctx context.Context, digests model.RequestDigests) (trial bool, refusal *model.Refusal) {
	state, held, retryAfter := a.requestState(digests)
	switch state {
	case kernel.NotHeld:
		return false, nil
	case kernel.TrialOnly:
		permitted, trialRetryAfter := a.requestTrial(ctx, held, digests.Request)
		if permitted {
			a.metrics.CountEvent("QuarantineTrial")
			a.log.Info().Str("Digest", string(digests.Request)).Str("Held", string(held.Digest)).Str("Pool", held.Pool).Msg("request that is held back runs on trial")
			return true, nil
		}
		return false, newRefusal(held, max(retryAfter, trialRetryAfter))
	default:
		return false, newRefusal(held, retryAfter)
	}
}

// Check is called right before a request is sent, and returns a refusal if the request has been held back since it
// was admitted.
func (a *Agent) Check(digests model.RequestDigests) *model.Refusal {
	if state, held, retryAfter := a.requestState(digests); state != kernel.NotHeld {
		return newRefusal(held, retryAfter)
	}
	return nil
}

// newRefusal returns the refusal of a request that is held back.
func newRefusal(held kernel.HeldRequest, retryAfter time.Duration) *model.Refusal {
	if held.Digest.IsPart() {
		return model.NewRefusal(model.NotRun, model.Quarantined, retryAfter, "endpoints ended that ran requests with the part "+string(held.Digest)+" in their prompts; they are held back")
	}
	return model.NewRefusal(model.NotRun, model.Quarantined, retryAfter, "endpoints ended that ran this request; it is held back")
}

func (a *Agent) holdState(digest model.Digest) (kernel.HoldState, kernel.HeldRequest, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quarantine.Check(a.now(), digest)
}

func (a *Agent) requestState(digests model.RequestDigests) (kernel.HoldState, kernel.HeldRequest, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quarantine.CheckRequest(a.now(), digests)
}

// Len returns the number of requests that are held back.
func (a *Agent) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quarantine.Len()
}

// CancelTrial informs the coordinator that a request permitted to run on trial was not sent, so that the trial does not
// count.
func (a *Agent) CancelTrial(digests model.RequestDigests) {
	_, held, _ := a.requestState(digests)
	if held.Digest == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, notifyTimeout)
		defer cancel()
		a.sendTrial(ctx, held.Pool, peer.Trial{Digest: held.Digest, Unused: true})
	}()
}

// RecordAnswer records that an endpoint answered a request completely. If the request is suspected or held back, this
// clears it, and its coordinators are informed. The same holds for parts of its prompt if sentAt is not zero: the time when
// it was sent to the endpoint that answered all of it.
func (a *Agent) RecordAnswer(digests model.RequestDigests, sentAt time.Time) {
	a.mu.Lock()
	suspected, pool := a.quarantine.RecordAnswer(a.now(), digests.Request)
	var parts map[model.Digest]string
	if !sentAt.IsZero() {
		parts = a.quarantine.RecordPartAnswer(sentAt, digests.Parts)
	}
	a.mu.Unlock()
	if suspected {
		a.clearAndNotify(digests.Request, pool)
	}
	for part, partPool := range parts {
		a.clearAndNotify(part, partPool)
	}
}

// ApplyChange applies a change of the held requests, as read from the store, received from another node or decided
// here. A request that was answered after the first of its crashes is not held back but cleared.
func (a *Agent) ApplyChange(change kernel.QuarantineChange) {
	for _, h := range change.Hold {
		a.mu.Lock()
		state, before, _ := a.quarantine.Check(a.now(), h.Digest)
		applied := a.quarantine.ApplyHold(a.now(), h)
		a.mu.Unlock()
		if !applied {
			a.clearAndNotify(h.Digest, h.Pool)
			continue
		}
		if state == kernel.NotHeld {
			a.metrics.CountEvent("QuarantineLearned")
			if h.Digest.IsPart() {
				a.metrics.CountEvent("QuarantinePartLearned")
			}
		}
		if before.Firm != h.Firm || len(before.Incarnations) != len(h.Incarnations) {
			a.log.Info().Str("Digest", string(h.Digest)).Str("Pool", h.Pool).Bool("Firm", h.Firm).Strs("Ended", h.Incarnations).
				Msg("request held back")
		}
	}
	for _, digest := range change.Lift {
		a.mu.Lock()
		before, _, _ := a.quarantine.Check(a.now(), digest)
		a.quarantine.Clear(a.now(), digest)
		a.mu.Unlock()
		if before != kernel.NotHeld {
			a.metrics.CountEvent("QuarantineLifted")
			a.log.Info().Str("Digest", string(digest)).Msg("request no longer held back")
		}
	}
	// Once a request is cleared, the evaluation may find that another one is the cause.
	a.schedulePartEvaluation()
	a.scheduleEvaluation()
}

// coordinators returns all nodes in the order in which they coordinate a pool. The first one decides. If it is lost,
// the next one replaces it.
func (a *Agent) coordinators(pool string) []string {
	return a.orders.Of(pool, a.deps.Peers())
}

// coordinates reports whether this node is the coordinator of a pool.
func (a *Agent) coordinates(pool string) bool {
	return a.coordinators(pool)[0] == a.name
}

// scheduleEvaluation evaluates the suspects once all reports on the same crashes have arrived. It waits a tenth longer
// than kernel.EvaluationDelay, as suspects are not evaluated while a report on their pool is more recent than that.
func (a *Agent) scheduleEvaluation() {
	time.AfterFunc(kernel.EvaluationDelay+kernel.EvaluationDelay/10, func() {
		if a.ctx.Err() != nil {
			return
		}
		a.mu.Lock()
		// Hashing hundreds of nodes is costly, so it is done once for each pool.
		decides := map[string]bool{}
		coordinates := func(pool string) bool {
			if _, known := decides[pool]; !known {
				decides[pool] = a.coordinates(pool) || a.now().Before(a.actingUntil[pool])
			}
			return decides[pool]
		}
		change := a.quarantine.Evaluate(a.now(), coordinates)
		a.mu.Unlock()
		if len(change.Hold)+len(change.Lift) == 0 {
			return
		}
		a.ApplyChange(change)
		a.persist(change)
	})
}

// persist writes a change to the store in the background, and retries until this node or another one succeeds or
// maxStoreAttempts is reached.
func (a *Agent) persist(change kernel.QuarantineChange) {
	go func() {
		for range maxStoreAttempts {
			change = a.dropOutdated(change)
			if len(change.Hold)+len(change.Lift) == 0 {
				return
			}
			err := a.deps.Store(a.ctx, change)
			if err == nil || a.persistViaPeers(change) {
				return
			}
			a.metrics.CountEvent("QuarantineStoreFailed")
			a.log.Warn().Int("Held", len(change.Hold)).Int("Lifted", len(change.Lift)).Err(err).Msg("held requests not written")
			if !clock.Sleep(a.ctx, storeRetryInterval) {
				return
			}
		}
	}()
}

// dropOutdated returns the part of a change that is still in force, so that a late write does not undo later decisions.
func (a *Agent) dropOutdated(change kernel.QuarantineChange) kernel.QuarantineChange {
	var out kernel.QuarantineChange
	for _, h := range change.Hold {
		if state, _, _ := a.holdState(h.Digest); state != kernel.NotHeld {
			out.Hold = append(out.Hold, h)
		}
	}
	for _, digest := range change.Lift {
		if state, _, _ := a.holdState(digest); state == kernel.NotHeld {
			out.Lift = append(out.Lift, digest)
		}
	}
	return out
}

// persistViaPeers asks other nodes, chosen at random, to write a change to the store, and reports whether one did.
// Each node that is asked applies the change at once, so that it spreads even if the store answers no node.
func (a *Agent) persistViaPeers(change kernel.QuarantineChange) bool {
	remaining := maxStoreDelegates
	peers := a.deps.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if p.Name == a.name || remaining == 0 {
			continue
		}
		remaining--
		ctx, cancel := context.WithTimeout(a.ctx, notifyTimeout)
		err := a.deps.Call(ctx, p.Name, peer.KindStoreQuarantine, peer.StoreQuarantine{Change: change}, &peer.Empty{})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}
