// Package relay runs callers' requests: it runs the stages of each request, sends the request to an endpoint and
// streams the answer back. It does the I/O for the decisions of package kernel; the functions in Dependencies
// implement the wire formats.
//
// The work of a stage is split into pieces, each of which a worker, an endpoint of the stage's pool, makes into a
// result. For each pool one node is the batcher: all nodes send it their pieces, those of one stage of one request
// as a group, and it batches the pieces of several groups into calls to the workers. A worker holds a result until
// the result is freed or expires.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/binding"
	"basilstall.example/basilstall/currency"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/leaving"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/quarantine"
	"basilstall.example/basilstall/ratecap"
	"basilstall.example/basilstall/reach"
)

const (
	// sweepInterval is how often groups of pieces that can no longer be made in time are ended.
	sweepInterval = 200 * time.Millisecond
	// peerSilenceTimeout is how long a node may be silent before it counts as lost, with the pieces that
	// wait for it: several times the pause of a garbage collection or an exhausted CPU quota, and a third
	// of the slack of a usual objective.
	peerSilenceTimeout = 600 * time.Millisecond
)

type (
	// Relay serves callers' requests, and batches pieces for other nodes. It is safe for concurrent use.
	Relay struct {
		options   Options
		deps      Dependencies
		now       func() time.Time
		startedAt time.Time
		log       zerolog.Logger
		// answersLog and lateAnswersLog write samples to log.
		answersLog     zerolog.Logger
		lateAnswersLog zerolog.Logger
		// unstatedLog writes a sample of the lines on answers without a stated end.
		unstatedLog zerolog.Logger
		// invalidLog writes a sample of the lines on invalid statements of endpoints.
		invalidLog zerolog.Logger
		metrics    *metric.Set
		peers      *peer.Client

		// registryMu serializes updates of the registry, which follow from changes of several tables of the store.
		registryMu sync.Mutex

		// mu guards pools and updates of view.
		mu   sync.Mutex
		view atomic.Pointer[kernel.RoutingView]
		// routingProof is what is known of the proofs of view.
		routingProof atomic.Pointer[RoutingProof]
		registry     atomic.Pointer[kernel.Registry]
		nodes        atomic.Pointer[[]Node]
		// reachable holds the result of Reachable, and orders those of orders of nodes by hash.
		reachable atomic.Pointer[reachableNodes]
		orders    *kernel.NodeOrders
		// nodesKnown is true after the first call of SetNodes.
		nodesKnown atomic.Bool
		pools      map[string]*pool
		batchers   *batcherSet
		// bindings holds what resumable streams are bound to, and routeHistory which routes have lately led to other pools.
		bindings     *binding.Agent
		routeHistory atomic.Pointer[kernel.RouteHistory]
		// contention holds which pools have endpoints that state their contention.
		contention *contentionRecord
		// admitters holds the gates of the pools whose slots this node divides among customers, admissions what it asks other
		// nodes, or itself, of such pools.
		admitters  *admitters
		admissions *admissions
		// suspects holds the nodes that did not answer.
		suspects *suspects
		// remoteGroups holds the groups of other nodes that this one batches.
		remoteGroups *remoteGroups
		// activeCalls holds the calls in flight, which are cancelled when their endpoint restarts.
		activeCalls *callTracker
		// refusedRequests holds the refused requests of the pools for which this node is the refusedRequestsCoordinator.
		refusedRequests *refusedRequests
		// quarantine holds back requests that crash the endpoints that run them.
		quarantine *quarantine.Agent
		// paths holds this node's paths to the endpoints of each pool.
		paths *reach.Tracker
		// helpers holds what is known of the nodes that send requests in place of this one.
		helpers *reach.Helpers
		// relayedRequests is the number of requests that this node serves for other nodes, relayedBytes the size of their
		// bodies.
		relayedRequests atomic.Int64
		relayedBytes    atomic.Int64
		// rateCaps limits what is sent to endpoints that state a rate cap.
		rateCaps *ratecap.Limiter
		// refusalCaps holds the refusal caps that endpoints state.
		refusalCaps *ratecap.Limiter
		// placers holds the tables by which this node places streams for all nodes, placing what it needs to ask other nodes.
		placers *placers
		placing *placing

		// requestTimes holds how long the requests of each route take.
		requestTimes *leaving.Times
		// stopsAt is when a leaving node will stop; nil while it is not leaving.
		stopsAt     atomic.Pointer[time.Time]
		inFlight    atomic.Int64
		lastGroupID atomic.Uint64
		ctx         context.Context
		cancel      context.CancelFunc
	}

	// Node is a node that can batch pieces: another one or this one. Each node stores its own as JSON in the store.
	Node struct {
		Name    string
		Domain  string
		Address string
		// Capacity is the capacity of the node's host relative to others.
		Capacity float64
		Leaving  bool
		// Unreached lists the pools that the node does not reach, in order: others take its part in what few nodes do.
		Unreached []string `json:",omitempty"`
		// SettlesBindings is true if the node keeps streams at the version that began them, and its records of them can be relied on once
		// they are settled. Nodes of older builds do not.
		SettlesBindings bool `json:",omitempty"`
		// Places is true if the node places streams for other nodes. Nodes of older builds close connections on which they
		// are asked to.
		Places bool `json:",omitempty"`
		// Admits is true if the node can divide the slots of pools among customers. Nodes of older builds cannot.
		Admits bool `json:",omitempty"`
	}
)

