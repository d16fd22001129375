package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Seen: of 400 nodes before three endpoints that all state rate caps 12 may send, so most requests are refused while the
// endpoints take more. Cause: only the nodes that share a cap could use it. Proved by: this test with nobody asking, where
// some hundredth part of what an endpoint takes reaches it.

// askingFleet is nodes that get requests evenly, and ask those that share the cap for permits.
type askingFleet struct {
	*cappedFleet
	permits   map[string]kernel.Permits
	desks     map[string]kernel.PermitIssuer
	questions int
}

func (f *askingFleet) node(name string) *cappedNode {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// serve tells whether a request that comes to a node may be sent.
func (f *askingFleet) serve(n *cappedNode, asks bool) bool {
	if f.belief.Due(f.now, n.sentAt, n.place) {
		n.sentAt = f.now
		return true
	}
	if !asks {
		return false
	}
	permits := f.permits[n.name].WithSharers(kernel.CapSharers(f.now, n.settled, "engine"), n.name)
	sharer, ok := permits.Choose(f.now, f.rng.Float64())
	if !ok {
		return false
	}
	f.questions++
	granted, wait := f.ask(sharer)
	if !granted {
		permits = permits.WithDenial(f.now, sharer, wait)
	}
	f.permits[n.name] = permits
	return granted
}

func (f *askingFleet) ask(name string) (granted bool, wait time.Duration) {
	sharer := f.node(name)
	if sharer == nil || sharer.down {
		return false, 0
	}
	f.desks[name], granted, wait = f.desks[name].Permit(f.now, f.belief, sharer.sentAt, sharer.place)
	if granted {
		sharer.sentAt = f.now
	}
	return granted, wait
}

// play has requests come to nodes drawn at random, so many a second in all, and returns the most that arrive at the endpoint
// in a window, and how many a second in all.
func (f *askingFleet) play(length time.Duration, demand float64, asks bool, trouble func(*cappedFleet)) (most int, perSecond float64) {
	start := f.now
	var arrivals []time.Time
	for step := time.Duration(0); step < length; step += capStep {
		f.now = start.Add(step)
		if step == capTrouble {
			trouble(f.cappedFleet)
		}
		for _, n := range f.nodes {
			if !n.down && step%capLook == 0 {
				n.look(f.now)
			}
		}
		for due := demand * capStep.Seconds(); due > 0; due-- {
			n := f.nodes[f.rng.IntN(len(f.nodes))]
			if f.rng.Float64() < due && !n.down && f.serve(n, asks) {
				arrivals = append(arrivals, f.now.Add(f.delay()))
			}
		}
	}
	return mostWithin(arrivals, capWindow), float64(len(arrivals)) / length.Seconds()
}

func newAskingFleet(nodes int, perSecond float64) *askingFleet {
	return &askingFleet{cappedFleet: newCappedFleet(uint64(nodes), nodes, perSecond), permits: map[string]kernel.Permits{}, desks: map[string]kernel.PermitIssuer{}}
}

// Requests that come to any node of a fleet use most of what an endpoint with a rate cap takes, and no more, whoever joins,
// leaves, is lost or starts again.
func TestAnyNodeUsesARateCapByPermits(t *testing.T) {
	t.Parallel()
	for name, trouble := range cappedTroubles {
		for nodes, rates := range map[int][]float64{8: {0, 1, 1.4, 8}, 76: {1.4, 8}, 400: {1}} {
			for _, perSecond := range rates {
				t.Run(fmt.Sprintf("%s/%d nodes/%v a second", name, nodes, perSecond), func(t *testing.T) {
					t.Parallel()
					f := newAskingFleet(nodes, perSecond)
					most, got := f.play(capLength, 3*perSecond+1, true, trouble)
					must.LessEq(t, int(1.5*perSecond*capWindow.Seconds()+5), most)
					if name == "none" {
						must.GreaterEq(t, 0.6*perSecond, got)
					}
				})
			}
		}
	}
}

// The same at the size of the whole fleet.
func TestAnyNodeOfALargeFleetUsesARateCapByPermits(t *testing.T) {
	t.Parallel()
	f := newAskingFleet(400, 1)
	most, got := f.play(capLength, 4, true, cappedTroubles["half start again"])
	must.LessEq(t, 11, most)
	must.GreaterEq(t, 0.5, got)
}

// Without permits the nodes that share a cap use of it what comes to them.
func TestFewNodesUseLittleOfARateCap(t *testing.T) {
	t.Parallel()
	_, got := newAskingFleet(400, 8).play(capLength, 25, false, func(*cappedFleet) {})
	must.LessEq(t, 0.5, got)
}

// Nodes that are turned away ask again when their turn comes: the questions are bounded by what the endpoint takes, not by
// the requests.
func TestNodesRarelyAskInVainForAPermit(t *testing.T) {
	t.Parallel()
	f := newAskingFleet(400, 1)
	f.play(capLength, 400, true, func(*cappedFleet) {})
	const sharers, turn = 4, 5.0
	bound := capLength.Seconds() * (2 + sharers*400/turn)
	must.LessEq(t, bound, float64(f.questions))
}

// A desk lets one through when the cap allows, tells the others their turns, and gives none where the node does not share
// the cap.
func TestPermitDesk(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	one := kernel.CapView{}.WithNotice(now, model.NewRateCap(1))
	desk, granted, _ := kernel.PermitIssuer{}.Permit(now, one, now.Add(-4*time.Second), 0)
	must.True(t, granted)
	for _, want := range []time.Duration{3 * time.Second, 5 * time.Second, 5 * time.Second} {
		var wait time.Duration
		desk, granted, wait = desk.Permit(now.Add(time.Second), one, now, 0)
		must.False(t, granted)
		must.EqOp(t, want, wait)
	}
	_, granted, wait := desk.Permit(now.Add(5*time.Second), one, now.Add(4*time.Second), 0)
	must.False(t, granted)
	must.EqOp(t, 3*time.Second, wait, must.Sprint("who was turned away before the last send is not waited for"))
	_, granted, _ = desk.Permit(now.Add(time.Hour), one, now, 4)
	must.False(t, granted)
	_, granted, _ = desk.Permit(now.Add(time.Hour), kernel.CapView{}, now, 0)
	must.False(t, granted)
}

// A node that was turned away, or not answered, asks another one.
func TestPermitsAreAskedForElsewhereAfterADenial(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	p := kernel.Permits{}.WithSharers([]string{"a", "self", "b"}, "self")
	first, ok := p.Choose(now, 0)
	must.True(t, ok)
	p = p.WithDenial(now, first, 2*time.Second)
	second, ok := p.Choose(now, 0)
	must.True(t, ok)
	must.NotEq(t, first, second)
	p = p.WithDenial(now, second, 0)
	_, ok = p.Choose(now, 0)
	must.False(t, ok)
	at, known := p.Next()
	must.True(t, known)
	must.EqOp(t, now.Add(time.Second), at)
	again, _ := p.Choose(at, 0)
	must.EqOp(t, second, again)
	_, known = kernel.Permits{}.Next()
	must.False(t, known)
}

// The endpoint may have been forgotten, and its sharers with it, by the time that one of them answers.
func TestADenialForAnEndpointThatWasForgotten(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	p := kernel.Permits{}.WithDenial(now, "a", time.Second).WithSharers([]string{"a", "b"}, "self")
	sharer, ok := p.Choose(now, 0)
	must.True(t, ok)
	must.EqOp(t, "b", sharer)
}
