package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standby"
)

// streamBufferBytes is the size of the buffer into which a stream is read.
const streamBufferBytes = 4 << 10

// errNoEvent is the cause if an engine has sent bytes, but no event.
var errNoEvent = errors.New("relay: the engine sent no event but other bytes")

type (
	// streamState is the state of a stream, which all its attempts share. Only the goroutine that serves the request uses it.
	streamState struct {
		headerSent bool
		status     int
		// lastID is the ID of the last event that the caller has; empty if it has none with an ID.
		lastID string
		// source is the endpoint of the attempt that the last event came from, or that ended last; its name is empty if another node
		// sent the request.
		source model.Endpoint
		// firstEventAt is when the first event was received.
		firstEventAt time.Time
		// framing is how that engine's answer was delimited, and ending what is known of its end.
		framing ending.Framing
		ending  ending.Judgement
		// barred is why the stream did not go on at another engine after its last attempt.
		barred standby.Bar

		// race decides on the attempts that run, running holds them by number, and lastNumber is that of the last one.
		race       standby.Race
		running    map[int]*streamAttempt
		lastNumber int
		// parts carries what the attempts receive.
		parts chan streamPart
		// nodeSilent gets a value when another node that is to send the request falls silent.
		nodeSilent chan struct{}
	}

	// streamResult is the result of one attempt at a stream.
	streamResult struct {
		// complete is true if all that came of the stream was passed on and it is not known to be broken off.
		complete bool
		// unstated is true if the engine has not stated the end of an answer that is to state it. That is no fault of the engine.
		unstated bool
		// callerGone is true if writing to the caller failed.
		callerGone bool
		// failureWritten is true if the engine's own failure was written to the caller.
		failureWritten bool
		reply          *model.ForwardReply
		err            error
	}
)

// serveStream serves a request that is answered by a stream of events: it runs the stages and then sends the request to
// an engine, whose events are written to the caller as they arrive.
func (j *job) serveStream(ctx context.Context) Outcome {
	p := j.relay.pool(j.admission.Pool)
	run := &stageRun{relay: j.relay}
	defer func() { run.releaseAll() }()
	j.throughNodeOnly = j.forNode == "" && (j.sendsThroughNode(p) || j.relay.barred(p.name))
	if !j.throughNodeOnly {
		var outcome Outcome
		var done bool
		if run, outcome, done = j.prepareStream(ctx, p); done {
			return outcome
		}
	}
	state := streamState{lastID: j.lastEventID, running: map[int]*streamAttempt{}, parts: make(chan streamPart), nodeSilent: make(chan struct{}, 1)}
	defer j.endStream(p, &state)
	for {
		if !j.startStreamAttempt(ctx, p, &state, run) {
			return j.finishWithoutEngine(&state)
		}
		a, result := j.awaitStream(ctx, p, &state, run)
		outcome, done := j.finalOutcome(ctx, &state, result, a.endpoint)
		if done {
			return outcome
		}
		retry := j.allowStreamRetry(p, &state, run, result)
		switch {
		case retry && j.throughNodeOnly && j.ownPathOnly:
			j.throughNodeOnly = false
			var done bool
			if run, outcome, done = j.prepareStream(ctx, p); done {
				outcome.Framing, outcome.Evidence = state.framing, state.ending.Evidence
				return outcome
			}
		case retry:
		case state.headerSent:
			return j.streamOutcome(&state, a.endpoint)
		default:
			return j.refuseFailedStream(result)
		}
	}
}

// awaitStream passes on what the attempts receive until the stream has ended or no attempt runs. It returns the last one and its
// result. A further attempt begins beside those that are silent.
func (j *job) awaitStream(ctx context.Context, p *pool, state *streamState, run *stageRun) (*streamAttempt, streamResult) {
	silence := time.NewTimer(state.race.DueIn(j.relay.now(), standby.SilentAfter))
	defer silence.Stop()
	for {
		select {
		case part := <-state.parts:
			a := part.attempt
			if state.running[a.number] != a {
				continue
			}
			var result streamResult
			switch refusal := j.bindAtFirstEvent(ctx, p, state, part); {
			case part.end != nil:
				result = j.endStreamAttempt(p, state, a, *part.end)
			case refusal != nil:
				j.dropAttempt(p, state, a, errNotBound)
				result.err = refusal
			default:
				result.callerGone = !j.writeEvents(p, state, run, part)
			}
			if result.complete || result.failureWritten || result.callerGone || len(state.running) == 0 {
				return a, result
			}
		case <-state.nodeSilent:
			j.startStandby(ctx, p, state, run)
		case <-silence.C:
			if state.race.DueIn(j.relay.now(), standby.SilentAfter) <= 0 {
				j.startStandby(ctx, p, state, run)
			}
		}
		silence.Reset(max(0, state.race.DueIn(j.relay.now(), standby.SilentAfter)))
	}
}

