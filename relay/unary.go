package relay

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/binding"
	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/leaving"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/pace"
	"basilstall.example/basilstall/peer"
)

const (
	// maxUnaryBytes is the maximum size of a unary answer, which is buffered until it is complete.
	maxUnaryBytes = 8 << 20
	// hedgeDelayShare is the share of the objective after which a safe request without an answer is also sent to a
	// second endpoint.
	hedgeDelayShare = 0.6
	// refusalRetryAfter is the time after which a caller may retry a request that no endpoint could take.
	refusalRetryAfter = 150 * time.Millisecond
)

// ErrStopped is the cause with which the contexts of requests are cancelled that are still served as the node stops.
var ErrStopped = errors.New("relay: the node has stopped")

var (
	errAnswerTooLong    = errors.New("relay: answer exceeds the size limit")
	errAnswerUnfinished = errors.New("relay: answer was not complete by the deadline")
	errPanic            = errors.New("relay: panic while sending a request")
)

type (
	// job is a request that is being served. Only the goroutine that serves the request uses it.
	job struct {
		relay     *Relay
		forward   model.Forward
		admission kernel.Admission
		responder *answerWriter
		startedAt time.Time
		// number identifies the request among those whose times are held.
		number leaving.Number
		// attempts is the number of endpoints that the request was sent to. Attempts that are known to have sent
		// nothing are subtracted.
		attempts int
		// excluded are the incarnations of the endpoints that were already chosen.
		excluded []string
		// mayHaveRun is true once an endpoint may have run the request.
		mayHaveRun bool
		// permitUntil is when the other node's permit for the chosen endpoint expires; zero if no permit is needed.
		permitUntil time.Time
		// permitDenied is true if the last choice of an endpoint was denied a permit.
		permitDenied bool
		// forNode is the node that got the request from its caller and does not reach the pool; empty if this node did. Such
		// a request is sent to endpoints only, never to a further node.
		forNode string
		// callerStopsAt is when that node stops; nil if it is not known to leave.
		callerStopsAt *time.Time
		// throughNode is the last node that sent the request in place of this one; empty if none did. excludedNodes are
		// those that were lost over it.
		throughNode   string
		excludedNodes []string
		// watch is what an attempt through another node tells of it; nil for other attempts.
		watch *nodeWatch
		// nodeSilent gets a value when another node that is to send a unary request falls silent.
		nodeSilent chan struct{}
		// atNode is true while another node may be sending the request.
		atNode bool
		// throughNodeOnly is true for a stream whose stages were not run here, or whose results were freed, because another
		// node is to send it.
		throughNodeOnly bool
		// unreached are the incarnations of the chosen endpoints to which no connection could be opened.
		unreached []string
		// ownPathOnly is true once this node sends the request itself because no other one did.
		ownPathOnly bool
		// counted is true once the request counts towards this node's share of the retry budget, or another one's.
		counted bool
		// streamKey identifies the stream; empty for a request that is none. recorded is what was last recorded of it, if
		// isRecorded is true.
		streamKey  kernel.StreamKey
		recorded   kernel.Binding
		isRecorded bool
		// receipt tells how far the last record has got, lastOrder is the order of that record. nodesAsked is the number of other nodes
		// that got the request and may have recorded the stream, by attempts that are over.
		receipt    *binding.Receipt
		lastOrder  int64
		nodesAsked int
		// unannounced is true if the stream may begin at versions that could not be announced to other nodes.
		unannounced bool
		// lastEventID is the ID of the last event that the caller of a relayed stream already has.
		lastEventID string
		// placer is the node that has chosen the engine of the last attempt; empty if this one has.
		placer string
		// onSend is called before each attempt at an endpoint, with the number of attempts; nil for none.
		onSend func(attempts int)
		// firstSentAt is the time of the first attempt; zero before it. cut is true once an endpoint broke off its answer.
		firstSentAt time.Time
		cut         bool
		// trial is true if the request is held back and was permitted to run once, on trial.
		trial        bool
		stageTimings []StageTiming
		// estimates are the estimates for the stages' pools at the arrival of the request.
		estimates []StageEstimate
		// earlyBy is how much earlier than told the caller retried the request; zero if it did not.
		earlyBy time.Duration
		// ticket is the request at the admitter of its pool, and assigned the endpoint that the admitter assigned to the next
		// attempt; nil and empty if no admitter was asked. answered is what the last answer of an endpoint
		// shows; its incarnation is empty before.
		// hedgeTicket is that of the second endpoint, and hedgeEndpoint the incarnation of the endpoint that the second attempt was
		// sent to.
		ticket        *admissionTicket
		hedgeTicket   *admissionTicket
		hedgeEndpoint string
		assigned      string
		answered      peer.AdmitEnded
	}

	// unaryResult is the result of one attempt at a unary request.
	unaryResult struct {
		endpoint model.Endpoint
		// sentAt is when the attempt began.
		sentAt time.Time
		// throughNode is true if another node was to send the request. node is its name, empty if none did, and attempts the
		// number of attempts with those that it told of.
		throughNode bool
		node        string
		attempts    int
		reply       *model.ForwardReply
		body        []byte
		err         error
		// ending is what is known of the end of the answer.
		ending ending.Judgement
		// elapsed is the time from sending the request to the end of the attempt.
		elapsed time.Duration
	}
)

