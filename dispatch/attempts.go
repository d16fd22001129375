package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/pace"
)

const (
	// minHedgeDelay keeps latency jitter from starting hedges.
	minHedgeDelay = 25 * time.Millisecond
	// hedgeFactor times the 95th percentile of the service time is the delay of a hedge.
	hedgeFactor = 1.5
	// failureLatencyFactor times the 99th percentile of the service time is how long an abandoned call must have run
	// to count as a failure of its endpoint.
	failureLatencyFactor = 3
)

type (
	// attempts is the state of the calls of one stage of one request. Only the goroutine that runs the stage accesses
	// it; the goroutines of unary calls send their outcomes over a channel.
	attempts struct {
		dispatcher *Dispatcher
		pool       *pool
		job        Job
		deadline   time.Time
		// stageOutput is the output of the preceding stage, updated with the results of this one.
		stageOutput model.StageOutput

		// callCount is how many calls were started.
		callCount int
		// notLoadedCount is how many of these calls found that the engine lacks the adapter.
		notLoadedCount int
		// excluded lists the incarnations that were called already. They are called again only if no other endpoint may be
		// called.
		excluded []string
		// boundTo is bound once a stream has its first token: what endpoints of two versions write does not fit together.
		boundTo versionFilter
		// endpointName is the endpoint whose reply was accepted.
		endpointName string
		// busy is the total duration of the calls.
		busy time.Duration
		// connectBy is the deadline for the connection of the next call; zero for none.
		connectBy time.Time
		// permitDenied is true if the last choice of an endpoint was denied a permit.
		permitDenied bool
		// hedging is true while a hedge is started.
		hedging bool
		// mayHaveRun is true once an endpoint may have received a call.
		mayHaveRun bool
	}

	// outcome is the result of one unary call.
	outcome struct {
		attempt   int
		endpoint  *endpointState
		startedAt time.Time
		elapsed   time.Duration
		reply     model.StageReply
		err       error
	}
)

func (a *attempts) timing() model.StageTiming {
	return model.StageTiming{
		Stage:    a.job.Work.Stage.Name,
		Endpoint: a.endpointName,
		Attempts: a.callCount,
		Busy:     a.busy,
		Tokens:   a.stageOutput.Tokens,
	}
}

// kind names the calls that take about equally long.
func (a *attempts) kind() string {
	w := a.job.Work
	return w.Request.Team + "/" + w.Request.Pipeline + "/" + w.Stage.Name
}

func (a *attempts) idempotent() bool {
	return !a.job.Work.Stage.NonIdempotent
}

// prepareCall returns the next call, with its identity and deadline.
func (a *attempts) prepareCall() model.StageCall {
	call := a.job.Plugin.Prepare(a.job.Work)
	call.Request = a.job.Work.Request.ID
	call.Stage = a.job.Work.Stage.Name
	call.Attempt = a.callCount
	call.Customer = a.job.Work.Request.Account()
	call.Deadline = a.deadline
	return call
}

// target returns where and how to send a call to an endpoint. A call that must not be repeated gets a new connection,
// and so does a hedge, since the call that it hedges may be stuck on an unresponsive one.
func (a *attempts) target(e *endpointState) endpoint.Target {
	return endpoint.Target{
		Address:       e.address,
		Path:          a.job.Plugin.Path,
		NewConnection: !a.idempotent() || a.hedging,
		Timeout:       time.Until(a.deadline),

		ConnectBy: a.connectBy,
	}
}

// runUnary makes calls until one succeeds, and accepts the first good reply. It retries at another endpoint after a
// fault and hedges a slow call, both within the retry budget.
func (a *attempts) runUnary(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	outcomes := make(chan outcome, kernel.MaxAttempts)
	running := map[int]startedCall{}
	if err := a.checkRequest(); err != nil {
		return err
	}
	if !a.startCall(ctx, running, outcomes) {
		return a.noEndpointRefusal(errors.New("no endpoint"))
	}
	hedge := time.NewTimer(a.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case o := <-outcomes:
			delete(running, o.attempt)
			done, err := a.handleOutcome(ctx, o, running)
			if done {
				return err
			}
			if err := a.startAnother(ctx, o, running, outcomes); err != nil {
				return err
			}
		case <-hedge.C:
			if !a.startHedge(ctx, running, outcomes) {
				continue
			}
			hedge.Reset(a.hedgeDelay() << a.callCount)
		case <-ctx.Done():
			a.abandon(running)
			return a.newRefusal(model.StageTimeout, context.Cause(ctx))
		}
	}
}

// startAnother starts another call if none is running.
func (a *attempts) startAnother(ctx context.Context, o outcome, running map[int]startedCall, outcomes chan<- outcome) error {
	if len(running) > 0 {
		return nil
	}
	if err := a.checkRequest(); err != nil {
		return err
	}
	if !a.startCall(ctx, running, outcomes) {
		return a.noEndpointRefusal(o.err)
	}
	return nil
}