// NewRelay returns a relay that knows no routing and no endpoint yet. The clock must include the time in
// which the process was suspended.
func NewRelay(options Options, deps Dependencies, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Relay {
	r := &Relay{
		options:        options,
		deps:           deps,
		now:            now,
		startedAt:      now(),
		log:            log,
		answersLog:     sampled(log, answerLogBurst),
		lateAnswersLog: sampled(log, lateAnswerLogBurst),
		unstatedLog:    sampled(log, unstatedLogBurst),
		invalidLog:     sampled(log, invalidLogBurst),
		metrics:        metrics,
		peers:          peer.NewClient(options.Name, ""),
		pools:          map[string]*pool{},
		orders:         kernel.NewNodeOrders(),
		contention:     newContentionRecord(),
		requestTimes:   leaving.NewTimes(),
	}
	r.peers.SetSilenceTimeout(peerSilenceTimeout)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.batchers = newBatcherSet(r)
	r.admitters = newAdmitters(r)
	r.admissions = newAdmissions(r)
	r.remoteGroups = newRemoteGroups()
	r.paths = r.newPaths()
	r.helpers = reach.NewHelpers()
	r.activeCalls = newCallTracker()
	r.refusedRequests = newRefusedRequests()
	r.quarantine = quarantine.NewAgent(r.ctx, options.Name, quarantine.Dependencies{
		Peers: r.Reachable, Call: r.callNode, Connect: deps.Connect, ReachesOthers: r.paths.ReachesOthers, Store: deps.StoreQuarantine,
	}, now, metrics, log)
	metrics.Gauge("routing_parts_unread", func() float64 { return float64(r.View().Table.Faults()) })
	metrics.Gauge("requests_held_back", func() float64 { return float64(r.quarantine.Len()) })
	metrics.Gauge("endpoints_with_refusal_cap", func() float64 { return float64(r.refusalCaps.Len()) })
	metrics.Gauge("endpoints_with_rate_cap", func() float64 { return float64(r.rateCaps.Len()) })
	metrics.Gauge("pools_not_reached", func() float64 { return float64(len(r.paths.LostPools())) })
	r.suspects = newSuspects(r.ctx, r.probe, func(node string) {
		r.log.Info().Str("Batcher", node).Msg("node answers again")
	})
	registry := kernel.NewRegistry().WithDrainBound(options.MaxDrainDelay, options.ListReadInterval)
	r.registry.Store(&registry)
	r.view.Store(&kernel.RoutingView{})
	r.routingProof.Store(&RoutingProof{})
	r.nodes.Store(&[]Node{})
	r.routeHistory.Store(&kernel.RouteHistory{})
	r.bindings = r.newBindings()
	r.rateCaps = r.newRateCapLimiter()
	r.refusalCaps = r.newRefusalCapLimiter()
	r.placers = newPlacers(r)
	r.placing = newPlacing(r)
	go r.placing.run()
	go r.sweep()
	return r
}

// sweep ends groups of pieces and forgets the times of requests, as they expire.
func (r *Relay) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.batchers.expireGroups()
			r.requestTimes.Expire(r.now())
		case <-r.ctx.Done():
			return
		}
	}
}

