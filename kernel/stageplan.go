package kernel

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilstall.example/basilstall/model"
)

const (
	// typicalBatchShare is the assumed size of a call, as a share of a full batch, while no piece has to wait. Calls
	// of a pool with a queue are full.
	typicalBatchShare = 0.4
	// minQueueWait is the wait above which a pool counts as having a queue. It is longer than the interval between
	// calls of a pool.
	minQueueWait = 60 * time.Millisecond
	// lateRefusalWait is the sum of the waits of all stages above which a late request is refused. With shorter waits
	// a late request takes little from requests that are on time.
	lateRefusalWait = 200 * time.Millisecond
	// planMargin is the factor by which the expected time is extended before it is compared with the objective. The
	// expected time adds up typical times, so half of the requests planned for the last moment would be late.
	planMargin = 1.15
	// firstEventMargin is subtracted from the objective for the way back to the caller and timer lag.
	firstEventMargin = 15 * time.Millisecond
	// limitedWaitFactor is by how much the wait of a first attempt is extended before it is compared with the objective where
	// a rank asks for more than its customer's share. Retries have less time left: queues that are full with first attempts
	// would leave none of them on time.
	limitedWaitFactor = 2
	// retrySpread is the part of a retry delay over which retries are spread where shares decide. Requests that are refused
	// together would otherwise come back together.
	retrySpread = 0.5
)

type (
	// StagePlan holds the deadlines of the stages of a request. It is immutable.
	StagePlan struct {
		// Due has, for each stage, the time by which its results are needed for the answer to meet the objective;
		// Until has the time after which its results are too late for any answer.
		Due   []time.Time
		Until []time.Time
		// FinalStages lists the stages with pieces on which no other stage with pieces depends. Their results are the
		// inputs of the request.
		FinalStages []int
		// Expected is how long all stages and the first event are expected to take from now.
		Expected time.Duration
	}

	// PoolEstimate is what a node expects of a pool according to the newest report of its batcher: how long pieces
	// wait, and which share of the room for results is taken.
	PoolEstimate struct {
		Traits    model.PieceTraits
		Wait      time.Duration
		RoomTaken float64
		// Shares is how the customer's share decides about the pieces.
		Shares ShareStanding
	}
)

// FullCall returns how long a call with a full batch takes according to the traits of the pool.
func (e PoolEstimate) FullCall() time.Duration {
	return e.Traits.CallTime + time.Duration(e.Traits.MaxBatch)*e.Traits.PieceTime
}

// Queued reports whether pieces of the pool wait in a queue.
func (e PoolEstimate) Queued() bool {
	return e.Wait > minQueueWait
}

// PlanStages computes the deadlines of the stages of a request from when it was received. Estimates has an entry for
// each stage; firstEvent is how long the engine takes until the first event.
func PlanStages(f model.Forward, a Admission, estimates []PoolEstimate, firstEvent time.Duration) StagePlan {
	stages := a.Route.Stages
	plan := StagePlan{Due: make([]time.Time, len(stages)), Until: make([]time.Time, len(stages))}
	remaining := make([]time.Duration, len(stages))
	hasSuccessor := make([]bool, len(stages))
	for i := range remaining {
		remaining[i] = firstEvent
	}
	order, _ := StageOrder(stages)
	for _, i := range slices.Backward(order) {
		stageDuration := time.Duration(0)
		if PieceCount(f, i) > 0 {
			stageDuration = stageTime(estimates[i])
		}
		for _, predecessor := range stages[i].After {
			remaining[predecessor] = max(remaining[predecessor], remaining[i]+stageDuration)
			hasSuccessor[predecessor] = hasSuccessor[predecessor] || PieceCount(f, i) > 0
		}
		plan.Expected = max(plan.Expected, remaining[i]+stageDuration)
	}
	plan.Expected = max(plan.Expected, firstEvent)
	due := f.FirstAttemptAt().Add(a.Route.Objective - firstEventMargin)
	for i := range stages {
		plan.Due[i] = due.Add(-remaining[i])
		plan.Until[i] = a.Deadline.Add(-remaining[i])
		if !hasSuccessor[i] && PieceCount(f, i) > 0 {
			plan.FinalStages = append(plan.FinalStages, i)
		}
	}
	return plan
}

// PieceCount returns the number of pieces in a stage of a request.
func PieceCount(f model.Forward, stage int) int {
	if stage >= len(f.Pieces) {
		return 0
	}
	return f.Pieces[stage]
}