// startStandby begins a further attempt beside those that are silent, if that is allowed.
func (j *job) startStandby(ctx context.Context, p *pool, state *streamState, run *stageRun) {
	state.race = state.race.WithConsidered(j.relay.now())
	for _, a := range state.running {
		if a.node == nil {
			continue
		}
		if !a.node.silent.Load() {
			// That node begins further attempts itself.
			return
		}
		j.attempts = max(j.attempts, a.node.attemptsAssumed())
	}
	lost := j.forNode == "" && j.sendsThroughNode(p)
	bar := j.barredStream(state, run.inputsReleased && !lost).Barred()
	if bar == "" && !j.startAttemptBeside(ctx, p, state, run) {
		bar = standby.ByEndpoints
	}
	if bar != "" {
		j.relay.metrics.CountEvent("SilentStreamWaitsBy" + string(bar))
		return
	}
	j.relay.metrics.CountRetry(model.RetrySilent, p.name)
}

// startAttemptBeside begins a further attempt beside those that run, on the retry budget. It returns false if there is no engine
// to send to, or no budget.
func (j *job) startAttemptBeside(ctx context.Context, p *pool, state *streamState, run *stageRun) bool {
	if !j.throughNodeOnly && !j.sendsThroughNode(p) && !j.otherNodeMaySend(p) && !j.mayChooseEngine(p) {
		return false
	}
	return j.takeRetry(p, nil) && j.startStreamAttempt(ctx, p, state, run)
}

// mayChooseEngine reports whether the pool has an engine that may get the request and has not been sent it yet.
func (j *job) mayChooseEngine(p *pool) bool {
	return p.hasUsable(j.relay.now(), j.allowedEndpoints(), j.relay.sendLimits(p.name), j.excluded)
}

// barredStream returns what decides whether a further attempt at a stream may begin.
func (j *job) barredStream(state *streamState, inputsGone bool) standby.Request {
	return standby.Request{
		Repeatable: j.admission.Route.Resumable, MayHaveRun: j.mayHaveRun || len(state.running) > 0, Trial: j.trial && len(state.running) > 0,
		InputsGone: inputsGone, Begun: state.headerSent, Position: state.lastID != "" && j.admission.Bound,
		Attempts: j.attempts, MaxAttempts: j.admission.Route.MaxAttempts,
	}
}

// prepareStream runs the stages of a stream that this node sends. done is true if the request ends with the outcome.
func (j *job) prepareStream(ctx context.Context, p *pool) (run *stageRun, outcome Outcome, done bool) {
	j.countRequest(p)
	run, refusal := j.runStages(ctx, p)
	switch {
	case refusal == nil:
		return run, Outcome{}, false
	case ctx.Err() != nil:
		return run, j.refuseContextDone(ctx), true
	default:
		return run, Outcome{Refusal: refusal.WithVerdict(j.verdict())}, true
	}
}

// streamOutcome returns the outcome of a stream that ends here, incomplete.
func (j *job) streamOutcome(state *streamState, e model.Endpoint) Outcome {
	outcome := Outcome{
		Status: state.status, Endpoint: e.Name, Attempts: j.attempts, Framing: state.framing, End: state.ending.End, Evidence: state.ending.Evidence,
		Barred: state.barred,
	}
	if state.headerSent {
		outcome.FirstEventTime = state.firstEventAt.Sub(j.forward.ReceivedAt)
	}
	return outcome
}

// finalOutcome returns the outcome of a stream after its last attempt. done is false if another engine may be tried.
func (j *job) finalOutcome(ctx context.Context, state *streamState, result streamResult, e model.Endpoint) (outcome Outcome, done bool) {
	outcome = j.streamOutcome(state, e)
	switch {
	case result.complete, result.failureWritten:
		outcome.Complete = true
		return outcome, true
	case result.callerGone:
		return outcome, true
	case ctx.Err() == nil:
		return outcome, false
	case state.headerSent:
		outcome.Cause = j.refuseContextDone(ctx).Refusal
		return outcome, true
	default:
		return j.refuseContextDone(ctx), true
	}
}

// affinityKey returns the key that requests for the same engine have in common; it is empty if any engine will do.
func (j *job) affinityKey() string {
	// A trial goes to the least loaded engine, as the request may crash it.
	if j.trial || !j.relay.options.Policy.Uses(kernel.PrefixAffinity) {
		return ""
	}
	return kernel.AffinityKey(j.forward.Prompt)
}

// writeEvents writes the events that an attempt has received to the caller. Attempts that it has overtaken are dropped before.
// It returns false if the caller is gone.
func (j *job) writeEvents(p *pool, state *streamState, run *stageRun, part streamPart) bool {
	a := part.attempt
	a.heardAt = j.relay.now()
	race, overtaken := state.race.WithHeard(a.heardAt, a.number)
	state.race = race
	for _, number := range overtaken {
		j.dropAttempt(p, state, state.running[number], errOvertaken)
	}
	if !a.spoke {
		a.spoke = true
		j.recordSpeaker(p, state, run, a)
	}
	j.sendHeader(part.reply, state)
	state.lastID = part.lastID
	return j.writeCounted(part.events) == nil
}

