package relay

import (
	"context"
	"slices"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// lacksInputs tells whether a stage failed for want of what it is made from: it is gone, or was freed
// before its call failed.
func (d stageDone) lacksInputs() bool {
	return d.time.Fault == model.PieceInputGone || (d.inputsFreed && d.time.Fault != model.PieceLate)
}

// remake puts a stage back to be carried out again with all that it follows, whose results were given
// up when they had been used. Once for a request: it costs as much as the request did so far, and
// what is lost twice is lost for a reason that a third time does not mend.
func (j *job) remake(run *stageRun, stage int) bool {
	if run.remade || !j.relay.options.Policy.Uses(kernel.InputsRemade) {
		return false
	}
	run.remade = true
	run.putBack(stage)
	j.relay.metrics.Event("StagesRemade")
	return true
}

// remakeInputs makes the engine's inputs once more for a stream that goes on at another engine.
func (j *job) remakeInputs(ctx context.Context, run *stageRun) *model.Refusal {
	if !run.remade && j.relay.options.Policy.Uses(kernel.InputsRemade) {
		run.remade = true
		for _, stage := range run.plan.Last {
			run.putBack(stage)
		}
		run.released = false
		j.relay.metrics.Event("StagesRemade")
		return j.carryOut(ctx, run)
	}
	return model.NewRefusal(j.verdict(), model.StageFailed, kernel.RetryAfter(refusedRetry), "the inputs were given up")
}

func (s *stageRun) putBack(stage int) {
	delete(s.results, stage)
	delete(s.started, stage)
	for _, before := range s.stages[stage].After {
		s.putBack(before)
	}
}

// firstEvent gives the engine's inputs up where nothing is likely to need them again: no other engine
// may be asked, or their room is scarce. Held for the length of a stream they would take several times
// the room; the price is that a stream that breaks off waits for them to be made again.
func (j *job) firstEvent(run *stageRun) {
	early := j.relay.options.Policy.Uses(kernel.ReleasedAtFirstEvent) && slices.ContainsFunc(run.plan.Last, run.scarce)
	if j.admission.Route.Resumable && !early {
		return
	}
	run.released = true
	run.release()
}
