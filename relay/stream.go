package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// streamBufferBytes holds what arrives of a stream at once.
	streamBufferBytes = 4 << 10
	// streamIdleTimeout is how long a resumable stream may be silent before it goes on elsewhere: far
	// above any pause of a healthy engine.
	streamIdleTimeout = 1500 * time.Millisecond
)

var errStreamIdle = errors.New("relay: the engine is silent")

type (
	// streamState is what was passed on of a stream so far.
	streamState struct {
		splitter   eventSplitter
		headerSent bool
		status     int
		// firstEventAt is when the first event came.
		firstEventAt time.Time
	}

	// streamResult is how one send of a stream ended.
	streamResult struct {
		// whole is true where the stream came to its proper end.
		complete bool
		// callerGone is true where the caller takes nothing more.
		callerGone bool
		// passed is true where the endpoint's own failure was passed on.
		failureWritten bool
		reply          *model.ForwardReply
		err            error
	}
)

// stream serves a request that is answered by a series of events: first its stages, then the
// engine, whose events are passed on as they come.
func (j *job) serveStream(ctx context.Context) Outcome {
	p := j.relay.pool(j.admission.Pool)
	p.recordRequest(j.relay.now())
	stages, refusal := j.runStages(ctx, p)
	defer stages.releaseAll()
	if refusal != nil {
		if ctx.Err() != nil {
			return j.refuseContextDone(ctx)
		}
		return Outcome{Refusal: refusal}
	}
	var state streamState
	for {
		e, end, ok := j.attemptStream(ctx, p, &state, stages)
		if !ok {
			return j.finishWithoutEngine(&state)
		}
		if outcome, over := j.finalOutcome(ctx, &state, end, e); over {
			return outcome
		}
		switch {
		case j.allowStreamRetry(p, &state, stages, end):
		case state.headerSent:
			return j.streamOutcome(&state, e)
		default:
			return j.refuseFailedStream(end)
		}
	}
}

// streamOutcome says what came of the stream so far.
func (j *job) streamOutcome(state *streamState, e model.Endpoint) Outcome {
	outcome := Outcome{Status: state.status, Endpoint: e.Name, Attempts: j.attempts}
	if state.headerSent {
		outcome.FirstEventTime = state.firstEventAt.Sub(j.forward.ReceivedAt)
	}
	return outcome
}

// finalOutcome tells whether no other engine is to be asked, and what came of the stream then.
func (j *job) finalOutcome(ctx context.Context, state *streamState, end streamResult, e model.Endpoint) (outcome Outcome, over bool) {
	outcome = j.streamOutcome(state, e)
	switch {
	case end.complete, end.failureWritten:
		outcome.Complete = true
		return outcome, true
	case end.callerGone:
		return outcome, true
	case ctx.Err() == nil:
		return outcome, false
	case state.headerSent:
		return outcome, true
	default:
		return j.refuseContextDone(ctx), true
	}
}

// attemptStream makes one send; false means that there was no engine.
func (j *job) attemptStream(ctx context.Context, p *pool, state *streamState, stages *stageRun) (model.Endpoint, streamResult, bool) {
	r := j.relay
	tokens := j.forward.Prompt.TokensIn
	e, ok := j.chooseEndpoint(ctx, p, func(now time.Time, g sendLimits) (choice, bool) {
		return p.pickEngine(now, j.allowedEndpoints(), g, j.forward.Prompt, j.affinityKey(), j.excluded)
	}, func(e model.Endpoint) {
		p.dropPendingPrefill(e.Incarnation(), tokens)
		p.release(e.Incarnation())
	})
	if !ok {
		return e, streamResult{}, false
	}
	defer p.release(e.Incarnation())
	j.excluded = append(j.excluded, e.Incarnation())
	j.attempts++
	began := r.now()
	read := false
	onFirst := func() {
		if read {
			return
		}
		read = true
		p.recordFirstEvent(e.Incarnation(), tokens, r.now().Sub(began))
		j.handleFirstEvent(stages)
	}
	send := j.newSend(e, j.attempts > 1)
	send.Inputs = stages.inputs
	admitted := send.BeforeSend
	send.BeforeSend = func() error {
		if stages.inputsStale() {
			return model.NewRefusal(j.verdict(), model.StageFailed, kernel.ClampRetryAfter(refusalRetryAfter), "an input went with its worker")
		}
		return admitted()
	}
	send.LastEventID = state.splitter.lastID
	end := j.relayEvents(ctx, p, send, state, onFirst)
	if !read {
		p.dropPendingPrefill(e.Incarnation(), tokens)
	}
	j.recordStreamResult(p, e, end)
	return e, end, true
}

