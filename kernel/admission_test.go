package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
)

func TestFairQueueSharesByWeightDuringBurst(t *testing.T) {
	q := kernel.NewFairQueue()
	push := func(customer string, weight, n int) {
		for range n {
			q.Push(&kernel.Waiter{Customer: customer, Weight: weight, Cost: 1, Deadline: testStart})
		}
	}
	push("burst", 1, 500)
	push("small", 1, 20)
	push("large", 4, 80)
	counts := map[string]int{}
	for range 120 {
		counts[q.Pop().Customer]++
	}
	must.EqOp(t, 20, counts["small"])
	must.EqOp(t, 80, counts["large"])
	must.EqOp(t, 20, counts["burst"])
	// Work-conserving: alone, the burst gets everything.
	for range 480 {
		must.EqOp(t, "burst", q.Pop().Customer)
	}
	must.Nil(t, q.Pop())
}

func TestCostAheadCountsEarlierWaiters(t *testing.T) {
	q := kernel.NewFairQueue()
	push := func(customer string, weight, n, seconds int) {
		for range n {
			q.Push(&kernel.Waiter{Customer: customer, Weight: weight, Cost: 1, Deadline: testStart.Add(time.Duration(seconds) * time.Second)})
		}
	}
	push("burst", 1, 500, 5)
	push("other", 2, 1, 5)
	costAhead := func(customer string, weight, seconds int) float64 {
		return q.CostAhead(kernel.Waiter{Customer: customer, Weight: weight, Cost: 1, Deadline: testStart.Add(time.Duration(seconds) * time.Second)})
	}
	must.EqOp(t, 501, costAhead("burst", 1, 9), must.Sprint("after all of its own and those of the other customer"))
	must.EqOp(t, 1, costAhead("burst", 1, 3), must.Sprint("the earliest deadline: before all of its own"))
	must.EqOp(t, 2, costAhead("silent", 1, 9), must.Sprint("a customer without waiters waits for one round"))
	must.EqOp(t, 0.5, costAhead("silent", 4, 9)-0.25, must.Sprint("a larger weight waits for less"))
}

func TestFairQueueServesOneCustomerByEarliestDeadline(t *testing.T) {
	q := kernel.NewFairQueue()
	for _, s := range []int{3, 1, 2} {
		q.Push(&kernel.Waiter{Customer: "c", Cost: 1, Deadline: testStart.Add(time.Duration(s) * time.Second)})
	}
	for _, s := range []int{1, 2, 3} {
		must.EqOp(t, testStart.Add(time.Duration(s)*time.Second), q.Pop().Deadline)
	}
}

func TestFairQueueLimitsSingleWaiterToItsShare(t *testing.T) {
	// "one" always has a single waiter and must not get more than half.
	q := kernel.NewFairQueue()
	for range 300 {
		q.Push(&kernel.Waiter{Customer: "many", Cost: 1, Deadline: testStart})
	}
	one := 0
	q.Push(&kernel.Waiter{Customer: "one", Cost: 1, Deadline: testStart})
	for range 200 {
		if q.Pop().Customer == "one" {
			one++
			q.Push(&kernel.Waiter{Customer: "one", Cost: 1, Deadline: testStart})
		}
	}
	must.Between(t, 99, one, 101)
}

// TestFairQueueLosesNoWaiter: whatever is pushed, removed and popped, each waiter leaves once.
func TestFairQueueLosesNoWaiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := kernel.NewFairQueue()
		inside := map[*kernel.Waiter]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				w := &kernel.Waiter{
					Customer: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "customer")),
					Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
					Cost:     float64(rapid.IntRange(1, 9).Draw(t, "cost")),
					Deadline: testStart.Add(time.Duration(rapid.IntRange(0, 99).Draw(t, "deadline"))),
				}
				q.Push(w)
				inside[w] = true
			},
			"pop": func(t *rapid.T) {
				w := q.Pop()
				must.EqOp(t, len(inside) > 0, w != nil)
				if w != nil {
					must.True(t, inside[w])
					delete(inside, w)
					must.False(t, q.Remove(w))
				}
			},
			"remove": func(t *rapid.T) {
				for w := range inside {
					must.True(t, q.Remove(w))
					delete(inside, w)
					break
				}
			},
			"": func(t *rapid.T) {
				must.EqOp(t, len(inside), q.Len())
				cost := 0.0
				for w := range inside {
					cost += w.Cost
				}
				must.InDelta(t, cost, q.Cost(), 0.001)
			},
		})
	})
}

