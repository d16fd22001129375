package kernel

import (
	"time"
)

const (
	// budgetSteps is into how many steps the budget's window is cut.
	budgetSteps = 10
	// budgetMargin is the share of the fleet's budget that is spent: nodes count by their own
	// windows, and what they know of each other is late.
	budgetMargin = 0.8
)

type (
	// BudgetTerms bound repeated sends of all nodes together to one pool: in any window at most
	// Ratio times the requests for the pool, and Slack.
	BudgetTerms struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// SharedBudget is one node's part of the budget of one pool. It changes in place.
	SharedBudget struct {
		terms BudgetTerms
		steps [budgetSteps]budgetStep
	}

	budgetStep struct {
		// number counts steps since the clock's zero.
		number   int64
		requests int
		repeats  int
	}
)

// NewSharedBudget returns a budget nothing of which is spent.
func NewSharedBudget(terms BudgetTerms) *SharedBudget {
	return &SharedBudget{terms: terms}
}

// Request counts a request for the pool.
func (b *SharedBudget) Request(now time.Time) {
	b.step(now).requests++
}

// TakeRepeat takes one repeated send out of the budget, if it allows one. The slack is split
// evenly between the live nodes.
func (b *SharedBudget) TakeRepeat(now time.Time, nodes int) bool {
	requests, repeats := b.sums(now)
	allowed := b.terms.Ratio*float64(requests) + b.terms.Slack/float64(max(1, nodes))
	if float64(repeats+1) > budgetMargin*allowed {
		return false
	}
	b.step(now).repeats++
	return true
}

func (b *SharedBudget) sums(now time.Time) (requests, repeats int) {
	newest := b.number(now)
	for _, s := range b.steps {
		if s.number > newest-budgetSteps {
			requests += s.requests
			repeats += s.repeats
		}
	}
	return requests, repeats
}

func (b *SharedBudget) number(now time.Time) int64 {
	return now.UnixNano() / int64(b.terms.Window/budgetSteps)
}

func (b *SharedBudget) step(now time.Time) *budgetStep {
	number := b.number(now)
	s := &b.steps[number%budgetSteps]
	if s.number != number {
		*s = budgetStep{number: number}
	}
	return s
}
