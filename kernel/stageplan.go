package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// typicalBatchShare is the share of a full batch that a call is taken to hold while no piece has
	// to wait; calls of a pool with a queue are full.
	typicalBatchShare = 0.4
	// minQueueWait is the wait from which on a pool counts as having a queue: more than the spacing
	// of its calls.
	minQueueWait = 60 * time.Millisecond
	// lateRefusalWait is the wait at a pool above which late work is refused: with less, what comes
	// late takes little from what does not.
	lateRefusalWait = 200 * time.Millisecond
	// planMargin is by how much a plan is stretched before it is held against the objective: it
	// adds up usual times, and of what is planned for the last moment half comes late.
	planMargin = 1.15
	// firstEventMargin is taken off an objective: the way back to the caller and the lag of
	// timers.
	firstEventMargin = 15 * time.Millisecond
)

type (
	// StagePlan says by when each stage of a request must be done. It is immutable.
	StagePlan struct {
		// Due is by when each stage's results must be there for the answer to be on time, Until
		// by when for it to come at all.
		Due   []time.Time
		Until []time.Time
		// Last lists the stages with pieces that no other stage follows: their results are the
		// request's inputs.
		FinalStages []int
		// Expected is how long all stages and the first event should take from now.
		Expected time.Duration
	}

	// PoolEstimate is what a node expects of a pool: how long pieces wait and which share of the
	// room is taken, by the newest report of its batcher.
	PoolEstimate struct {
		Traits    model.PieceTraits
		Wait      time.Duration
		RoomTaken float64
	}
)

// FullCall is how long a full call of the pool takes, as stated.
func (e PoolEstimate) FullCall() time.Duration {
	return e.Traits.CallTime + time.Duration(e.Traits.Batch)*e.Traits.PieceTime
}

// Queued tells whether the pieces of a pool wait.
func (e PoolEstimate) Queued() bool {
	return e.Wait > minQueueWait
}

// PlanStages plans the stages of a request by when it was received. The estimates have an entry
// for each stage; firstEvent is how long the engine takes to the first event.
func PlanStages(f model.Forward, a Admission, estimates []PoolEstimate, firstEvent time.Duration) StagePlan {
	stages := a.Route.Stages
	plan := StagePlan{Due: make([]time.Time, len(stages)), Until: make([]time.Time, len(stages))}
	rest := make([]time.Duration, len(stages))
	followed := make([]bool, len(stages))
	for i := range rest {
		rest[i] = firstEvent
	}
	for i := len(stages) - 1; i >= 0; i-- {
		own := time.Duration(0)
		if PieceCount(f, i) > 0 {
			own = stageTime(estimates[i])
		}
		for _, before := range stages[i].After {
			rest[before] = max(rest[before], rest[i]+own)
			followed[before] = followed[before] || PieceCount(f, i) > 0
		}
		plan.Expected = max(plan.Expected, rest[i]+own)
	}
	plan.Expected = max(plan.Expected, firstEvent)
	due := f.AskedAt().Add(a.Route.Objective - firstEventMargin)
	for i := range stages {
		plan.Due[i] = due.Add(-rest[i])
		plan.Until[i] = a.Deadline.Add(-rest[i])
		if !followed[i] && PieceCount(f, i) > 0 {
			plan.FinalStages = append(plan.FinalStages, i)
		}
	}
	return plan
}

// PieceCount returns how many pieces a stage of a request has.
func PieceCount(f model.Forward, stage int) int {
	if stage >= len(f.Pieces) {
		return 0
	}
	return f.Pieces[stage]
}

func stageTime(e PoolEstimate) time.Duration {
	pieces := time.Duration(max(1, int(typicalBatchShare*float64(e.Traits.Batch))))
	if e.Wait > minQueueWait {
		pieces = time.Duration(e.Traits.Batch)
	}
	return e.Wait + e.Traits.CallTime + pieces*e.Traits.PieceTime
}

// MostCommonDomain returns the failure domain where most of the results lie; empty for none.
func MostCommonDomain(made []ResultRef) string {
	counts := map[string]int{}
	best := ""
	for _, m := range made {
		counts[m.Domain]++
		if counts[m.Domain] > counts[best] || best == "" {
			best = m.Domain
		}
	}
	return best
}

// AdmitStages refuses a request whose stages can't be done in time, before its first piece: what
// would come late takes room and calls from what would not. The time to come back is when the
// queues will have drained.
func AdmitStages(now time.Time, f model.Forward, a Admission, plan StagePlan, estimates []PoolEstimate) *model.Refusal {
	var wait time.Duration
	for i, e := range estimates {
		if PieceCount(f, i) > 0 {
			wait += e.Wait
		}
	}
	late := now.Add(time.Duration(planMargin * float64(plan.Expected))).After(f.AskedAt().Add(a.Route.Objective))
	hopeless := now.Add(plan.Expected).After(a.Deadline)
	if hopeless || (late && wait > lateRefusalWait) {
		return model.NewRefusal(model.NotRun, model.StageLate, ClampRetryAfter(wait), "the stages would be late")
	}
	return nil
}
