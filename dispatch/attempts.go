package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// minHedgeDelay keeps hedges away from jitter.
	minHedgeDelay = 25 * time.Millisecond
	hedgeFactor   = 1.5
	// failureLatencyFactor is how far above the 99th percentile a lost race must have waited for its
	// connection to be held silent.
	failureLatencyFactor = 3
)

type (
	// attempts is the state of one stage's calls. It belongs to the goroutine that runs the
	// stage; the calls report to it over a channel.
	attempts struct {
		dispatcher *Dispatcher
		pool       *pool
		job        Job
		deadline   time.Time
		carry      model.Carry

		callCount int
		// unloaded counts the calls among them that met an engine without the adapter.
		notLoadedCount int
		excluded       []string
		endpointName   string
		busy           time.Duration
		// connectBy is when the call that comes next must have its connection; zero for no such bound.
		connectBy time.Time
		// hedging is true while a call is started beside another.
		hedging bool
		// reached is true once any call may have been read by an endpoint.
		mayHaveRun bool
	}

	// outcome is how one call ended.
	outcome struct {
		attempt   int
		target    *endpointState
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
		Tokens:   a.carry.Tokens,
	}
}

func (a *attempts) idempotent() bool {
	return !a.job.Work.Stage.NonIdempotent
}

// call returns the prepared call with its identity.
func (a *attempts) prepareCall() model.StageCall {
	call := a.job.Plugin.Prepare(a.job.Work)
	call.Request = a.job.Work.Request.ID
	call.Stage = a.job.Work.Stage.Name
	call.Attempt = a.callCount
	call.Customer = a.job.Work.Request.Account()
	call.Deadline = a.deadline
	return call
}

// target says where a call goes. A call that must not be repeated and one beside another that
// may be on a silent connection get a connection of their own.
func (a *attempts) target(e *endpointState) endpoint.Target {
	return endpoint.Target{
		Address:       e.address,
		Path:          a.job.Plugin.Path,
		NewConnection: !a.idempotent() || a.hedging,
		Timeout:       time.Until(a.deadline),

		ConnectBy: a.connectBy,
	}
}

// unary makes calls until one is answered: again elsewhere after a fault, and beside a slow
// one where the retry budget allows it. The first good reply wins.
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

// relaunch makes another call where none is under way any more.
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

// checkRequest returns the refusal of a request that must not be sent to an endpoint.
func (a *attempts) checkRequest() error {
	if a.job.Trial {
		return nil
	}
	refusal := a.dispatcher.CheckRequest(a.job.Work.Request)
	switch {
	case refusal == nil:
		return nil
	case a.mayHaveRun:
		return refusal.WithVerdict(model.MayHaveRun)
	default:
		return refusal
	}
}

// noEndpointRefusal returns the refusal of a request that no endpoint may get now.
func (a *attempts) noEndpointRefusal(err error) error {
	if refusal := a.dispatcher.checkPool(a.pool); refusal != nil {
		if a.mayHaveRun {
			return refusal.WithVerdict(model.MayHaveRun)
		}
		return refusal
	}
	return a.newRefusal(model.NoEndpoint, err)
}

type startedCall struct {
	target    *endpointState
	startedAt time.Time
}

func (a *attempts) startCall(ctx context.Context, running map[int]startedCall, outcomes chan<- outcome) bool {
	e := a.chooseEndpoint(ctx, "", a.excluded)
	if e == nil {
		return false
	}
	now := time.Now()
	a.callCount++
	attempt := a.callCount
	call := a.prepareCall()
	target := a.target(e)
	running[attempt] = startedCall{target: e, startedAt: now}
	a.excluded = append(a.excluded, e.name)
	a.dispatcher.OnCall(a.pool.endpointOf(e))
	go func() {
		reply, err := a.dispatcher.Unary(ctx, target, call)
		outcomes <- outcome{attempt: attempt, target: e, startedAt: now, elapsed: time.Since(now), reply: reply, err: err}
	}()
	return true
}

