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

const (
	helperFleet = 400
	// helperRounds is how many requests each node that is cut off gets, one a helperPause.
	helperRounds = 60
	helperPause  = 70 * time.Millisecond
)

// cutFleetSim is a fleet of which some nodes do not reach the endpoints of a pool. Each has a view of the others of its own.
type cutFleetSim struct {
	random *rand.Rand
	cut    []bool
	views  [][]kernel.Helper
	// served and asked count, by node, the requests that it sent for others, and the questions.
	served []int
	asked  int
}

func newCutFleetSim(seed uint64, cut int) *cutFleetSim {
	s := &cutFleetSim{random: rand.New(rand.NewPCG(seed, 1)), cut: make([]bool, helperFleet), served: make([]int, helperFleet)}
	for _, i := range s.random.Perm(helperFleet)[:cut] {
		s.cut[i] = true
	}
	for i := range helperFleet {
		var view []kernel.Helper
		for k := range helperFleet {
			// Views differ: each node misses some of the others.
			if k != i && s.random.Float64() < 0.97 {
				view = append(view, kernel.Helper{Peer: kernel.Peer{Name: fmt.Sprint(k), Capacity: 0.4 + 0.8*float64(k%3)}})
			}
		}
		s.views = append(s.views, view)
	}
	return s
}

// send sends one request of a node through another one and reports whether one took it.
func (s *cutFleetSim) send(now time.Time, node int) bool {
	view := s.views[node]
	tried := map[int]bool{}
	for range kernel.MaxHelpersAsked {
		var candidates []kernel.Helper
		var indexes []int
		for i, h := range view {
			if !tried[i] {
				candidates, indexes = append(candidates, h), append(indexes, i)
			}
		}
		picked := kernel.PickHelper(now, candidates, s.random.Float64(), s.random.Float64(), s.random.Float64())
		if picked < 0 {
			return false
		}
		i := indexes[picked]
		tried[i] = true
		s.asked++
		var other int
		_, _ = fmt.Sscan(view[i].Name, &other)
		if s.cut[other] {
			view[i].DeclinedAt = now
			continue
		}
		view[i].AcceptedAt, view[i].Load, view[i].LoadAt = now, float64(s.served[other]%7), now
		s.served[other]++
		return true
	}
	return false
}

// sendRound sends one request of each node that is cut off and returns how many were refused.
func (s *cutFleetSim) sendRound(round int) int {
	now := time.Unix(1000, 0).Add(time.Duration(round) * helperPause)
	refused := 0
	for node, cut := range s.cut {
		if cut && !s.send(now, node) {
			refused++
		}
	}
	return refused
}

// A third and three quarters of 400 nodes are cut off, and know nothing of each other: their requests are taken, by nodes in
// proportion to their capacity, without asking for each anew. Guards against a single node that gets all of them, and
// against requests that are refused although a quarter of the fleet reaches the pool.
func TestRequestsOfCutOffNodesAreSpread(t *testing.T) {
	for _, cut := range []int{130, 300} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			s := newCutFleetSim(7, cut)
			first := s.sendRound(0)
			later := 0
			for round := 1; round < helperRounds; round++ {
				later += s.sendRound(round)
			}
			sent := helperRounds * cut
			must.LessEq(t, cut/5, first, must.Sprint("requests refused while nothing is known"))
			must.LessEq(t, sent/50, later, must.Sprint("requests refused later, of ", sent))
			must.LessEq(t, 3*sent, s.asked, must.Sprint("questions"))
			mean := float64(sent) / float64(helperFleet-cut)
			most := 0
			for _, served := range s.served {
				most = max(most, served)
			}
			must.LessEq(t, 4*mean, float64(most), must.Sprint("requests that one node sent for others, with a mean of ", mean))
		})
	}
}

// A node that reaches no pool either, is leaving or knows an older routing does not take requests of others.
func TestNodeDeclinesWhatItCannotSend(t *testing.T) {
	table := kernel.NewRouteTable(model.Routing{Version: 5})
	ready := kernel.HelperState{HasEndpoint: true, Routing: kernel.RoutingView{Table: table}}
	for name, tc := range map[string]struct {
		change func(*kernel.HelperState)
		offer  kernel.RelayOffer
		want   model.Reason
	}{
		"ready":             {func(*kernel.HelperState) {}, kernel.RelayOffer{Version: 5}, ""},
		"newer routing":     {func(*kernel.HelperState) {}, kernel.RelayOffer{Version: 4}, ""},
		"older routing":     {func(*kernel.HelperState) {}, kernel.RelayOffer{Version: 6}, model.StaleRouting},
		"no routing":        {func(s *kernel.HelperState) { s.Routing = kernel.RoutingView{} }, kernel.RelayOffer{}, model.NotReady},
		"cut off too":       {func(s *kernel.HelperState) { s.PathLost = true }, kernel.RelayOffer{}, model.EndpointsUnreachable},
		"leaving":           {func(s *kernel.HelperState) { s.Leaving = true }, kernel.RelayOffer{}, model.Draining},
		"no endpoint":       {func(s *kernel.HelperState) { s.HasEndpoint = false }, kernel.RelayOffer{}, model.NoEndpoint},
		"too many bodies":   {func(s *kernel.HelperState) { s.HeldBytes = 20 << 20 }, kernel.RelayOffer{BodyBytes: 8 << 20}, model.Overloaded},
		"bodies, but small": {func(s *kernel.HelperState) { s.HeldBytes = 20 << 20 }, kernel.RelayOffer{BodyBytes: 1 << 20}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			state := ready
			tc.change(&state)
			must.EqOp(t, tc.want, kernel.DeclineRelay(state, tc.offer))
		})
	}
}

// A node whose only helper did not answer once asks it again soon. Guards against refusing all requests for a second after
// one lost answer: in a fleet of three with two nodes cut off, 31 of 60 requests were refused.
func TestOnlyHelperIsAskedAgainSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		declined []time.Duration
		want     int
	}{
		"only one, just declined":          {[]time.Duration{100 * time.Millisecond}, -1},
		"only one, declined before":        {[]time.Duration{300 * time.Millisecond}, 0},
		"another one has not":              {[]time.Duration{300 * time.Millisecond, 0}, 1},
		"all declined, one of them before": {[]time.Duration{100 * time.Millisecond, 900 * time.Millisecond}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var helpers []kernel.Helper
			for _, ago := range tc.declined {
				h := kernel.Helper{Peer: kernel.Peer{Name: "n", Capacity: 1}}
				if ago > 0 {
					h.DeclinedAt = now.Add(-ago)
				}
				helpers = append(helpers, h)
			}
			must.EqOp(t, tc.want, kernel.PickHelper(now, helpers, 0.9, 0.5, 0.5))
		})
	}
}
