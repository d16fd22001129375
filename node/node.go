package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	// These packages register their stage plug-ins with the kernel.
	_ "basilstall.example/basilstall/engine"
	_ "basilstall.example/basilstall/pool"
	_ "basilstall.example/basilstall/service"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/config"
	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/leaving"
	"basilstall.example/basilstall/list"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/operator"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/quarantine"
	"basilstall.example/basilstall/ratecap"
	"basilstall.example/basilstall/reach"
	"basilstall.example/basilstall/table"
)

// requestTimesInterval is how often pipelines without recent requests are forgotten.
const requestTimesInterval = time.Minute

// Node is one process of the fleet: it accepts callers' requests and calls endpoints to serve them.
type Node struct {
	options config.Options
	// member identifies this process among the members of the fleet.
	member         kernel.Member
	log            zerolog.Logger
	metrics        *metric.Set
	store          *table.Store
	list           *list.Client
	peers          *peer.Client
	peerServer     *peer.Server
	callerServer   *caller.Server
	operatorServer *operator.Server
	dispatcher     *dispatch.Dispatcher
	records        *records
	rateLimiter    *rateLimiter
	customers      *customerUses
	fleet          *fleet
	claims         *claimsState
	// keys decides on requests with keys that this node owns. durableKeys does so for durable keys, whose rows in the
	// table decide which process runs the request.
	keys            *keyLedger
	durableKeys     *keyLedger
	committer       *committer
	orderController *orderController
	// quarantine holds back requests that crash the endpoints that run them. rateCaps limits the calls to endpoints that
	// state a rate cap. notices follows the table's row that publishes both to all nodes.
	quarantine *quarantine.Agent
	rateCaps   *ratecap.Limiter
	// paths holds this node's paths to the endpoints of each pool, and helpers what is known of the members that run stages
	// in place of this one.
	paths   *reach.Tracker
	helpers *reach.Helpers
	notices *notices
	// conns counts what the node holds for callers.
	conns *connlimit.Tracker
	// coldRoles caches which cold endpoints this node may call.
	coldRoles *coldRoleCache
	// runningAtHandover lists the IDs of the keys whose requests were still running when this node handed its keys over.
	runningAtHandover []string

	// settingsMu is held while new settings are applied.
	settingsMu sync.Mutex
	settings   atomic.Pointer[kernel.Settings]
	// endpointsKnown is true once the platform's list has contained an endpoint.
	endpointsKnown atomic.Bool
	// tableDown is true if the last call to the table failed.
	tableDown atomic.Bool
	draining  atomic.Bool
	// drainEndsAt is when a draining node stops; nil while it is not draining.
	drainEndsAt atomic.Pointer[time.Time]
	// requestTimes holds how long the requests of each pipeline take.
	requestTimes *leaving.Times
	inFlight     atomic.Int64
	// lastArrival is when the last request of a caller arrived, in nanoseconds since the Unix epoch.
	lastArrival atomic.Int64

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// NewNode starts a node and its listeners. Stop it with Drain or Close.
func NewNode(options config.Options, log zerolog.Logger) (*Node, error) {
	incarnation, err := uuid.NewV7()
	if err != nil {
		return nil, err
	}
	peerServer, err := peer.NewServer(options.PeersListen, options.PeersToken)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	metrics := metric.NewSet()
	store := table.NewStore(options.Platform)
	n := &Node{
		options:         options,
		member:          kernel.Member{Node: options.Name, Incarnation: incarnation.String(), Address: peerServer.Address()},
		log:             log.With().Str("Node", options.Name).Logger(),
		metrics:         metrics,
		store:           store,
		list:            list.NewClient(options.Platform),
		peers:           peer.NewClient(options.Name, options.PeersToken),
		peerServer:      peerServer,
		dispatcher:      dispatch.NewDispatcher(options.FailureDomain, options.Plain, metrics),
		records:         newRecords(),
		requestTimes:    leaving.NewTimes(),
		rateLimiter:     newRateLimiter(),
		customers:       newCustomerUses(),
		keys:            newKeyLedger(),
		durableKeys:     newKeyLedger(),
		committer:       newCommitter(store),
		orderController: newOrderController(),
		notices:         newNotices(),
		coldRoles:       newColdRoleCache(now),
	}
	n.claims = newClaimsState(n.member)
	n.fleet = &fleet{membership: kernel.NewMembership(now, n.member, options.FailureDomain)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.quarantine = n.newQuarantineAgent()
	n.rateCaps = n.newRateCapLimiter()
	n.paths = n.newPaths()
	n.helpers = reach.NewHelpers()
	settings := kernel.NewSettings()
	n.settings.Store(&settings)
	n.connectDispatcher(now)
	if err := n.listen(); err != nil {
		n.Close()
		return nil, err
	}
	n.registerGauges()
	n.startLoops()
	n.log.Info().Str("Callers", n.CallersAddress()).Str("Operators", n.OperatorsAddress()).Str("Peers", n.member.Address).Msg("node started")
	return n, nil
}

// connectDispatcher sets the functions by which the dispatcher of a node that started at startedAt learns from it, and it from
// the dispatcher.
func (n *Node) connectDispatcher(startedAt time.Time) {
	n.dispatcher.OnLeaving = n.markLeaving
	n.dispatcher.OnAdapterDemand = n.recordAdapterUse
	n.dispatcher.OnDisconnect = n.recordDisconnect
	n.dispatcher.OnConnection = n.paths.Record
	n.dispatcher.RefusalRole = func(now time.Time, role kernel.RefusalRole, incarnation string) kernel.RefusalRole {
		return role.With(now, startedAt, n.member.Node, incarnation, n.announcedPeers())
	}
	n.dispatcher.CheckRequest = n.checkQuarantine
	n.dispatcher.OnCall = n.rateCaps.RecordSend
	n.dispatcher.OnAnswer = n.rateCaps.RecordAnswer
	n.dispatcher.MayRequestPermit = n.mayRequestPermit
	n.dispatcher.RequestPermit = n.rateCaps.RequestPermit
	n.dispatcher.Admits = n.mayCallEndpoint
	n.dispatcher.AdmitPool = n.admitPool
	n.dispatcher.RefusePool = n.rateCaps.RefusePool
}

func (n *Node) listen() error {
	var err error
	n.conns = n.newConnTracker()
	if n.callerServer, err = caller.NewServer(n.options.CallersListen, n.callerServerDependencies()); err != nil {
		return err
	}
	if n.operatorServer, err = operator.NewServer(n.options.OperatorsListen, n.options.OperatorsToken, n.operatorServerDependencies()); err != nil {
		return err
	}
	n.peerServer.OnAcceptFailed = func(err error) {
		n.metrics.CountEvent("PeerAcceptFailed")
		n.log.Error().Err(err).Msg("no connection of a peer accepted")
	}
	n.peerServer.OnTokenRefused = func(remote string) {
		n.metrics.CountEvent("PeerTokenRefused")
		n.log.Warn().Str("Remote", remote).Msg("peer token refused")
	}
	handlers := n.quarantine.Handlers()
	maps.Copy(handlers, map[peer.Kind]peer.Handler{
		peer.KindHeartbeat:  n.handleHeartbeat,
		peer.KindForward:    n.handleForward,
		peer.KindSettings:   n.handleSettings,
		peer.KindHandover:   n.handleHandover,
		peer.KindExplain:    n.handleExplain,
		peer.KindDemand:     n.handleDemand,
		peer.KindGrant:      n.handleGrant,
		peer.KindSeal:       n.handleSeal,
		peer.KindCapPermit:  n.handleCapPermit,
		peer.KindRatePermit: n.handleRatePermit,
	})
	n.peerServer.StreamHandlers = map[peer.Kind]peer.StreamHandler{peer.KindRelay: n.handleRelay}
	n.peerServer.Serve(n.member, handlers)
	return nil
}

func (n *Node) startLoops() {
	for _, loop := range []func(){n.pollSettings, n.sendHeartbeats, n.pollList, n.announceHost, n.maintainClaims, n.maintainGrants, n.maintainAdapters, n.followNotices, n.expireRequestTimes} {
		n.loops.Add(1)
		go func() {
			defer n.loops.Done()
			loop()
		}()
	}
}

func (n *Node) expireRequestTimes() {
	n.runPeriodically(requestTimesInterval, func(context.Context) { n.requestTimes.Expire(time.Now()) })
}

// runPeriodically calls work at once and then about once per period, with jitter, until the node stops.
func (n *Node) runPeriodically(period time.Duration, work func(context.Context)) {
	for {
		work(n.ctx)
		if !clock.Sleep(n.ctx, jitter(period)) {
			return
		}
	}
}

// jitter varies d at random by up to 20 percent either way, so that the periodic work of the nodes does not coincide.
func jitter(d time.Duration) time.Duration {
	const spread = 0.4
	return time.Duration(float64(d) * (1 - spread/2 + spread*rand.Float64()))
}

// CallersAddress returns the address of the listener for callers.
func (n *Node) CallersAddress() string { return n.callerServer.Address() }

// OperatorsAddress returns the address of the listener for operators.
func (n *Node) OperatorsAddress() string { return n.operatorServer.Address() }

// PeersAddress returns the address of the listener for other nodes.
func (n *Node) PeersAddress() string { return n.member.Address }

// EventCount returns the value of an event's counter.
func (n *Node) EventCount(name string) uint64 { return n.metrics.EventCount(name) }

// Close stops the node at once and aborts the requests in flight.
func (n *Node) Close() {
	n.cancel()
	if n.callerServer != nil {
		n.callerServer.Close()
	}
	if n.operatorServer != nil {
		n.operatorServer.Close()
	}
	n.peerServer.Close()
	n.peers.Close()
	n.loops.Wait()
	n.dispatcher.Close()
	n.orderController.client.Close()
	n.store.Close()
	n.list.Close()
}

func (n *Node) shutdownCallerServer(ctx context.Context) {
	n.callerServer.Shutdown(ctx)
}

// Ready reports whether the load balancer should send requests to this node, and if not, the reason.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.draining.Load():
		return false, "draining"
	case n.Settings().Revision == 0:
		return false, "no settings yet"
	case !n.endpointsKnown.Load():
		return false, "no endpoints yet"
	default:
		return true, ""
	}
}