// Close stops the relay and cancels its calls.
func (r *Relay) Close() {
	r.cancel()
	r.peers.Close()
}

// Leave makes the relay batch no more pieces for other nodes, and refuse requests that might not end
// before stopsAt.
func (r *Relay) Leave(stopsAt time.Time) {
	r.stopsAt.Store(&stopsAt)
}

// Leaving reports whether Leave was called. If so, callers should open new connections to other nodes.
func (r *Relay) Leaving() bool {
	return r.stopsAt.Load() != nil
}

// Ready reports whether callers should open new connections to this node, and if not, why.
func (r *Relay) Ready() (bool, string) {
	view := r.View()
	switch {
	case r.Leaving():
		return false, "leaving"
	case view.Table == nil:
		return false, "no routing yet"
	case r.Registry().Len() == 0:
		return false, "no endpoints yet"
	case r.Currency() == currency.Behind:
		return false, "the routing is too old, and another node may know a newer one"
	case r.options.MaxRoutingAge > 0 && !view.Fresh(r.now(), r.options.MaxRoutingAge):
		return false, "the routing is too old"
	default:
		return true, ""
	}
}

// InFlight returns the number of requests that are being served.
func (r *Relay) InFlight() int64 {
	return r.inFlight.Load()
}

// View returns the routing in force.
func (r *Relay) View() kernel.RoutingView {
	return *r.view.Load()
}

// Registry returns the endpoints that are known.
func (r *Relay) Registry() kernel.Registry {
	return *r.registry.Load()
}

// SetRouting applies the result of a store call that began at the given time: a new table, or nil if the
// present one is still the newest.
func (r *Relay) SetRouting(began time.Time, table *kernel.RouteTable) {
	r.mu.Lock()
	old := *r.view.Load()
	view := old.With(began, table)
	r.view.Store(&view)
	if view.Table != old.Table {
		history := r.routeHistory.Load().With(r.now(), old.Table, view.Table)
		r.routeHistory.Store(&history)
	}
	r.mu.Unlock()
	if view.Table == old.Table {
		return
	}
	r.updateListedVersions(r.Registry())
	r.metrics.CountEvent("RoutingChanged")
	r.log.Info().Uint64("Version", view.Table.Version()).Uint64("Before", old.Table.Version()).Msg("routing in force")
	r.batchers.applyRouting(view.Table)
	r.batchers.setEndpoints(r.Registry())
}

// UpdateRegistry replaces the registry by the result of change, and applies the differences.
func (r *Relay) UpdateRegistry(change func(before kernel.Registry) kernel.Registry) {
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	before := *r.registry.Load()
	registry := change(before)
	r.registry.Store(&registry)
	if registry.SameEndpoints(before) {
		now := r.now()
		r.bindings.ConfirmListed(now.Add(-registry.Age(now)))
		// What is held back may have changed since, and trials depend on the listed versions.
		r.quarantine.ApplyEndpointList(registry.Endpoints)
		return
	}
	changes := registry.Changes(before)
	r.logRegistryChanges(changes, before.Len() == 0)
	r.updateListedVersions(registry)
	r.updatePaths(changes)
	r.batchers.updateEndpoints(before, registry)
	r.cancelStaleCalls(changes)
	r.quarantine.ApplyEndpointList(registry.Endpoints)
}

