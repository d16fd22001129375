package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// gossipSim simulates the memberships of a fleet: in each round, every node that is up sends
// heartbeats to its neighbours over links that are not cut.
type gossipSim struct {
	now     time.Time
	nodes   []*kernel.Membership
	indexes map[string]int
	down    map[int]bool
	linkCut func(a, b int) bool
}

func newGossipSim(n int) *gossipSim {
	g := &gossipSim{now: testStart, indexes: map[string]int{}, down: map[int]bool{}, linkCut: func(int, int) bool { return false }}
	all := members(n)
	for i, m := range all {
		node := kernel.NewMembership(g.now, m, "d")
		for _, other := range all {
			node.AddListed(g.now, other, "d")
		}
		g.nodes = append(g.nodes, node)
		g.indexes[m.Node] = i
	}
	return g
}

// round delivers all heartbeats of one period at the same moment, then all replies: an update
// travels at most two hops in a round.
func (g *gossipSim) round() {
	g.now = g.now.Add(500 * time.Millisecond)
	var pairs [][2]int
	for a, node := range g.nodes {
		if g.down[a] {
			continue
		}
		node.Tick(g.now)
		for _, info := range node.Neighbours() {
			b := g.indexes[info.Member.Node]
			if !g.down[b] && !g.linkCut(a, b) {
				pairs = append(pairs, [2]int{a, b})
			}
		}
	}
	g.exchange(pairs, 0, 1)
	g.exchange(pairs, 1, 0)
}

func (g *gossipSim) exchange(pairs [][2]int, from, to int) {
	all := make([][]kernel.GossipUpdate, len(pairs))
	for i, pair := range pairs {
		all[i] = g.nodes[pair[from]].PendingUpdates()
	}
	for i, pair := range pairs {
		node := g.nodes[pair[to]]
		node.RecordHeartbeat(g.now, all[i][0])
		for _, n := range all[i][1:] {
			node.Apply(g.now, n)
		}
	}
}

// countSeeing counts the nodes that are up and see exactly that many members alive.
func (g *gossipSim) countSeeing(alive int) int {
	n := 0
	for i, node := range g.nodes {
		if !g.down[i] && len(node.Alive()) == alive {
			n++
		}
	}
	return n
}

// runUntil runs rounds until all nodes that are up see that many members alive, and returns the time it took.
func (g *gossipSim) runUntil(t *testing.T, alive int) time.Duration {
	t.Helper()
	began := g.now
	for range 200 {
		g.round()
		if g.countSeeing(alive) == len(g.nodes)-len(g.down) {
			return g.now.Sub(began)
		}
	}
	t.Fatalf("%d of %d nodes see %d alive", g.countSeeing(alive), len(g.nodes)-len(g.down), alive)
	return 0
}

func TestMembershipDeadMemberIsKnownWithinSeconds(t *testing.T) {
	for _, n := range []int{2, 3, 9, 100, 400} {
		g := newGossipSim(n)
		for range 60 {
			g.round()
		}
		g.down[n/2] = true
		elapsed := g.runUntil(t, n-1)
		t.Logf("%d nodes: %s", n, elapsed)
		must.LessEq(t, 8*time.Second, elapsed)
		delete(g.down, n/2)
		must.LessEq(t, 8*time.Second, g.runUntil(t, n))
	}
}

func TestMembershipBrokenLinkDeclaresNoMemberDead(t *testing.T) {
	g := newGossipSim(9)
	g.linkCut = func(a, b int) bool { return a+b == 1 }
	for range 60 {
		g.round()
		must.EqOp(t, 9, g.countSeeing(9))
	}
}

func TestMembershipPartitionHeals(t *testing.T) {
	g := newGossipSim(9)
	g.linkCut = func(a, b int) bool { return (a < 3) != (b < 3) }
	for range 40 {
		g.round()
	}
	must.EqOp(t, 3, g.countSeeing(3))
	must.EqOp(t, 6, g.countSeeing(6))
	g.linkCut = func(int, int) bool { return false }
	t.Logf("all members alive again after %s", g.runUntil(t, 9))
}

func TestMembershipLeavingMemberIsNotAlive(t *testing.T) {
	g := newGossipSim(9)
	g.round()
	g.nodes[4].Leave(g.now)
	g.runUntil(t, 8)
	g.down[4] = true
	g.runUntil(t, 8)
}

func TestMembershipRestartReplacesIncarnation(t *testing.T) {
	m := kernel.NewMembership(testStart, members(1)[0], "d")
	old := kernel.Member{Node: "x", Incarnation: "1"}
	fresh := kernel.Member{Node: "x", Incarnation: "2"}
	m.Apply(testStart, kernel.GossipUpdate{Member: fresh, Beat: 1})
	must.False(t, m.Apply(testStart, kernel.GossipUpdate{Member: old, Beat: 99}))
	must.False(t, m.Apply(testStart, kernel.GossipUpdate{Member: old, Beat: 100, State: kernel.MemberDead}))
	must.Len(t, 2, m.Alive())
}
