package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/pace"
)

type (
	// Dispatcher runs stages on the endpoints of their pools. It is safe for concurrent use. The exported fields must
	// be set before the first call; NewDispatcher sets defaults.
	Dispatcher struct {
		// OnLeaving is called when an incarnation of an endpoint reports in a reply that it is leaving.
		OnLeaving func(pool, incarnation string)
		// OnAdapterDemand is called when a request uses an adapter of engines that load adapters on demand. waiting is
		// true if all engines that accept work have recently replied that they lack it.
		OnAdapterDemand func(pool, adapter string, deadline time.Time, waiting bool)
		// OnDisconnect is called when the connection to an endpoint broke during a call and the endpoint, which is not
		// leaving, may have worked on the request.
		OnDisconnect func(e model.Endpoint, req model.Request)
		// OnConnection is called after a call to an endpoint, begun at beganAt, with the error if no connection could be
		// opened.
		OnConnection func(e model.Endpoint, beganAt time.Time, err error)
		// CheckRequest is called right before each call to an endpoint of a pool, except for the first one of a request on
		// trial. It returns a refusal if the request must not be sent.
		CheckRequest func(pool string, req model.Request) *model.Refusal
		// OnCall is called before each call to an endpoint.
		OnCall func(e model.Endpoint)
		// OnAnswer is called with the rate cap, or its absence, in an endpoint's answer to a call that was sent at
		// sentAt.
		OnAnswer func(sentAt time.Time, e model.Endpoint, stated model.RateCap)
		// Admits reports whether rate caps and cold limits let this node call an endpoint now, given when it last did.
		Admits func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		// RefusalRole finds out whether this node may call an endpoint that states a refusal cap.
		RefusalRole func(now time.Time, role kernel.RefusalRole, incarnation string) kernel.RefusalRole
		// AdmitPool returns a refusal if rate caps and cold limits let this node call none of the endpoints of a pool
		// now. calledAt returns when this node last called an endpoint.
		AdmitPool func(now time.Time, pool string, endpoints []model.Endpoint, calledAt func(incarnation string) time.Time) *model.Refusal
		// RefusePool returns the refusal of a stage whose permits were denied, or nil if an endpoint of its pool has no
		// rate cap.
		RefusePool func(now time.Time, pool string, endpoints []model.Endpoint, calledAt func(incarnation string) time.Time) *model.Refusal
		// MayRequestPermit reports whether another node may be asked for a permit to call an endpoint in its place,
		// given when this node last called it.
		MayRequestPermit func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		// RequestPermit requests such a permit and reports whether it was granted.
		RequestPermit func(ctx context.Context, e model.Endpoint) bool
		// Unary makes one call and returns the complete reply. The error is an *endpoint.Fault.
		Unary func(ctx context.Context, target endpoint.Target, call model.StageCall) (model.StageReply, error)

		client  *endpoint.Client
		metrics *metric.Set
		// domain is the node's failure domain.
		domain string
		// plain selects the baseline policies: round robin, no limits, retries without a budget.
		plain bool

		mu          sync.Mutex
		pools       map[string]*pool
		evacuations kernel.Evacuations
	}

	// Job is one stage of one request.
	Job struct {
		// Work is the request, the stage and the output carried over from the stages before.
		Work   kernel.StageContext
		Plugin kernel.Plugin
		// LaterStages has the estimates of the stages that follow.
		LaterStages []kernel.StageEstimate
		// Weight is the customer's weight in the queues of the pools.
		Weight int
		// Trial is true if the request is held back and was permitted to run once, on trial.
		Trial bool
		// Emit is called with each token of a stream. It may be nil.
		Emit func(model.Token)
	}

	// Result is the result of a stage.
	Result struct {
		// Output is what the next stage gets as StageContext.Previous.
		Output model.StageOutput
		Timing model.StageTiming
	}

	// EndpointStatus is the status of an endpoint as shown to operators.
	EndpointStatus struct {
		Endpoint model.Endpoint
		// InFlight is the number of this node's calls in flight.
		InFlight int
		// Calls counts this node's calls.
		Calls uint64
		// Faults counts the calls that failed because of the endpoint.
		Faults uint64
		// Load is the load that the endpoint last reported.
		Load model.Load
		// Ejected is true if the endpoint was ejected and no call to it has succeeded since.
		Ejected bool
		// Pace is the estimate of its slowness; zero if the pool's endpoints do not state their contention.
		Pace pace.Estimate `json:",omitzero"`
	}
)