func TestCanFinishRefusesWithRetryDelay(t *testing.T) {
	stage := func(median time.Duration, queued, places float64) kernel.StageEstimate {
		return kernel.StageEstimate{Median: median, QueuedCost: queued, MaxInFlight: places}
	}
	cases := []struct {
		name       string
		left       time.Duration
		stages     []kernel.StageEstimate
		ok         bool
		retryAfter time.Duration
	}{
		{"fits", time.Second, []kernel.StageEstimate{stage(300*time.Millisecond, 0, 4)}, true, 0},
		{"deadline too near", 100 * time.Millisecond, []kernel.StageEstimate{stage(300*time.Millisecond, 0, 4)}, false, 50 * time.Millisecond},
		{"queue too long", time.Second, []kernel.StageEstimate{stage(300*time.Millisecond, 8, 4)}, false, 1300 * time.Millisecond},
		{"a pool without estimates counts as fast", 50 * time.Millisecond, []kernel.StageEstimate{{}}, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ok, retryAfter := kernel.CanFinish(testStart, testStart.Add(c.left), c.stages)
			must.EqOp(t, c.ok, ok)
			must.EqOp(t, c.retryAfter, retryAfter)
		})
	}
}

func TestConcurrencyLimitIncreasesInUseAndDecreasesOncePerCongestion(t *testing.T) {
	const median = 50 * time.Millisecond
	l := kernel.NewConcurrencyLimit(10, 1, 100)
	idle := kernel.PoolLoad{Slots: 48}
	congested := kernel.PoolLoad{Queued: 49, Slots: 48}
	increased := l
	for range 100 {
		increased = increased.WithReply(testStart, median, median, idle, int(increased.Value))
	}
	must.InDelta(t, 20, increased.Value, 0.01)
	must.EqOp(t, 10, l.WithReply(testStart, median, median, idle, 1).Value, must.Sprint("a limit that is not in use does not grow"))
	decreased := l.WithReply(testStart, median, median, congested, 9)
	must.EqOp(t, 8.5, decreased.Value)
	must.EqOp(t, 8.5, decreased.WithReply(testStart.Add(time.Millisecond), median, median, congested, 9).Value)
	for i := range 200 {
		decreased = decreased.WithDecrease(testStart.Add(time.Duration(i)*time.Second), median)
	}
	must.EqOp(t, 1, decreased.Value)
	must.EqOp(t, 60, kernel.NewConcurrencyLimit(100, 1, 200).WithSlots(48).Value)
}

func TestRetryBudgetIsShareOfSuccesses(t *testing.T) {
	b := kernel.NewRetryBudget()
	retries := 0
	for range 1000 {
		var ok bool
		if b, ok = b.WithRetry(); ok {
			retries++
		}
	}
	must.EqOp(t, 20, retries, must.Sprint("retries without successes end with the initial budget"))
	for range 1000 {
		b = b.WithSuccess()
		var ok bool
		if b, ok = b.WithRetry(); ok {
			retries++
		}
	}
	must.Between(t, 119, retries, 121)
}

func TestRateBucketKeepsFleetRateAndRefills(t *testing.T) {
	var share kernel.RateBucket
	permitted := 0
	now := testStart
	for range 10_000 {
		now = now.Add(time.Millisecond)
		var ok bool
		if share, ok, _ = share.Take(now, 90, 9); ok {
			permitted++
		}
	}
	must.Between(t, 100, permitted, 111)
	must.False(t, share.Full(now))
	must.True(t, share.Full(now.Add(2*time.Second)))
}

func TestQuantilesFollowRecentValues(t *testing.T) {
	var q kernel.Quantiles
	must.EqOp(t, time.Second, q.Quantile(0.5, time.Second))
	for range 1000 {
		q.Observe(10 * time.Millisecond)
	}
	must.Between(t, 10*time.Millisecond, q.Quantile(0.99, 0), 12*time.Millisecond)
	for range 2000 {
		q.Observe(100 * time.Millisecond)
	}
	must.Between(t, 100*time.Millisecond, q.Quantile(0.5, 0), 120*time.Millisecond)
}
