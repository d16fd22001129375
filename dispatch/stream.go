package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/pace"
)

const (
	// minTokenTimeout keeps a short pause of an engine from moving its streams to other engines.
	minTokenTimeout = 400 * time.Millisecond
	// fallbackFirstToken and fallbackTokenGap are used for quantiles that have too few observations.
	fallbackFirstToken = time.Second
	fallbackTokenGap   = 100 * time.Millisecond
	// adapterPollInterval is how often a request that waits for its adapter checks whether an engine may have it.
	adapterPollInterval = 50 * time.Millisecond
)

var (
	errMissingToken = errors.New("a token is missing")
	errOvertaken    = errors.New("the engine was silent, and another call has gone on")
)

// runStream makes calls until the last token has arrived. After a fault, and beside calls that are silent, the next call asks for
// the remaining tokens; the first call to bring one goes on, so that the caller gets each token exactly once.
func (a *attempts) runStream(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	// The tokens of an earlier stage are none of this stream's.
	a.stageOutput.Tokens = 0
	s := &streamCalls{attempts: a, running: map[int]*streamCall{}, messages: make(chan streamMessage)}
	defer s.end()
	for {
		if err := a.checkRequest(); err != nil {
			return err
		}
		lacking, ok := a.awaitAdapter(ctx)
		if !ok {
			return a.newRefusal(model.AdapterNotLoaded, errors.New("the adapter is not loaded in time"))
		}
		if !s.start(ctx, lacking) {
			return a.noEndpointRefusal(errors.New("no endpoint"))
		}
		call, err := s.await(ctx)
		if err == nil {
			a.endpointName = call.endpoint.name
			a.stageOutput.Output = s.output.String()
			a.reportAdapterDemand(false)
			return nil
		}
		if refusal := a.handleStreamFault(ctx, call.endpoint, asFault(err)); refusal != nil {
			return refusal
		}
	}
}

// handleStreamFault returns the refusal that ends the stage, or nil if another call is to be made.
func (a *attempts) handleStreamFault(ctx context.Context, e *endpointState, fault *endpoint.Fault) error {
	if fault.Kind == endpoint.NotLoaded {
		return nil
	}
	if ctx.Err() != nil {
		return a.newRefusal(model.StageTimeout, fault)
	}
	if !a.takeRetry(fault) {
		return a.newRefusal(model.StageFailed, fault)
	}
	if a.stageOutput.Tokens > 0 {
		a.dispatcher.metrics.CountRetry(model.RetryResume, a.pool.name)
	}
	a.exclude(e, fault)
	return nil
}

// exclude passes over an endpoint after a fault. A reused connection without progress may itself be at fault: the endpoint may get
// one more call, on a new connection.
func (a *attempts) exclude(e *endpointState, fault *endpoint.Fault) {
	if fault.Kind != endpoint.Silent || !fault.Reused {
		a.excluded = append(a.excluded, e.incarnation)
	}
}

// awaitAdapter waits while all engines lack the adapter, until the latest start that can still meet the deadline. It
// returns the engines that lack the adapter, and false if all still lack it then.
func (a *attempts) awaitAdapter(ctx context.Context) ([]string, bool) {
	adapter := adapterName(a.job.Work.Stage)
	latestStart := a.dispatcher.estimate(a.job.Work.Request, a.job.Weight, a.job.Work.Stage).LatestStart(a.deadline)
	for {
		lacking, all := a.pool.enginesWithout(time.Now(), adapter)
		if !all {
			return lacking, true
		}
		a.reportAdapterDemand(true)
		if !time.Now().Before(latestStart) || !clock.Sleep(ctx, adapterPollInterval) {
			return nil, false
		}
	}
}

func (a *attempts) reportAdapterDemand(waiting bool) {
	if a.pool.loadsOnDemand() {
		a.dispatcher.OnAdapterDemand(a.pool.name, adapterName(a.job.Work.Stage), a.deadline, waiting)
	}
}

// adapterName returns the name of the adapter that an engine must have loaded for a stage.
func adapterName(s model.Stage) string {
	return s.Model + "/" + s.Adapter
}

// recordStreamPace records what a stream tells of the speed of its endpoint: the time between two of its tokens, which
// depends neither on the prompt nor on waiting. generation is the time from the first token to the last one.
func (a *attempts) recordStreamPace(now time.Time, e *endpointState, generation time.Duration, tokens int, load *model.Load) {
	if load == nil || tokens < 2 {
		return
	}
	a.pool.recordPace(now, e, pace.Response{Kind: a.kind(), Elapsed: generation / time.Duration(tokens-1), Load: *load})
}

func (a *attempts) recordStreamFault(now time.Time, e *endpointState, fault *endpoint.Fault) {
	if fault.Kind == endpoint.NotLoaded {
		a.notLoadedCount++
		a.pool.recordMissingAdapter(now, e, adapterName(a.job.Work.Stage))
		return
	}
	if fault.Kind == endpoint.Silent && fault.Reused {
		a.mayHaveRun = true
		a.pool.recordFailure(now, e, false)
		a.dispatcher.metrics.CountEvent("ConnectionsRetired")
		return
	}
	a.recordFault(now, e, fault)
}

func (a *attempts) checkTokenCount(event model.TokenEvent) error {
	if event.Count != a.stageOutput.Tokens {
		return errMissingToken
	}
	return nil
}

func (a *attempts) observeToken(startedAt, lastTokenAt, now time.Time) {
	if lastTokenAt.Equal(startedAt) {
		a.pool.observe(&a.pool.firstTokenTimes, now.Sub(startedAt))
		return
	}
	a.pool.observe(&a.pool.tokenGaps, now.Sub(lastTokenAt))
}

// observeSilence records the silence of a call that was overtaken as an observation of its duration. If the whole pool became slower than the timeout,
// no other observation would ever raise the quantiles.
func (a *attempts) observeSilence(startedAt, lastTokenAt, now time.Time) {
	a.observeToken(startedAt, lastTokenAt, now)
}

// tokenTimeout returns how long the first token, and each gap between tokens, may take until a further call is considered. Without
// a retry left in the budget it is the time until the deadline, since no other call could begin.
func (a *attempts) tokenTimeout(now time.Time) time.Duration {
	first := a.pool.quantile(&a.pool.firstTokenTimes, timeoutQuantile, fallbackFirstToken)
	gap := a.pool.quantile(&a.pool.tokenGaps, timeoutQuantile, fallbackTokenGap)
	timeout := max(minTokenTimeout, kernel.ProgressTimeout(now, a.deadline, max(first, gap)))
	if !a.pool.canRetry() {
		return a.deadline.Sub(now)
	}
	// Half of the remaining time is left for another call, however slow the pool is.
	return min(timeout, a.deadline.Sub(now)/2)
}

// routingPrefix returns the key that routing hashes to choose an engine: the model and the caller's prefix, or the
// model, adapter and customer if the caller states none.
func (a *attempts) routingPrefix() string {
	w := a.job.Work
	if w.Request.Input.Prefix != "" {
		return w.Stage.Model + "/" + w.Request.Input.Prefix
	}
	return w.Stage.Model + "/" + w.Stage.Adapter + "/" + w.Request.Account()
}
