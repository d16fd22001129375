package relay

import (
	"context"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
)

// retryStream decides whether another engine is asked, and restores its inputs.
func (j *job) retryStream(ctx context.Context, p *pool, state *streamState, stages *stageRun, end streamEnd) (again bool, refusal *model.Refusal) {
	if !j.streamAgain(p, state, end) {
		return false, nil
	}
	refusal = j.restoreInputs(ctx, stages, end)
	return refusal == nil, refusal
}

// streamAgain decides whether another engine is asked.
func (j *job) streamAgain(p *pool, state *streamState, end streamEnd) bool {
	var refusal *model.Refusal
	if errors.As(end.err, &refusal) {
		return false
	}
	reason := model.RetryNotRun
	if end.err != nil {
		fault := asFault(end.err)
		reason = fault.RetryReason()
		if fault.Verdict == model.NotRun {
			j.asked--
		}
	} else if end.reply != nil && end.reply.Misdirected {
		j.asked--
	}
	if j.mayHaveRun && !j.admission.Route.Resumable {
		return false
	}
	if state.begun && state.events.last == "" {
		return false
	}
	if j.asked >= j.admission.Route.MaxAttempts || !p.takeRepeat(j.relay.now(), j.relay.live()) {
		return false
	}
	if state.begun {
		reason = model.RetryResume
	}
	j.relay.metrics.Retried(reason, p.name)
	return true
}

// restoreInputs makes the engine's inputs again where they were given up or an engine found them gone.
func (j *job) restoreInputs(ctx context.Context, stages *stageRun, end streamEnd) *model.Refusal {
	gone := end.reply != nil && end.reply.InputsGone
	if len(stages.plan.Last) == 0 || (!stages.released && !gone && !stages.stale()) {
		return nil
	}
	return j.remakeInputs(ctx, stages)
}
