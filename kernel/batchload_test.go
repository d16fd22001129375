package kernel_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// loadStep is the time step of the simulation, loadExpireInterval the interval between calls of Expire.
	loadStep           = 5 * time.Millisecond
	loadExpireInterval = 200 * time.Millisecond
	// loadSeeds is the number of random seeds for each load; the result of a single seed varies by a tenth.
	loadSeeds = 30
)

type (
	// pieceLoad is the load of a simulated pool: groups of pieces of one size, at a rate that is higher during a
	// burst.
	pieceLoad struct {
		seed   uint64
		length time.Duration
		// perSecond is the base rate of groups, burst the factor that multiplies it between from and to.
		perSecond float64
		burst     float64
		from, to  time.Duration
		// slack is the time from a group's arrival until it is due. Its caller waits for timeoutAfterDue longer.
		slack, timeoutAfterDue time.Duration
		// holdTime is how long a result is held before its release.
		holdTime time.Duration
		// ranks are assigned to the groups in turn; if empty, all groups have rank 0.
		ranks []int
		// Calls to slowWorkers that start between from and to take slowdown times as long as usual.
		slowWorkers []string
		slowdown    float64
	}

	// simulatedGroup is a group and its outcome.
	simulatedGroup struct {
		kernel.PieceGroup
		arrivedAt, endedAt time.Time
		made               bool
		fault              model.PieceFault
		wait               time.Duration
	}

	// simulatedPool drives a batch queue in virtual time. Each of its workers runs one call at a time.
	simulatedPool struct {
		queue  *kernel.BatchQueue
		load   pieceLoad
		now    time.Time
		began  time.Time
		random *rand.Rand
		groups map[uint64]*simulatedGroup
		// running holds calls by the time at which they end, overdue by the time at which they become overdue,
		// heldResults holds results by the time at which they are released.
		running     map[time.Time][]kernel.PieceBatch
		overdue     map[time.Time][]kernel.PieceBatch
		heldResults map[time.Time][]kernel.ResultRef
		nextArrival time.Time
	}
)

// simulate runs a load under a policy and returns all groups with their outcomes.
func simulate(load pieceLoad, policy kernel.Policy) []*simulatedGroup {
	start := time.Unix(1000, 0)
	s := &simulatedPool{
		queue: newBatchQueue(5), load: load, now: start, began: start, random: rand.New(rand.NewPCG(load.seed, 0)),
		groups: map[uint64]*simulatedGroup{}, running: map[time.Time][]kernel.PieceBatch{}, overdue: map[time.Time][]kernel.PieceBatch{}, heldResults: map[time.Time][]kernel.ResultRef{}, nextArrival: start,
	}
	s.queue.SetPolicy(policy)
	for end := start.Add(load.length + load.slack + load.timeoutAfterDue + time.Second); s.now.Before(end); s.now = s.now.Add(loadStep) {
		s.step()
	}
	var out []*simulatedGroup
	for id := uint64(1); id <= uint64(len(s.groups)); id++ {
		out = append(out, s.groups[id])
	}
	return out
}

func (s *simulatedPool) step() {
	for _, made := range s.heldResults[s.now] {
		s.queue.Release(s.now, made)
	}
	delete(s.heldResults, s.now)
	for _, batch := range s.overdue[s.now] {
		s.queue.RequeueOverdue(s.now, batch)
	}
	delete(s.overdue, s.now)
	for _, batch := range s.running[s.now] {
		if s.now.Sub(batch.StartedAt())+loadStep < s.callTime(batch) {
			s.recordEnded(s.queue.Failed(s.now, batch))
			continue
		}
		ended, unwanted := s.queue.Done(s.now, batch, resultsFor(batch))
		s.recordEnded(ended)
		s.holdResults(unwanted, 0)
	}
	delete(s.running, s.now)
	for !s.nextArrival.After(s.now) && s.nextArrival.Sub(s.began) < s.load.length {
		s.addNextGroup()
	}
	if s.now.Sub(s.began)%loadExpireInterval == 0 {
		s.recordEnded(s.queue.Expire(s.now))
	}
	for {
		batch, ok := s.queue.Next(s.now)
		if !ok {
			return
		}
		// The timeout of a call is 2.5 times its expected duration plus 0.3 s, as in package relay.
		timeout := time.Duration(2.5*float64(s.queue.Expected(batch))) + 300*time.Millisecond
		at := s.stepAfter(min(timeout, s.callTime(batch)))
		s.running[at] = append(s.running[at], batch)
		at = s.stepAfter(s.queue.OverdueAfter(batch))
		s.overdue[at] = append(s.overdue[at], batch)
	}
}

