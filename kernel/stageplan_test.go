package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

func stagedRequest(now time.Time, pieces ...int) (model.Forward, kernel.Admission) {
	f := model.Forward{ID: "id", ReceivedAt: now, Pieces: pieces}
	a := kernel.Admission{
		Route: model.Route{
			Objective: 1800 * time.Millisecond,
			Stages: []model.StageNode{
				{Pool: "encode", ResultBytes: 1_500_000},
				{Pool: "encode", ResultBytes: 8000},
				{Pool: "retrieve", After: []int{1}, ResultBytes: 60000},
				{Pool: "rerank", After: []int{2}, ResultBytes: 6000},
			},
		},
		Deadline: now.Add(6 * time.Second),
	}
	return f, a
}

func poolEstimates(wait time.Duration) []kernel.PoolEstimate {
	out := make([]kernel.PoolEstimate, 4)
	for i := range out {
		out[i] = kernel.PoolEstimate{Traits: batchTraits, Wait: wait}
	}
	return out
}

func TestStageIsDueBeforeItsSuccessors(t *testing.T) {
	now := time.Unix(1000, 0)
	f, a := stagedRequest(now, 2, 1, 6, 10)
	plan := kernel.PlanStages(f, a, poolEstimates(0), 200*time.Millisecond)
	must.Eq(t, []int{0, 3}, plan.FinalStages)
	must.True(t, plan.Due[1].Before(plan.Due[2]))
	must.True(t, plan.Due[2].Before(plan.Due[3]))
	must.Eq(t, plan.Due[0], plan.Due[3])
	must.True(t, plan.Until[1].Before(a.Deadline))
}

func TestOmittedStageTakesNoTime(t *testing.T) {
	now := time.Unix(1000, 0)
	f, a := stagedRequest(now, 0, 1, 6, 10)
	plan := kernel.PlanStages(f, a, poolEstimates(0), 200*time.Millisecond)
	must.Eq(t, []int{3}, plan.FinalStages)
	f, a = stagedRequest(now)
	plan = kernel.PlanStages(f, a, poolEstimates(0), 200*time.Millisecond)
	must.SliceEmpty(t, plan.FinalStages)
	must.Eq(t, 200*time.Millisecond, plan.Expected)
}

func TestAdmitStagesRefusesLateStages(t *testing.T) {
	now := time.Unix(1000, 0)
	f, a := stagedRequest(now, 1, 1, 6, 10)
	for _, tc := range []struct {
		name    string
		wait    time.Duration
		refused bool
	}{
		{"no wait", 0, false},
		{"a short wait", 30 * time.Millisecond, false},
		{"short waits that add up", 100 * time.Millisecond, true},
		{"long queues", 600 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := kernel.PlanStages(f, a, poolEstimates(tc.wait), 200*time.Millisecond)
			refusal := kernel.AdmitStages(now, f, a, plan, poolEstimates(tc.wait))
			must.Eq(t, tc.refused, refusal != nil)
			if refusal != nil {
				must.Eq(t, model.StageLate, refusal.Reason)
				must.GreaterEq(t, tc.wait, refusal.RetryAfter)
			}
		})
	}
}

func TestMostCommonDomain(t *testing.T) {
	made := []kernel.ResultRef{{Domain: "a"}, {Domain: "b"}, {Domain: "b"}}
	must.Eq(t, "b", kernel.MostCommonDomain(made))
	must.Eq(t, "", kernel.MostCommonDomain(nil))
}