// serveUnary serves a request whose answer is written to the caller once it is complete.
func (j *job) serveUnary(ctx context.Context) Outcome {
	if !j.expectAnswer() {
		return j.refuseUnexpected()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := j.relay.pool(j.admission.Pool)
	if outcome := j.awaitAdmission(ctx, p); outcome != nil {
		return *outcome
	}
	defer j.endAdmission()
	// More may be held now than before the wait.
	if !j.expectAnswer() {
		return j.refuseUnexpected()
	}
	results := make(chan unaryResult, j.admission.Route.MaxAttempts+1)
	if !j.startAttempt(ctx, p, results) {
		return j.refuseNoEndpoint(j.verdict())
	}
	running := 1
	hedgeTimer := time.NewTimer(time.Duration(hedgeDelayShare * float64(j.admission.Route.Objective)))
	defer hedgeTimer.Stop()
	hedgeSlots := make(chan hedgeSlot)
	j.nodeSilent = make(chan struct{}, 1)
	var failure *unaryResult
	for {
		select {
		case res := <-results:
			running--
			if j.acceptResult(p, &res) {
				return j.writeAnswer(res)
			}
			failure = lastFailure(failure, res)
			running += j.retry(ctx, p, res, results)
			if running == 0 {
				return j.finishFailed(ctx, failure, res)
			}
		case <-hedgeTimer.C:
			if !j.askForHedge(ctx, p, hedgeSlots) {
				running += j.startHedge(ctx, p, results)
			}
		case <-j.nodeSilent:
			running += j.startBesideNode(ctx, p, results)
		case slot := <-hedgeSlots:
			running += j.startAdmittedHedge(ctx, p, slot, results)
		case <-ctx.Done():
			return j.refuseContextDone(ctx)
		}
	}
}

// expectAnswer announces the answer to what counts it. It returns false if the answer might find no room.
func (j *job) expectAnswer() bool {
	expect := j.responder.Held.Expect
	return expect == nil || expect() == nil
}

// refuseUnexpected refuses a request whose answer might find no room.
func (j *job) refuseUnexpected() Outcome {
	return Outcome{Refusal: refuseFull().WithVerdict(j.verdict()), Attempts: j.attempts}
}

// lastFailure returns the newest failure of an endpoint that is for the caller: res if it is one, previous otherwise.
func lastFailure(previous *unaryResult, res unaryResult) *unaryResult {
	if res.err == nil && !res.reply.NotRun {
		return &res
	}
	return previous
}

// startAttempt sends the request to one more endpoint, whose result goes to results. It reports whether an endpoint
// could be chosen.
func (j *job) startAttempt(ctx context.Context, p *pool, results chan<- unaryResult) bool {
	r := j.relay
	if j.sendsThroughNode(p) {
		return j.startNodeAttempt(ctx, results)
	}
	j.countRequest(p)
	e, ok := j.chooseEndpoint(ctx, p, func(now time.Time, limits sendLimits) (choice, bool) {
		return j.pickUnary(now, p, limits)
	}, func(e model.Endpoint) { p.release(e.Incarnation()) })
	if !ok {
		return j.otherNodeMaySend(p) && j.startNodeAttempt(ctx, results)
	}
	j.recordAttempt(e)
	send := j.newSend(e, j.attempts > 1)
	route := j.admission.Route.Name
	go func() {
		defer p.release(e.Incarnation())
		res := unaryResult{endpoint: e, sentAt: r.now()}
		defer r.recoverPanic(func() {
			res.err = errPanic
			results <- res
		})
		ctx, endCall := r.trackCall(ctx, e, j.forward.Digests())
		defer endCall()
		sentAt := r.now()
		res.reply, res.err = r.forward(ctx, send)
		if res.err == nil {
			res.body, res.ending, res.err = j.readAnswer(ctx, res.reply, e)
		}
		res.elapsed = r.now().Sub(sentAt)
		r.recordMismatch(p, e, sentAt, res.err)
		if res.err != nil && ctx.Err() != nil && r.statesContention(p.name) {
			p.recordUnanswered(r.now(), e.Incarnation(), route, res.elapsed)
		}
		results <- res
	}()
	return true
}

// otherNodeMaySend reports whether another node may send the request although this one has no endpoint to send it to.
func (j *job) otherNodeMaySend(p *pool) bool {
	return !j.ownPathOnly && (len(j.unreached) > 0 || j.relay.hasRefusalCaps(p.name))
}

// countRequest counts the request towards this node's share of the retry budget, once.
func (j *job) countRequest(p *pool) {
	if !j.counted {
		p.recordRequest(j.relay.now())
	}
	j.counted = true
}

// recordAttempt records that the request is about to be sent to an endpoint.
func (j *job) recordAttempt(e model.Endpoint) {
	j.excluded = append(j.excluded, e.Incarnation())
	j.attempts++
	if j.firstSentAt.IsZero() {
		j.firstSentAt = j.relay.now()
		j.relay.requestTimes.RecordSent(j.firstSentAt, j.admission.Route.Name, j.number)
	}
	if j.onSend != nil {
		j.onSend(j.attempts)
	}
}

// readAnswer reads the body of a reply of an endpoint to its end, which it judges, and closes the reply. The body is counted
// until the request ends. The error is a *model.Refusal or an *endpoint.Fault, as for an answer that was broken off.
func (j *job) readAnswer(ctx context.Context, reply *model.ForwardReply, e model.Endpoint) ([]byte, ending.Judgement, error) {
	defer reply.Close()
	return j.readBody(ctx, reply, e)
}

func (j *job) readBody(ctx context.Context, reply *model.ForwardReply, e model.Endpoint) ([]byte, ending.Judgement, error) {
	body, err := j.readCounted(ctx, reply, maxUnaryBytes+1)
	var full *model.Refusal
	switch {
	case errors.As(err, &full):
		return nil, ending.Judgement{}, full
	case err == nil && len(body) > maxUnaryBytes:
		return nil, ending.Judgement{}, &endpoint.Fault{Kind: endpoint.Mismatch, Verdict: model.MayHaveRun, Err: errAnswerTooLong}
	case err == nil:
		err = io.EOF
	}
	judgement := j.relay.judgeEnd(err, false, reply, e)
	switch {
	case judgement.End != ending.BrokenOff:
		return body, judgement, nil
	case judgement.Evidence != ending.ReadFailed:
		return nil, judgement, &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: errEndpointEnded}
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return nil, judgement, &endpoint.Fault{Kind: endpoint.Mismatch, Verdict: model.MayHaveRun, Err: errAnswerUnfinished}
	default:
		return nil, judgement, &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: err}
	}
}

