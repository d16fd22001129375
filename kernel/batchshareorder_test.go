package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// overloadedQueue returns a queue in which customer "large" has asked for far more than the capacity in ranks 10 and 12 for a
// second, so that it is limited, and has groups waiting.
func overloadedQueue(now time.Time) (*kernel.BatchQueue, time.Time) {
	q := kernel.NewBatchQueue(smallResults.traits)
	q.SetEndpoints(workerEndpoints(2))
	id := uint64(0)
	for range 100 {
		for rank := 10; rank <= 12; rank += 2 {
			id++
			q.Add(now, sharedGroup(id, "large", rank, 12, now.Add(900*time.Millisecond)))
		}
		q.Expire(now)
		for {
			if _, ok := q.Next(now); !ok {
				break
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	return q, now
}

func sharedGroup(id uint64, customer string, rank, pieces int, due time.Time) kernel.PieceGroup {
	g := newPieceGroup(id, pieces, 8000, due)
	g.Shared, g.Customer, g.Rank = true, customer, rank
	return g
}

// Guards against estimates that count the whole queue for a request which the order puts first, and against low ranks that
// are admitted, and have pieces made, only to starve later.
func TestEstimateFollowsShareAndRank(t *testing.T) {
	q, now := overloadedQueue(time.Unix(1000, 0))
	wait := func(customer string, rank int) (time.Duration, kernel.ShareStanding) {
		g := sharedGroup(9999, customer, rank, 4, now.Add(time.Second))
		return q.EstimateWait(now, g), q.ShareStanding(now, g)
	}
	small, smallStanding := wait("small", 12)
	high, _ := wait("large", 9)
	middle, _ := wait("large", 10)
	low, lowStanding := wait("large", 12)
	t.Log(small, high, middle, low)
	must.True(t, smallStanding.Applies)
	must.False(t, smallStanding.Limited)
	must.False(t, smallStanding.Beyond)
	must.True(t, lowStanding.Beyond)
	must.Greater(t, 0, lowStanding.Share)
	must.Greater(t, 0, lowStanding.Use)
	must.Less(t, 250*time.Millisecond, small)
	must.Less(t, 250*time.Millisecond, high)
	must.Greater(t, middle, low)
	f := model.Forward{ID: "request", ReceivedAt: now, Pieces: []int{4}}
	a := kernel.Admission{Route: model.Route{Objective: 1100 * time.Millisecond, Stages: []model.StageNode{{Pool: "p"}}}, Deadline: now.Add(5 * time.Second)}
	admit := func(wait time.Duration, standing kernel.ShareStanding) *model.Refusal {
		estimates := []kernel.PoolEstimate{{Traits: smallResults.traits, Wait: wait, Shares: standing}}
		return kernel.AdmitStages(now, f, a, kernel.PlanStages(f, a, estimates, shareAfterStages), estimates)
	}
	must.Nil(t, admit(small, smallStanding))
	must.Nil(t, admit(high, smallStanding))
	refusal := admit(low, lowStanding)
	must.NotNil(t, refusal)
	must.EqOp(t, model.StageLate, refusal.Reason)
	must.StrContains(t, refusal.Detail, "share is in use")
}

// Guards against a group with results of earlier stages that waits behind one without, and a retry that waits behind a later
// request of its rank, whose objective counts from a later first attempt.
func TestOrderWithinFlow(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(g *kernel.PieceGroup)
	}{
		{"results of earlier stages", func(g *kernel.PieceGroup) { g.Inputs = []kernel.ResultRef{{Handle: "input"}} }},
		{"retry", func(g *kernel.PieceGroup) { g.Due, g.Waited = g.Due.Add(-200*time.Millisecond), 200*time.Millisecond }},
		{"higher rank", func(g *kernel.PieceGroup) { g.Rank = 11 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q, now := overloadedQueue(time.Unix(1000, 0))
			now = now.Add(50 * time.Millisecond)
			first := sharedGroup(5001, "small", 12, 40, now.Add(1500*time.Millisecond))
			second := sharedGroup(5002, "small", 12, 40, now.Add(1500*time.Millisecond))
			tc.change(&second)
			for _, g := range []kernel.PieceGroup{first, second} {
				ok, _ := q.Add(now, g)
				must.True(t, ok)
			}
			q.SetEndpoints(workerEndpoints(3))
			batch, ok := q.Next(now)
			must.True(t, ok)
			must.EqOp(t, "request-5002", batch.Pieces[0].Request)
		})
	}
}

// Guards against callers that raise their customer's demand, and so its part, by retrying at once or by asking several times.
func TestDemandIsCountedOnce(t *testing.T) {
	standing := func(attempts int) kernel.ShareStanding {
		q, now := overloadedQueue(time.Unix(1000, 0))
		for attempt := range attempts {
			g := sharedGroup(6000, "large", 10, 40, now.Add(900*time.Millisecond))
			g.Pieces[0].Request = fmt.Sprint("attempt-", attempt)
			g.Waited = time.Duration(attempt) * 10 * time.Millisecond
			q.EstimateWait(now, g)
			q.EstimateWait(now, g)
		}
		now = now.Add(60 * time.Millisecond)
		q.Next(now)
		return q.ShareStanding(now, sharedGroup(6001, "large", 12, 1, now.Add(900*time.Millisecond)))
	}
	must.Eq(t, standing(1), standing(30))
}

// Guards against callers that come back together, sooner than there is capacity, or too late although they could be on time.
func TestSpreadRetryAfter(t *testing.T) {
	delays := map[time.Duration]bool{}
	for i := range 100 {
		id := fmt.Sprint("request-", i)
		delay := kernel.SpreadRetryAfter(id, 400*time.Millisecond, time.Second)
		must.Between(t, 400*time.Millisecond, delay, 600*time.Millisecond)
		must.EqOp(t, delay, kernel.SpreadRetryAfter(id, 400*time.Millisecond, time.Second))
		delays[delay.Truncate(10*time.Millisecond)] = true
		must.Between(t, 400*time.Millisecond, kernel.SpreadRetryAfter(id, 400*time.Millisecond, 450*time.Millisecond), 450*time.Millisecond)
		must.Between(t, 400*time.Millisecond, kernel.SpreadRetryAfter(id, 400*time.Millisecond, 100*time.Millisecond), 600*time.Millisecond)
	}
	must.Greater(t, 15, len(delays))
}

// Guards against demand that a pool counts of requests which only other pools have no time for: a customer would be limited
// here for work that it does not send.
func TestRequestsRefusedElsewhereAreNoDemand(t *testing.T) {
	q, now := overloadedQueue(time.Unix(1000, 0))
	q.SetEndpoints(workerEndpoints(20))
	group := func(id uint64) kernel.PieceGroup {
		return sharedGroup(id, "other", 9, 40, now.Add(900*time.Millisecond))
	}
	for id := range uint64(1000) {
		must.Less(t, 60*time.Millisecond, q.EstimateWait(now, group(7000+id)))
	}
	now = now.Add(60 * time.Millisecond)
	q.Next(now)
	standing := q.ShareStanding(now, group(8000))
	must.True(t, standing.Applies)
	must.False(t, standing.Limited)
}
