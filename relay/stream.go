package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// streamBufferBytes is the size of the buffer into which a stream is read.
	streamBufferBytes = 4 << 10
	// streamIdleTimeout is how long the engine of a resumable stream may send no event before the stream is resumed at
	// another engine. It is far above any pause of a healthy engine.
	streamIdleTimeout = 1500 * time.Millisecond
)

var (
	errStreamIdle = errors.New("relay: the engine sent no event within the idle timeout")
	errNoEvent    = errors.New("relay: the engine sent no event but other bytes")
)

type (
	// streamState is the state of a stream, which all its attempts share.
	streamState struct {
		splitter   eventSplitter
		headerSent bool
		status     int
		// source is the endpoint that the stream was last at; its name is empty if another node sent the request.
		source model.Endpoint
		// firstEventAt is when the first event was received.
		firstEventAt time.Time
		// framing is how the last engine's answer was delimited, and ending what is known of its end.
		framing ending.Framing
		ending  ending.Judgement
		// heardAt is when the last whole event was received, or the last attempt was begun.
		heardAt time.Time
		// barred is why the stream did not go on at another engine after its last attempt.
		barred resumptionBar
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
	state := streamState{splitter: eventSplitter{lastID: j.lastEventID}}
	for {
		e, result, ok := j.attemptStream(ctx, p, &state, run)
		if !ok {
			return j.finishWithoutEngine(&state)
		}
		outcome, done := j.finalOutcome(ctx, &state, result, e)
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
			return j.streamOutcome(&state, e)
		default:
			return j.refuseFailedStream(result)
		}
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
		Barred: string(state.barred),
	}
	if state.headerSent {
		outcome.FirstEventTime = state.firstEventAt.Sub(j.forward.ReceivedAt)
	}
	return outcome
}

// finalOutcome returns the outcome of a stream after an attempt. done is false if another engine may be tried.
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

// attemptStream makes one attempt at an engine. It returns false if there was no engine to send to.
func (j *job) attemptStream(ctx context.Context, p *pool, state *streamState, run *stageRun) (model.Endpoint, streamResult, bool) {
	r := j.relay
	if j.throughNodeOnly || j.sendsThroughNode(p) {
		return j.attemptStreamThroughNode(ctx, state, run)
	}
	tokens := j.forward.Prompt.TokensIn
	placed := j.askPlacer(ctx, p, state.headerSent)
	e, ok := j.chooseEndpoint(ctx, p, func(now time.Time, limits sendLimits) (choice, bool) {
		return placed.choose(now, p, limits, j.allowedEndpoints(), j)
	}, func(e model.Endpoint) {
		p.dropPendingPrefill(e.Incarnation(), tokens)
		p.release(e.Incarnation())
	})
	if !ok {
		placed.end(nil)
		if j.announceVersions(ctx) {
			return j.attemptStream(ctx, p, state, run)
		}
		if j.otherNodeMaySend(p) {
			return j.attemptStreamThroughNode(ctx, state, run)
		}
		return e, streamResult{}, false
	}
	defer p.release(e.Incarnation())
	j.recordAttempt(e)
	placed.recordSent(e)
	startedAt := r.now()
	defer func() { placed.end(p.reportedLoad(r.now(), startedAt, e.Incarnation())) }()
	firstSeen := false
	onFirstEvent := func() {
		if firstSeen {
			return
		}
		firstSeen = true
		j.awaitBinding(ctx)
		j.bind(kernel.Binding{Pool: p.name, Version: e.Version})
		p.recordFirstEvent(e.Incarnation(), tokens, r.now().Sub(startedAt))
		placed.recordFirstEvent(r.now().Sub(startedAt), p.reportedLoad(r.now(), startedAt, e.Incarnation()))
		j.handleFirstEvent(run)
	}
	send := j.newSend(e, j.attempts > 1)
	send.Inputs = run.inputs
	checkAdmission := send.BeforeSend
	send.BeforeSend = func() error {
		if run.inputsStale() {
			return model.NewRefusal(j.verdict(), model.StageFailed, kernel.ClampRetryAfter(refusalRetryAfter), "an input went with its worker")
		}
		return checkAdmission()
	}
	send.LastEventID = state.splitter.lastID
	if state.headerSent {
		r.logResumed(j.forward, state.source, e, state.splitter.lastID)
	}
	state.source = e
	j.recordBinding(e)
	state.heardAt = startedAt
	result := j.relayEvents(ctx, p, send, state, onFirstEvent)
	if result.err != nil {
		r.log.Info().Str("Request", j.forward.ID).Str("Endpoint", e.Incarnation()).Str("Pool", e.Pool).Dur("Silence", r.now().Sub(state.heardAt)).
			Bool("Begun", state.headerSent).Str("EndedBy", endedBy(result.err)).Msg("attempt at a stream ended without its end")
	}
	if !firstSeen {
		p.dropPendingPrefill(e.Incarnation(), tokens)
	}
	j.recordStreamResult(p, e, startedAt, result)
	return e, result, true
}

