package relay

import (
	"context"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"github.com/go-faster/errors"
)

var errWithdrawn = errors.New("relay: the endpoint takes no more work")

// noteFault notes what a failed send shows of the request and its endpoint.
func (j *job) noteFault(p *pool, e model.Endpoint, fault *endpoint.Fault) {
	if fault.Verdict != model.NotRun {
		j.mayHaveRun = true
	}
	if fault.Kind == endpoint.Cancelled || fault.Kind == endpoint.Withdrawn {
		return
	}
	if fault.Kind == endpoint.Refused {
		p.unreachable(j.relay.now(), e.Incarnation())
	} else {
		p.failed(j.relay.now(), e.Incarnation())
	}
	j.relay.logAttempt(j.forward, e, j.asked, fault.RetryReason(), fault)
	if fault.Verdict != model.NotRun && fault.Kind == endpoint.Cut {
		j.relay.brokeOff(e, j.forward.Digest)
	}
}

// again decides on one more send after a result that is not the answer, and counts it.
func (j *job) again(ctx context.Context, p *pool, res unaryResult) bool {
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
			// Nothing was sent: it does not count as asked.
			j.asked--
		}
	} else if res.reply.NotRun {
		reason = model.RetryNotRun
		if res.reply.Misdirected {
			j.asked--
		}
	}
	if j.mayHaveRun && j.admission.Route.Kind == model.Unsafe {
		return false
	}
	if j.asked >= j.admission.Route.MaxAttempts || !j.takeRepeat(p, res.err) {
		return false
	}
	j.relay.metrics.Retried(reason, p.name)
	return true
}

// takeRepeat takes one more send out of the budget, after one that ended with an error or none. A send that was withdrawn
// never arrived anywhere, so the next one is no repeat.
func (j *job) takeRepeat(p *pool, err error) bool {
	if err != nil && asFault(err).Kind == endpoint.Withdrawn {
		return true
	}
	return p.takeRepeat(j.relay.now(), j.relay.live())
}

// hedge sends a safe request to one more endpoint beside one that may be running it.
func (j *job) hedge(ctx context.Context, p *pool, results chan<- unaryResult) bool {
	if j.admission.Route.Kind != model.Safe || !j.relay.options.Policy.Uses(kernel.HedgedReads) || j.asked >= j.admission.Route.MaxAttempts {
		return false
	}
	if !j.takeRepeat(p, nil) || !j.launch(ctx, p, results) {
		return false
	}
	j.relay.metrics.Retried(model.RetryHedge, p.name)
	return true
}

// send prepares one send. Before the first, the request's admission is looked at once more.
func (j *job) send(e model.Endpoint, again bool) Send {
	send := Send{
		Endpoint: e,
		Forward:  j.forward,
		Customer: j.admission.Customer,
		Until:    j.admission.Deadline,
		Fresh:    j.admission.Route.Kind == model.Unsafe || (j.admission.Route.Kind == model.Stream && !j.admission.Route.Resumable),
	}
	pickedAt, permitUntil := j.relay.now(), j.permitUntil
	send.BeforeSend = func() error {
		refusal := kernel.RecheckAdmission(j.relay.now(), j.relay.View(), j.relay.options.KeyTrust, j.forward, j.admission)
		if refusal == nil && !j.trial {
			refusal = j.relay.quarantine.Check(j.forward.Digest)
		}
		expired := !permitUntil.IsZero() && j.relay.now().After(permitUntil)
		if refusal == nil && (expired || !j.relay.Registry().TakesWork(e) || j.relay.rateCaps.View(e.Incarnation()).StatedAfter(pickedAt)) {
			return &endpoint.Fault{Kind: endpoint.Withdrawn, Verdict: model.NotRun, Err: errWithdrawn}
		}
		if refusal == nil {
			return nil
		}
		if again {
			return refusal.WithVerdict(model.MayHaveRun)
		}
		return refusal
	}
	return send
}
