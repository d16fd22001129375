package relay

import (
	"slices"

	"basilstall.example/basilstall/kernel"
)

func (s *stageRun) holdResults(stage int, made []kernel.ResultRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(made) > 0 {
		s.held[stage] = append(s.held[stage], made...)
	}
}

// crowding tells whether what a stage is made from lies where room is scarce.
func (j *job) inputRoomScarce(run *stageRun, stage int) bool {
	if !j.relay.options.Policy.Uses(kernel.FreeInputsOnceFetched) {
		return false
	}
	return slices.ContainsFunc(run.stages[stage].After, func(before int) bool { return run.roomScarce(before) })
}

// scarce tells whether the room where a stage's results lie is scarce.
func (s *stageRun) roomScarce(stage int) bool {
	return s.relay.batchers.lastEstimate(s.queueName(stage)).Scarce()
}

// handleFirstEvent gives the engine's inputs up where nothing is likely to need them again: no other engine
// may be asked, or their room is scarce. Held for the length of a stream they would take several times
// the room; the price is that a stream that breaks off can't go on at another engine. Its caller is served
// as soon by asking again.
func (j *job) handleFirstEvent(run *stageRun) {
	early := j.relay.options.Policy.Uses(kernel.FreeInputsAtFirstEvent) && slices.ContainsFunc(run.plan.FinalStages, run.roomScarce)
	if j.admission.Route.Resumable && !early {
		return
	}
	run.inputsReleased = len(run.plan.FinalStages) > 0
	run.releaseAll()
}

// isSoleConsumer tells whether no other stage needs what a stage is made from.
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

// forgetInputs notes that what a stage was made from was freed by its batcher.
func (s *stageRun) forgetInputs(stage int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, before := range s.stages[stage].After {
		delete(s.held, before)
	}
}

// releaseConsumed frees the results of stages whose followers are all done.
func (s *stageRun) releaseConsumed() {
	for i := range s.stages {
		if _, done := s.results[i]; done && !slices.Contains(s.plan.FinalStages, i) && s.isConsumed(i) {
			s.releaseStage(i)
		}
	}
}

// consumed tells whether all stages that follow one are done.
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

// release frees all results that are still held; it may be called again.
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

// drain frees what stages still make for a request that was given up.
func (s *stageRun) drain(done <-chan stageResult, running int) {
	for range running {
		d := <-done
		s.holdResults(d.stage, d.results)
	}
	s.releaseAll()
}
