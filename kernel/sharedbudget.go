package kernel

import (
	"time"
)

const (
	// budgetBuckets is the number of steps that the window of a budget is divided into.
	budgetBuckets = 10
	// usableBudgetShare is the fraction of the fleet's budget that nodes use. Their windows are not aligned, and their view
	// of the membership is delayed. The rest is for nodes that restarted within the window and lost their counts.
	usableBudgetShare = 0.8
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
		limits FleetRetryLimits
		// startedAt is when the node started. A node that started within the window may have lost counts.
		startedAt time.Time
		buckets   [budgetBuckets]budgetBucket
	}

	budgetBucket struct {
		// number counts steps since the Unix epoch.
		number   int64
		requests int
		retries  int
	}
)

// NewFleetRetryBudget returns the unspent budget of a node that started at startedAt.
func NewFleetRetryBudget(terms FleetRetryLimits, startedAt time.Time) *FleetRetryBudget {
	return &FleetRetryBudget{limits: terms, startedAt: startedAt}
}

// Request counts a request for the pool.
func (b *FleetRetryBudget) CountRequest(now time.Time) {
	b.bucketAt(now).requests++
}

// TakeRetry takes one repeated send out of the budget and reports whether the budget allows it. The slack is divided
// evenly between the nodes; a node that knows of no nodes gets none of it.
func (b *FleetRetryBudget) TakeRetry(now time.Time, nodes int) bool {
	requests, repeats := b.sums(now)
	if float64(repeats+1) > usableBudgetShare*b.limits.Ratio*float64(requests)+b.slack(now, nodes) {
		return false
	}
	b.bucketAt(now).retries++
	return true
}

func (b *FleetRetryBudget) slack(now time.Time, nodes int) float64 {
	if nodes == 0 {
		return 0
	}
	share := usableBudgetShare
	if now.Sub(b.startedAt) < b.limits.Window {
		share = 1 - usableBudgetShare
	}
	return share * b.limits.Slack / float64(nodes)
}

func (b *FleetRetryBudget) sums(now time.Time) (requests, repeats int) {
	newest := b.bucketNumber(now)
	for _, s := range b.buckets {
		if s.number > newest-budgetBuckets {
			requests += s.requests
			repeats += s.retries
		}
	}
	return requests, repeats
}

func (b *FleetRetryBudget) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(b.limits.Window/budgetBuckets)
}

func (b *FleetRetryBudget) bucketAt(now time.Time) *budgetBucket {
	number := b.bucketNumber(now)
	s := &b.buckets[number%budgetBuckets]
	if s.number != number {
		*s = budgetBucket{number: number}
	}
	return s
}
