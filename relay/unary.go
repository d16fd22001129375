package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// maxUnaryBytes bounds a unary answer, which is held until it is whole.
	maxUnaryBytes = 8 << 20
	// hedgeDelayShare is the share of the objective after which a safe request without an answer is
	// sent to a second endpoint.
	hedgeDelayShare = 0.6
	// refusalRetryAfter is when a caller may come back whose request found no free endpoint.
	refusalRetryAfter = 150 * time.Millisecond
)

var (
	errAnswerTooLong = errors.New("relay: the answer is too long")
	errPanic         = errors.New("relay: panic")
)

type (
	// job is one request on its way. It belongs to the goroutine that serves it.
	job struct {
		relay     *Relay
		forward   model.Forward
		admission kernel.Admission
		responder Responder
		startedAt time.Time
		// asked counts the endpoints that the request was sent to.
		attempts int
		excluded []string
		// mayHaveRun is true once the evidence no longer excludes that the request runs.
		mayHaveRun bool
		// permitUntil is until when the permit of another node holds with which the endpoint was chosen; zero for none.
		permitUntil time.Time
		// trial is true for a request that is held back and was permitted to run once.
		trial      bool
		stageTimes []StageTiming
		// estimates is what was expected of the stages' pools as the request came.
		estimates []StageEstimate
	}

	// unaryResult is how one send of a unary request ended.
	unaryResult struct {
		endpoint model.Endpoint
		reply    *model.ForwardReply
		body     []byte
		err      error
	}
)

// unary serves a request whose answer is passed on once it is whole.
func (j *job) serveUnary(ctx context.Context) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := j.relay.pool(j.admission.Pool)
	p.recordRequest(j.relay.now())
	results := make(chan unaryResult, j.admission.Route.MaxAttempts+1)
	if !j.startAttempt(ctx, p, results) {
		return j.refuseNoEndpoint(model.NotRun)
	}
	running := 1
	hedge := time.NewTimer(time.Duration(hedgeDelayShare * float64(j.admission.Route.Objective)))
	defer hedge.Stop()
	var failure *unaryResult
	for {
		select {
		case res := <-results:
			running--
			if j.acceptResult(p, &res) {
				return j.writeAnswer(res)
			}
			failure = lastFailure(failure, res)
			if j.allowRetry(ctx, p, res) && j.startAttempt(ctx, p, results) {
				running++
			}
			if running == 0 {
				return j.finishFailed(ctx, failure, res)
			}
		case <-hedge.C:
			if j.startHedge(ctx, p, results) {
				running++
			}
		case <-ctx.Done():
			return j.refuseContextDone(ctx)
		}
	}
}

// lastFailure returns the newest failure that an endpoint itself answered with.
func lastFailure(before *unaryResult, res unaryResult) *unaryResult {
	if res.err == nil && !res.reply.NotRun {
		return &res
	}
	return before
}

// launch sends the request to one more endpoint.
func (j *job) startAttempt(ctx context.Context, p *pool, results chan<- unaryResult) bool {
	r := j.relay
	e, ok := j.chooseEndpoint(ctx, p, func(now time.Time, g sendLimits) (choice, bool) {
		return p.pick(now, j.allowedEndpoints(), g, r.options.Domain, j.excluded)
	}, func(e model.Endpoint) { p.release(e.Incarnation()) })
	if !ok {
		return false
	}
	j.excluded = append(j.excluded, e.Incarnation())
	j.attempts++
	send := j.newSend(e, j.attempts > 1)
	go func() {
		defer p.release(e.Incarnation())
		res := unaryResult{endpoint: e}
		defer r.recoverPanic(func() {
			res.err = errPanic
			results <- res
		})
		ctx, over := r.trackCall(ctx, e, j.forward.Digest)
		defer over()
		res.reply, res.err = r.forward(ctx, send)
		if res.err == nil {
			res.body, res.err = readAnswer(res.reply)
		}
		results <- res
	}()
	return true
}

// readAnswer reads an answer to its end. The reply is closed.
func readAnswer(reply *model.ForwardReply) ([]byte, error) {
	defer reply.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxUnaryBytes+1))
	if err != nil {
		return nil, &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: err}
	}
	if len(body) > maxUnaryBytes {
		return nil, &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errAnswerTooLong}
	}
	return body, nil
}

