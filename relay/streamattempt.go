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

var (
	// errOvertaken is the cause if another attempt at a stream has gone on before a silent one.
	errOvertaken = errors.New("relay: the engine was silent, and another one has gone on")
	// errStreamOver is the cause if a stream has ended while an attempt at it ran.
	errStreamOver = errors.New("relay: the request has ended")
	// errNotBound is the cause if the store did not take what a stream is bound to before its first event.
	errNotBound = errors.New("relay: the store has not taken what the stream is bound to")
)

type (
	// streamAttempt is one attempt at a stream. A goroutine of its own exchanges the request and splits the answer into events;
	// the goroutine that serves the request uses the fields.
	streamAttempt struct {
		number int
		// endpoint is the engine; its name is empty if another node sends the request.
		endpoint  model.Endpoint
		placed    *placedAttempt
		startedAt time.Time
		// heardAt is when its last events were received, or when it began. spoke is true once events of it were written to the caller.
		heardAt time.Time
		spoke   bool
		// cancel ends the exchange, and dropped is closed if nothing of the attempt is wanted any more.
		cancel  context.CancelCauseFunc
		dropped chan struct{}

		// node is what is known of the other node that is to send the request; nil if this one does.
		node *nodeWatch
		// answered is true once the head of an answer was received, and framing is how that answer is delimited. binding is the
		// pool and version to which another node has bound the stream; nil if it stated none. All three are set before the first part
		// is sent.
		answered bool
		framing  ending.Framing
		binding  *kernel.Binding
	}

	// streamPart is what an attempt at a stream has received: whole events, or its end.
	streamPart struct {
		attempt *streamAttempt
		reply   *model.ForwardReply
		events  []byte
		// lastID is the ID of the last event that has one.
		lastID string
		// end is nil for events.
		end *attemptEnd
	}

	// attemptEnd is how an attempt at a stream has ended. Without an error, reply is the head of the answer.
	attemptEnd struct {
		err   error
		reply *model.ForwardReply
		// refused is true if the engine states that it has not run the request. failure is true for an engine's own failure, which
		// is body; final is true for one that no further attempt may follow.
		refused bool
		failure bool
		final   bool
		body    []byte
		// rest holds the bytes after the last whole event. judgement says whether the answer ended where its sender meant it to.
		rest      []byte
		judgement ending.Judgement
	}
)

// startStreamAttempt begins one attempt at an engine. It returns false if there is no engine to send to.
func (j *job) startStreamAttempt(ctx context.Context, p *pool, state *streamState, run *stageRun) bool {
	r := j.relay
	if j.throughNodeOnly || j.sendsThroughNode(p) {
		return j.startStreamAtNode(ctx, state, run)
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
		if len(state.running) == 0 && j.announceVersions(ctx) {
			return j.startStreamAttempt(ctx, p, state, run)
		}
		if j.otherNodeMaySend(p) {
			return j.startStreamAtNode(ctx, state, run)
		}
		return false
	}
	j.recordAttempt(e)
	placed.recordSent(e)
	j.recordChoice(state, e)
	a := &streamAttempt{endpoint: e, placed: placed}
	attempt := j.snapshot()
	send := attempt.newSend(e, j.attempts > 1)
	send.Inputs = run.inputs
	checkAdmission := send.BeforeSend
	send.BeforeSend = func() error {
		if run.inputsStale() {
			return model.NewRefusal(attempt.verdict(), model.StageFailed, kernel.ClampRetryAfter(refusalRetryAfter), "an input went with its worker")
		}
		return checkAdmission()
	}
	send.LastEventID = state.lastID
	j.runStreamAttempt(ctx, state, a, func(ctx context.Context) attemptEnd {
		ctx, endCall := r.trackCall(ctx, e, j.forward.Digests())
		defer endCall()
		end := attempt.exchangeStream(ctx, p, state, a, send)
		end.err = withCause(ctx, end.err)
		r.recordMismatch(p, e, a.startedAt, end.err)
		return end
	})
	return true
}

// runStreamAttempt starts the goroutine of an attempt, which calls exchange and sends the end of the attempt to the goroutine
// that serves the request.
func (j *job) runStreamAttempt(ctx context.Context, state *streamState, a *streamAttempt, exchange func(ctx context.Context) attemptEnd) {
	state.lastNumber++
	a.number, a.dropped, a.startedAt = state.lastNumber, make(chan struct{}), j.relay.now()
	a.heardAt = a.startedAt
	ctx, a.cancel = context.WithCancelCause(ctx)
	state.running[a.number] = a
	state.race = state.race.WithBegun(a.startedAt, a.number)
	r := j.relay
	go func() {
		defer a.cancel(nil)
		defer r.recoverPanic(func() { a.pass(state, streamPart{end: &attemptEnd{err: errPanic}}) })
		end := exchange(ctx)
		a.pass(state, streamPart{end: &end})
	}()
}