// recordSpeaker records that an attempt has received its first event: the stream goes on there.
func (j *job) recordSpeaker(p *pool, state *streamState, run *stageRun, a *streamAttempt) {
	r, e := j.relay, a.endpoint
	if state.headerSent {
		r.logResumed(j.forward, state.source, e, state.lastID)
	}
	state.source, state.framing, state.ending = e, a.framing, ending.Judgement{}
	if a.node != nil {
		return
	}
	elapsed := r.now().Sub(a.startedAt)
	p.recordFirstEvent(e.Incarnation(), j.forward.Prompt.TokensIn, elapsed)
	a.placed.recordFirstEvent(elapsed, p.reportedLoad(r.now(), a.startedAt, e.Incarnation()))
	j.handleFirstEvent(run)
}

// endStreamAttempt records the end of an attempt, and ends the caller's answer with it if it may end here.
func (j *job) endStreamAttempt(p *pool, state *streamState, a *streamAttempt, end attemptEnd) streamResult {
	if a.answered && (len(state.running) == 1 || end.judgement.End == ending.Stated) {
		state.source, state.framing, state.ending = a.endpoint, a.framing, end.judgement
	}
	j.mayHaveRun = j.mayHaveRun || a.answered && !end.refused
	state.race = state.race.WithEnded(a.number)
	delete(state.running, a.number)
	j.releaseAttempt(p, a)
	j.recordRemaining(state)
	result := j.resultOf(state, end)
	if a.node != nil {
		j.recordNodeResult(a.node.taker(), a.node.attemptsMade(), result.err)
		return result
	}
	if result.err != nil {
		j.relay.logEndedAttempt(j.forward, a.endpoint, state.headerSent, j.relay.now().Sub(a.heardAt), result.err)
	}
	j.recordStreamResult(p, a.endpoint, result)
	return result
}

// resultOf returns the result of an attempt that has ended. If the caller's answer may end with it, resultOf writes what remains of
// the answer.
func (j *job) resultOf(state *streamState, end attemptEnd) streamResult {
	switch {
	case end.err != nil:
		return streamResult{err: end.err}
	case end.refused:
		return streamResult{reply: end.reply}
	case end.failure:
		return j.writeFailure(end, state)
	}
	j.sendHeader(end.reply, state)
	if !ending.MayEnd(j.responder.framing, end.judgement.End) {
		// The answer began with the promise to state its end, and only another engine can state it.
		return streamResult{unstated: true}
	}
	if len(end.rest) > 0 && j.writeCounted(end.rest) != nil {
		return streamResult{callerGone: true}
	}
	return streamResult{complete: true}
}

func (j *job) sendHeader(reply *model.ForwardReply, state *streamState) {
	if state.headerSent {
		return
	}
	state.headerSent = true
	state.status = reply.Status
	state.firstEventAt = j.relay.now()
	j.responder.begin(reply.Status, reply.Header, reply.Framing.ForStream())
}

// writeFailure writes an engine's own failure to the caller, unless the caller already has events of another engine, the stream
// may be retried at another engine, or one has it.
func (j *job) writeFailure(end attemptEnd, state *streamState) streamResult {
	fault := streamResult{err: &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.Errorf("relay: engine answered with status %d", end.reply.Status)}}
	if state.headerSent || len(state.running) > 0 {
		return fault
	}
	if !end.final && j.admission.Route.Resumable && j.attempts < j.admission.Route.MaxAttempts {
		return fault
	}
	state.headerSent, state.status = true, end.reply.Status
	if j.responder.writeWhole(end.reply, end.body, end.judgement.End) != nil {
		return streamResult{callerGone: true}
	}
	return streamResult{failureWritten: true}
}

func (j *job) recordStreamResult(p *pool, e model.Endpoint, result streamResult) {
	switch {
	case result.err != nil:
		j.recordFault(p, e, asFault(result.err))
	case result.complete, result.unstated:
		p.recordSuccess(e.Incarnation())
	case result.reply != nil && result.reply.NotRun:
		j.relay.logFailedAttempt(j.forward, e, j.attempts, model.RetryNotRun, notRunError(result.reply.Status))
	}
}

// verdict returns the verdict on the attempts so far.
func (j *job) verdict() model.Verdict {
	if j.mayHaveRun {
		return model.MayHaveRun
	}
	return model.NotRun
}

// refuseFailedStream refuses a stream of which nothing was written to the caller.
func (j *job) refuseFailedStream(result streamResult) Outcome {
	var refusal *model.Refusal
	if errors.As(result.err, &refusal) {
		if j.mayHaveRun {
			refusal = refusal.WithVerdict(model.MayHaveRun)
		}
		return Outcome{Refusal: refusal, Attempts: j.attempts}
	}
	if !j.mayHaveRun {
		return j.refuseEndpointRefused("no engine took the request")
	}
	return j.refuse(model.MayHaveRun, model.StageFailed, "the engine failed")
}

// finishWithoutEngine ends a stream for which there is no engine, or no further one.
func (j *job) finishWithoutEngine(state *streamState) Outcome {
	if state.headerSent {
		return Outcome{
			Status: state.status, Attempts: j.attempts, Framing: state.framing, Evidence: state.ending.Evidence, Barred: standby.ByEndpoints,
		}
	}
	return j.refuseNoEndpoint(j.verdict())
}