// affinityKey returns the key that requests for the same engine have in common; it is empty if any engine will do.
func (j *job) affinityKey() string {
	// A trial goes to the least loaded engine, as the request may crash it.
	if j.trial || !j.relay.options.Policy.Uses(kernel.PrefixAffinity) {
		return ""
	}
	return kernel.AffinityKey(j.forward.Prompt)
}

// relayEvents sends a request to an engine and writes the events of the answer to the caller. It calls onFirstEvent
// before each write; calls after the first have no effect.
func (j *job) relayEvents(ctx context.Context, p *pool, send Send, state *streamState, onFirstEvent func()) streamResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := j.startIdleTimer(cancel)
	defer idleTimer.Stop()
	ctx, endCall := j.relay.trackCall(ctx, send.Endpoint, j.forward.Digests())
	defer endCall()
	reply, err := j.relay.forward(ctx, send)
	if err != nil {
		return streamResult{err: withCause(ctx, err)}
	}
	defer reply.Close()
	p.recordLoad(j.relay.now(), send.Endpoint.Incarnation(), reply.Statement.Load)
	kind := kindOfReply(reply, model.Stream)
	j.mayHaveRun = j.mayHaveRun || kind != refusalReply
	switch kind {
	case refusalReply:
		return streamResult{reply: reply}
	case invalidReply:
		return streamResult{err: invalidReplyFault(reply)}
	case failureReply:
		return j.writeFailure(ctx, reply, state)
	}
	result := j.writeReply(reply, state, func() {
		state.heardAt = j.relay.now()
		idleTimer.Reset(streamIdleTimeout)
		onFirstEvent()
	})
	result.err = withCause(ctx, result.err)
	return result
}

// withCause returns the fault of an attempt with what has cancelled it, if anything has: else it shows only that its connection
// was closed.
func withCause(ctx context.Context, err error) error {
	var fault *endpoint.Fault
	if ctx.Err() == nil || !errors.As(err, &fault) {
		return err
	}
	out := *fault
	out.Err = &cancelledError{cause: context.Cause(ctx), err: fault.Err}
	return &out
}

// writeReply writes the events of an answer to the caller until the answer ends. It calls onEvents before each write.
func (j *job) writeReply(reply *model.ForwardReply, state *streamState, onEvents func()) streamResult {
	state.splitter.reset()
	state.framing, state.ending = reply.Framing, ending.Judgement{}
	eventsBefore := state.splitter.count
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			if result, done := j.writeEvents(reply, state, buffer[:n], onEvents); done {
				return result
			}
		}
		if err != nil {
			return j.endAttempt(reply, state, state.splitter.count > eventsBefore, err)
		}
	}
}

