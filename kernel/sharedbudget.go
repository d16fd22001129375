package kernel

import (
	"time"
)

const (
	// budgetBuckets is the number of buckets, equal spans of time, that the window of a budget is divided into.
	budgetBuckets = 10
	// usableBudgetShare is the share of the fleet's budget that nodes use, since their windows are not aligned and their
	// view of the membership is delayed. The rest is for nodes that restarted within the window and lost their counts.
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

	// budgetBucket counts the requests and repeated sends within one bucket of the window.
	budgetBucket struct {
		// number counts buckets since the Unix epoch.
		number   int64
		requests int
		retries  int
	}
)

// NewFleetRetryBudget returns the unspent budget of a node that started at startedAt.
func NewFleetRetryBudget(limits FleetRetryLimits, startedAt time.Time) *FleetRetryBudget {
	return &FleetRetryBudget{limits: limits, startedAt: startedAt}
}

// CountRequest counts a request for the pool.
func (b *FleetRetryBudget) CountRequest(now time.Time) {
	b.bucketAt(now).requests++
}

// TakeRetry takes one repeated send out of the budget and reports whether the budget allows it. The slack is divided
// evenly between the nodes; a node that knows of no nodes gets none of it.
func (b *FleetRetryBudget) TakeRetry(now time.Time, nodes int) bool {
	requests, retries := b.sums(now)
	if float64(retries+1) > usableBudgetShare*b.limits.Ratio*float64(requests)+b.slack(now, nodes) {
		return false
	}
	b.bucketAt(now).retries++
	return true
}

// slack returns this node's part of the slack. A node that started within the window takes it from the reserve for
// nodes that lost their counts.
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

// sums returns the requests and repeated sends within the window.
func (b *FleetRetryBudget) sums(now time.Time) (requests, retries int) {
	newest := b.bucketNumber(now)
	for _, s := range b.buckets {
		if s.number > newest-budgetBuckets {
			requests += s.requests
			retries += s.retries
		}
	}
	return requests, retries
}

func (b *FleetRetryBudget) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(b.limits.Window/budgetBuckets)
}

// bucketAt returns the bucket of a time, emptied if it was last used for an earlier time.
func (b *FleetRetryBudget) bucketAt(now time.Time) *budgetBucket {
	number := b.bucketNumber(now)
	s := &b.buckets[number%budgetBuckets]
	if s.number != number {
		*s = budgetBucket{number: number}
	}
	return s
}
