package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standby"
)

type (
	// streamCalls is the state of the calls of one stream that run side by side. Only the goroutine that runs the stage uses it; the
	// goroutines of the calls send their events over a channel.
	streamCalls struct {
		attempts *attempts
		output   strings.Builder
		race     standby.Race
		running  map[int]*streamCall
		messages chan streamMessage
	}

	// streamCall is one call of a stream.
	streamCall struct {
		number   int
		endpoint *endpointState
		version  string
		cancel   context.CancelFunc
		// tokens is how many tokens of it the caller has.
		tokens                               int
		startedAt, firstTokenAt, lastTokenAt time.Time
		load                                 *model.Load
		// overtaken is true if another call has gone on.
		overtaken bool
	}

	// streamMessage is an event of a call, or its end if accepted is nil.
	streamMessage struct {
		call  *streamCall
		event model.TokenEvent
		// accepted gets what the event is accepted with.
		accepted chan error
		err      error
	}
)

// start makes a call for the tokens that are still missing. It returns false if there is no endpoint for it.
func (s *streamCalls) start(ctx context.Context, lacking []string) bool {
	a := s.attempts
	passedOver := slices.Concat(lacking, a.excluded)
	for _, call := range s.running {
		passedOver = append(passedOver, call.endpoint.incarnation)
	}
	e := a.chooseEndpoint(ctx, a.routingPrefix(), passedOver)
	if e == nil {
		return false
	}
	now := time.Now()
	a.callCount++
	request := a.prepareCall()
	request.From = a.stageOutput.Tokens
	target := a.target(e)
	called := a.pool.endpointOf(e)
	call := &streamCall{number: a.callCount, endpoint: e, version: called.Version, startedAt: now, firstTokenAt: now, lastTokenAt: now}
	ctx, call.cancel = context.WithCancel(ctx)
	s.running[call.number] = call
	s.race = s.race.WithBegun(now, call.number)
	a.dispatcher.OnCall(called)
	go func() {
		defer call.cancel()
		err := a.dispatcher.client.Stream(ctx, target, request, func(event model.TokenEvent) error {
			accepted := make(chan error, 1)
			select {
			case s.messages <- streamMessage{call: call, event: event, accepted: accepted}:
				return <-accepted
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		})
		s.messages <- streamMessage{call: call, err: err}
	}()
	return true
}

// await accepts what the calls bring until the stream is complete or no call runs that has not been overtaken. It returns the last call
// and its fault. Beside calls that are silent, a further one is made.
func (s *streamCalls) await(ctx context.Context) (*streamCall, error) {
	silence := time.NewTimer(s.dueIn(time.Now()))
	defer silence.Stop()
	for {
		select {
		case m := <-s.messages:
			if m.accepted != nil {
				m.accepted <- s.accept(m.call, m.event)
				break
			}
			err := s.recordEnd(m.call, m.err)
			if !m.call.overtaken && (err == nil || s.race.Running() == 0) {
				return m.call, err
			}
		case <-silence.C:
			if s.dueIn(time.Now()) <= 0 {
				s.startBeside(ctx)
			}
		}
		silence.Reset(max(0, s.dueIn(time.Now())))
	}
}

// dueIn returns when a further call is to be considered beside those that are silent.
func (s *streamCalls) dueIn(now time.Time) time.Duration {
	return s.race.DueIn(now, s.attempts.tokenTimeout(now))
}

// startBeside makes a further call beside those that are silent, if that is allowed and there is another endpoint or connection.
func (s *streamCalls) startBeside(ctx context.Context) {
	a := s.attempts
	s.race = s.race.WithConsidered(time.Now())
	lacking, all := a.pool.enginesWithout(time.Now(), adapterName(a.job.Work.Stage))
	silent := &endpoint.Fault{Kind: endpoint.Silent, Verdict: model.MayHaveRun}
	if all || a.job.Trial || ctx.Err() != nil || a.checkRequest() != nil || !a.takeRetry(silent) {
		a.dispatcher.metrics.CountEvent("SilentStreamWaits")
		return
	}
	a.hedging = true
	defer func() { a.hedging = false }()
	s.start(ctx, lacking)
}

// accept accepts an event of a call. The first call to bring a token that is missing goes on, and the others end.
func (s *streamCalls) accept(call *streamCall, event model.TokenEvent) error {
	a, now := s.attempts, time.Now()
	if call.overtaken {
		return errOvertaken
	}
	if event.Load != nil {
		call.load = event.Load
		a.recordStatement(call.startedAt, now, call.endpoint, call.load, true)
		a.pool.recordLoad(now, call.endpoint, *call.load)
	}
	if event.Final {
		return a.checkTokenCount(event)
	}
	if event.Index < a.stageOutput.Tokens {
		a.dispatcher.metrics.CountEvent("TokenRepeated")
		return nil
	}
	if event.Index > a.stageOutput.Tokens {
		return errMissingToken
	}
	race, overtaken := s.race.WithHeard(now, call.number)
	s.race = race
	for _, number := range overtaken {
		s.running[number].overtaken = true
		s.running[number].cancel()
	}
	a.observeToken(call.startedAt, call.lastTokenAt, now)
	call.lastTokenAt = now
	if call.tokens == 0 {
		call.firstTokenAt = now
	}
	call.tokens++
	if !a.boundTo.bound {
		a.boundTo = versionFilter{bound: true, version: call.version}
	}
	a.stageOutput.Tokens++
	s.output.WriteString(event.Text)
	if a.job.Emit != nil {
		a.job.Emit(model.Token{Index: event.Index, Text: event.Text})
	}
	return nil
}

// recordEnd records how a call has ended, and returns its fault.
func (s *streamCalls) recordEnd(call *streamCall, err error) error {
	a, e, now := s.attempts, call.endpoint, time.Now()
	delete(s.running, call.number)
	s.race = s.race.WithEnded(call.number)
	a.busy += now.Sub(call.startedAt)
	if err == nil {
		a.mayHaveRun = true
		a.dispatcher.OnConnection(a.pool.endpointOf(e), call.startedAt, nil)
		a.pool.recordAcceptance(now, e, true)
		a.pool.recordSuccess(now, e, now.Sub(call.startedAt), call.load)
		a.recordStreamPace(now, e, call.lastTokenAt.Sub(call.firstTokenAt), call.tokens, call.load)
		return nil
	}
	fault := asFault(err)
	if call.overtaken {
		fault = &endpoint.Fault{Kind: endpoint.Silent, Verdict: model.MayHaveRun, Reused: fault.Reused, Err: errOvertaken}
		a.dispatcher.metrics.CountEvent("StreamOvertaken")
		a.dispatcher.client.Retire(e.address)
		a.observeSilence(call.startedAt, call.lastTokenAt, now)
		a.exclude(e, fault)
	}
	a.recordStatement(call.startedAt, now, e, fault.Load, false)
	a.recordConnectFailure(e, call.startedAt, fault)
	a.recordStreamFault(now, e, fault)
	return fault
}

// end ends the calls that still run.
func (s *streamCalls) end() {
	for _, call := range s.running {
		call.cancel()
	}
	for len(s.running) > 0 {
		m := <-s.messages
		if m.accepted != nil {
			m.accepted <- errOvertaken
			continue
		}
		delete(s.running, m.call.number)
		if m.call.overtaken {
			_ = s.recordEnd(m.call, m.err)
		}
	}
}