// stepAfter returns the first step that lies more than the given time after now.
func (s *simulatedPool) stepAfter(after time.Duration) time.Time {
	return s.now.Add(after).Truncate(loadStep).Add(loadStep)
}

// callTime returns how long a call takes, which depends on its worker and on when it started.
func (s *simulatedPool) callTime(batch kernel.PieceBatch) time.Duration {
	usual := batchTraits.CallTime + time.Duration(len(batch.Pieces))*batchTraits.PieceTime
	elapsed := batch.StartedAt().Sub(s.began)
	if elapsed < s.load.from || elapsed >= s.load.to || !slices.Contains(s.load.slowWorkers, batch.Endpoint.Name) {
		return usual
	}
	return time.Duration(s.load.slowdown * float64(usual))
}

// addNextGroup adds the next group and draws the arrival time of the one after it.
func (s *simulatedPool) addNextGroup() {
	pieces := 1 + s.random.IntN(4)
	group := newPieceGroup(uint64(len(s.groups)+1), pieces, 1_500_000, s.now.Add(s.load.slack))
	group.Until = group.Due.Add(s.load.timeoutAfterDue)
	if len(s.load.ranks) > 0 {
		group.Rank = s.load.ranks[len(s.groups)%len(s.load.ranks)]
	}
	g := &simulatedGroup{PieceGroup: group, arrivedAt: s.now}
	s.groups[group.ID] = g
	if accepted, retry := s.queue.Add(s.now, group); !accepted {
		g.endedAt, g.fault, g.wait = s.now, model.PieceLate, retry
	}
	rate := s.load.perSecond
	if elapsed := s.now.Sub(s.began); elapsed >= s.load.from && elapsed < s.load.to {
		rate *= s.load.burst
	}
	s.nextArrival = s.nextArrival.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
}

func (s *simulatedPool) recordEnded(ended []kernel.GroupOutcome) {
	for _, o := range ended {
		g := s.groups[o.Group]
		g.endedAt, g.made, g.fault, g.wait = s.now, o.Fault == "", o.Fault, o.Wait
		holdTime := time.Duration(0)
		if g.made {
			holdTime = s.load.holdTime
		}
		s.holdResults(o.Made, holdTime)
	}
}

func (s *simulatedPool) holdResults(made []kernel.ResultRef, holdTime time.Duration) {
	at := s.stepAfter(holdTime)
	s.heldResults[at] = append(s.heldResults[at], made...)
}

// countOnTime counts the groups that were made before they were due, and the groups whose callers waited until
// their timeout without an answer.
func countOnTime(groups []*simulatedGroup) (served, unanswered int) {
	for _, g := range groups {
		switch {
		case g.made && !g.endedAt.After(g.Due):
			served++
		case g.endedAt.IsZero() || (!g.made && g.endedAt.After(g.Until.Add(-time.Second))):
			unanswered++
		}
	}
	return served, unanswered
}

// During a burst beyond a pool's capacity, late groups come after all that can still be on time, and there are
// always some of these. Unless they are ended, their callers wait until their deadline and get no answer: for 4.4 s
// at a latency objective of 1.1 s. Late groups must end earlier, and the number of groups on time must not
// decrease.
func TestStarvedGroupsEndInBurst(t *testing.T) {
	fullCallTime := batchTraits.CallTime + time.Duration(batchTraits.MaxBatch)*batchTraits.PieceTime
	shortestCallTime := batchTraits.CallTime + batchTraits.PieceTime
	var onTimeWith, onTimeWithout int
	for seed := range uint64(loadSeeds) {
		load := pieceLoad{
			seed: seed, length: 12 * time.Second, perSecond: 25, burst: 2.5, from: 2 * time.Second, to: 8 * time.Second,
			slack: 700 * time.Millisecond, timeoutAfterDue: 5 * time.Second, holdTime: 400 * time.Millisecond,
		}
		groups := simulate(load, kernel.Policy{})
		served, unanswered := countOnTime(groups)
		servedWithout, unansweredWithout := countOnTime(simulate(load, kernel.Policy{}.Without(kernel.EndStarvedGroups)))
		must.EqOp(t, 0, unanswered, must.Sprint("seed ", seed, ": callers without an answer"))
		must.Positive(t, unansweredWithout, must.Sprint("seed ", seed, ": some callers get no answer without EndStarvedGroups"))
		onTimeWith += served
		onTimeWithout += servedWithout
		for _, g := range groups {
			// A group ends at the first Expire that comes one full call after it can no longer be on time; a
			// running call is completed.
			latest := g.Due.Add(-shortestCallTime + fullCallTime + loadExpireInterval + fullCallTime)
			must.False(t, !g.made && g.endedAt.After(latest), must.Sprint("group ", g.ID, " of seed ", seed, " ended ", g.endedAt.Sub(g.Due), " after it was due"))
			must.True(t, g.made || g.fault == model.PieceLate || g.fault == model.PieceStarved)
		}
	}
	must.GreaterEq(t, onTimeWithout, onTimeWith, must.Sprint("the number of groups on time must not decrease"))
}

