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

func candidates(n int) []kernel.Candidate {
	domains := []string{"zorrotza", "basauri", "erandio"}
	out := make([]kernel.Candidate, n)
	for i := range out {
		out[i].Endpoint = model.Endpoint{
			Name: fmt.Sprintf("runner-%d", i), FailureDomain: domains[i%len(domains)], State: model.Live,
		}
	}
	return out
}

func TestUsableExcludesLeavingAndKeepsMinimum(t *testing.T) {
	now := testStart
	ejected := kernel.Health{}.WithFailure(now).WithFailure(now).WithFailure(now)
	must.False(t, ejected.Usable(now))
	cs := candidates(4)
	cs[0].Endpoint.State = model.Leaving
	cs[1].Health = ejected
	names := func(cs []kernel.Candidate) string {
		s := ""
		for _, c := range cs {
			s += c.Endpoint.Name[7:]
		}
		return s
	}
	must.EqOp(t, "23", names(kernel.Usable(now, cs, nil)))
	must.EqOp(t, "3", names(kernel.Usable(now, cs, []string{"runner-2"})))
	cs[2].Health, cs[3].Health = ejected, ejected
	must.EqOp(t, "12", names(kernel.Usable(now, cs, nil)), must.Sprint("half of the pool is used even if all of it fails"))
	must.EqOp(t, "123", names(kernel.Usable(now.Add(2*time.Second), cs, nil)), must.Sprint("ejected endpoints get a call again"))
}

func TestEjectionsLengthenAndAllowOneProbe(t *testing.T) {
	now := testStart
	h := kernel.Health{}
	var last time.Duration
	for range 8 {
		for !h.Ejected() || h.Usable(now) {
			h = h.WithProbe().WithFailure(now)
		}
		length := h.EjectedUntil.Sub(now)
		must.True(t, length >= last && length <= 30*time.Second)
		last = length
		now = h.EjectedUntil
		must.True(t, h.Usable(now))
		must.False(t, h.WithProbe().Usable(now))
	}
	must.False(t, h.WithSuccess().Ejected())
}

func TestTwoChoicesBalancesLoadAndPrefersOwnDomain(t *testing.T) {
	cs := candidates(12)
	random := rand.New(rand.NewPCG(1, 2))
	own := 0
	for range 1200 {
		i := kernel.PickTwoChoices(testStart, cs, "zorrotza", random.Float64(), random.Float64())
		cs[i].InFlight++
		if cs[i].Endpoint.FailureDomain == "zorrotza" {
			own++
		}
	}
	for _, c := range cs {
		must.Between(t, 75, c.InFlight, 125, must.Sprint(c.Endpoint.Name))
	}
	idle := candidates(12)
	i := kernel.PickTwoChoices(testStart, idle, "basauri", 0.5, 0.9)
	must.EqOp(t, "basauri", idle[i].Endpoint.FailureDomain)
	must.EqOp(t, -1, kernel.PickTwoChoices(testStart, nil, "basauri", 0, 0))
}

func TestStaleLoadReportsLoseWeight(t *testing.T) {
	cs := candidates(2)
	cs[0].Endpoint.FailureDomain, cs[1].Endpoint.FailureDomain = "x", "x"
	cs[0].Load = model.Load{Running: 8, Queued: 20, Slots: 8}
	cs[0].LoadAt = testStart
	must.EqOp(t, 1, kernel.PickTwoChoices(testStart, cs, "x", 0, 0.9))
	must.EqOp(t, 0, kernel.PickTwoChoices(testStart.Add(5*time.Second), cs, "x", 0, 0.9))
}

func TestPrefixStaysUntilEndpointIsOverloaded(t *testing.T) {
	cs := candidates(12)
	home := kernel.PickPrefix(testStart, cs, "agreement-17")
	must.EqOp(t, home, kernel.PickPrefix(testStart, cs, "agreement-17"))
	for cs[home].InFlight < 50 {
		i := kernel.PickPrefix(testStart, cs, "agreement-17")
		if i != home {
			break
		}
		cs[home].InFlight++
	}
	must.Between(t, 1, cs[home].InFlight, 3, must.Sprint("one hot prefix spills over"))
	for i := range cs {
		cs[i].Load.Slots = 4
	}
	cs[home].InFlight = 3
	must.EqOp(t, home, kernel.PickPrefix(testStart, cs, "agreement-17"))
	cs[home].InFlight = 4
	must.NotEqOp(t, home, kernel.PickPrefix(testStart, cs, "agreement-17"), must.Sprint("no free slot"))
	// Without one endpoint only the prefixes that hash to it move.
	fresh := candidates(12)
	moved := 0
	for i := range 200 {
		prefix := fmt.Sprint("p", i)
		before := fresh[kernel.PickPrefix(testStart, fresh, prefix)].Endpoint.Name
		after := fresh[:11][kernel.PickPrefix(testStart, fresh[:11], prefix)].Endpoint.Name
		if before != after {
			must.EqOp(t, "runner-11", before)
			moved++
		}
	}
	must.Between(t, 5, moved, 35)
}
