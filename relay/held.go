package relay

import (
	"slices"

	"basilstall.example/basilstall/kernel"
)

// holdResults adds results to those held for a stage.
func (s *stageRun) holdResults(stage int, made []kernel.ResultRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(made) > 0 {
		s.held[stage] = append(s.held[stage], made...)
	}
}

// inputRoomScarce reports whether room is scarce where the inputs of a stage are held, so that they should be freed as
// soon as they have been fetched.
func (j *job) inputRoomScarce(run *stageRun, stage int) bool {
	if !j.relay.options.Policy.Uses(kernel.FreeInputsOnceFetched) {
		return false
	}
	return slices.ContainsFunc(run.stages[stage].After, func(before int) bool { return run.roomScarce(before) })
}

// roomScarce reports whether room is scarce in the pool that holds a stage's results.
func (s *stageRun) roomScarce(stage int) bool {
	return s.relay.batchers.lastEstimate(s.queueName(stage)).Scarce()
}

// handleFirstEvent frees the engine's inputs at the first event of its stream, if the stream cannot be resumed at
// another engine or if room is scarce. Held for the length of the stream, they would take several times the room. The
// cost is that a stream that breaks off cannot be resumed: its caller has to retry, which takes no longer.
func (j *job) handleFirstEvent(run *stageRun) {
	early := j.relay.options.Policy.Uses(kernel.FreeInputsAtFirstEvent) && slices.ContainsFunc(run.plan.FinalStages, run.roomScarce)
	if j.admission.Route.Resumable && !early {
		return
	}
	run.inputsReleased = len(run.plan.FinalStages) > 0
	run.releaseAll()
}

// isSoleConsumer reports whether no other stage needs any of the inputs of a stage.
func (s *stageRun) isSoleConsumer(stage int) bool {
	for _, before := range s.stages[stage].After {
		for k, other := range s.stages {
			if k != stage && slices.Contains(other.After, before) {
				return false
			}
		}
	}
	return true
}

// forgetInputs records that the batcher has freed the inputs of a stage.
func (s *stageRun) forgetInputs(stage int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, before := range s.stages[stage].After {
		delete(s.held, before)
	}
}

// releaseConsumed frees the results that no unfinished stage and no engine needs.
func (s *stageRun) releaseConsumed() {
	for i := range s.stages {
		if _, done := s.results[i]; done && !slices.Contains(s.plan.FinalStages, i) && s.isConsumed(i) {
			s.releaseStage(i)
		}
	}
}

// isConsumed reports whether all stages that follow a stage are done.
func (s *stageRun) isConsumed(stage int) bool {
	for k, follower := range s.stages {
		if _, done := s.results[k]; !done && slices.Contains(follower.After, stage) {
			return false
		}
	}
	return true
}

func (s *stageRun) releaseStage(stage int) {
	s.mu.Lock()
	made := s.held[stage]
	delete(s.held, stage)
	s.mu.Unlock()
	if len(made) > 0 {
		s.relay.releaseResults(made)
	}
}

// releaseAll frees all results that are still held. It may be called more than once.
func (s *stageRun) releaseAll() {
	s.mu.Lock()
	var stages []int
	for stage := range s.held {
		stages = append(stages, stage)
	}
	s.mu.Unlock()
	for _, stage := range stages {
		s.releaseStage(stage)
	}
}

// drain waits for the stages of an abandoned request that still run, and frees all results.
func (s *stageRun) drain(done <-chan stageResult, running int) {
	for range running {
		d := <-done
		s.holdResults(d.stage, d.results)
	}
	s.releaseAll()
}