// ApplyEvacuationChange applies a change of the evacuated failure domains.
func (r *Relay) ApplyEvacuationChange(change kernel.EvacuationChange) {
	evacuations, effective := r.Registry().Evacuations().With(r.now(), change)
	if len(effective.Evacuated) == 0 && len(effective.Restored) == 0 {
		return
	}
	r.UpdateRegistry(func(before kernel.Registry) kernel.Registry { return before.WithEvacuations(evacuations) })
	for _, domain := range effective.Evacuated {
		r.metrics.CountEvent("DomainEvacuated")
		r.log.Info().Str("Domain", domain).Int64("InFlight", r.InFlight()).Msg("failure domain evacuated")
	}
	for _, domain := range effective.Restored {
		r.metrics.CountEvent("DomainTakenBack")
		r.log.Info().Str("Domain", domain).Msg("failure domain taken back")
	}
}

// ApplyQuarantineChange applies a change of the held requests that was read from the store.
func (r *Relay) ApplyQuarantineChange(change kernel.QuarantineChange) {
	r.quarantine.ApplyChange(change)
}

// Serve runs one request. It returns once the answer has been passed on, or a refusal if no answer was
// begun.
func (r *Relay) Serve(ctx context.Context, f model.Forward, out Responder) Outcome {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	view := r.View()
	admission, refusal := kernel.Admit(r.now(), view, r.trust(), f)
	if refusal == nil {
		refusal = r.admitWhileLeaving(admission, leaving.AtReceipt, nil)
	}
	var resumption *kernel.Finding
	if refusal == nil {
		admission, resumption, refusal = r.admitResumption(ctx, f, admission)
	}
	if refusal == nil && !r.paths.Lost(admission.Pool) {
		// The state of endpoints that this node does not reach is for the node to judge that sends in its place.
		refusal = r.admitEndpoints(f, admission)
	}
	if refusal != nil {
		return r.refuseUnstarted(f, admission, view, resumption, refusal)
	}
	f = f.WithDigest(model.NewDigest(admission.Customer, f.Host, f.URI, string(f.Body))).WithPartDigests(admission.Pool)
	trial, refusal := r.quarantine.Admit(ctx, f.Digests())
	if refusal != nil {
		return r.refuseUnstarted(f, admission, view, resumption, refusal)
	}
	job := &job{
		relay: r, forward: f, admission: admission, responder: &answerWriter{Responder: out, method: f.Method}, startedAt: r.now(), trial: trial,
		streamKey: kernel.NewStreamKey(admission.Customer, kernel.StreamID(admission.Route, f)),
	}
	outcome := job.serve(ctx)
	outcome.Resumption = resumption
	switch {
	case outcome.Refusal != nil:
		r.metrics.CountRefusal(outcome.Refusal)
		r.metrics.ObserveRefusalTime(outcome.Refusal, r.now().Sub(f.ReceivedAt))
	case !outcome.Complete:
		r.metrics.CountEvent("AnswerBrokenOff")
	default:
		r.metrics.ObserveAnswer(admission.Route.Name, r.now().Sub(f.ReceivedAt))
	}
	if trial && outcome.Refusal != nil && outcome.Refusal.Verdict == model.NotRun {
		r.quarantine.CancelTrial(f.Digests())
	}
	r.logOutcome(job.forward, admission, view, outcome)
	return outcome
}

// admitWhileLeaving refuses a request that might be cut off when this node stops, or the one that has its caller, at callerStopsAt; nil
// if that one is not known to leave.
func (r *Relay) admitWhileLeaving(a kernel.Admission, stage leaving.Stage, callerStopsAt *time.Time) *model.Refusal {
	stopsAt := r.stopsAt.Load()
	if stopsAt == nil || callerStopsAt != nil && callerStopsAt.Before(*stopsAt) {
		stopsAt = callerStopsAt
	}
	if stopsAt == nil {
		return nil
	}
	now := r.now()
	return leaving.Admit(now, *stopsAt, leaving.Request{
		Stream: a.Route.Kind == model.Stream, Deadline: a.Deadline, Stage: stage, Seen: r.requestTimes.Seen(now, a.Route.Name),
	})
}

// requestEnd returns what the outcome of a request tells of its end.
func requestEnd(o Outcome) leaving.End {
	return leaving.End{
		Answered: o.Complete && o.Status < http.StatusInternalServerError,
		Sent:     o.Complete || o.Refusal == nil || o.Refusal.Verdict != model.NotRun,
	}
}