// acceptResult reports whether a result is an answer for the caller. It records what the result shows about the
// endpoint.
func (j *job) acceptResult(p *pool, res *unaryResult) bool {
	now := j.relay.now()
	if res.throughNode {
		return j.acceptNodeResult(res)
	}
	j.recordAdmitted(p, res)
	if res.err != nil {
		j.recordFault(p, res.endpoint, asFault(res.err))
		return false
	}
	p.recordLoad(now, res.endpoint.Incarnation(), res.reply.Statement.Load)
	kind := kindOfReply(res.reply, j.admission.Route.Kind)
	j.mayHaveRun = j.mayHaveRun || kind != refusalReply
	switch kind {
	case refusalReply:
		j.relay.logFailedAttempt(j.forward, res.endpoint, j.attempts, model.RetryNotRun, notRunError(res.reply.Status))
		return false
	case invalidReply:
		res.err = invalidReplyFault(res.reply)
		j.recordFault(p, res.endpoint, asFault(res.err))
		return false
	case failureReply:
		p.recordFailure(now, res.endpoint.Incarnation())
		return false
	}
	p.recordSuccess(res.endpoint.Incarnation())
	j.recordPace(now, p, res)
	return true
}

// invalidReplyFault returns the fault of an endpoint whose reply may not reach the caller.
func invalidReplyFault(reply *model.ForwardReply) *endpoint.Fault {
	text := "without the endpoint's signature"
	if reply.ClaimsNotRun() {
		text = "without the endpoint's statement that the request has not run"
	}
	return &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.Errorf("relay: answer with status %d %s", reply.Status, text)}
}

