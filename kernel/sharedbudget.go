package kernel

import (
	"time"
)

const (
	// budgetSteps is into how many steps the budget's window is cut.
	budgetSteps = 10
	// budgetMargin is the share of the fleet's budget that is spent: nodes count by their own
	// windows, and what they know of each other is late. The rest is for nodes that have started again within the
	// window and forgotten what they spent.
	budgetMargin = 0.8
)

type (
	// FleetRetryLimits bound repeated sends of all nodes together to one pool: in any window at most
	// Ratio times the requests for the pool, and Slack.
	FleetRetryLimits struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// FleetRetryBudget is one node's part of the budget of one pool. It changes in place.
	FleetRetryBudget struct {
		terms FleetRetryLimits
		// startedAt is when the node started.
		startedAt time.Time
		steps     [budgetSteps]budgetStep
	}

	budgetStep struct {
		// number counts steps since the clock's zero.
		number   int64
		requests int
		repeats  int
	}
)

// NewFleetRetryBudget returns the budget of a node that started at a time, nothing of which is spent.
func NewFleetRetryBudget(terms FleetRetryLimits, startedAt time.Time) *FleetRetryBudget {
	return &FleetRetryBudget{terms: terms, startedAt: startedAt}
}

// Request counts a request for the pool.
func (b *FleetRetryBudget) Request(now time.Time) {
	b.step(now).requests++
}

// TakeRetry takes one repeated send out of the budget, if it allows one. The slack is split
// evenly between the nodes; one that knows of none has no part in it.
func (b *FleetRetryBudget) TakeRetry(now time.Time, nodes int) bool {
	requests, repeats := b.sums(now)
	if float64(repeats+1) > budgetMargin*b.terms.Ratio*float64(requests)+b.slack(now, nodes) {
		return false
	}
	b.step(now).repeats++
	return true
}

func (b *FleetRetryBudget) slack(now time.Time, nodes int) float64 {
	if nodes == 0 {
		return 0
	}
	share := budgetMargin
	if now.Sub(b.startedAt) < b.terms.Window {
		share = 1 - budgetMargin
	}
	return share * b.terms.Slack / float64(nodes)
}

func (b *FleetRetryBudget) sums(now time.Time) (requests, repeats int) {
	newest := b.number(now)
	for _, s := range b.steps {
		if s.number > newest-budgetSteps {
			requests += s.requests
			repeats += s.repeats
		}
	}
	return requests, repeats
}

func (b *FleetRetryBudget) number(now time.Time) int64 {
	return now.UnixNano() / int64(b.terms.Window/budgetSteps)
}

func (b *FleetRetryBudget) step(now time.Time) *budgetStep {
	number := b.number(now)
	s := &b.steps[number%budgetSteps]
	if s.number != number {
		*s = budgetStep{number: number}
	}
	return s
}
