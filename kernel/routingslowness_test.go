package kernel_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Guards against choices that change where the slowness is not known: they are those of two choices by load, with the same
// random numbers. The loads of other nodes' calls are left out.
func TestChoicesWithoutSlownessAreByLoad(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		cs := candidates(1 + rng.IntN(9))
		for i := range cs {
			cs[i].InFlight = rng.IntN(4)
		}
		domain, first, second := []string{"zorrotza", "basauri", "none"}[rng.IntN(3)], rng.Float64(), rng.Float64()
		var own []int
		loads := make([]int, len(cs))
		for i, c := range cs {
			loads[i] = c.InFlight
			if c.Endpoint.FailureDomain == domain {
				own = append(own, i)
			} else {
				loads[i]++
			}
		}
		want, other := int(first*float64(len(cs))), int(second*float64(len(cs)))
		if len(own) > 0 {
			want = own[int(first*float64(len(own)))]
		}
		if want == other {
			other = (other + 1) % len(cs)
		}
		if loads[other] < loads[want] {
			want = other
		}
		must.EqOp(t, want, kernel.PickTwoChoices(testStart, cs, domain, first, second))
	}
}

// Guards against slow endpoints that are preferred because they have fewer requests, and against ones that stay idle
// while requests wait elsewhere.
func TestSlownessCountsWithLoad(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		slowness float64
		// load is that of the endpoint of usual speed, which has two slots.
		load int
		slow bool
	}{
		"both idle":           {3, 0, false},
		"other one is busy":   {3, 2, false},
		"other one is queued": {3, 8, true},
		"little slower":       {1.1, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cs := candidates(2)
			for i := range cs {
				cs[i].Endpoint.FailureDomain, cs[i].Load.Slots, cs[i].LoadAt = "x", 2, testStart
			}
			cs[0].Slowness, cs[1].Slowness = tc.slowness, 1
			cs[1].Load.Running = tc.load
			for _, first := range []float64{0.2, 0.8} {
				must.EqOp(t, tc.slow, kernel.PickTwoChoices(testStart, cs, "x", first, 0.7) == 0)
			}
			must.EqOp(t, tc.slow, kernel.PickPrefix(testStart, cs, "agreement-17") == 0 || tc.slowness < 2)
		})
	}
}

// Guards against prefixes that stay at a slow engine, and against prefixes of other engines that move because of it.
func TestPrefixPassesOverSlowEndpoint(t *testing.T) {
	t.Parallel()
	cs := candidates(12)
	for i := range cs {
		cs[i].Slowness, cs[i].Load.Slots = 1, 4
	}
	const slow = 5
	moved := 0
	for i := range 300 {
		prefix := fmt.Sprint("prefix-", i)
		cs[slow].Slowness = 1
		before := kernel.PickPrefix(testStart, cs, prefix)
		cs[slow].Slowness = 1.5
		must.EqOp(t, before, kernel.PickPrefix(testStart, cs, prefix), must.Sprint("reading the prefix anew costs more"))
		cs[slow].Slowness = 3
		after := kernel.PickPrefix(testStart, cs, prefix)
		must.NotEqOp(t, slow, after)
		if after != before {
			must.EqOp(t, slow, before)
			moved++
		}
	}
	must.Between(t, 10, moved, 45)
}

// Guards against a node that knows only overloaded endpoints and keeps to them, since others have not reported lately.
func TestUnreportedEndpointIsPreferredToOverloadedOnes(t *testing.T) {
	t.Parallel()
	cs := candidates(12)
	for i := range cs {
		cs[i].Slowness = 1
		if i > 0 {
			cs[i].Load, cs[i].LoadAt = model.Load{Running: 2, Queued: 9, Slots: 2}, testStart.Add(-100*time.Millisecond)
		}
	}
	must.EqOp(t, 0, kernel.PickTwoChoices(testStart, cs, "zorrotza", 0.1, 0.9))
}