// good tells whether a result is the answer to pass on; it notes what the result shows of its
// endpoint.
func (j *job) acceptResult(p *pool, res *unaryResult) bool {
	now := j.relay.now()
	if res.err != nil {
		j.recordFault(p, res.endpoint, asFault(res.err))
		return false
	}
	p.recordLoad(now, res.endpoint.Incarnation(), res.reply.Load)
	if res.reply.NotRun {
		return false
	}
	j.mayHaveRun = true
	if !res.reply.Authentic && res.reply.Status < http.StatusMultipleChoices {
		// A success that the endpoint did not sign is not its answer.
		p.recordFailure(now, res.endpoint.Incarnation())
		res.err = &endpoint.Fault{Kind: endpoint.Status, Verdict: model.MayHaveRun, Err: errors.New("relay: the answer is not signed")}
		return false
	}
	if res.reply.Status >= http.StatusInternalServerError {
		p.recordFailure(now, res.endpoint.Incarnation())
		return false
	}
	p.recordSuccess(res.endpoint.Incarnation())
	return true
}

// pass hands a whole answer to the caller.
func (j *job) writeAnswer(res unaryResult) Outcome {
	header := res.reply.Header
	header.Set("Content-Length", strconv.Itoa(len(res.body)))
	j.responder.Begin(res.reply.Status, header)
	err := j.responder.Write(res.body)
	return Outcome{Status: res.reply.Status, Complete: err == nil, Endpoint: res.endpoint.Name, Attempts: j.attempts}
}

// finishFailed ends a request whose sends all failed: with the failure that an endpoint itself gave,
// or with a refusal.
func (j *job) finishFailed(ctx context.Context, failure *unaryResult, last unaryResult) Outcome {
	if ctx.Err() != nil {
		return j.refuseContextDone(ctx)
	}
	if failure != nil && failure.reply.Authentic {
		return j.writeAnswer(*failure)
	}
	var refusal *model.Refusal
	if errors.As(last.err, &refusal) {
		return Outcome{Refusal: refusal, Attempts: j.attempts}
	}
	if !j.mayHaveRun {
		return j.refuse(model.NotRun, model.EndpointRefused, "no endpoint took the request")
	}
	return j.refuse(model.MayHaveRun, model.StageFailed, "the endpoint failed")
}

// ended ends a request whose time is up or whose caller left.
func (j *job) refuseContextDone(ctx context.Context) Outcome {
	verdict := model.NotRun
	if j.attempts > 0 {
		verdict = model.MayHaveRun
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return j.refuse(verdict, model.StageTimeout, "the time is up")
	}
	return j.refuse(verdict, model.CallerGone, "the caller went away")
}

// allowedEndpoints returns the endpoints of the request's pool in the regions where it may be served.
func (j *job) allowedEndpoints() []model.Endpoint {
	return j.admission.Regions.AllowedEndpoints(j.relay.Registry().Endpoints(j.admission.Pool))
}

// refuseNoEndpoint refuses a request that no endpoint may get now.
func (j *job) refuseNoEndpoint(verdict model.Verdict) Outcome {
	r := j.relay
	if refusal := kernel.AdmitPools(r.Registry(), j.forward, j.admission); refusal != nil {
		return Outcome{Refusal: refusal.WithVerdict(verdict), Attempts: j.attempts}
	}
	reason, detail := model.NoEndpoint, "no endpoint is known"
	if refusal := r.admitRateCaps(j.admission); refusal != nil {
		return Outcome{Refusal: refusal.WithVerdict(verdict), Attempts: j.attempts}
	}
	if kernel.AnyCold(r.now(), j.allowedEndpoints()) {
		reason, detail = model.EndpointsCold, "the endpoints are cold and bear no more now"
	}
	return j.refuse(verdict, reason, detail)
}

func (j *job) refuse(verdict model.Verdict, reason model.Reason, detail string) Outcome {
	retry := time.Duration(0)
	if verdict == model.NotRun {
		retry = kernel.ClampRetryAfter(refusalRetryAfter)
	}
	refusal := model.NewRefusal(verdict, reason, retry, detail)
	return Outcome{Refusal: refusal, Attempts: j.attempts}
}

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
