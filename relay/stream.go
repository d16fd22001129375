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
	// streamBuffer holds what arrives of a stream at once.
	streamBuffer = 4 << 10
	// mostSilence is how long a resumable stream may be silent before it goes on elsewhere: far
	// above any pause of a healthy engine.
	mostSilence = 1500 * time.Millisecond
)

var errSilent = errors.New("relay: the engine is silent")

type (
	// streamState is what was passed on of a stream so far.
	streamState struct {
		events events
		begun  bool
		status int
		// firstAt is when the first event came.
		firstAt time.Time
	}

	// streamEnd is how one send of a stream ended.
	streamEnd struct {
		// whole is true where the stream came to its proper end.
		whole bool
		// callerGone is true where the caller takes nothing more.
		callerGone bool
		// passed is true where the endpoint's own failure was passed on.
		passed bool
		reply  *model.ForwardReply
		err    error
	}
)

// stream serves a request that is answered by a series of events: first its stages, then the
// engine, whose events are passed on as they come.
func (j *job) stream(ctx context.Context) Outcome {
	p := j.relay.pool(j.admission.Pool)
	p.request(j.relay.now())
	stages, refusal := j.runStages(ctx, p)
	defer stages.releaseAll()
	if refusal != nil {
		if ctx.Err() != nil {
			return j.ended(ctx)
		}
		return Outcome{Refusal: refusal}
	}
	var state streamState
	for {
		e, end, ok := j.streamOnce(ctx, p, &state, stages)
		if !ok {
			return j.streamWithoutEngine(&state)
		}
		if outcome, over := j.streamEnded(ctx, &state, end, e); over {
			return outcome
		}
		switch {
		case j.streamAgain(p, &state, stages, end):
		case state.begun:
			return j.streamOutcome(&state, e)
		default:
			return j.streamFailure(end)
		}
	}
}

// streamOutcome says what came of the stream so far.
func (j *job) streamOutcome(state *streamState, e model.Endpoint) Outcome {
	outcome := Outcome{Status: state.status, Endpoint: e.Name, Attempts: j.asked}
	if state.begun {
		outcome.FirstEventTime = state.firstAt.Sub(j.forward.ReceivedAt)
	}
	return outcome
}

// streamEnded tells whether no other engine is to be asked, and what came of the stream then.
func (j *job) streamEnded(ctx context.Context, state *streamState, end streamEnd, e model.Endpoint) (outcome Outcome, over bool) {
	outcome = j.streamOutcome(state, e)
	switch {
	case end.whole, end.passed:
		outcome.Complete = true
		return outcome, true
	case end.callerGone:
		return outcome, true
	case ctx.Err() == nil:
		return outcome, false
	case state.begun:
		return outcome, true
	default:
		return j.ended(ctx), true
	}
}

// streamOnce makes one send; false means that there was no engine.
func (j *job) streamOnce(ctx context.Context, p *pool, state *streamState, stages *stageRun) (model.Endpoint, streamEnd, bool) {
	r := j.relay
	tokens := j.forward.Prompt.TokensIn
	e, ok := j.choose(ctx, p, func(now time.Time, g sendLimits) (choice, bool) {
		return p.pickEngine(now, j.atHome(), g, j.forward.Prompt, j.affinity(), j.excluded)
	}, func(e model.Endpoint) {
		p.dropPrompt(e.Incarnation(), tokens)
		p.leave(e.Incarnation())
	})
	if !ok {
		return e, streamEnd{}, false
	}
	defer p.leave(e.Incarnation())
	j.excluded = append(j.excluded, e.Incarnation())
	j.asked++
	began := r.now()
	read := false
	onFirst := func() {
		if read {
			return
		}
		read = true
		p.readPrompt(e.Incarnation(), tokens, r.now().Sub(began))
		j.handleFirstEvent(stages)
	}
	send := j.send(e, j.asked > 1)
	send.Inputs = stages.inputs
	admitted := send.BeforeSend
	send.BeforeSend = func() error {
		if stages.stale() {
			return model.NewRefusal(j.verdict(), model.StageFailed, kernel.ClampRetryAfter(refusedRetry), "an input went with its worker")
		}
		return admitted()
	}
	send.LastEventID = state.events.last
	end := j.relayEvents(ctx, p, send, state, onFirst)
	if !read {
		p.dropPrompt(e.Incarnation(), tokens)
	}
	j.noteStreamEnd(p, e, end)
	return e, end, true
}

// affinity returns the key of the prompts that are to share an engine; empty for none.
func (j *job) affinity() string {
	// A trial goes where least is under way: it may end the engine.
	if j.trial || !j.relay.options.Policy.Uses(kernel.PrefixAffinity) {
		return ""
	}
	return kernel.AffinityKey(j.forward.Prompt)
}

