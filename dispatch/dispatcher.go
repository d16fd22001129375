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
)

type (
	// Dispatcher carries stages out. It is safe for concurrent use.
	Dispatcher struct {
		// OnLeaving is called when an endpoint itself says that it is leaving.
		OnLeaving func(pool, endpoint string)
		// OnAdapterDemand is called when a request uses an adapter of engines that load adapters on
		// demand; waiting tells that no engine known has it.
		OnAdapterDemand func(pool, adapter string, deadline time.Time, waiting bool)
		// OnDisconnect is called when a connection to an endpoint broke while it may have worked on a request.
		OnDisconnect func(e model.Endpoint, req model.Request)
		// CheckRequest decides right before each call whether the request may be sent; nil means yes.
		CheckRequest func(req model.Request) *model.Refusal
		// OnCall is called before each call to an endpoint, OnAnswer with what an answer to a call that began at a
		// time says of the calls that its endpoint takes.
		OnCall   func(e model.Endpoint)
		OnAnswer func(asked time.Time, e model.Endpoint, stated model.RateCap)
		// Admits tells whether an endpoint that was last called at a time may get a call now, Refuses whether none of
		// several endpoints may get one because of what they take.
		Admits    func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		AdmitPool func(now time.Time, pool string, endpoints []model.Endpoint, calledAt func(incarnation string) time.Time) *model.Refusal
		// MayRequestPermit tells whether another node is worth asking for a permit to call an endpoint that was last called at a
		// time, and RequestPermit asks one.
		MayRequestPermit func(now time.Time, e model.Endpoint, calledAt time.Time) bool
		RequestPermit    func(ctx context.Context, e model.Endpoint) bool
		// Unary makes one call that is answered at once; the error is an *endpoint.Fault.
		Unary func(ctx context.Context, target endpoint.Target, call model.StageCall) (model.StageReply, error)

		client  *endpoint.Client
		metrics *metric.Set
		domain  string
		// plain switches to the baseline policies: round robin, no limits, naive retries.
		plain bool

		mu          sync.Mutex
		pools       map[string]*pool
		evacuations kernel.Evacuations
	}

	// Job is one stage of one request.
	Job struct {
		Work   kernel.StageContext
		Plugin kernel.Plugin
		// Later estimates the stages that still follow.
		LaterStages []kernel.StageEstimate
		// Weight is the customer's share.
		Weight int
		// Trial tells that the request is held back and was permitted to run once.
		Trial bool
		// Emit gets the tokens of a stream; nil where nobody listens.
		Emit func(model.Token)
	}

	// Result is what a stage gave.
	Result struct {
		Carry  model.Carry
		Timing model.StageTiming
	}

	// EndpointStatus is what operators see of an endpoint.
	EndpointStatus struct {
		Endpoint model.Endpoint
		InFlight int
		Calls    uint64
		Faults   uint64
		Load     model.Load
		Ejected  bool
	}
)

// NewDispatcher returns a dispatcher for a node in a failure domain.
func NewDispatcher(domain string, plain bool, metrics *metric.Set) *Dispatcher {
	client := endpoint.NewClient()
	return &Dispatcher{
		OnLeaving:       func(string, string) {},
		OnAdapterDemand: func(string, string, time.Time, bool) {},
		Unary:           client.Unary,

		OnDisconnect: func(model.Endpoint, model.Request) {},
		CheckRequest: func(model.Request) *model.Refusal { return nil },
		OnCall:       func(model.Endpoint) {},
		OnAnswer:     func(time.Time, model.Endpoint, model.RateCap) {},
		Admits:       func(time.Time, model.Endpoint, time.Time) bool { return true },
		AdmitPool: func(time.Time, string, []model.Endpoint, func(string) time.Time) *model.Refusal {
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

// SetEndpoints brings all pools in line with the platform's list.
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

// SetEvacuated gives the endpoints of just some failure domains no more work. It returns the domains whose state is a
// new one.
func (d *Dispatcher) SetEvacuated(now time.Time, domains []string) kernel.EvacuationChange {
	d.mu.Lock()
	change := kernel.EvacuationChange{Evacuated: domains}
	for _, domain := range d.evacuations.Domains() {
		if !slices.Contains(domains, domain) {
			change.Restored = append(change.Restored, domain)
		}
	}
	evacuations, news := d.evacuations.With(now, change)
	d.evacuations = evacuations
	d.mu.Unlock()
	for _, name := range d.poolNames() {
		d.pool(name).setEvacuations(evacuations)
	}
	return news
}

// Evacuations returns which failure domains get no work.
func (d *Dispatcher) Evacuations() kernel.Evacuations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations
}

// MarkLeaving gives an endpoint no more work; it reports whether that is news.
func (d *Dispatcher) MarkLeaving(poolName, endpointName string) bool {
	return d.pool(poolName).markLeaving(endpointName)
}

// Estimates tells what a request that comes now can expect of several stages. The weight is
// its customer's.
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

// Status returns what is known of all endpoints.
func (d *Dispatcher) Status() []EndpointStatus {
	var out []EndpointStatus
	for _, name := range d.poolNames() {
		out = append(out, d.pool(name).status()...)
	}
	return out
}

// Endpoints returns the endpoints of a pool that take work.
func (d *Dispatcher) Endpoints(pool string) []model.Endpoint {
	var out []model.Endpoint
	for _, e := range d.pool(pool).status() {
		if e.Endpoint.TakesWork() {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// Close closes the idle connections.
func (d *Dispatcher) Close() {
	d.client.Close()
}

// Run carries a stage out. The error is a *model.Refusal whose verdict is NotRun only if no
// endpoint was asked. The result's timing is filled in with an error too.
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
	a := &attempts{dispatcher: d, pool: p, job: job, deadline: req.Deadline, carry: job.Work.Carry}
	var err error
	if job.Plugin.Streams {
		err = a.runStream(ctx)
	} else {
		err = a.runUnary(ctx)
	}
	timing := a.timing()
	timing.Elapsed = time.Since(start)
	return Result{Carry: a.carry, Timing: timing}, err
}

// Lists tells whether an incarnation of an endpoint is listed.
func (d *Dispatcher) Listed(incarnation string) bool {
	return slices.ContainsFunc(d.Status(), func(s EndpointStatus) bool { return s.Endpoint.Incarnation() == incarnation })
}

// refuses returns the refusal of a request whose pool has only endpoints that take no more now than they get.
func (d *Dispatcher) checkPool(p *pool) *model.Refusal {
	if d.plain || p.admitsAny(time.Now()) {
		return nil
	}
	endpoints, calledAt := p.lastCalls()
	return d.AdmitPool(time.Now(), p.name, endpoints, func(incarnation string) time.Time { return calledAt[incarnation] })
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
		p.mayRequestPermit = func(now time.Time, e model.Endpoint, calledAt time.Time) bool {
			return d.MayRequestPermit(now, e, calledAt)
		}
		d.pools[name] = p
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