// stageTime returns how long a stage is expected to take: the wait for a call and the call.
func stageTime(e PoolEstimate) time.Duration {
	pieces := time.Duration(max(1, int(typicalBatchShare*float64(e.Traits.MaxBatch))))
	if e.Wait > minQueueWait {
		pieces = time.Duration(e.Traits.MaxBatch)
	}
	return e.Wait + e.Traits.CallTime + pieces*e.Traits.PieceTime
}

// MostCommonDomain returns the failure domain that holds most of the results, or an empty string if there are no
// results.
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

// AdmitStages refuses a request whose stages cannot be done in time, before its first piece runs: a late request
// would take room and calls from requests that can be on time. The refusal asks the caller to retry when the queues
// will have drained.
func AdmitStages(now time.Time, f model.Forward, a Admission, plan StagePlan, estimates []PoolEstimate) *model.Refusal {
	var totalWait time.Duration
	for i, e := range estimates {
		if PieceCount(f, i) > 0 {
			totalWait += e.Wait
		}
	}
	expected := plan.Expected + reserveForRetries(f, estimates, totalWait)
	late := now.Add(time.Duration(planMargin * float64(expected))).After(f.FirstAttemptAt().Add(a.Route.Objective))
	pastDeadline := now.Add(plan.Expected).After(a.Deadline)
	if pastDeadline || (late && totalWait > maxLateWait(estimates)) {
		return refuseLateStages(now, f, a, plan, estimates, totalWait)
	}
	return nil
}

// reserveForRetries returns the time that a first attempt must leave to retries of its customer and rank.
func reserveForRetries(f model.Forward, estimates []PoolEstimate, wait time.Duration) time.Duration {
	if f.Waited > 0 || !slices.ContainsFunc(estimates, func(e PoolEstimate) bool { return e.Shares.Limited }) {
		return 0
	}
	return (limitedWaitFactor - 1) * wait
}

// maxLateWait returns the sum of the waits up to which a late request is admitted. Beyond its customer's share, a request that
// would be late takes calls from others of the same customer.
func maxLateWait(estimates []PoolEstimate) time.Duration {
	for _, e := range estimates {
		if e.Shares.Beyond {
			return minQueueWait
		}
	}
	return lateRefusalWait
}

// refuseLateStages returns the refusal of a request whose stages would be late because of the given wait. Where shares
// decide, the wait is the time until the customer's share has capacity for the request.
func refuseLateStages(now time.Time, f model.Forward, a Admission, plan StagePlan, estimates []PoolEstimate, wait time.Duration) *model.Refusal {
	applies, beyond := false, false
	for _, e := range estimates {
		applies, beyond = applies || e.Shares.Applies, beyond || e.Shares.Beyond
	}
	if !applies {
		return model.NewRefusal(model.NotRun, model.StageLate, ClampRetryAfter(wait), "the stages would be late")
	}
	latest := f.FirstAttemptAt().Add(a.Route.Objective - time.Duration(planMargin*float64(plan.Expected-wait)))
	retry := SpreadRetryAfter(f.ID, ClampRetryAfter(wait), latest.Sub(now))
	if beyond {
		return model.NewRefusal(model.NotRun, model.StageLate, retry, "the stages would be late: the customer's share is in use")
	}
	return model.NewRefusal(model.NotRun, model.StageLate, retry, "the stages would be late: no room within the customer's share")
}

// RefuseEarlyRetry refuses a request whose caller retries earlier than told, by earlyBy, while a rank of its customer asks for
// more than its share. The capacity that becomes available until then belongs to callers that wait as told.
func RefuseEarlyRetry(estimates []PoolEstimate, earlyBy time.Duration) *model.Refusal {
	if earlyBy <= 0 || !slices.ContainsFunc(estimates, func(e PoolEstimate) bool { return e.Shares.Limited }) {
		return nil
	}
	return model.NewRefusal(model.NotRun, model.StageLate, ClampRetryAfter(earlyBy), "retried earlier than told: the customer's share is in use")
}

// SpreadRetryAfter extends a retry delay by up to retrySpread of it, depending on the request's ID. The extended delay is not
// longer than latest, after which a retry would be late, unless the delay itself is.
func SpreadRetryAfter(id string, delay, latest time.Duration) time.Duration {
	spread := time.Duration(retrySpread * float64(delay))
	if latest >= delay {
		spread = min(spread, latest-delay)
	}
	return ClampRetryAfter(delay + time.Duration(float64(xxhash.Sum64String(id)>>11)/(1<<53)*float64(spread)))
}