// admitEndpoints refuses a request if no endpoint of a pool that it needs may get work from this node now.
func (r *Relay) admitEndpoints(f model.Forward, a kernel.Admission) *model.Refusal {
	if refusal := kernel.AdmitPools(r.now(), r.Registry(), f, a); refusal != nil {
		return refusal
	}
	return r.admitRateCaps(a)
}

// serve runs an admitted request to its end.
func (j *job) serve(ctx context.Context) Outcome {
	r, route := j.relay, j.admission.Route.Name
	j.number = r.requestTimes.Begin(r.now(), j.forward.ReceivedAt, route)
	outcome := j.serveInTime(ctx)
	r.requestTimes.End(r.now(), route, j.number, requestEnd(outcome))
	return outcome
}

// serveInTime runs an admitted request until its end or its deadline.
func (j *job) serveInTime(ctx context.Context) Outcome {
	r := j.relay
	ctx, cancel := context.WithTimeoutCause(ctx, j.admission.Deadline.Sub(r.now()), context.DeadlineExceeded)
	defer cancel()
	var outcome Outcome
	if j.admission.Route.Kind == model.Stream {
		outcome = j.serveStream(ctx)
	} else {
		outcome = j.serveUnary(ctx)
	}
	outcome = outcome.afterBeginning(j.responder)
	outcome.Stages = j.stageTimings
	outcome.Through = j.throughNode
	outcome.Placer = j.placer
	outcome.Late = j.forward.Waited+outcome.FirstEventTime > j.admission.Route.Objective
	if outcome.Refusal != nil && outcome.Refusal.Reason == model.StageLate && len(j.stageTimings) == 0 {
		outcome.Estimates = j.estimates
	}
	j.countShareRefusal(outcome)
	switch {
	case outcome.Refusal != nil:
		if outcome.Refusal.Verdict == model.NotRun && outcome.Refusal.RetryAfter > 0 && j.throughNode == "" {
			r.recordRefused(j.forward, j.admission, outcome.Refusal.RetryAfter)
		}
	case outcome.Complete:
		r.quarantine.RecordAnswer(j.forward.Digests(), j.answeredSince(outcome))
	}
	return outcome
}

// countShareRefusal counts a request that was refused for lack of time in a queue that is ordered by shares: because its
// customer had used its share, or because not even that left room.
func (j *job) countShareRefusal(outcome Outcome) {
	if outcome.Refusal == nil || outcome.Refusal.Reason != model.StageLate {
		return
	}
	applies, beyond := false, false
	for _, e := range outcome.Estimates {
		applies, beyond = applies || e.Shares.Applies, beyond || e.Shares.Beyond
	}
	for _, t := range j.stageTimings {
		applies, beyond = applies || t.Shares.Applies, beyond || t.Shares.Beyond
	}
	switch {
	case beyond:
		j.relay.metrics.CountEvent("RefusedBeyondShare")
	case applies:
		j.relay.metrics.CountEvent("RefusedNoRoom")
	}
}

// answeredSince returns when a request was sent that an endpoint has answered from the beginning to the end; zero if none
// has. Such an answer shows that no part of its prompt crashes endpoints.
func (j *job) answeredSince(outcome Outcome) time.Time {
	if j.cut || outcome.Status >= http.StatusMultipleChoices || j.forward.LastEventID != "" || j.lastEventID != "" {
		return time.Time{}
	}
	return j.firstSentAt
}

// refuseUnstarted refuses a request before any work on it has started.
func (r *Relay) refuseUnstarted(f model.Forward, a kernel.Admission, view kernel.RoutingView, resumption *kernel.Finding, refusal *model.Refusal) Outcome {
	r.metrics.CountRefusal(refusal)
	r.metrics.ObserveRefusalTime(refusal, r.now().Sub(f.ReceivedAt))
	outcome := Outcome{Refusal: refusal, Resumption: resumption}
	r.logOutcome(f, a, view, outcome)
	return outcome
}
