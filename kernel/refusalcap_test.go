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

// refusalSim is a fleet that sends to one endpoint with a refusal cap, in steps of a millisecond.
type refusalSim struct {
	random  *rand.Rand
	now     time.Time
	stated  model.RateCap
	room    int
	slots   int
	nodes   []*refusalNode
	running []refusalRun
	// refusals are the times of all refusals, and served counts the requests that the endpoint ran.
	refusals []time.Time
	served   int
	// senders are the names of the nodes that may send.
	senders []string
	byName  map[string]*refusalNode
}

type refusalNode struct {
	name      string
	announced []kernel.Peer
	startedAt time.Time
	role      kernel.RefusalRole
	window    kernel.RefusalWindow
	inFlight  int
	// knows is when the node learns that the endpoint states a cap.
	knows time.Time
}

type refusalRun struct {
	node    *refusalNode
	ends    time.Time
	refused bool
}

const (
	refusalRoundTrip = 4 * time.Millisecond
	refusalService   = 60 * time.Millisecond
)

func newRefusalSim(seed uint64, nodes, refusals, room, slots int, missing float64) *refusalSim {
	s := &refusalSim{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0), stated: model.NewRateCap(float64(refusals)), room: room, slots: slots, byName: map[string]*refusalNode{}}
	for i := range nodes {
		n := &refusalNode{name: fmt.Sprint("node-", i)}
		for k := range nodes {
			if k == i || s.random.Float64() >= missing {
				n.announced = append(n.announced, kernel.Peer{Name: fmt.Sprint("node-", k)})
			}
		}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
	return s
}

// step lets a millisecond pass, in which each of the given number of requests arrives at a random node.
func (s *refusalSim) step(arrivals float64) {
	s.now = s.now.Add(time.Millisecond)
	kept := s.running[:0]
	for _, run := range s.running {
		if s.now.Before(run.ends) {
			kept = append(kept, run)
			continue
		}
		if run.refused {
			run.node.window = run.node.window.WithRefused(s.now, run.node.inFlight)
		} else {
			run.node.window = run.node.window.WithAccepted(s.now, run.node.inFlight)
		}
		run.node.inFlight--
	}
	s.running = kept
	for s.random.Float64() < arrivals {
		arrivals--
		s.send(s.nodes[s.random.IntN(len(s.nodes))])
	}
}

// arrive has a request arrive at a random node, which sends it or has one of the senders do so.
func (s *refusalSim) arrive() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if s.send(n) {
		return
	}
	if s.senders == nil {
		s.senders = kernel.RefusalSenderNames(s.stated, s.slots, "endpoint", n.announced)
	}
	for _, i := range s.random.Perm(len(s.senders)) {
		if other := s.byName[s.senders[i]]; other != n && s.send(other) {
			return
		}
	}
}

// carried returns how many requests an endpoint without a queue can have under way on average, of those that are offered (Erlang's
// loss formula).
func carried(room int, offered float64) float64 {
	blocked := 1.0
	for n := 1; n <= room; n++ {
		blocked = offered * blocked / (float64(n) + offered*blocked)
	}
	return offered * (1 - blocked)
}

// send has a node send a request, and reports whether the node may do so.
func (s *refusalSim) send(n *refusalNode) bool {
	if n.role.Expired(s.now) {
		n.role = n.role.With(s.now, n.startedAt, n.name, "endpoint", n.announced)
	}
	if !s.now.Before(n.knows) && !n.window.Admits(s.now, s.stated, s.slots, n.role, n.inFlight) {
		return false
	}
	n.window = n.window.WithSend(s.now)
	n.inFlight++
	taken := 0
	for _, run := range s.running {
		if !run.refused {
			taken++
		}
	}
	if taken >= s.room {
		s.refusals = append(s.refusals, s.now)
		s.running = append(s.running, refusalRun{node: n, ends: s.now.Add(refusalRoundTrip), refused: true})
		return true
	}
	s.served++
	s.running = append(s.running, refusalRun{node: n, ends: s.now.Add(refusalRoundTrip + time.Duration(s.random.Float64()*2*float64(refusalService)))})
	return true
}

// mostRefusals returns the greatest number of refusals in a second.
func (s *refusalSim) mostRefusals() int {
	most := 0
	for i, from := range s.refusals {
		count := 0
		for _, at := range s.refusals[i:] {
			if at.Sub(from) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// All nodes together cause no more refusals a second than the endpoint states, for any number of nodes and whatever it
// takes, and it is kept busy. Guards against a bound that each node keeps for itself.
func TestNodesStayWithinRefusalCap(t *testing.T) {
	for _, nodes := range []int{1, 3, 8, 83, 400} {
		for _, tc := range []struct{ refusals, room, slots int }{{3, 2, 8}, {3, 6, 6}, {1, 2, 6}, {0, 4, 6}, {10, 64, 64}, {5, 1, 0}} {
			t.Run(fmt.Sprint(nodes, " nodes ", tc), func(t *testing.T) {
				t.Parallel()
				s := newRefusalSim(3, nodes, tc.refusals, tc.room, tc.slots, 0)
				for range 20_000 {
					s.step(3)
				}
				must.LessEq(t, tc.refusals, s.mostRefusals())
				must.Positive(t, s.served)
			})
		}
	}
}

// Nodes that know too little of each other, or of the cap, and nodes that have started again and forgotten all, stay within
// it as well.
func TestNodesThatDisagreeStayWithinRefusalCap(t *testing.T) {
	const refusals = 4
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newRefusalSim(seed, 83, refusals, 3, 8, 0.03)
			for i := range 30_000 {
				s.step(3)
				if i%4000 == 3999 {
					n := s.nodes[s.random.IntN(len(s.nodes))]
					n.startedAt, n.window, n.inFlight = s.now, kernel.RefusalWindow{}, 0
				}
			}
			must.LessEq(t, refusals, s.mostRefusals())
		})
	}
}

// An endpoint that bears few refusals is kept busy all the same. Guards against a bound on refusals that becomes one on work: an eighth
// of what two endpoints could serve was served.
func TestRefusalCapLeavesTheRoomInUse(t *testing.T) {
	for _, nodes := range []int{3, 8, 80, 400} {
		for _, tc := range []struct{ refusals, room, slots int }{{3, 2, 8}, {3, 6, 8}, {1, 2, 8}, {10, 16, 64}} {
			for _, load := range []float64{0.5, 1, 2, 5} {
				t.Run(fmt.Sprint(nodes, " nodes ", tc, " load ", load), func(t *testing.T) {
					t.Parallel()
					s := newRefusalSim(4, nodes, tc.refusals, tc.room, tc.slots, 0)
					share := s.shareOfRoomUsed(load)
					t.Logf("%.2f of the possible, at most %d refusals a second", share, s.mostRefusals())
					must.LessEq(t, tc.refusals, s.mostRefusals())
					must.GreaterEq(t, 0.8, share)
				})
			}
		}
	}
}

// shareOfRoomUsed offers a load, relative to the endpoint's room, for a minute and returns the share that is served of what an endpoint
// without a queue could serve.
func (s *refusalSim) shareOfRoomUsed(load float64) float64 {
	const warmUp, steps = 5_000, 65_000
	stepsPerRequest := float64((refusalService + refusalRoundTrip).Milliseconds())
	offered := load * float64(s.room)
	due, before := 0.0, 0
	for i := range steps {
		if i == warmUp {
			before = s.served
		}
		s.step(0)
		for due += offered / stepsPerRequest; due >= 1; due-- {
			s.arrive()
		}
	}
	return float64(s.served-before) * stepsPerRequest / (carried(s.room, offered) * (steps - warmUp))
}
