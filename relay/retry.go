package relay

import (
	"context"
	"time"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/leaving"
	"basilstall.example/basilstall/model"
	"github.com/go-faster/errors"
)

const (
	// maxUnreached is how many endpoints are tried for a request that none could be sent to.
	maxUnreached = 3
	// minMismatchEjection is the shortest time for which an endpoint is passed over that sends bytes that are no answer: it
	// gets a few requests each ten seconds.
	minMismatchEjection = 3 * time.Second
)

var errWithdrawn = errors.New("relay: the endpoint may no longer get the request")

// recordFault records and logs what a failed attempt shows about the request and its endpoint.
func (j *job) recordFault(p *pool, e model.Endpoint, fault *endpoint.Fault) {
	if fault.Verdict != model.NotRun {
		j.mayHaveRun = true
	}
	if fault.Kind == endpoint.Cancelled || fault.Kind == endpoint.Withdrawn {
		return
	}
	switch fault.Kind {
	case endpoint.Refused:
		j.unreached = append(j.unreached, e.Incarnation())
		p.recordDecisiveFailure(j.relay.now(), e.Incarnation(), 0)
	case endpoint.Mismatch:
		// Recorded by recordMismatch.
	default:
		p.recordFailure(j.relay.now(), e.Incarnation())
	}
	j.relay.logFailedAttempt(j.forward, e, j.attempts, fault.RetryReason(), fault)
	if fault.Verdict != model.NotRun && fault.Kind == endpoint.Cut {
		j.cut = true
		j.relay.recordDisconnect(e, j.forward.Digests())
	}
}

// recordMismatch records an attempt that brought bytes but no answer, and was sent at sentAt. Unlike other faults it counts although the request is over,
// at its deadline or because its caller left: an endpoint that sends such bytes until then would get request after request.
func (r *Relay) recordMismatch(p *pool, e model.Endpoint, sentAt time.Time, err error) {
	if err == nil || asFault(err).Kind != endpoint.Mismatch {
		return
	}
	now := r.now()
	// The next call must not begin before others that were sent meanwhile have failed, too.
	p.recordDecisiveFailure(now, e.Incarnation(), max(minMismatchEjection, 2*now.Sub(sentAt)))
	r.metrics.CountEvent("EndpointAnswerInvalid")
	r.invalidLog.Warn().Str("Endpoint", e.Incarnation()).Str("Pool", e.Pool).Err(err).Msg("endpoint sends bytes that are no answer")
}

// allowRetry reports whether the request may be sent to another endpoint after a failed attempt, and counts the retry.
func (j *job) allowRetry(ctx context.Context, p *pool, res unaryResult) bool {
	if ctx.Err() != nil {
		return false
	}
	reason := model.RetryStatus
	var refusal *model.Refusal
	if errors.As(res.err, &refusal) {
		return j.triesOwnPath(p, refusal)
	}
	if res.err != nil {
		fault := asFault(res.err)
		reason = fault.RetryReason()
		if res.node != "" {
			reason = model.RetryNode
		}
		if fault.Verdict == model.NotRun {
			// Nothing was sent: this is not an attempt.
			j.attempts--
		}
	} else if res.reply.NotRun {
		reason = model.RetryNotRun
		if res.reply.Misdirected {
			j.attempts--
		}
	}
	if j.mayHaveRun && j.admission.Route.Kind == model.Unsafe {
		return false
	}
	if j.isFirstSend(res.err) {
		return true
	}
	if j.attempts >= j.admission.Route.MaxAttempts || !j.takeRetry(p, res.err) {
		return false
	}
	j.relay.metrics.CountRetry(reason, p.name)
	return true
}

// retry sends the request to another endpoint after a failed attempt, if that is allowed. It returns the number of attempts that
// it started, 0 or 1. A retry of the second attempt takes over its slot at the admitter.
func (j *job) retry(ctx context.Context, p *pool, res unaryResult, results chan<- unaryResult) int {
	wasHedge := j.hedgeTicket != nil && res.endpoint.Incarnation() == j.hedgeEndpoint
	chosen := len(j.excluded)
	if !j.allowRetry(ctx, p, res) || !j.startAttempt(ctx, p, results) {
		if wasHedge {
			j.endHedge()
		}
		return 0
	}
	if wasHedge && len(j.excluded) > chosen {
		j.hedgeEndpoint = j.excluded[len(j.excluded)-1]
	}
	return 1
}

// triesOwnPath reports whether this node sends the request itself after no other node did so: it reaches the pool again, or
// the endpoints may only be stalled. That happens once for each request.
func (j *job) triesOwnPath(p *pool, refusal *model.Refusal) bool {
	if refusal.Reason != model.EndpointsUnreachable || refusal.Verdict != model.NotRun || j.ownPathOnly {
		return false
	}
	j.ownPathOnly = j.relay.paths.Path(p.name).MayBeStalled(j.relay.now())
	if j.ownPathOnly {
		j.excluded, j.unreached = j.reachedEndpoints(), nil
	}
	return j.ownPathOnly
}

