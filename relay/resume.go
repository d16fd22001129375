package relay

import (
	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
)

// allowStreamRetry decides whether another engine is asked.
func (j *job) allowStreamRetry(p *pool, state *streamState, stages *stageRun, end streamResult) bool {
	var refusal *model.Refusal
	if errors.As(end.err, &refusal) {
		return false
	}
	if stages.inputsReleased || (end.reply != nil && end.reply.InputsGone) {
		// Another engine would find the inputs gone.
		return false
	}
	reason := model.RetryNotRun
	if end.err != nil {
		fault := asFault(end.err)
		reason = fault.RetryReason()
		if fault.Verdict == model.NotRun {
			j.attempts--
		}
	} else if end.reply != nil && end.reply.Misdirected {
		j.attempts--
	}
	if j.mayHaveRun && !j.admission.Route.Resumable {
		return false
	}
	if state.headerSent && state.splitter.lastID == "" {
		return false
	}
	if j.attempts >= j.admission.Route.MaxAttempts || !j.takeRetry(p, end.err) {
		return false
	}
	if state.headerSent {
		reason = model.RetryResume
	}
	j.relay.metrics.Retried(reason, p.name)
	return true
}