// NewDispatcher returns a dispatcher for a node in a failure domain. plain selects the baseline policies.
func NewDispatcher(domain string, plain bool, metrics *metric.Set) *Dispatcher {
	client := endpoint.NewClient()
	return &Dispatcher{
		OnLeaving:       func(string, string) {},
		OnAdapterDemand: func(string, string, time.Time, bool) {},
		Unary:           client.Unary,

		OnDisconnect: func(model.Endpoint, model.Request) {},
		OnConnection: func(model.Endpoint, time.Time, error) {},
		CheckRequest: func(string, model.Request) *model.Refusal { return nil },
		OnCall:       func(model.Endpoint) {},
		OnAnswer:     func(time.Time, model.Endpoint, model.RateCap) {},
		Admits:       func(time.Time, model.Endpoint, time.Time) bool { return true },
		RefusalRole: func(now time.Time, role kernel.RefusalRole, incarnation string) kernel.RefusalRole {
			return role.With(now, time.Time{}, "", incarnation, nil)
		},
		AdmitPool: func(time.Time, string, []model.Endpoint, func(string) time.Time) *model.Refusal {
			return nil
		},
		RefusePool: func(time.Time, string, []model.Endpoint, func(string) time.Time) *model.Refusal {
			return nil
		},
		MayRequestPermit: func(time.Time, model.Endpoint, time.Time) bool { return false },
		RequestPermit:    func(context.Context, model.Endpoint) bool { return false },

		client:  client,
		metrics: metrics,
		domain:  domain,
		plain:   plain,
		pools:   map[string]*pool{},
	}
}

// SetEndpoints replaces the endpoints of all pools with the listed ones. What is known of endpoints that stay is kept.
func (d *Dispatcher) SetEndpoints(listed []model.Endpoint) {
	now := time.Now()
	byPool := map[string][]model.Endpoint{}
	for _, e := range listed {
		byPool[e.Pool] = append(byPool[e.Pool], e)
	}
	for _, name := range d.poolNames() {
		if byPool[name] == nil {
			byPool[name] = nil
		}
	}
	for name, endpoints := range byPool {
		d.pool(name).setEndpoints(now, endpoints)
	}
}

// SetEvacuated sets the failure domains whose endpoints get no work. It returns the domains whose state has changed.
func (d *Dispatcher) SetEvacuated(now time.Time, domains []string) kernel.EvacuationChange {
	d.mu.Lock()
	change := kernel.EvacuationChange{Evacuated: domains}
	for _, domain := range d.evacuations.Domains() {
		if !slices.Contains(domains, domain) {
			change.Restored = append(change.Restored, domain)
		}
	}
	evacuations, changed := d.evacuations.With(now, change)
	d.evacuations = evacuations
	d.mu.Unlock()
	for _, name := range d.poolNames() {
		d.pool(name).setEvacuations(evacuations)
	}
	return changed
}

// Evacuations returns the failure domains whose endpoints get no work.
func (d *Dispatcher) Evacuations() kernel.Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations
}

// MarkLeaving stops new work for an incarnation of an endpoint that is leaving. It reports whether the incarnation is
// listed and was not marked before.
func (d *Dispatcher) MarkLeaving(poolName, incarnation string) bool {
	return d.pool(poolName).markLeaving(time.Now(), incarnation)
}

// Estimates returns the estimates of several stages for a request that arrives now. weight is that of its customer.
func (d *Dispatcher) Estimates(req model.Request, weight int, stages []model.Stage) []kernel.StageEstimate {
	out := make([]kernel.StageEstimate, 0, len(stages))
	for _, s := range stages {
		out = append(out, d.estimate(req, weight, s))
	}
	return out
}

func (d *Dispatcher) estimate(req model.Request, weight int, stage model.Stage) kernel.StageEstimate {
	return d.pool(stage.Pool).estimate(kernel.MaxTokens(req, stage), newWaiter(req, weight))
}

func newWaiter(req model.Request, weight int) kernel.Waiter {
	return kernel.Waiter{Customer: req.Account(), Weight: weight, Deadline: req.Deadline}
}

// Status returns the status of all endpoints, sorted by the names of their pools.
func (d *Dispatcher) Status() []EndpointStatus {
	var out []EndpointStatus
	for _, name := range d.poolNames() {
		out = append(out, d.pool(name).status()...)
	}
	return out
}