// relayEvents passes the events of one send on to the caller.
func (j *job) relayEvents(ctx context.Context, p *pool, send Send, state *streamState, onFirst func()) streamEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := j.watchSilence(cancel)
	defer silence.Stop()
	ctx, over := j.relay.trackCall(ctx, send.Endpoint, j.forward.Digest)
	defer over()
	reply, err := j.relay.forward(ctx, send)
	if err != nil {
		return streamEnd{err: err}
	}
	defer reply.Close()
	p.reported(j.relay.now(), send.Endpoint.Incarnation(), reply.Load)
	if reply.NotRun {
		return streamEnd{reply: reply}
	}
	j.mayHaveRun = true
	if reply.Status != http.StatusOK || !reply.Authentic {
		return j.passFailure(reply, state)
	}
	state.events.rest = nil
	buffer := make([]byte, streamBuffer)
	for {
		n, err := reply.Body.Read(buffer)
		if n > 0 {
			silence.Reset(mostSilence)
			if end, failed := j.passBytes(reply, state, buffer[:n], onFirst); failed {
				return end
			}
		}
		if err == io.EOF {
			return j.streamClosed(reply, state)
		}
		if err != nil {
			return streamEnd{err: &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: err}}
		}
	}
}

// passBytes passes on the events that end with these bytes; failed tells that the send is over.
func (j *job) passBytes(reply *model.ForwardReply, state *streamState, p []byte, onFirst func()) (end streamEnd, failed bool) {
	whole, err := state.events.add(p)
	if err != nil {
		return streamEnd{err: err}, true
	}
	if len(whole) == 0 {
		return streamEnd{}, false
	}
	onFirst()
	j.begin(reply, state)
	if j.out.Write(whole) != nil {
		return streamEnd{callerGone: true}, true
	}
	return streamEnd{}, false
}

// watchSilence ends a send that makes no progress, where another can take its place.
func (j *job) watchSilence(cancel context.CancelCauseFunc) *time.Timer {
	if !j.admission.Route.Resumable || j.asked >= j.admission.Route.MaxAttempts {
		timer := time.NewTimer(0)
		timer.Stop()
		return timer
	}
	return time.AfterFunc(mostSilence, func() { cancel(errSilent) })
}

func (j *job) begin(reply *model.ForwardReply, state *streamState) {
	if state.begun {
		return
	}
	state.begun = true
	state.status = reply.Status
	state.firstAt = j.relay.now()
	reply.Header.Del("Content-Length")
	j.out.Begin(reply.Status, reply.Header)
}

// streamClosed judges a stream that came to its end: it is whole unless it ends within an event.
func (j *job) streamClosed(reply *model.ForwardReply, state *streamState) streamEnd {
	if !state.events.clean() {
		return streamEnd{err: &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: io.ErrUnexpectedEOF}}
	}
	j.begin(reply, state)
	return streamEnd{whole: true}
}

// passFailure passes an engine's own failure on, unless events of another were passed on or the
// engine did not sign it.
func (j *job) passFailure(reply *model.ForwardReply, state *streamState) streamEnd {
	body, err := readWhole(reply)
	if err != nil {
		return streamEnd{err: err}
	}
	if state.begun || !reply.Authentic || reply.Status < http.StatusBadRequest {
		return streamEnd{err: &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.Errorf("relay: status %d", reply.Status)}}
	}
	if j.admission.Route.Resumable && j.asked < j.admission.Route.MaxAttempts {
		return streamEnd{err: &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.Errorf("relay: status %d", reply.Status)}}
	}
	state.begun = true
	state.status = reply.Status
	j.out.Begin(reply.Status, reply.Header)
	if j.out.Write(body) != nil {
		return streamEnd{callerGone: true}
	}
	return streamEnd{passed: true}
}

func (j *job) noteStreamEnd(p *pool, e model.Endpoint, end streamEnd) {
	switch {
	case end.err != nil:
		j.noteFault(p, e, asFault(end.err))
	case end.whole:
		p.succeeded(e.Incarnation())
	case end.reply != nil && end.reply.NotRun:
		j.relay.logAttempt(j.forward, e, j.asked, model.RetryNotRun, nil)
	}
}

// verdict says what may be told of the request so far.
func (j *job) verdict() model.Verdict {
	if j.mayHaveRun {
		return model.MayHaveRun
	}
	return model.NotRun
}

// streamFailure is the refusal of a stream of which nothing was passed on.
func (j *job) streamFailure(end streamEnd) Outcome {
	var refusal *model.Refusal
	if errors.As(end.err, &refusal) {
		return Outcome{Refusal: refusal, Attempts: j.asked}
	}
	if !j.mayHaveRun {
		return j.refuse(model.NotRun, model.EndpointRefused, "no engine took the request")
	}
	return j.refuse(model.MayHaveRun, model.StageFailed, "the engine failed")
}

// streamWithoutEngine ends a stream for which there is no engine, or no other one.
func (j *job) streamWithoutEngine(state *streamState) Outcome {
	if state.begun {
		return Outcome{Status: state.status, Attempts: j.asked}
	}
	return j.noEndpoint(j.verdict())
}
