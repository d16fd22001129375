package kernel_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

var pathStart = time.Unix(1000, 0)

func pathAt(after time.Duration) time.Time { return pathStart.Add(after) }

// A node takes its path for lost only after it failed to reach several endpoints with no success in between. Guards
// against one stalled endpoint being taken for a cut, and against a cut that is not noticed.
func TestPathIsLostAfterSeveralEndpoints(t *testing.T) {
	var p kernel.Path
	p = p.WithReached(pathAt(0))
	p = p.WithUnreached(pathAt(100*time.Millisecond), pathAt(800*time.Millisecond), "a", false, 2)
	p = p.WithUnreached(pathAt(800*time.Millisecond), pathAt(1500*time.Millisecond), "a", false, 2)
	must.False(t, p.Lost(), must.Sprint("one stalled endpoint"))
	p = p.WithUnreached(pathAt(900*time.Millisecond), pathAt(1600*time.Millisecond), "b", false, 2)
	must.True(t, p.Lost())
	must.Eq(t, pathAt(1600*time.Millisecond), p.LostSince)
	p = p.WithReached(pathAt(2 * time.Second))
	must.False(t, p.Lost())
}

// A connection that failed after a later one was opened says nothing of the path. Guards against a belief that outlives a
// cut by the time-out of the connections begun in it.
func TestPathIgnoresFailuresBegunBeforeSuccess(t *testing.T) {
	var p kernel.Path
	p = p.WithReached(pathAt(time.Second))
	p = p.WithUnreached(pathAt(900*time.Millisecond), pathAt(1600*time.Millisecond), "a", false, 2)
	p = p.WithUnreached(pathAt(950*time.Millisecond), pathAt(1650*time.Millisecond), "b", false, 2)
	must.False(t, p.Lost())
}

// Failures that lie far apart do not add up.
func TestPathForgetsOldFailures(t *testing.T) {
	var p kernel.Path
	p = p.WithUnreached(pathAt(0), pathAt(700*time.Millisecond), "a", false, 2)
	p = p.WithUnreached(pathAt(5*time.Second), pathAt(5700*time.Millisecond), "b", false, 2)
	must.False(t, p.Lost())
	must.EqOp(t, 1, p.Unreached())
}

// Trials of a lost path go on, at intervals that are bounded and spread.
func TestPathTrialsAreSpreadAndBounded(t *testing.T) {
	var p kernel.Path
	p = p.WithUnreached(pathAt(0), pathAt(0), "a", false, 2).WithUnreached(pathAt(0), pathAt(0), "b", false, 2)
	shortest, longest := time.Hour, time.Duration(0)
	for i := range 40 {
		var wait time.Duration
		p, wait = p.WithTrial(float64(i%11) / 10)
		must.Positive(t, wait)
		shortest, longest = min(shortest, wait), max(longest, wait)
	}
	must.LessEq(t, time.Second, longest)
	must.Greater(t, shortest, longest)
}

// Endpoints that have ended are no evidence of a cut. Guards against a pool whose endpoints crash one after the other, and
// are replaced, being taken for out of reach.
func TestPathForgetsEndedEndpoints(t *testing.T) {
	var p kernel.Path
	p = p.WithUnreached(pathAt(0), pathAt(time.Millisecond), "a", false, 2).WithoutEndpoint("a")
	p = p.WithUnreached(pathAt(time.Second), pathAt(time.Second), "b", false, 2)
	must.False(t, p.Lost())
	p = p.WithUnreached(pathAt(time.Second), pathAt(time.Second), "c", false, 2)
	must.True(t, p.Lost())
	must.True(t, p.WithoutEndpoint("b").Lost())
	must.False(t, p.WithoutEndpoint("b").WithoutEndpoint("c").Lost())
}

// A pool that falls silent as a whole is given a while before requests for it are refused at once. Guards against
// endpoints that are stalled for a second being taken for a cut.
func TestPathMayBeStalledForAWhile(t *testing.T) {
	var p kernel.Path
	p = p.WithUnreached(pathAt(0), pathAt(700*time.Millisecond), "a", false, 2).WithUnreached(pathAt(300*time.Millisecond), pathAt(time.Second), "b", false, 2)
	must.True(t, p.Lost())
	must.True(t, p.MayBeStalled(pathAt(1200*time.Millisecond)))
	p = p.WithUnreached(pathAt(1800*time.Millisecond), pathAt(2500*time.Millisecond), "c", false, 2)
	must.False(t, p.MayBeStalled(pathAt(2500*time.Millisecond)))
}

// Two of many endpoints that have crashed together say little of a path. Guards against a path that is taken for lost while most
// of the pool is reached: one in nine pairs of seven endpoints, three of which had crashed, was.
func TestPathIsNotLostWithFewCrashedEndpoints(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	for _, tc := range []struct{ size, crashed int }{{3, 1}, {4, 2}, {7, 2}, {7, 3}, {12, 3}, {12, 6}, {60, 10}, {60, 30}} {
		t.Run(fmt.Sprintf("%d of %d crashed", tc.crashed, tc.size), func(t *testing.T) {
			lost := 0
			const rounds = 2000
			for range rounds {
				if loseByTrials(random, tc.size, tc.crashed) {
					lost++
				}
			}
			t.Logf("%d of %d beliefs were wrong", lost, rounds)
			// With half of the pool gone, one belief in ten is one too many.
			must.Less(t, rounds/10, lost)
			if tc.crashed <= 3 {
				must.EqOp(t, 0, lost)
			}
		})
	}
	for _, size := range []int{2, 3, 7, 60} {
		must.True(t, loseByTrials(random, size, size), must.Sprintf("all of %d out of reach", size))
	}
}

// loseByTrials tries endpoints of a pool in random order, as a node does after a failure, and reports whether the path is taken for
// lost before one is reached.
func loseByTrials(random *rand.Rand, size, crashed int) bool {
	var p kernel.Path
	at := pathAt(0)
	for _, i := range random.Perm(size) {
		if i >= crashed {
			return false
		}
		p = p.WithUnreached(at, at, fmt.Sprint(i), false, size)
		if p.Lost() {
			return true
		}
		at = at.Add(time.Millisecond)
	}
	return p.Lost()
}