// pass sends a part to the goroutine that serves the request. It returns false if the part is not wanted any more.
func (a *streamAttempt) pass(state *streamState, part streamPart) bool {
	part.attempt = a
	select {
	case state.parts <- part:
		return true
	case <-a.dropped:
		return false
	}
}

// exchangeStream sends the request to the engine and passes on the events of the answer until it ends.
func (j *job) exchangeStream(ctx context.Context, p *pool, state *streamState, a *streamAttempt, send Send) attemptEnd {
	reply, err := j.relay.forward(ctx, send)
	if err != nil {
		return attemptEnd{err: err}
	}
	defer reply.Close()
	p.recordLoad(j.relay.now(), send.Endpoint.Incarnation(), reply.Statement.Load)
	a.answered, a.framing = true, reply.Framing
	switch kindOfReply(reply, model.Stream) {
	case refusalReply:
		return attemptEnd{reply: reply, refused: true}
	case invalidReply:
		return attemptEnd{err: invalidReplyFault(reply)}
	case failureReply:
		return j.readFailure(ctx, reply, a.endpoint)
	}
	return j.readEvents(reply, state, a, send.LastEventID)
}

// readFailure reads an engine's own failure.
func (j *job) readFailure(ctx context.Context, reply *model.ForwardReply, e model.Endpoint) attemptEnd {
	body, judgement, err := j.readBody(ctx, reply, e)
	if err == nil && reply.Status < http.StatusBadRequest {
		err = &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.Errorf("relay: engine answered with status %d", reply.Status)}
	}
	return attemptEnd{err: err, reply: reply, failure: true, body: body, judgement: judgement}
}

// readEvents passes on the events of an answer, which follow the one with the ID lastID, until the answer ends.
func (j *job) readEvents(reply *model.ForwardReply, state *streamState, a *streamAttempt, lastID string) attemptEnd {
	splitter := eventSplitter{lastID: lastID}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := reply.Body.Read(buffer)
		events, splitErr := splitter.add(buffer[:n])
		if splitErr != nil {
			return attemptEnd{err: &endpoint.Fault{Kind: endpoint.Mismatch, Verdict: model.MayHaveRun, Err: splitErr}}
		}
		if len(events) > 0 && !a.pass(state, streamPart{reply: reply, events: events, lastID: splitter.lastID}) {
			return attemptEnd{err: &endpoint.Fault{Kind: endpoint.Cancelled, Verdict: model.MayHaveRun, Err: errStreamOver}}
		}
		if err != nil {
			return j.judgeStreamEnd(reply, a, &splitter, err)
		}
	}
}

// judgeStreamEnd returns the end of an answer whose read has ended with err.
func (j *job) judgeStreamEnd(reply *model.ForwardReply, a *streamAttempt, splitter *eventSplitter, err error) attemptEnd {
	rest, betweenEvents := splitter.rest()
	end := attemptEnd{reply: reply, rest: rest, judgement: j.relay.judgeEnd(err, !betweenEvents, reply, a.endpoint)}
	switch end.judgement.Evidence {
	case ending.WithinEvent:
		err = io.ErrUnexpectedEOF
	case ending.NothingListens, ending.StartedAgain:
		err = errEndpointEnded
	}
	switch {
	case end.judgement.End != ending.BrokenOff:
	case len(rest) > 0 && splitter.count == 0 && end.judgement.Evidence != ending.WithinEvent:
		end.err = &endpoint.Fault{Kind: endpoint.Mismatch, Verdict: model.MayHaveRun, Err: errNoEvent}
	default:
		end.err = &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: err}
	}
	return end
}

// releaseAttempt frees what was counted for an attempt that does not run any more.
func (j *job) releaseAttempt(p *pool, a *streamAttempt) {
	if a.node != nil {
		j.nodesAsked += int(a.node.asked.Load())
		return
	}
	incarnation := a.endpoint.Incarnation()
	a.placed.end(p.reportedLoad(j.relay.now(), a.startedAt, incarnation))
	if !a.spoke {
		p.dropPendingPrefill(incarnation, j.forward.Prompt.TokensIn)
	}
	p.release(incarnation)
}

// dropAttempt ends an attempt of which nothing is wanted any more.
func (j *job) dropAttempt(p *pool, state *streamState, a *streamAttempt, cause error) {
	close(a.dropped)
	a.cancel(cause)
	delete(state.running, a.number)
	j.releaseAttempt(p, a)
	j.mayHaveRun = true
	overtaken := errors.Is(cause, errOvertaken)
	switch {
	case a.node != nil:
		j.recordDroppedNode(a.node, overtaken)
	case overtaken:
		p.recordFailure(j.relay.now(), a.endpoint.Incarnation())
		j.relay.metrics.CountEvent("StreamOvertaken")
		j.relay.logEndedAttempt(j.forward, a.endpoint, state.headerSent, j.relay.now().Sub(a.heardAt), cause)
	}
}

// endStream ends the attempts that still run.
func (j *job) endStream(p *pool, state *streamState) {
	for _, a := range state.running {
		j.dropAttempt(p, state, a, errStreamOver)
	}
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