// notRunError says with which status an endpoint stated that it did not run a request.
func notRunError(status int) error {
	return errors.Errorf("relay: endpoint answered with status %d as not run", status)
}

// recordPace records what a successful response tells of the speed of its endpoint.
func (j *job) recordPace(now time.Time, p *pool, res *unaryResult) {
	if load := res.reply.Statement.Load; load != nil && j.relay.statesContention(p.name) {
		p.recordPace(now, res.endpoint.Incarnation(), pace.Response{Kind: j.admission.Route.Name, Elapsed: res.elapsed, Waited: true, Load: *load})
	}
}

// writeAnswer writes an answer all of which was read to the caller.
func (j *job) writeAnswer(res unaryResult) Outcome {
	err := j.responder.writeWhole(res.reply, res.body, res.ending.End)
	return Outcome{
		Status: res.reply.Status, Complete: err == nil, Endpoint: res.endpoint.Name, Attempts: j.attempts,
		Framing: res.reply.Framing, End: res.ending.End, Evidence: res.ending.Evidence,
	}
}

// finishFailed ends a request of which all attempts failed: with an endpoint's own signed failure if there is one, or
// with a refusal.
func (j *job) finishFailed(ctx context.Context, failure *unaryResult, last unaryResult) Outcome {
	if ctx.Err() != nil {
		return j.refuseContextDone(ctx)
	}
	if failure != nil {
		return j.writeAnswer(*failure)
	}
	var refusal *model.Refusal
	if errors.As(last.err, &refusal) {
		if j.mayHaveRun {
			refusal = refusal.WithVerdict(model.MayHaveRun)
		}
		return Outcome{Refusal: refusal, Attempts: j.attempts}
	}
	if !j.mayHaveRun {
		return j.refuseEndpointRefused("no endpoint took the request")
	}
	return j.refuse(model.MayHaveRun, model.StageFailed, "the endpoint failed")
}