// recordTableResult records the result of a call to the table, and logs when the table becomes unavailable or available
// again.
func (n *Node) recordTableResult(err error) {
	if n.ctx.Err() != nil {
		return
	}
	down := err != nil
	if down {
		n.metrics.CountEvent("TableFailed")
	}
	if n.tableDown.Swap(down) == down {
		return
	}
	if down {
		n.log.Warn().Err(err).Msg("table does not answer")
		return
	}
	n.log.Info().Msg("table answers again")
}

func (n *Node) registerGauges() {
	n.metrics.Gauge("requests_in_flight", func() float64 { return float64(n.inFlight.Load()) })
	n.metrics.Gauge("settings_revision", func() float64 { return float64(n.Settings().Revision) })
	n.metrics.Gauge("claims_number", func() float64 { return float64(n.claims.number()) })
	n.metrics.Gauge("keys_remembered", func() float64 { return float64(n.keys.len()) })
	n.metrics.Gauge("requests_held_back", func() float64 { return float64(n.quarantine.Len()) })
	n.metrics.Gauge("endpoints_with_rate_cap", func() float64 { return float64(n.rateCaps.Len()) })
	n.metrics.Gauge("members_alive", func() float64 { return float64(n.fleet.aliveCount()) })
	n.metrics.Gauge("table_reads", func() float64 { return float64(n.store.Reads()) })
	n.metrics.Gauge("table_writes", func() float64 { return float64(n.store.Writes()) })
}

// recordRequest stores the record of a finished request for operators. forwarded is the node that ran the request or
// owns its key, if that is another one.
func (n *Node) recordRequest(req model.Request, began time.Time, answer model.Answer, p progress, refusal *model.Refusal, forwarded string) {
	record := model.Record{
		Request:   req.ID,
		Node:      n.options.Name,
		Customer:  req.Customer,
		Digest:    req.Digest(),
		Team:      req.Team,
		Pipeline:  req.Pipeline,
		Key:       req.Key,
		Forwarded: forwarded,
		Began:     began,
		Elapsed:   time.Since(began),
		Verdict:   answer.Verdict,
		Stages:    p.stages,
	}
	if refusal != nil {
		record.Verdict = refusal.Verdict
		record.Reason = refusal.Reason
		record.Detail = refusal.Detail
	}
	n.records.add(record)
	if forwarded == "" {
		n.customers.record(time.Now(), req.Account(), p.stages, refusal != nil)
	}
}