func (a *attempts) startHedge(ctx context.Context, running map[int]startedCall, outcomes chan<- outcome) bool {
	if !a.idempotent() || a.dispatcher.plain || a.callCount >= kernel.MaxAttempts || !a.pool.takeRetry() {
		return false
	}
	a.dispatcher.metrics.Retried(model.RetryHedge, a.pool.name)
	a.hedging = true
	defer func() { a.hedging = false }()
	return a.startCall(ctx, running, outcomes)
}

// settle takes one outcome in. It reports whether the stage is over. Calls that still run are abandoned before
// the verdict is reached: an endpoint may have got them, whatever became of this one.
func (a *attempts) handleOutcome(ctx context.Context, o outcome, running map[int]startedCall) (bool, error) {
	now := time.Now()
	a.busy += o.elapsed
	a.recordPacing(o.startedAt, now, o.target, o.reply.Load, o.err == nil)
	if o.err == nil {
		a.mayHaveRun = true
		a.reportLeaving(o.target, &o.reply.Load)
		carry, err := a.job.Plugin.ParseReply(a.job.Work, o.reply)
		if err == nil {
			a.pool.recordSuccess(now, o.target, o.elapsed, &o.reply.Load)
			a.carry = carry
			a.endpointName = o.target.name
			a.abandon(running)
			return true, nil
		}
		o.err = &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: err}
	}
	fault := asFault(o.err)
	a.recordFault(now, o.target, fault)
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

// takeRetry decides on one more call after a fault and counts it.
func (a *attempts) takeRetry(fault *endpoint.Fault) bool {
	if !a.idempotent() && fault.Verdict != model.NotRun {
		return false
	}
	if a.callCount-a.notLoadedCount >= kernel.MaxAttempts || !a.pool.takeRetry() {
		return false
	}
	a.dispatcher.metrics.Retried(fault.RetryReason(), a.pool.name)
	return true
}

func (a *attempts) recordFault(now time.Time, e *endpointState, fault *endpoint.Fault) {
	if fault.Verdict != model.NotRun {
		a.mayHaveRun = true
	}
	a.pool.recordFailure(now, e, fault.Kind != endpoint.Cancelled)
	if fault.Kind != endpoint.Cut || fault.Verdict == model.NotRun {
		return
	}
	// What an endpoint cuts that is leaving was announced.
	if broken := a.pool.endpointOf(e); broken.State != model.Leaving {
		a.dispatcher.OnDisconnect(broken, a.job.Work.Request)
	}
}

func (a *attempts) reportLeaving(e *endpointState, load *model.Load) {
	if load != nil && load.Leaving {
		a.dispatcher.OnLeaving(a.pool.name, e.name)
	}
}

// recordPacing takes in what an answer says of the calls that its endpoint bears. That it bears all counts only in a good answer.
func (a *attempts) recordPacing(asked, now time.Time, e *endpointState, load model.Load, good bool) {
	if load.RateCap.Stated || good {
		a.dispatcher.OnAnswer(asked, a.pool.endpointOf(e), load.RateCap)
	}
	if load.ColdFor > 0 || good {
		a.pool.recordCold(asked, now, e, load.ColdFor)
	}
}

// abandon accounts for calls that lost the race. The connections to their endpoints are
// retired, since they may be silent: a new one costs a round trip, a silent one a hedge each
// time. Only an endpoint that had far longer than its pool needs is blamed.
func (a *attempts) abandon(running map[int]startedCall) {
	now := time.Now()
	limit := failureLatencyFactor * a.pool.quantile(&a.pool.serviceTimes, timeoutQuantile, fallbackLatency)
	for _, s := range running {
		a.mayHaveRun = true
		waited := now.Sub(s.startedAt)
		a.busy += waited
		a.pool.recordFailure(now, s.target, waited > limit)
		a.dispatcher.metrics.Event("ConnectionsRetired")
		a.dispatcher.client.Retire(s.target.address)
	}
}

func (a *attempts) hedgeDelay() time.Duration {
	p95 := a.pool.quantile(&a.pool.serviceTimes, hedgeQuantile, fallbackLatency)
	return max(minHedgeDelay, time.Duration(hedgeFactor*float64(p95)))
}

// refuse ends the stage; its verdict rests on whether any call may have been read.
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