// A pool without a backlog makes late work, as this takes no capacity from other work.
func TestLateGroupsAreMadeWithoutBacklog(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	late := newPieceGroup(1, 3, 8000, now.Add(-time.Second))
	ok, _ := q.Add(now, late)
	must.True(t, ok)
	must.SliceEmpty(t, q.Expire(now.Add(loadExpireInterval)))
	batch, ok := q.Next(now.Add(loadExpireInterval))
	must.True(t, ok)
	must.Len(t, 3, batch.Pieces)
	must.True(t, slices.ContainsFunc(batch.Pieces, func(p model.Piece) bool { return p.Request == late.Pieces[0].Request }))
}

// A worker that slows down to 3.5 times the usual duration must not get one full call after another, each of which
// reaches its timeout just before it ends, at 3.3 times: ten such workers lost 34 calls in 5 s. An overdue call,
// also one that times out, must mark its worker as slow.
func TestSlowWorkersDelayFewGroups(t *testing.T) {
	var onTimeWith, onTimeWithout, missedWith, missedWithout int
	for seed := range uint64(loadSeeds) {
		load := pieceLoad{
			seed: seed, length: 12 * time.Second, perSecond: 16, burst: 1, from: 2 * time.Second, to: 10 * time.Second,
			slack: 900 * time.Millisecond, timeoutAfterDue: 5 * time.Second, holdTime: 300 * time.Millisecond,
			slowWorkers: []string{"worker-1"}, slowdown: 3.5,
		}
		groups := simulate(load, kernel.Policy{})
		served, _ := countOnTime(groups)
		onTimeWith += served
		missedWith += len(groups) - served
		groups = simulate(load, kernel.Policy{}.Without(kernel.AvoidSlowWorkers))
		served, _ = countOnTime(groups)
		onTimeWithout += served
		missedWithout += len(groups) - served
	}
	must.Greater(t, onTimeWithout, onTimeWith)
	must.Less(t, missedWithout/2, missedWith, must.Sprint("fewer than half as many groups are late; on time ", onTimeWith, ", without ", onTimeWithout))
}

// countOnTimeOfRank counts the groups of a rank that were made before they were due.
func countOnTimeOfRank(groups []*simulatedGroup, rank int) int {
	ofRank := slices.DeleteFunc(slices.Clone(groups), func(g *simulatedGroup) bool { return g.Rank != rank })
	served, _ := countOnTime(ofRank)
	return served
}

// Requests of two priorities share a pool. While it is busy but not overloaded, delaying the due time of lower
// ranks by 0.2 s a rank would make them late although there is capacity for all, so rank must not count. Under
// overload the higher priority goes first.
func TestRankAffectsOrderOnlyUnderOverload(t *testing.T) {
	for _, tc := range []struct {
		name       string
		perSecond  float64
		overloaded bool
	}{
		{"busy", 28, false},
		{"overloaded", 60, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var highWith, highWithout, lowWith, lowWithout int
			for seed := range uint64(loadSeeds) {
				load := pieceLoad{
					seed: seed, length: 10 * time.Second, perSecond: tc.perSecond, burst: 1, slack: 700 * time.Millisecond,
					timeoutAfterDue: 5 * time.Second, holdTime: 300 * time.Millisecond, ranks: []int{0, 10},
				}
				groups, without := simulate(load, kernel.Policy{}), simulate(load, kernel.Policy{}.Without(kernel.RankOnlyWhenOverloaded))
				highWith += countOnTimeOfRank(groups, 0)
				lowWith += countOnTimeOfRank(groups, 10)
				highWithout += countOnTimeOfRank(without, 0)
				lowWithout += countOnTimeOfRank(without, 10)
			}
			t.Log("on time: high rank ", highWith, " (", highWithout, " without), low rank ", lowWith, " (", lowWithout, ")")
			if !tc.overloaded {
				must.Greater(t, lowWithout, lowWith)
				must.Greater(t, highWithout+lowWithout, highWith+lowWith)
				must.GreaterEq(t, highWithout*9/10, highWith)
				return
			}
			must.Greater(t, lowWith, highWith)
			must.GreaterEq(t, highWithout*9/10, highWith)
		})
	}
}
