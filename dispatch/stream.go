package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// minTokenTimeout keeps a short pause of an engine from moving its streams.
	minTokenTimeout    = 400 * time.Millisecond
	fallbackFirstToken = time.Second
	fallbackTokenGap   = 100 * time.Millisecond
	// adapterPollInterval is how often a request looks whether its adapter is loaded.
	adapterPollInterval = 50 * time.Millisecond
)

var errMissingToken = errors.New("a token is missing")

// stream makes calls until the last token is in: after a fault the next call asks for the
// rest, so that the caller sees neither a gap nor a repeat.
func (a *attempts) runStream(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	var output strings.Builder
	for {
		if err := a.checkRequest(); err != nil {
			return err
		}
		lacking, ok := a.awaitAdapter(ctx)
		if !ok {
			return a.newRefusal(model.AdapterNotLoaded, errors.New("the adapter is not loaded in time"))
		}
		e := a.chooseEndpoint(ctx, a.routingPrefix(), append(lacking, a.excluded...))
		if e == nil {
			return a.noEndpointRefusal(errors.New("no endpoint"))
		}
		err := a.streamCall(ctx, e, &output)
		if err == nil {
			a.endpointName = e.name
			a.carry.Output = output.String()
			a.reportAdapterDemand(false)
			return nil
		}
		if refusal := a.handleStreamFault(ctx, e, asFault(err)); refusal != nil {
			return refusal
		}
	}
}

// handleStreamFault returns the refusal that ends the stage, or nil where another call follows.
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
	if a.carry.Tokens > 0 {
		a.dispatcher.metrics.Retried(model.RetryResume, a.pool.name)
	}
	// A silent connection is not yet the endpoint's fault: it gets one more try.
	if fault.Kind != endpoint.Silent || !fault.Reused {
		a.excluded = append(a.excluded, e.name)
	}
	return nil
}

// awaitAdapter waits while all engines lack the adapter, for as long as the answer could still
// be in time. It returns those that lack it.
func (a *attempts) awaitAdapter(ctx context.Context) ([]string, bool) {
	adapter := adapterName(a.job.Work.Stage)
	latest := a.dispatcher.estimate(a.job.Work.Request, a.job.Weight, a.job.Work.Stage).LatestStart(a.deadline)
	for {
		names, all := a.pool.enginesWithout(time.Now(), adapter)
		if !all {
			return names, true
		}
		a.reportAdapterDemand(true)
		if !time.Now().Before(latest) || !clock.Sleep(ctx, adapterPollInterval) {
			return nil, false
		}
	}
}

func (a *attempts) reportAdapterDemand(waiting bool) {
	if a.pool.loadsOnDemand() {
		a.dispatcher.OnAdapterDemand(a.pool.name, adapterName(a.job.Work.Stage), a.deadline, waiting)
	}
}

// adapterName is what an engine must have loaded for a stage.
func adapterName(s model.Stage) string {
	return s.Model + "/" + s.Adapter
}

// streamCall makes one call for the tokens from the next one on.
func (a *attempts) streamCall(ctx context.Context, e *endpointState, output *strings.Builder) error {
	start := time.Now()
	a.callCount++
	call := a.prepareCall()
	call.From = a.carry.Tokens
	target := a.target(e)
	target.Timeout = a.tokenTimeout(start)
	last := start
	var load *model.Load
	a.dispatcher.OnCall(a.pool.endpointOf(e))
	err := a.dispatcher.client.Stream(ctx, target, call, func(event model.TokenEvent) error {
		now := time.Now()
		if event.Load != nil {
			load = event.Load
			a.recordPacing(start, now, e, *load, true)
			a.pool.recordLoad(now, e, *load)
		}
		if event.Final {
			return a.checkTokenCount(event)
		}
		if event.Index < a.carry.Tokens {
			a.dispatcher.metrics.Event("TokenRepeated")
			return nil
		}
		if event.Index > a.carry.Tokens {
			return errMissingToken
		}
		a.observeToken(start, last, now)
		last = now
		a.carry.Tokens++
		output.WriteString(event.Text)
		if a.job.Emit != nil {
			a.job.Emit(model.Token{Index: event.Index, Text: event.Text})
		}
		return nil
	})
	now := time.Now()
	a.busy += now.Sub(start)
	a.reportLeaving(e, load)
	if err == nil {
		a.mayHaveRun = true
		a.pool.recordSuccess(now, e, now.Sub(start), load)
		return nil
	}
	fault := asFault(err)
	if fault.Kind == endpoint.Silent {
		a.observeSilence(start, last, now)
	}
	a.recordStreamFault(now, e, fault)
	return fault
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
		a.dispatcher.metrics.Event("ConnectionsRetired")
		return
	}
	a.recordFault(now, e, fault)
}

func (a *attempts) checkTokenCount(event model.TokenEvent) error {
	if event.Count != a.carry.Tokens {
		return errMissingToken
	}
	return nil
}

func (a *attempts) observeToken(start, last, now time.Time) {
	if last.Equal(start) {
		a.pool.observe(&a.pool.firstTokenTimes, now.Sub(start))
		return
	}
	a.pool.observe(&a.pool.tokenGaps, now.Sub(last))
}

// observeSilence lets the quantiles learn from a timeout: if the whole pool became slower
// than the timeout, no other observation would ever show it.
func (a *attempts) observeSilence(start, last, now time.Time) {
	a.observeToken(start, last, now)
}

// tokenTimeout covers both the first token and the pauses between tokens.
func (a *attempts) tokenTimeout(now time.Time) time.Duration {
	first := a.pool.quantile(&a.pool.firstTokenTimes, timeoutQuantile, fallbackFirstToken)
	gap := a.pool.quantile(&a.pool.tokenGaps, timeoutQuantile, fallbackTokenGap)
	d := max(minTokenTimeout, kernel.ProgressTimeout(now, a.deadline, max(first, gap)))
	if !a.pool.canRetry() {
		return a.deadline.Sub(now)
	}
	// However slow the pool is, half of the time is left for another call.
	return min(d, a.deadline.Sub(now)/2)
}

// prefix returns what the routing hashes: the caller's prefix, or the adapter and model.
func (a *attempts) routingPrefix() string {
	w := a.job.Work
	if w.Request.Input.Prefix != "" {
		return w.Stage.Model + "/" + w.Request.Input.Prefix
	}
	return w.Stage.Model + "/" + w.Stage.Adapter + "/" + w.Request.Account()
}
