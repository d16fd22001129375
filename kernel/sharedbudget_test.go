package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

func TestSharedBudgetIsKeptByAllNodesTogether(t *testing.T) {
	terms := kernel.BudgetTerms{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	const nodes = 8
	budgets := make([]*kernel.SharedBudget, nodes)
	for i := range budgets {
		budgets[i] = kernel.NewSharedBudget(terms)
	}
	now := time.Unix(1000, 0)
	taken, requests := 0, 0
	for step := range 1000 {
		at := now.Add(time.Duration(step) * 10 * time.Millisecond)
		b := budgets[step%nodes]
		b.Request(at)
		requests++
		// Every request fails and wants to be repeated.
		if b.TakeRepeat(at, nodes) {
			taken++
		}
	}
	must.LessEq(t, int(0.2*float64(requests)+56), taken)
	must.Positive(t, taken)
}

func TestSharedBudgetComesBackWithTheWindow(t *testing.T) {
	b := kernel.NewSharedBudget(kernel.BudgetTerms{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	for b.TakeRepeat(now, 1) {
		continue
	}
	must.False(t, b.TakeRepeat(now.Add(8*time.Second), 1))
	must.True(t, b.TakeRepeat(now.Add(11*time.Second), 1))
}