// Endpoints returns the endpoints of a pool that accept work.
func (d *Dispatcher) Endpoints(pool string) []model.Endpoint {
	var out []model.Endpoint
	for _, e := range d.pool(pool).status() {
		if e.Endpoint.TakesWork() {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// ListedEndpoints returns all listed endpoints of a pool.
func (d *Dispatcher) ListedEndpoints(pool string) []model.Endpoint {
	var out []model.Endpoint
	for _, e := range d.pool(pool).status() {
		out = append(out, e.Endpoint)
	}
	return out
}

// HasRefusalCap reports whether an endpoint of a pool states a refusal cap. Only some nodes may call such endpoints.
func (d *Dispatcher) HasRefusalCap(pool string) bool {
	return d.pool(pool).hasRefusalCap()
}

// Pools returns the names of the pools.
func (d *Dispatcher) Pools() []string {
	return d.poolNames()
}

// Close closes the idle connections to endpoints.
func (d *Dispatcher) Close() {
	d.client.Close()
}

// Run runs a stage. The error is a *model.Refusal, whose verdict is NotRun only if no endpoint can have received a
// call. If the stage was started, the result has its timing even if there is an error.
func (d *Dispatcher) Run(ctx context.Context, job Job) (Result, error) {
	start := time.Now()
	p := d.pool(job.Work.Stage.Pool)
	req := job.Work.Request
	estimate := d.estimate(req, job.Weight, job.Work.Stage)
	waiter := newWaiter(req, job.Weight)
	waiter.Cost = estimate.Cost()
	waiter.LatestStart = estimate.LatestStart(kernel.StageDeadline(req.Deadline, job.LaterStages))
	if refusal := d.checkPool(p); refusal != nil {
		return Result{}, refusal
	}
	if !p.acquire(ctx, start, waiter) {
		return Result{}, waitRefusal(ctx, p, estimate)
	}
	defer p.release()
	a := &attempts{dispatcher: d, pool: p, job: job, deadline: req.Deadline, stageOutput: job.Work.Previous}
	var err error
	if job.Plugin.Streams {
		err = a.runStream(ctx)
	} else {
		err = a.runUnary(ctx)
	}
	timing := a.timing()
	timing.Elapsed = time.Since(start)
	return Result{Output: a.stageOutput, Timing: timing}, err
}

// Listed reports whether an incarnation of an endpoint is listed.
func (d *Dispatcher) Listed(incarnation string) bool {
	return slices.ContainsFunc(d.Status(), func(s EndpointStatus) bool { return s.Endpoint.Incarnation() == incarnation })
}

// checkPool returns a refusal if pauses, rate caps and cold limits let this node call none of the pool's endpoints now.
func (d *Dispatcher) checkPool(p *pool) *model.Refusal {
	now := time.Now()
	if d.plain || p.admitsAny(now) {
		return nil
	}
	endpoints, calledAt := p.lastCalls()
	if refusal := kernel.AdmitPaused(now, p.name, endpoints); refusal != nil {
		return refusal
	}
	if p.hasRefusalCap() {
		return kernel.RefuseRefusalCapped(p.name)
	}
	return d.AdmitPool(now, p.name, endpoints, func(incarnation string) time.Time { return calledAt[incarnation] })
}

// refusePool returns the refusal of a stage whose permits were denied, or nil if an endpoint of its pool has no rate cap.
func (d *Dispatcher) refusePool(p *pool) *model.Refusal {
	endpoints, calledAt := p.lastCalls()
	return d.RefusePool(time.Now(), p.name, endpoints, func(incarnation string) time.Time { return calledAt[incarnation] })
}

func waitRefusal(ctx context.Context, p *pool, e kernel.StageEstimate) error {
	if ctx.Err() == context.Canceled {
		return model.NewRefusal(model.NotRun, model.CallerGone, 0, "the caller went away")
	}
	return model.NewRefusal(model.NotRun, model.Overloaded, kernel.ClampRetryAfter(e.Expected()),
		"pool "+p.name+" had no place in time")
}

func (d *Dispatcher) pool(name string) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools[name]
	if p == nil {
		p = newPool(name, d.domain, d.plain)
		p.evacuations = d.evacuations
		p.admits = func(now time.Time, e model.Endpoint, calledAt time.Time) bool { return d.Admits(now, e, calledAt) }
		p.refusalRole = func(now time.Time, role kernel.RefusalRole, incarnation string) kernel.RefusalRole {
			return d.RefusalRole(now, role, incarnation)
		}
		p.mayRequestPermit = func(now time.Time, e model.Endpoint, calledAt time.Time) bool {
			return d.MayRequestPermit(now, e, calledAt)
		}
		d.pools[name] = p
		d.metrics.GaugeSlowEndpoints(name, func() int { return p.slowCount(time.Now()) })
	}
	return p
}

func (d *Dispatcher) poolNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := make([]string, 0, len(d.pools))
	for name := range d.pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
