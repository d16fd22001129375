package kernel

import (
	"time"
)

const (
	// budgetSteps is the number of steps that the window of a budget is divided into.
	budgetSteps = 10
	// budgetMargin is the fraction of the fleet's budget that nodes use. Their windows are not aligned, and their view
	// of the membership is delayed. The rest is for nodes that restarted within the window and lost their counts.
	budgetMargin = 0.8
)

type (
	// FleetRetryLimits bounds the repeated sends of all nodes together to one pool: in any window at most Ratio times
	// the requests for the pool, plus Slack.
	FleetRetryLimits struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// FleetRetryBudget is one node's part of the retry budget of the fleet for one pool. It changes in place.
	FleetRetryBudget struct {
		terms FleetRetryLimits
		// startedAt is when the node started. A node that started within the window may have lost counts.
		startedAt time.Time
		steps     [budgetSteps]budgetStep
	}

	budgetStep struct {
		// number counts steps since the Unix epoch.
		number   int64
		requests int
		repeats  int
	}
)

// NewFleetRetryBudget returns the unspent budget of a node that started at startedAt.
func NewFleetRetryBudget(terms FleetRetryLimits, startedAt time.Time) *FleetRetryBudget {
	return &FleetRetryBudget{terms: terms, startedAt: startedAt}
}

// Request counts a request for the pool.
func (b *FleetRetryBudget) Request(now time.Time) {
	b.step(now).requests++
}

// TakeRetry takes one repeated send out of the budget and reports whether the budget allows it. The slack is divided
// evenly between the nodes; a node that knows of no nodes gets none of it.
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