// refuseContextDone refuses a request that has timed out, whose caller has disconnected, or that is served by a node that
// stops.
func (j *job) refuseContextDone(ctx context.Context) Outcome {
	verdict := j.verdict()
	if j.attempts > 0 || j.atNode {
		verdict = model.MayHaveRun
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return j.refuse(verdict, model.StageTimeout, "the time is up")
	case errors.Is(cause, ErrStopped):
		return j.refuse(verdict, model.Draining, "the node has stopped")
	}
	return j.refuse(verdict, model.CallerGone, "the caller went away")
}

// allowedEndpoints returns the endpoints of the request's pool that may serve the request: those in its regions and of the
// version that its stream is bound to.
func (j *job) allowedEndpoints() []model.Endpoint {
	return j.beginnable(j.admission.Endpoints(j.relay.Registry()))
}

// refuseNoEndpoint refuses a request that may not be sent to any endpoint now.
func (j *job) refuseNoEndpoint(verdict model.Verdict) Outcome {
	r := j.relay
	if len(j.unreached) > 0 || r.paths.Lost(j.admission.Pool) {
		return Outcome{Refusal: kernel.RefuseUnreachable(j.admission.Pool).WithVerdict(verdict), Attempts: j.attempts}
	}
	if refusal := kernel.AdmitPools(r.now(), r.Registry(), j.forward, j.admission); refusal != nil {
		return Outcome{Refusal: refusal.WithVerdict(verdict), Attempts: j.attempts}
	}
	if r.hasRefusalCaps(j.admission.Pool) {
		return Outcome{Refusal: kernel.RefuseRefusalCapped(j.admission.Pool).WithVerdict(verdict), Attempts: j.attempts}
	}
	reason, detail := model.NoEndpoint, "no endpoint is known"
	if refusal := r.admitRateCaps(j.admission); refusal != nil {
		return Outcome{Refusal: refusal.WithVerdict(verdict), Attempts: j.attempts}
	}
	if refusal := r.refuseRateCaps(j.admission); refusal != nil && j.permitDenied {
		return Outcome{Refusal: refusal.WithVerdict(verdict), Attempts: j.attempts}
	}
	if kernel.AnyCold(r.now(), j.allowedEndpoints()) {
		reason, detail = model.EndpointsCold, "the endpoints are cold and bear no more now"
	}
	return j.refuse(verdict, reason, detail)
}

// refuseEndpointRefused refuses a request that no endpoint took. Where the last refusals have left no endpoint to ask, the
// caller learns when there is one.
func (j *job) refuseEndpointRefused(detail string) Outcome {
	if len(j.unreached) > 0 && j.attempts == 0 {
		return j.refuseNoEndpoint(model.NotRun)
	}
	outcome := j.refuse(model.NotRun, model.EndpointRefused, detail)
	if refusal := kernel.AdmitPools(j.relay.now(), j.relay.Registry(), j.forward, j.admission); refusal != nil {
		outcome.Refusal.RetryAfter = refusal.RetryAfter
	}
	return outcome
}

func (j *job) refuse(verdict model.Verdict, reason model.Reason, detail string) Outcome {
	retryAfter := time.Duration(0)
	if verdict == model.NotRun {
		retryAfter = kernel.ClampRetryAfter(refusalRetryAfter)
	}
	refusal := model.NewRefusal(verdict, reason, retryAfter, detail)
	return Outcome{Refusal: refusal, Attempts: j.attempts}
}

// asFault returns err as an endpoint fault. After an error of an unknown kind, the request may have run.
func asFault(err error) *endpoint.Fault {
	var fault *endpoint.Fault
	if errors.As(err, &fault) {
		return fault
	}
	var refusal *model.Refusal
	if errors.As(err, &refusal) {
		return &endpoint.Fault{Kind: endpoint.Cancelled, Verdict: refusal.Verdict, Err: err}
	}
	return &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: err}
}
