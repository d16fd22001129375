package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

func TestFleetRetryBudgetBoundsAllNodes(t *testing.T) {
	limits := kernel.FleetRetryLimits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	const nodes = 8
	budgets := make([]*kernel.FleetRetryBudget, nodes)
	for i := range budgets {
		budgets[i] = kernel.NewFleetRetryBudget(limits, time.Time{})
	}
	now := time.Unix(1000, 0)
	taken, requests := 0, 0
	for step := range 1000 {
		at := now.Add(time.Duration(step) * 10 * time.Millisecond)
		b := budgets[step%nodes]
		b.CountRequest(at)
		requests++
		// Every request fails and asks for a retry.
		if b.TakeRetry(at, nodes) {
			taken++
		}
	}
	must.LessEq(t, int(0.2*float64(requests)+56), taken)
	must.Positive(t, taken)
}

func TestFleetRetryBudgetRefillsWithWindow(t *testing.T) {
	b := kernel.NewFleetRetryBudget(kernel.FleetRetryLimits{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, time.Time{})
	now := time.Unix(1000, 0)
	for b.TakeRetry(now, 1) {
		continue
	}
	must.False(t, b.TakeRetry(now.Add(8*time.Second), 1))
	must.True(t, b.TakeRetry(now.Add(11*time.Second), 1))
}

// The fleet stays within the bound when all nodes restart in the middle of a window and lose their counts, also while
// none of them knows of the others yet.
func TestFleetRetryBudgetHoldsAfterRestart(t *testing.T) {
	t.Parallel()
	limits := kernel.FleetRetryLimits{Ratio: 0.2, Slack: 192, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	for _, nodes := range []int{1, 8, 76, 400} {
		for _, known := range []int{nodes, 0} {
			spend := func(startedAt, at time.Time, known int) int {
				spent := 0
				for range nodes {
					b := kernel.NewFleetRetryBudget(limits, startedAt)
					for b.TakeRetry(at, known) {
						spent++
					}
				}
				return spent
			}
			spent := spend(time.Time{}, start, nodes)
			restartedAt := start.Add(limits.Window / 2)
			spent += spend(restartedAt, restartedAt.Add(time.Second), known)
			must.LessEq(t, int(limits.Slack), spent, must.Sprint(nodes, " nodes, each knows ", known))
		}
	}
}