// checkRequest returns a refusal if the request is held back. A trial is permitted for one call.
func (a *attempts) checkRequest() error {
	if a.job.Trial && a.callCount == 0 {
		return nil
	}
	refusal := a.dispatcher.CheckRequest(a.pool.name, a.job.Work.Request)
	switch {
	case refusal == nil:
		return nil
	case a.mayHaveRun:
		return refusal.WithVerdict(model.MayHaveRun)
	default:
		return refusal
	}
}

// noEndpointRefusal returns the refusal of a request for which no endpoint could be chosen.
func (a *attempts) noEndpointRefusal(err error) error {
	refusal := a.dispatcher.checkPool(a.pool)
	if refusal == nil && a.pool.hasRefusalCap() {
		refusal = kernel.RefuseRefusalCapped(a.pool.name)
	}
	if refusal == nil && a.permitDenied {
		refusal = a.dispatcher.refusePool(a.pool)
	}
	if refusal != nil {
		if a.mayHaveRun {
			return refusal.WithVerdict(model.MayHaveRun)
		}
		return refusal
	}
	if a.boundTo.bound {
		return a.newRefusal(model.VersionGone, errors.Errorf("no endpoint of version %q for the stream", a.boundTo.version))
	}
	return a.newRefusal(model.NoEndpoint, err)
}

// startedCall is a unary call that has no outcome yet.
type startedCall struct {
	endpoint  *endpointState
	startedAt time.Time
}

func (a *attempts) startCall(ctx context.Context, running map[int]startedCall, outcomes chan<- outcome) bool {
	e := a.chooseEndpoint(ctx, "", a.excluded)
	if e == nil {
		return false
	}
	startedAt := time.Now()
	a.callCount++
	attempt := a.callCount
	call := a.prepareCall()
	target := a.target(e)
	running[attempt] = startedCall{endpoint: e, startedAt: startedAt}
	a.excluded = append(a.excluded, e.incarnation)
	a.dispatcher.OnCall(a.pool.endpointOf(e))
	go func() {
		reply, err := a.dispatcher.Unary(ctx, target, call)
		outcomes <- outcome{attempt: attempt, endpoint: e, startedAt: startedAt, elapsed: time.Since(startedAt), reply: reply, err: err}
	}()
	return true
}

func (a *attempts) startHedge(ctx context.Context, running map[int]startedCall, outcomes chan<- outcome) bool {
	if !a.idempotent() || a.dispatcher.plain || a.callCount >= kernel.MaxAttempts || a.checkRequest() != nil || !a.pool.takeRetry() {
		return false
	}
	a.dispatcher.metrics.CountRetry(model.RetryHedge, a.pool.name)
	a.hedging = true
	defer func() { a.hedging = false }()
	return a.startCall(ctx, running, outcomes)
}

// handleOutcome processes the outcome of one call and reports whether the stage has ended. Calls that still run are
// abandoned before the verdict is set: an endpoint may have received them, whatever the outcome of this call.
func (a *attempts) handleOutcome(ctx context.Context, o outcome, running map[int]startedCall) (bool, error) {
	now := time.Now()
	a.busy += o.elapsed
	if o.err == nil {
		a.mayHaveRun = true
		a.dispatcher.OnConnection(a.pool.endpointOf(o.endpoint), o.startedAt, nil)
		a.pool.recordAcceptance(now, o.endpoint, true)
		a.recordStatement(o.startedAt, now, o.endpoint, &o.reply.Load, true)
		output, err := a.job.Plugin.ParseReply(a.job.Work, o.reply)
		if err == nil {
			a.pool.recordSuccess(now, o.endpoint, o.elapsed, &o.reply.Load)
			a.pool.recordPace(now, o.endpoint, pace.Response{Kind: a.kind(), Elapsed: o.elapsed, Waited: true, Load: o.reply.Load})
			a.stageOutput = output
			a.endpointName = o.endpoint.name
			a.abandon(running)
			return true, nil
		}
		o.err = &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: err}
	}
	fault := asFault(o.err)
	a.recordStatement(o.startedAt, now, o.endpoint, fault.Load, false)
	a.recordConnectFailure(o.endpoint, o.startedAt, fault)
	a.recordFault(now, o.endpoint, fault)
	if ctx.Err() != nil {
		a.abandon(running)
		return true, a.newRefusal(model.StageTimeout, fault)
	}
	if len(running) > 0 {
		return false, nil
	}
	if !a.takeRetry(fault) {
		return true, a.newRefusal(model.StageFailed, fault)
	}
	return false, nil
}