// endAttempt returns the result of an attempt whose answer has ended with err, and ends the caller's answer if it may end here.
func (j *job) endAttempt(reply *model.ForwardReply, state *streamState, anyEvent bool, err error) streamResult {
	rest, betweenEvents := state.splitter.rest()
	state.ending = j.relay.judgeEnd(err, !betweenEvents, reply, state.source)
	switch state.ending.Evidence {
	case ending.WithinEvent:
		return streamResult{err: &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: io.ErrUnexpectedEOF}}
	case ending.NothingListens, ending.StartedAgain:
		err = errEndpointEnded
	}
	switch {
	case state.ending.End != ending.BrokenOff:
	case len(rest) > 0 && !anyEvent:
		return streamResult{err: &endpoint.Fault{Kind: endpoint.Mismatch, Verdict: model.MayHaveRun, Err: errNoEvent}}
	default:
		return streamResult{err: &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: err}}
	}
	j.sendHeader(reply, state)
	if !ending.MayEnd(j.responder.framing, state.ending.End) {
		// The answer began with the promise to state its end, and only another engine can state it.
		return streamResult{unstated: true}
	}
	if len(rest) > 0 && j.writeCounted(rest) != nil {
		return streamResult{callerGone: true}
	}
	return streamResult{complete: true}
}

// writeEvents writes the events that p completes to the caller. done is true if the attempt has failed.
func (j *job) writeEvents(reply *model.ForwardReply, state *streamState, p []byte, onEvents func()) (result streamResult, done bool) {
	events, err := state.splitter.add(p)
	if err != nil {
		return streamResult{err: &endpoint.Fault{Kind: endpoint.Mismatch, Verdict: model.MayHaveRun, Err: err}}, true
	}
	if len(events) == 0 {
		return streamResult{}, false
	}
	onEvents()
	j.sendHeader(reply, state)
	if j.writeCounted(events) != nil {
		return streamResult{callerGone: true}, true
	}
	return streamResult{}, false
}

// startIdleTimer returns a timer that cancels an idle attempt if the stream can be resumed at another engine; otherwise
// the timer does nothing.
func (j *job) startIdleTimer(cancel context.CancelCauseFunc) *time.Timer {
	if !j.admission.Route.Resumable || j.attempts >= j.admission.Route.MaxAttempts {
		timer := time.NewTimer(0)
		timer.Stop()
		return timer
	}
	return time.AfterFunc(streamIdleTimeout, func() { cancel(errStreamIdle) })
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

// writeFailure writes an engine's own failure to the caller, unless the caller already has events of another engine,
// the engine did not sign the failure, or the stream can be retried at another engine.
func (j *job) writeFailure(ctx context.Context, reply *model.ForwardReply, state *streamState) streamResult {
	body, judgement, err := j.readAnswer(ctx, reply, state.source)
	if err != nil {
		return streamResult{err: err}
	}
	if state.headerSent || reply.Status < http.StatusBadRequest {
		return streamResult{err: &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.Errorf("relay: engine answered with status %d", reply.Status)}}
	}
	if j.admission.Route.Resumable && j.attempts < j.admission.Route.MaxAttempts {
		return streamResult{err: &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.Errorf("relay: engine answered with status %d", reply.Status)}}
	}
	return j.writeWholeFailure(reply, state, body, judgement)
}

// writeWholeFailure writes an engine's own failure to the caller.
func (j *job) writeWholeFailure(reply *model.ForwardReply, state *streamState, body []byte, judgement ending.Judgement) streamResult {
	state.headerSent, state.status = true, reply.Status
	state.framing, state.ending = reply.Framing, judgement
	if j.responder.writeWhole(reply, body, judgement.End) != nil {
		return streamResult{callerGone: true}
	}
	return streamResult{failureWritten: true}
}

func (j *job) recordStreamResult(p *pool, e model.Endpoint, sentAt time.Time, result streamResult) {
	j.relay.recordMismatch(p, e, sentAt, result.err)
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
			Status: state.status, Attempts: j.attempts, Framing: state.framing, Evidence: state.ending.Evidence, Barred: string(barredByEngines),
		}
	}
	return j.refuseNoEndpoint(j.verdict())
}
