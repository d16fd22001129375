package relay

import (
	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
)

// allowStreamRetry reports whether another engine may be tried, and counts the retry.
func (j *job) allowStreamRetry(p *pool, state *streamState, run *stageRun, result streamResult) bool {
	var refusal *model.Refusal
	if errors.As(result.err, &refusal) {
		return j.triesOwnPath(p, refusal)
	}
	lost := j.forNode == "" && j.sendsThroughNode(p)
	if !lost && (run.inputsReleased || (result.reply != nil && result.reply.InputsGone)) {
		// The inputs are gone for any other engine as well. Another node makes them anew.
		return false
	}
	reason := model.RetryNotRun
	if result.err != nil {
		fault := asFault(result.err)
		reason = fault.RetryReason()
		if fault.Verdict == model.NotRun {
			j.attempts--
		}
	} else if result.reply != nil && result.reply.Misdirected {
		j.attempts--
	}
	if j.mayHaveRun && !j.admission.Route.Resumable {
		return false
	}
	if state.headerSent && (state.splitter.lastID == "" || !j.admission.Bound) {
		// Nobody knows after which event, or at which version, the stream has to go on.
		return false
	}
	if j.isFirstSend(result.err) {
		return true
	}
	if j.attempts >= j.admission.Route.MaxAttempts || !j.takeRetry(p, result.err) {
		return false
	}
	if state.headerSent {
		reason = model.RetryResume
	}
	j.relay.metrics.CountRetry(reason, p.name)
	return true
}