// takeRetry reports whether another call may follow after a fault. If so, it takes one retry from the pool's budget and
// counts it in the metrics.
func (a *attempts) takeRetry(fault *endpoint.Fault) bool {
	if !a.idempotent() && fault.Verdict != model.NotRun {
		return false
	}
	if a.callCount-a.notLoadedCount >= kernel.MaxAttempts || !a.pool.takeRetry() {
		return false
	}
	a.dispatcher.metrics.CountRetry(fault.RetryReason(), a.pool.name)
	return true
}

// recordConnectFailure records that no connection to an endpoint could be opened, if that is the fault.
func (a *attempts) recordConnectFailure(e *endpointState, beganAt time.Time, fault *endpoint.Fault) {
	if fault.Verdict == model.NotRun && (fault.Kind == endpoint.Refused || fault.Kind == endpoint.Silent) {
		a.dispatcher.OnConnection(a.pool.endpointOf(e), beganAt, fault)
	}
}

func (a *attempts) recordFault(now time.Time, e *endpointState, fault *endpoint.Fault) {
	if fault.Kind == endpoint.Status {
		a.pool.recordAcceptance(now, e, fault.Verdict != model.NotRun)
	}
	if fault.Verdict != model.NotRun {
		a.mayHaveRun = true
	}
	a.pool.recordFailure(now, e, fault.Kind != endpoint.Cancelled)
	if fault.Kind != endpoint.Cut || fault.Verdict == model.NotRun {
		return
	}
	// A leaving endpoint has announced its end: the end of its connections is no crash.
	if disconnected := a.pool.endpointOf(e); disconnected.State != model.Leaving {
		a.dispatcher.OnDisconnect(disconnected, a.job.Work.Request)
	}
}

// recordStatement records what an endpoint states of itself in its answer to a call that was sent at sentAt; load is nil
// if it states nothing. The absence of a rate cap or of a cold time counts only in the answer to a successful call.
func (a *attempts) recordStatement(sentAt, now time.Time, e *endpointState, load *model.Load, succeeded bool) {
	if load == nil {
		return
	}
	stated := load.Statement(succeeded)
	if stated.RateCap.Stated || stated.Whole {
		a.dispatcher.OnAnswer(sentAt, a.pool.endpointOf(e), stated.RateCap)
	}
	if stated.RefusalCap.Stated || stated.Whole {
		a.pool.recordRefusalCap(sentAt, now, e, stated.RefusalCap)
	}
	if load.ColdFor > 0 || stated.Whole {
		a.pool.recordCold(sentAt, now, e, load.ColdFor)
	}
	if stated.Leaving {
		a.dispatcher.OnLeaving(a.pool.name, a.pool.endpointOf(e).Incarnation())
	}
	if stated.PauseFor > 0 {
		a.dispatcher.metrics.CountEvent("EndpointPaused")
	}
	a.pool.recordStanding(sentAt, now, e, stated)
}

// abandon records the calls that still run when the stage ends. The connections to their endpoints are retired, since
// they may be unresponsive: a new connection costs one round trip, an unresponsive one a hedge for each call. The call
// counts as a failure of its endpoint only if it ran for failureLatencyFactor times the pool's 99th percentile.
func (a *attempts) abandon(running map[int]startedCall) {
	now := time.Now()
	failureLatency := failureLatencyFactor * a.pool.quantile(&a.pool.serviceTimes, timeoutQuantile, fallbackLatency)
	for _, call := range running {
		a.mayHaveRun = true
		waited := now.Sub(call.startedAt)
		a.busy += waited
		a.pool.recordFailure(now, call.endpoint, waited > failureLatency)
		a.pool.recordUnanswered(now, call.endpoint, a.kind(), waited)
		a.dispatcher.metrics.CountEvent("ConnectionsRetired")
		a.dispatcher.client.Retire(call.endpoint.address)
	}
}

func (a *attempts) hedgeDelay() time.Duration {
	p95 := a.pool.quantile(&a.pool.serviceTimes, hedgeQuantile, fallbackLatency)
	return max(minHedgeDelay, time.Duration(hedgeFactor*float64(p95)))
}

// newRefusal returns the refusal that ends the stage. Its verdict is MayHaveRun if an endpoint may have received a
// call.
func (a *attempts) newRefusal(reason model.Reason, err error) error {
	verdict := model.NotRun
	if a.mayHaveRun {
		verdict = model.MayHaveRun
	}
	detail := "stage " + a.job.Work.Stage.Name + " failed"
	if err != nil {
		detail = "stage " + a.job.Work.Stage.Name + ": " + err.Error()
	}
	return model.NewRefusal(verdict, reason, kernel.ClampRetryAfter(a.dispatcher.estimate(a.job.Work.Request, a.job.Weight, a.job.Work.Stage).Expected()), detail)
}

func asFault(err error) *endpoint.Fault {
	var fault *endpoint.Fault
	if errors.As(err, &fault) {
		return fault
	}
	return &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: err}
}
