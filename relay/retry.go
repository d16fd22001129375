package relay

import (
	"context"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"github.com/go-faster/errors"
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
	if fault.Kind == endpoint.Refused {
		p.recordUnreachable(j.relay.now(), e.Incarnation())
	} else {
		p.recordFailure(j.relay.now(), e.Incarnation())
	}
	j.relay.logFailedAttempt(j.forward, e, j.attempts, fault.RetryReason(), fault)
	if fault.Verdict != model.NotRun && fault.Kind == endpoint.Cut {
		j.relay.recordDisconnect(e, j.forward.Digest)
	}
}

// allowRetry reports whether the request may be sent to another endpoint after a failed attempt, and counts the retry.
func (j *job) allowRetry(ctx context.Context, p *pool, res unaryResult) bool {
	if ctx.Err() != nil {
		return false
	}
	reason := model.RetryStatus
	var refusal *model.Refusal
	if errors.As(res.err, &refusal) {
		return false
	}
	if res.err != nil {
		fault := asFault(res.err)
		reason = fault.RetryReason()
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
	if j.attempts >= j.admission.Route.MaxAttempts || !j.takeRetry(p, res.err) {
		return false
	}
	j.relay.metrics.CountRetry(reason, p.name)
	return true
}

// takeRetry takes a retry from the pool's budget, after an attempt that ended with err, or nil. A withdrawn attempt was
// never sent, so the next one is not a retry.
func (j *job) takeRetry(p *pool, err error) bool {
	if err != nil && asFault(err).Kind == endpoint.Withdrawn {
		return true
	}
	return p.takeRetry(j.relay.now(), j.relay.fleetSize())
}

// startHedge sends a safe request to one more endpoint while another one may be running it.
func (j *job) startHedge(ctx context.Context, p *pool, results chan<- unaryResult) bool {
	if j.admission.Route.Kind != model.Safe || !j.relay.options.Policy.Uses(kernel.HedgedReads) || j.attempts >= j.admission.Route.MaxAttempts {
		return false
	}
	if !j.takeRetry(p, nil) || !j.startAttempt(ctx, p, results) {
		return false
	}
	j.relay.metrics.CountRetry(model.RetryHedge, p.name)
	return true
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
	chosenAt, permitUntil := j.relay.now(), j.permitUntil
	send.BeforeSend = func() error {
		refusal := kernel.RecheckAdmission(j.relay.now(), j.relay.View(), j.relay.options.MaxRoutingAge, j.forward, j.admission)
		if refusal == nil && !j.trial {
			refusal = j.relay.quarantine.Check(j.forward.Digest)
		}
		expired := !permitUntil.IsZero() && j.relay.now().After(permitUntil)
		if refusal == nil && (expired || !j.relay.Registry().Accepts(j.relay.now(), e) || j.relay.rateCaps.View(e.Incarnation()).StatedAfter(chosenAt)) {
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
