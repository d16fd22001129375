package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

func sessionPrompt(session string, tokens int) model.Prompt {
	return model.Prompt{TokensIn: tokens, TokensOut: 80, Parts: []model.PromptPart{{ID: "shared", Tokens: 400}, {ID: session, Tokens: tokens - 400}}}
}

func TestRefusedRequestsDistinguishesRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewRefusedRequests()
	first := kernel.RequestIdentity("ann", sessionPrompt("a", 900))
	r.Add(now, first, 20*time.Millisecond)
	must.EqOp(t, 320*time.Millisecond, r.TakeWaited(now.Add(300*time.Millisecond), first))
	must.EqOp(t, 0, r.TakeWaited(now.Add(400*time.Millisecond), first), must.Sprint("a third request counts as new"))
	must.EqOp(t, 0, r.TakeWaited(now, kernel.RequestIdentity("ann", sessionPrompt("a", 901))), must.Sprint("another request of the same session"))
	must.NotEq(t, first, kernel.RequestIdentity("ben", sessionPrompt("a", 900)), must.Sprint("a request of another customer"))
	must.EqOp(t, "", kernel.RequestIdentity("ann", model.Prompt{}))
}

func TestRefusedRequestsCountsFromFirstAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewRefusedRequests()
	r.Add(now, "id", 0)
	now = now.Add(300 * time.Millisecond)
	r.Add(now, "id", r.TakeWaited(now, "id"))
	must.EqOp(t, 500*time.Millisecond, r.TakeWaited(now.Add(200*time.Millisecond), "id"))
}

func TestRefusedRequestsIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewRefusedRequests()
	r.Add(now, "old", 0)
	must.EqOp(t, 0, r.TakeWaited(now.Add(time.Minute), "old"))
	for i := range 20_001 {
		r.Add(now, fmt.Sprint(i), 0)
	}
	must.EqOp(t, 0, r.TakeWaited(now.Add(time.Second), "0"))
	must.EqOp(t, time.Second, r.TakeWaited(now.Add(time.Second), "20000"))
}

// overloadSim simulates one pool that gets more requests than it can serve for some seconds. The caller of
// each refused request retries once.
type overloadSim struct {
	queue     *kernel.BatchQueue
	refused   *kernel.RefusedRequests
	admission kernel.Admission
	running   []kernel.PieceBatch
	// firstAttempt is when each request was first sent, retryAt when it is to be sent again.
	firstAttempt map[uint64]time.Time
	retryAt      map[uint64]time.Time
	onTime       int
}

const (
	overloadStep      = 5 * time.Millisecond
	overloadObjective = 1100 * time.Millisecond
	engineTime        = 200 * time.Millisecond
)

func newOverloadSim(refused *kernel.RefusedRequests) *overloadSim {
	route := model.Route{Objective: overloadObjective, Timeout: 6 * time.Second, Stages: []model.StageNode{{Pool: "p", ResultBytes: 8000}}}
	return &overloadSim{
		queue: newBatchQueue(3), refused: refused, admission: kernel.Admission{Route: route},
		firstAttempt: map[uint64]time.Time{}, retryAt: map[uint64]time.Time{},
	}
}

// request submits a request of three pieces for admission.
func (b *overloadSim) submit(now time.Time, id uint64) {
	f := model.Forward{ReceivedAt: now, Pieces: []int{3}}
	identity := fmt.Sprint(id)
	if b.refused != nil {
		f = f.WithWaited(b.refused.TakeWaited(now, identity))
	}
	admitted := b.admission
	admitted.Deadline = now.Add(6 * time.Second)
	estimates := []kernel.PoolEstimate{{Traits: batchTraits, Wait: b.queue.EstimateWait(now, newPieceGroup(id, 3, 8000, now.Add(overloadObjective)))}}
	plan := kernel.PlanStages(f, admitted, estimates, engineTime)
	refusal := kernel.AdmitStages(now, f, admitted, plan, estimates)
	if refusal == nil {
		group := newPieceGroup(id, 3, 8000, plan.Due[0])
		if ok, _ := b.queue.Add(now, group); ok {
			return
		}
		refusal = model.NewRefusal(model.NotRun, model.StageLate, 300*time.Millisecond, "")
	}
	if b.refused != nil {
		b.refused.Add(now, identity, f.Waited)
	}
	if now.Equal(b.firstAttempt[id]) {
		b.retryAt[id] = now.Add(refusal.RetryAfter)
	}
}

// advanceCalls ends the calls that are due and starts new ones.
func (b *overloadSim) advanceCalls(now time.Time) {
	var unfinished []kernel.PieceBatch
	for _, batch := range b.running {
		if b.queue.Expected(batch) > now.Sub(batch.StartedAt()) {
			unfinished = append(unfinished, batch)
			continue
		}
		outcomes, _ := b.queue.Done(now, batch, resultsFor(batch))
		for _, o := range outcomes {
			for _, m := range o.Made {
				b.queue.Release(now, m)
			}
			if now.Add(engineTime).Sub(b.firstAttempt[o.Group]) <= overloadObjective {
				b.onTime++
			}
		}
	}
	b.running = unfinished
	b.queue.Expire(now)
	for {
		batch, ok := b.queue.Next(now)
		if !ok {
			return
		}
		b.running = append(b.running, batch)
	}
}

// run returns how many requests were on time under a load of 1.8 times the pool's capacity.
func (b *overloadSim) run() int {
	start := time.Unix(1000, 0)
	id := uint64(0)
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(overloadStep) {
		if now.Sub(start) < 7*time.Second {
			for ; float64(id) < 39*now.Sub(start).Seconds(); id++ {
				b.firstAttempt[id+1] = now
				b.submit(now, id+1)
			}
		}
		for retry, at := range b.retryAt {
			if !now.Before(at) {
				delete(b.retryAt, retry)
				b.submit(now, retry)
			}
		}
		b.advanceCalls(now)
	}
	return b.onTime
}

// Under overload, retries of refused requests must not take capacity from requests that can still be on time:
// both would then be late.
func TestRetriesDoNotMakeNewRequestsLate(t *testing.T) {
	without := newOverloadSim(nil).run()
	with := newOverloadSim(kernel.NewRefusedRequests()).run()
	t.Logf("on time: %d without RefusedRequests, %d with it", without, with)
	must.Greater(t, without*11/10, with, must.Sprintf("%d on time, %d without RefusedRequests", with, without))
}