// sendsThroughNode reports whether another node is to send the request.
func (j *job) sendsThroughNode(p *pool) bool {
	return j.relay.paths.Lost(p.name) && !j.ownPathOnly
}

// isFirstSend reports whether the next attempt, after one that ended with err, is the first one from which an endpoint may
// get the request, because no connection could be opened before. It is no retry then.
func (j *job) isFirstSend(err error) bool {
	return err != nil && asFault(err).Kind == endpoint.Refused && j.attempts == 0 && len(j.unreached) < maxUnreached
}

// takeRetry takes a retry from the pool's budget, after an attempt that ended with err, or nil. A withdrawn attempt was
// never sent, so the next one is not a retry.
func (j *job) takeRetry(p *pool, err error) bool {
	if err != nil && asFault(err).Kind == endpoint.Withdrawn {
		return true
	}
	return p.takeRetry(j.relay.now(), j.relay.fleetSize())
}

// startHedge sends a safe request to one more endpoint while another one may be running it. It returns the number of
// attempts that it started, 0 or 1.
func (j *job) startHedge(ctx context.Context, p *pool, results chan<- unaryResult) int {
	if !j.mayHedge(p) || !j.takeRetry(p, nil) || !j.startAttempt(ctx, p, results) {
		return 0
	}
	j.relay.metrics.CountRetry(model.RetryHedge, p.name)
	return 1
}

// startAdmittedHedge is startHedge with a slot of the admitter, which is freed if no attempt is started.
func (j *job) startAdmittedHedge(ctx context.Context, p *pool, slot hedgeSlot, results chan<- unaryResult) int {
	j.hedgeTicket, j.assigned = slot.ticket, slot.incarnation
	chosen := len(j.excluded)
	started := j.startHedge(ctx, p, results)
	if started == 0 {
		j.assigned = ""
		j.endHedge()
	} else if len(j.excluded) > chosen {
		j.hedgeEndpoint = j.excluded[chosen]
	}
	return started
}

// mayHedge reports whether the request may be sent to a second endpoint while another one may be running it.
func (j *job) mayHedge(p *pool) bool {
	if j.atNode || j.throughNode != "" || j.sendsThroughNode(p) {
		// The node that sends the request sends it to a second endpoint, too.
		return false
	}
	return j.admission.Route.Kind == model.Safe && j.relay.options.Policy.Uses(kernel.HedgedReads) && j.attempts < j.admission.Route.MaxAttempts
}

// checkQuarantine returns a refusal if the request is held back, unless the next attempt is the one that is permitted as a
// trial: no endpoint may have run the request before.
func (j *job) checkQuarantine(retry bool) *model.Refusal {
	if j.runsOnTrial(retry) {
		return nil
	}
	return j.relay.quarantine.Check(j.forward.Digests())
}

func (j *job) runsOnTrial(retry bool) bool {
	// The first attempt at a safe request may still be running.
	return j.trial && (!retry || !j.mayHaveRun && j.admission.Route.Kind != model.Safe)
}

// newSend returns the Send for one attempt; retry is true if it is not the first. The Send's BeforeSend checks once
// more that the request is admitted and that the endpoint may get it.
func (j *job) newSend(e model.Endpoint, retry bool) Send {
	send := Send{
		Endpoint:        e,
		Forward:         j.forward,
		Customer:        j.admission.Customer,
		Until:           j.admission.Deadline,
		FreshConnection: j.admission.Route.Kind == model.Unsafe || (j.admission.Route.Kind == model.Stream && !j.admission.Route.Resumable),
	}
	chosenAt, permitUntil, onTrial := j.relay.now(), j.permitUntil, j.runsOnTrial(retry)
	send.BeforeSend = func() error {
		refusal := kernel.RecheckAdmission(j.relay.now(), j.relay.View(), j.relay.trust(), j.forward, j.admission)
		if refusal == nil && !retry {
			refusal = j.relay.admitWhileLeaving(j.admission, leaving.AtSend, j.callerStopsAt)
		}
		if refusal == nil && !onTrial {
			refusal = j.relay.quarantine.Check(j.forward.Digests())
		}
		expired := !permitUntil.IsZero() && j.relay.now().After(permitUntil)
		if refusal == nil && (expired || !j.relay.Registry().Accepts(j.relay.now(), e) || j.relay.rateCaps.View(e.Incarnation()).StatedAfter(chosenAt) || j.relay.refusalCaps.View(e.Incarnation()).StatedAfter(chosenAt)) {
			return &endpoint.Fault{Kind: endpoint.Withdrawn, Verdict: model.NotRun, Err: errWithdrawn}
		}
		if refusal == nil {
			return nil
		}
		if retry {
			return refusal.WithVerdict(model.MayHaveRun)
		}
		return refusal
	}
	return send
}
