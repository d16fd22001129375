package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

func promptOf(session string, tokens int) model.Prompt {
	return model.Prompt{TokensIn: tokens, TokensOut: 80, Parts: []model.PromptPart{{ID: "shared", Tokens: 400}, {ID: session, Tokens: tokens - 400}}}
}

func TestACallerThatComesBackIsToldFromANewOne(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewReturning()
	first := kernel.Identity("ann", promptOf("a", 900))
	r.Refused(now, first, 20*time.Millisecond)
	must.EqOp(t, 320*time.Millisecond, r.Waited(now.Add(300*time.Millisecond), first))
	must.EqOp(t, 0, r.Waited(now.Add(400*time.Millisecond), first), must.Sprint("a third request is a new one"))
	must.EqOp(t, 0, r.Waited(now, kernel.Identity("ann", promptOf("a", 901))), must.Sprint("another request of the session"))
	must.NotEq(t, first, kernel.Identity("ben", promptOf("a", 900)), must.Sprint("nobody ages another customer's request"))
	must.EqOp(t, "", kernel.Identity("ann", model.Prompt{}))
}

func TestWhatWasRefusedTwiceCountsFromItsFirstAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewReturning()
	r.Refused(now, "id", 0)
	now = now.Add(300 * time.Millisecond)
	r.Refused(now, "id", r.Waited(now, "id"))
	must.EqOp(t, 500*time.Millisecond, r.Waited(now.Add(200*time.Millisecond), "id"))
}

func TestTheMemoryOfRefusedRequestsIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewReturning()
	r.Refused(now, "old", 0)
	must.EqOp(t, 0, r.Waited(now.Add(time.Minute), "old"))
	for i := range 20_001 {
		r.Refused(now, fmt.Sprint(i), 0)
	}
	must.EqOp(t, 0, r.Waited(now.Add(time.Second), "0"))
	must.EqOp(t, time.Second, r.Waited(now.Add(time.Second), "20000"))
}

// burst plays callers against one pool: for some seconds more come than it can serve, and each that
// is refused comes back once.
type burst struct {
	g        *kernel.BatchQueue
	memory   *kernel.Returning
	admitted kernel.Admission
	running  []kernel.PieceBatch
	// asked is when each caller first asked, again when it comes back.
	asked  map[uint64]time.Time
	again  map[uint64]time.Time
	onTime int
}

const (
	burstStep      = 5 * time.Millisecond
	burstObjective = 1100 * time.Millisecond
	burstEngine    = 200 * time.Millisecond
)

func newBurst(memory *kernel.Returning) *burst {
	route := model.Route{Objective: burstObjective, Timeout: 6 * time.Second, Stages: []model.StageNode{{Pool: "p", ResultBytes: 8000}}}
	return &burst{
		g: newBatchQueue(3), memory: memory, admitted: kernel.Admission{Route: route},
		asked: map[uint64]time.Time{}, again: map[uint64]time.Time{},
	}
}

// request asks the door for a caller's request of three pieces.
func (b *burst) request(now time.Time, id uint64) {
	f := model.Forward{ReceivedAt: now, Pieces: []int{3}}
	identity := fmt.Sprint(id)
	if b.memory != nil {
		f = f.WithWaited(b.memory.Waited(now, identity))
	}
	a := b.admitted
	a.Until = now.Add(6 * time.Second)
	estimates := []kernel.PoolEstimate{{Traits: batchTraits, Wait: b.g.EstimateWait(now, pieceGroup(id, 3, 8000, now.Add(burstObjective)))}}
	plan := kernel.PlanStages(f, a, estimates, burstEngine)
	refusal := kernel.AdmitStages(now, f, a, plan, estimates)
	if refusal == nil {
		group := pieceGroup(id, 3, 8000, plan.Due[0])
		if ok, _ := b.g.Add(now, group); ok {
			return
		}
		refusal = model.NewRefusal(model.NotRun, model.StageLate, 300*time.Millisecond, "")
	}
	if b.memory != nil {
		b.memory.Refused(now, identity, f.Waited)
	}
	if now.Equal(b.asked[id]) {
		b.again[id] = now.Add(refusal.RetryAfter)
	}
}

// work ends the calls that are due and starts others.
func (b *burst) work(now time.Time) {
	var still []kernel.PieceBatch
	for _, batch := range b.running {
		if b.g.Expected(batch) > now.Sub(batch.StartedAt()) {
			still = append(still, batch)
			continue
		}
		ended, _ := b.g.Done(now, batch, madeAll(batch))
		for _, o := range ended {
			for _, m := range o.Made {
				b.g.Release(now, m)
			}
			if now.Add(burstEngine).Sub(b.asked[o.Group]) <= burstObjective {
				b.onTime++
			}
		}
	}
	b.running = still
	b.g.Expire(now)
	for {
		batch, ok := b.g.Next(now)
		if !ok {
			return
		}
		b.running = append(b.running, batch)
	}
}

// play returns how many requests of a burst of 1.8 times the pool's capacity were on time.
func (b *burst) play() int {
	start := time.Unix(1000, 0)
	id := uint64(0)
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(burstStep) {
		if now.Sub(start) < 7*time.Second {
			for ; float64(id) < 39*now.Sub(start).Seconds(); id++ {
				b.asked[id+1] = now
				b.request(now, id+1)
			}
		}
		for who, at := range b.again {
			if !now.Before(at) {
				delete(b.again, who)
				b.request(now, who)
			}
		}
		b.work(now)
	}
	return b.onTime
}

// Overload with callers that come back once: what they take from those still on time is lost for
// both.
func TestCallersThatComeBackDoNotMakeNewOnesLate(t *testing.T) {
	without := newBurst(nil).play()
	with := newBurst(kernel.NewReturning()).play()
	t.Logf("on time: %d without the memory, %d with it", without, with)
	must.Greater(t, without*11/10, with, must.Sprintf("%d on time, %d without the memory", with, without))
}