// affinity returns the key of the prompts that are to share an engine; empty for none.
func (j *job) affinityKey() string {
	// A trial goes where least is under way: it may end the engine.
	if j.trial || !j.relay.options.Policy.Uses(kernel.PrefixAffinity) {
		return ""
	}
	return kernel.AffinityKey(j.forward.Prompt)
}

// relayEvents passes the events of one send on to the caller.
func (j *job) relayEvents(ctx context.Context, p *pool, send Send, state *streamState, onFirst func()) streamResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := j.startIdleTimer(cancel)
	defer silence.Stop()
	ctx, over := j.relay.trackCall(ctx, send.Endpoint, j.forward.Digest)
	defer over()
	reply, err := j.relay.forward(ctx, send)
	if err != nil {
		return streamResult{err: err}
	}
	defer reply.Close()
	p.recordLoad(j.relay.now(), send.Endpoint.Incarnation(), reply.Load)
	if reply.NotRun {
		return streamResult{reply: reply}
	}
	j.mayHaveRun = true
	if reply.Status != http.StatusOK || !reply.Authentic {
		return j.writeFailure(reply, state)
	}
	state.splitter.partial = nil
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			silence.Reset(streamIdleTimeout)
			if end, failed := j.writeEvents(reply, state, buffer[:n], onFirst); failed {
				return end
			}
		}
		if err == io.EOF {
			return j.finishStream(reply, state)
		}
		if err != nil {
			return streamResult{err: &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: err}}
		}
	}
}

// writeEvents passes on the events that end with these bytes; failed tells that the send is over.
func (j *job) writeEvents(reply *model.ForwardReply, state *streamState, p []byte, onFirst func()) (end streamResult, failed bool) {
	whole, err := state.splitter.add(p)
	if err != nil {
		return streamResult{err: err}, true
	}
	if len(whole) == 0 {
		return streamResult{}, false
	}
	onFirst()
	j.sendHeader(reply, state)
	if j.responder.Write(whole) != nil {
		return streamResult{callerGone: true}, true
	}
	return streamResult{}, false
}

// startIdleTimer ends a send that makes no progress, where another can take its place.
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
	reply.Header.Del("Content-Length")
	j.responder.Begin(reply.Status, reply.Header)
}

// finishStream judges a stream that came to its end: it is whole unless it ends within an event.
func (j *job) finishStream(reply *model.ForwardReply, state *streamState) streamResult {
	if !state.splitter.atEventBoundary() {
		return streamResult{err: &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: io.ErrUnexpectedEOF}}
	}
	j.sendHeader(reply, state)
	return streamResult{complete: true}
}

// writeFailure passes an engine's own failure on, unless events of another were passed on or the
// engine did not sign it.
func (j *job) writeFailure(reply *model.ForwardReply, state *streamState) streamResult {
	body, err := readAnswer(reply)
	if err != nil {
		return streamResult{err: err}
	}
	if state.headerSent || !reply.Authentic || reply.Status < http.StatusBadRequest {
		return streamResult{err: &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.Errorf("relay: status %d", reply.Status)}}
	}
	if j.admission.Route.Resumable && j.attempts < j.admission.Route.MaxAttempts {
		return streamResult{err: &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.Errorf("relay: status %d", reply.Status)}}
	}
	state.headerSent = true
	state.status = reply.Status
	j.responder.Begin(reply.Status, reply.Header)
	if j.responder.Write(body) != nil {
		return streamResult{callerGone: true}
	}
	return streamResult{failureWritten: true}
}

func (j *job) recordStreamResult(p *pool, e model.Endpoint, end streamResult) {
	switch {
	case end.err != nil:
		j.recordFault(p, e, asFault(end.err))
	case end.complete:
		p.recordSuccess(e.Incarnation())
	case end.reply != nil && end.reply.NotRun:
		j.relay.logFailedAttempt(j.forward, e, j.attempts, model.RetryNotRun, nil)
	}
}

// verdict says what may be told of the request so far.
func (j *job) verdict() model.Verdict {
	if j.mayHaveRun {
		return model.MayHaveRun
	}
	return model.NotRun
}

// refuseFailedStream is the refusal of a stream of which nothing was passed on.
func (j *job) refuseFailedStream(end streamResult) Outcome {
	var refusal *model.Refusal
	if errors.As(end.err, &refusal) {
		return Outcome{Refusal: refusal, Attempts: j.attempts}
	}
	if !j.mayHaveRun {
		return j.refuse(model.NotRun, model.EndpointRefused, "no engine took the request")
	}
	return j.refuse(model.MayHaveRun, model.StageFailed, "the engine failed")
}

// finishWithoutEngine ends a stream for which there is no engine, or no other one.
func (j *job) finishWithoutEngine(state *streamState) Outcome {
	if state.headerSent {
		return Outcome{Status: state.status, Attempts: j.attempts}
	}
	return j.refuseNoEndpoint(j.verdict())
}
