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
	// leastTokenTimeout keeps a short pause of an engine from moving its streams.
	leastTokenTimeout = 400 * time.Millisecond
	fallbackFirst     = time.Second
	fallbackGap       = 100 * time.Millisecond
	// adapterPoll is how often a request looks whether its adapter is loaded.
	adapterPoll = 50 * time.Millisecond
)

var errGap = errors.New("a token is missing")

// stream makes calls until the last token is in: after a fault the next call asks for the
// rest, so that the caller sees neither a gap nor a repeat.
func (a *attempts) stream(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	var output strings.Builder
	for {
		if err := a.heldBack(); err != nil {
			return err
		}
		lacking, ok := a.awaitAdapter(ctx)
		if !ok {
			return a.refuse(model.AdapterNotLoaded, errors.New("the adapter is not loaded in time"))
		}
		e := a.choose(ctx, a.prefix(), append(lacking, a.excluded...))
		if e == nil {
			return a.noEndpoint(errors.New("no endpoint"))
		}
		err := a.streamOnce(ctx, e, &output)
		if err == nil {
			a.endpoint = e.name
			a.carry.Output = output.String()
			a.tellAdapter(false)
			return nil
		}
		if refusal := a.afterStreamFault(ctx, e, asFault(err)); refusal != nil {
			return refusal
		}
	}
}

// afterStreamFault returns the refusal that ends the stage, or nil where another call follows.
func (a *attempts) afterStreamFault(ctx context.Context, e *endpointState, fault *endpoint.Fault) error {
	if fault.Kind == endpoint.NotLoaded {
		return nil
	}
	if ctx.Err() != nil {
		return a.refuse(model.StageTimeout, fault)
	}
	if !a.mayRepeat(fault) {
		return a.refuse(model.StageFailed, fault)
	}
	if a.carry.Tokens > 0 {
		a.d.metrics.Retried(model.RetryResume, a.pool.name)
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
	latest := a.d.estimate(a.job.Work.Request, a.job.Weight, a.job.Work.Stage).LatestStart(a.deadline)
	for {
		names, all := a.pool.lacking(time.Now(), adapter)
		if !all {
			return names, true
		}
		a.tellAdapter(true)
		if !time.Now().Before(latest) || !clock.Sleep(ctx, adapterPoll) {
			return nil, false
		}
	}
}

func (a *attempts) tellAdapter(waiting bool) {
	if a.pool.loadsOnDemand() {
		a.d.OnAdapter(a.pool.name, adapterName(a.job.Work.Stage), a.deadline, waiting)
	}
}

// adapterName is what an engine must have loaded for a stage.
func adapterName(s model.Stage) string {
	return s.Model + "/" + s.Adapter
}

// streamOnce makes one call for the tokens from the next one on.
func (a *attempts) streamOnce(ctx context.Context, e *endpointState, output *strings.Builder) error {
	start := time.Now()
	a.made++
	call := a.call()
	call.From = a.carry.Tokens
	target := a.target(e)
	target.Timeout = a.tokenTimeout(start)
	last := start
	var load *model.Load
	a.d.OnCall(a.pool.endpointOf(e))
	err := a.d.client.Stream(ctx, target, call, func(event model.TokenEvent) error {
		now := time.Now()
		if event.Load != nil {
			load = event.Load
			a.noteBounds(start, now, e, *load, true)
			a.pool.reported(now, e, *load)
		}
		if event.Final {
			return a.checkCount(event)
		}
		if event.Index < a.carry.Tokens {
			a.d.metrics.Event("TokenRepeated")
			return nil
		}
		if event.Index > a.carry.Tokens {
			return errGap
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
	a.noteLoad(e, load)
	if err == nil {
		a.reached = true
		a.pool.succeeded(now, e, now.Sub(start), load)
		return nil
	}
	fault := asFault(err)
	if fault.Kind == endpoint.Silent {
		a.observeSilence(start, last, now)
	}
	a.noteStreamFault(now, e, fault)
	return fault
}

func (a *attempts) noteStreamFault(now time.Time, e *endpointState, fault *endpoint.Fault) {
	if fault.Kind == endpoint.NotLoaded {
		a.unloaded++
		a.pool.noteLack(now, e, adapterName(a.job.Work.Stage))
		return
	}
	if fault.Kind == endpoint.Silent && fault.Reused {
		a.reached = true
		a.pool.failed(now, e, false)
		a.d.metrics.Event("ConnectionsRetired")
		return
	}
	a.noteFault(now, e, fault)
}

func (a *attempts) checkCount(event model.TokenEvent) error {
	if event.Count != a.carry.Tokens {
		return errGap
	}
	return nil
}

func (a *attempts) observeToken(start, last, now time.Time) {
	if last.Equal(start) {
		a.pool.observe(&a.pool.first, now.Sub(start))
		return
	}
	a.pool.observe(&a.pool.gap, now.Sub(last))
}

// observeSilence lets the quantiles learn from a timeout: if the whole pool became slower
// than the timeout, no other observation would ever show it.
func (a *attempts) observeSilence(start, last, now time.Time) {
	a.observeToken(start, last, now)
}

// tokenTimeout covers both the first token and the pauses between tokens.
func (a *attempts) tokenTimeout(now time.Time) time.Duration {
	first := a.pool.quantile(&a.pool.first, timeoutQuantile, fallbackFirst)
	gap := a.pool.quantile(&a.pool.gap, timeoutQuantile, fallbackGap)
	d := max(leastTokenTimeout, kernel.ProgressTimeout(now, a.deadline, max(first, gap)))
	if !a.pool.canRetry() {
		return a.deadline.Sub(now)
	}
	// However slow the pool is, half of the time is left for another call.
	return min(d, a.deadline.Sub(now)/2)
}

// prefix returns what the routing hashes: the caller's prefix, or the adapter and model.
func (a *attempts) prefix() string {
	w := a.job.Work
	if w.Request.Input.Prefix != "" {
		return w.Stage.Model + "/" + w.Request.Input.Prefix
	}
	return w.Stage.Model + "/" + w.Stage.Adapter + "/" + w.Request.Account()
}
