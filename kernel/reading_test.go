package kernel_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

const (
	// followerStep is the resolution of the simulated time; the other times are those of package follow.
	followerStep          = 10 * time.Millisecond
	followerPollInterval  = 500 * time.Millisecond
	followerMinInterval   = 200 * time.Millisecond
	followerRetryInterval = 100 * time.Millisecond
	followerMaxAttempts   = 3
	followerLongPoll      = 400 * time.Millisecond
	followerCallTimeout   = 400 * time.Millisecond
	followerStoreInterval = 900 * time.Millisecond
	followerStoreRetry    = 300 * time.Millisecond
	followerMaxAge        = 2 * time.Second
	// followerOverdue is how long a node waits for an answer of the store before it takes the store for lost.
	followerOverdue = 200 * time.Millisecond
	// followerMaxKeyAge is how old the routing may be for API keys to be trusted.
	followerMaxKeyAge = 4500 * time.Millisecond
)

type (
	// followerSim simulates nodes that follow one table of the store, in virtual time.
	followerSim struct {
		now    time.Time
		random *rand.Rand
		peers  []kernel.Peer
		nodes  map[string]*followerNode
		// storeAnswers tells whether the store answers a node, and suspended whether a node is.
		storeAnswers func(node string) bool
		suspended    func(node string) bool
		// storeSilent is true if a node that the store does not answer notices that only after followerOverdue.
		storeSilent bool
		// storeCalls counts the calls to the store by the failure domain of the node that made them.
		storeCalls map[string]int
		// asked counts the questions to each node.
		asked map[string]int
	}

	followerNode struct {
		kernel.Peer
		selector   *kernel.SourceSelector
		provenAt   time.Time
		readsStore bool
		storeDown  bool
		// nextPoll and nextStoreCall are the times at which it next asks other nodes and next reads the store. While it
		// waits for the answer of pendingSource to a long poll, longPollEnd is when that answer comes at the latest.
		nextPoll, nextStoreCall time.Time
		pendingSource           string
		longPollEnd             time.Time
		suspects                map[string]bool
		// storeFailsAt is when the node notices that the store does not answer its call; zero if there is none.
		storeFailsAt time.Time
		// knownLost holds the nodes that have said in their last answer that the store does not answer them.
		knownLost map[string]bool
	}
)

func newFollowerSim(seed uint64, domains, nodesPerDomain int) *followerSim {
	f := &followerSim{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*followerNode{}, storeCalls: map[string]int{}, asked: map[string]int{},
		storeAnswers: func(string) bool { return true }, suspended: func(string) bool { return false },
	}
	for d := range domains {
		for n := range nodesPerDomain {
			p := kernel.Peer{Name: fmt.Sprintf("node-%d-%d", d, n), Domain: fmt.Sprint("domain-", d), Capacity: 1}
			f.peers = append(f.peers, p)
			f.nodes[p.Name] = &followerNode{
				Peer: p, selector: kernel.NewSourceSelector(p.Name, p.Domain, followerMaxAge), provenAt: f.now, suspects: map[string]bool{}, knownLost: map[string]bool{},
				nextPoll: f.now.Add(time.Duration(f.random.Int64N(int64(followerPollInterval)))),
			}
		}
	}
	return f
}

// run advances the time and calls onStep after each step.
func (f *followerSim) run(duration time.Duration, onStep func()) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(followerStep) {
		for _, p := range f.peers {
			if n := f.nodes[p.Name]; !f.suspended(p.Name) {
				f.step(n)
			}
		}
		onStep()
	}
}

func (f *followerSim) step(n *followerNode) {
	if n.readsStore && !f.now.Before(n.nextStoreCall) {
		f.readStore(n)
	}
	if !n.storeFailsAt.IsZero() && !f.now.Before(n.storeFailsAt) {
		f.recordStoreFailure(n)
	}
	if n.pendingSource != "" {
		f.awaitAnswer(n)
		return
	}
	if !f.now.Before(n.nextPoll) {
		f.pollSources(n, 0)
	}
}

// readStore reads the store, or records that it does not answer.
func (f *followerSim) readStore(n *followerNode) {
	f.storeCalls[n.Domain]++
	n.nextStoreCall = f.now.Add(time.Duration(float64(followerStoreRetry) * (0.75 + f.random.Float64()/2)))
	if !f.storeAnswers(n.Name) {
		n.storeFailsAt = f.now
		if f.storeSilent {
			n.storeFailsAt = f.now.Add(followerOverdue)
			n.nextStoreCall = n.nextStoreCall.Add(followerOverdue)
			return
		}
		f.recordStoreFailure(n)
		return
	}
	n.storeDown, n.storeFailsAt = false, time.Time{}
	n.provenAt = f.now
	n.nextStoreCall = f.now.Add(followerStoreInterval)
}

// recordStoreFailure records that the store has not answered a node.
func (f *followerSim) recordStoreFailure(n *followerNode) {
	n.storeDown, n.storeFailsAt = true, time.Time{}
	if !n.readsStore {
		n.selector.RecordProbe(f.now, false)
	}
}

// plan returns where a node gets its data from, given the nodes that it reaches.
func (f *followerSim) plan(n *followerNode) kernel.SourcePlan {
	reachable := f.peers
	if len(n.suspects) > 0 {
		reachable = slices.DeleteFunc(slices.Clone(f.peers), func(p kernel.Peer) bool { return n.suspects[p.Name] })
	}
	return n.selector.Plan(f.now, reachable, n.storeLost())
}

// storeLost reports whether the node reads the store and gets no answer.
func (n *followerNode) storeLost() bool { return n.readsStore && n.storeDown }

// saysLost reports whether a node answers others that the store does not answer it.
func (f *followerSim) saysLost(n *followerNode) bool {
	return n.storeLost() || n.selector.ProbeFailed(f.now)
}

// pollSources asks other nodes one after the other until an answer suffices; the last one may delay its answer.
func (f *followerSim) pollSources(n *followerNode, attempts int) {
	plan := f.plan(n)
	for ; attempts < followerMaxAttempts && plan.Source != ""; attempts++ {
		f.probeForReader(n)
		source := f.nodes[plan.Source]
		if f.suspended(source.Name) {
			n.suspects[source.Name] = true
			n.nextPoll = f.now.Add(followerCallTimeout)
			return
		}
		f.recordPoll(source, n)
		if f.waits(n, source) {
			n.pendingSource, n.longPollEnd = source.Name, f.now.Add(followerLongPoll)
			return
		}
		if f.applyAnswer(n, source) {
			f.endPoll(n, f.plan(n), followerMinInterval)
			return
		}
		plan = f.plan(n)
	}
	f.endFailedPoll(n, plan)
}

// probeForReader has the head of a failure domain ask the store while the readers are lost.
func (f *followerSim) probeForReader(n *followerNode) {
	if n.selector.ShouldProbeForReader(f.now) {
		f.readStore(n)
		if f.storeAnswers(n.Name) {
			n.selector.RecordProbe(f.now, true)
		}
	}
}

// endFailedPoll ends a poll in which no answer sufficed.
func (f *followerSim) endFailedPoll(n *followerNode, plan kernel.SourcePlan) {
	pause := followerPollInterval
	if plan.Source != "" {
		pause = followerRetryInterval
	}
	f.endPoll(n, plan, pause)
	if !plan.ReadStore && n.selector.ShouldProbeStore(f.peers, f.random.Float64()) {
		f.readStore(n)
		n.selector.RecordProbe(f.now, f.storeAnswers(n.Name))
		f.endPoll(n, f.plan(n), pause)
	}
}

// waits reports whether a node that is asked waits before it answers: for recent data that is newer than what the other
// node has.
func (f *followerSim) waits(n, source *followerNode) bool {
	if f.saysLost(source) && !n.knownLost[source.Name] {
		return false
	}
	return f.now.Sub(source.provenAt) > followerMaxAge || !source.provenAt.After(n.provenAt)
}

// recordPoll tells the node that is asked about the one that asks it, whose data may be more recent.
func (f *followerSim) recordPoll(asked, poller *followerNode) {
	f.asked[asked.Name]++
	if asked.storeLost() && poller.provenAt.After(asked.provenAt) {
		asked.selector.RecordFresherNode(f.now, poller.Name)
	}
}

// awaitAnswer ends a long poll once the source has recent data, is suspended or has answered late.
func (f *followerSim) awaitAnswer(n *followerNode) {
	source := f.nodes[n.pendingSource]
	if f.suspended(source.Name) {
		if !f.now.Before(n.longPollEnd.Add(followerCallTimeout)) {
			n.pendingSource = ""
			n.suspects[source.Name] = true
		}
		return
	}
	if f.waits(n, source) && f.now.Before(n.longPollEnd) {
		return
	}
	n.pendingSource = ""
	if f.applyAnswer(n, source) {
		f.endPoll(n, f.plan(n), followerMinInterval)
		return
	}
	f.endFailedPoll(n, f.plan(n))
}

// applyAnswer applies the answer of a source and reports whether it suffices.
func (f *followerSim) applyAnswer(n, source *followerNode) bool {
	if source.provenAt.After(n.provenAt) {
		n.provenAt = source.provenAt
	}
	n.knownLost[source.Name] = f.saysLost(source)
	return n.selector.RecordAnswer(f.now, source.Name, kernel.SourceAnswer{StoreLost: f.saysLost(source), Age: f.now.Sub(source.provenAt)})
}

// endPoll applies a plan and sets the time of the next poll.
func (f *followerSim) endPoll(n *followerNode, plan kernel.SourcePlan, pause time.Duration) {
	if plan.ReadStore && !n.readsStore {
		n.nextStoreCall = f.now
	}
	if !plan.ReadStore {
		n.storeDown = false
	}
	n.readsStore = plan.ReadStore
	n.nextPoll = f.now.Add(pause)
}

// maxAge returns the greatest age of the data of the nodes that are not suspended.
func (f *followerSim) maxAge() time.Duration {
	oldest := time.Duration(0)
	for _, n := range f.nodes {
		if !f.suspended(n.Name) {
			oldest = max(oldest, f.now.Sub(n.provenAt))
		}
	}
	return oldest
}

func (f *followerSim) totalStoreCalls() int {
	total := 0
	for _, calls := range f.storeCalls {
		total += calls
	}
	return total
}

// designatedReaders returns the nodes that are designated to read the store, as any node sees it.
func (f *followerSim) designatedReaders() map[string]bool {
	out := map[string]bool{}
	for _, name := range kernel.NodesByHash("reader", f.peers)[:2] {
		out[name] = true
	}
	return out
}

// noAction is the onStep of runs that need none.
func noAction() {}

// An outage of the store must not cost more calls with more nodes; while the store answers, a fleet reads once per
// interval. When each node that found its reader's data too old read the store itself,
// repeatedly, and so did each node that took the place of a failing reader, a store that was silent for 6 s got
// 5,096 calls from 195 nodes within 20 s, and 149 of them became readers within two seconds.
func TestUnavailableStoreGetsFewCalls(t *testing.T) {
	const outage = 6 * time.Second
	for _, nodesPerDomain := range []int{8, 39} {
		f := newFollowerSim(uint64(nodesPerDomain), 5, nodesPerDomain)
		f.run(5*time.Second, noAction)
		must.LessEq(t, 10, f.totalStoreCalls(), must.Sprint(nodesPerDomain, " nodes a domain: before the outage"))
		f.storeCalls = map[string]int{}
		f.storeAnswers = func(string) bool { return false }
		f.run(outage, noAction)
		must.LessEq(t, 600, f.totalStoreCalls(), must.Sprint(nodesPerDomain, " nodes a domain: during the outage"))
		f.storeAnswers = func(string) bool { return true }
		f.run(500*time.Millisecond, noAction)
		must.LessEq(t, time.Second, f.maxAge(), must.Sprint(nodesPerDomain, " nodes a domain: half a second after the store's return"))
		f.storeCalls = map[string]int{}
		f.run(5*time.Second, noAction)
		f.storeCalls = map[string]int{}
		f.run(5*time.Second, noAction)
		must.LessEq(t, 10, f.totalStoreCalls(), must.Sprint(nodesPerDomain, " nodes a domain: after the outage"))
	}
}

// A store that answers only some nodes is found by a probe of one that it answers, and all others follow that one, even
// if it refuses exactly the designated readers.
func TestPartlyAvailableStoreIsFound(t *testing.T) {
	for seed := range uint64(10) {
		for _, nodesPerDomain := range []int{3, 8} {
			f := newFollowerSim(seed, 3, nodesPerDomain)
			f.run(5*time.Second, noAction)
			readers := f.designatedReaders()
			f.storeAnswers = func(node string) bool { return !readers[node] }
			oldest := time.Duration(0)
			f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
			must.Less(t, followerMaxKeyAge, oldest, must.Sprint("seed ", seed, ", ", nodesPerDomain, " nodes a domain: the designated readers refused"))
		}
	}
	for seed := range uint64(2) {
		f := newFollowerSim(seed, 5, 39)
		f.run(5*time.Second, noAction)
		refused := map[string]bool{}
		for _, p := range f.peers {
			refused[p.Name] = f.random.Float64() < 0.35
		}
		f.storeAnswers = func(node string) bool { return !refused[node] }
		oldest := time.Duration(0)
		f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
		must.Less(t, followerMaxKeyAge, oldest, must.Sprint("seed ", seed, ": a third refused"))
	}
}

// A node that is the only one that the store refuses, and a node that reaches no other node, stay current.
func TestIsolatedNodeStaysCurrent(t *testing.T) {
	for _, isolated := range []string{"node-0-0", "node-0-1", "node-0-2", "node-0-3"} {
		f := newFollowerSim(1, 3, 4)
		f.storeAnswers = func(node string) bool { return node != isolated }
		oldest := time.Duration(0)
		f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
		must.Less(t, followerMaxKeyAge, oldest, must.Sprint(isolated, " is refused by the store"))

		f = newFollowerSim(1, 3, 4)
		for _, p := range f.peers {
			f.nodes[isolated].suspects[p.Name] = p.Name != isolated
		}
		oldest = 0
		f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
		must.Less(t, followerMaxKeyAge, oldest, must.Sprint(isolated, " reaches no other node"))
	}
}

// Suspended nodes, the designated readers among them, make no other node's data stale.
func TestSuspendedReadersDoNotMakeOthersStale(t *testing.T) {
	f := newFollowerSim(3, 3, 8)
	f.run(5*time.Second, noAction)
	readers := f.designatedReaders()
	f.suspended = func(node string) bool { return readers[node] }
	oldest := time.Duration(0)
	f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
	must.Less(t, followerMaxKeyAge, oldest)
}

// newCountedSim returns nodes that have found whom to follow, and counts from then on what they are asked.
func newCountedSim(nodes int) *followerSim {
	f := newFollowerSim(uint64(nodes), 5, nodes/5)
	f.run(3*time.Second, noAction)
	f.asked = map[string]int{}
	return f
}

// mostAsked returns the node that was asked most, and how often.
func (f *followerSim) mostAsked() (node string, times int) {
	for name, n := range f.asked {
		if n > times || n == times && name < node {
			node, times = name, n
		}
	}
	return node, times
}

// What a node answers to others must not grow with the fleet, and neither must the store's calls, while every node stays
// nearly as recent as the one that reads. With a reader for each failure domain that all others of the domain asked, it
// answered 200 nodes twice a second at 1,000 nodes, and the store was read by each domain.
func TestFollowersOfLargeFleet(t *testing.T) {
	const seconds = 3
	for _, nodes := range []int{100, 500} {
		f := newCountedSim(nodes)
		f.storeCalls = map[string]int{}
		oldest := time.Duration(0)
		f.run(seconds*time.Second, func() { oldest = max(oldest, f.maxAge()) })
		node, times := f.mostAsked()
		// The most is a head of a failure domain, or a reader: four followers, or the other reader and five heads.
		must.LessEq(t, 8*seconds*3, times, must.Sprintf("%d nodes: questions to %s", nodes, node))
		must.LessEq(t, 2*seconds, f.totalStoreCalls(), must.Sprintf("%d nodes", nodes))
		must.LessEq(t, followerStoreInterval+time.Second, oldest, must.Sprintf("%d nodes: age of the oldest data", nodes))
	}
}

// A node that others follow is killed, or hangs: those behind it follow others, and fall behind by at most a second.
func TestSuspendedNodeOfTreeDelaysNobody(t *testing.T) {
	f := newCountedSim(500)
	f.run(time.Second, noAction)
	calm := time.Duration(0)
	f.run(2*time.Second, func() { calm = max(calm, f.maxAge()) })
	lost, _ := f.mostAsked()
	f.suspended = func(node string) bool { return node == lost }
	oldest := time.Duration(0)
	f.run(4*time.Second, func() { oldest = max(oldest, f.maxAge()) })
	must.LessEq(t, calm+time.Second, oldest, must.Sprint(lost, " hangs"))
}

// After a simultaneous start the tables pass from node to node: one that has none yet is asked again before others are, but not
// for good, and not if the store does not answer it.
func TestStartingSourceIsAskedAgain(t *testing.T) {
	f := newFollowerSim(1, 2, 20)
	self := f.peers[3]
	newSelector := func() (*kernel.SourceSelector, string) {
		s := kernel.NewSourceSelector(self.Name, self.Domain, followerMaxAge)
		return s, s.Plan(f.now, f.peers, false).Source
	}
	s, source := newSelector()
	for range 5 {
		must.True(t, s.RecordAnswer(f.now, source, kernel.SourceAnswer{Starting: true}))
		must.EqOp(t, source, s.Plan(f.now, f.peers, false).Source)
	}
	must.False(t, s.RecordAnswer(f.now, source, kernel.SourceAnswer{Starting: true}))
	must.NotEq(t, source, s.Plan(f.now, f.peers, false).Source)
	s, source = newSelector()
	must.False(t, s.RecordAnswer(f.now, source, kernel.SourceAnswer{Starting: true, StoreLost: true}))
	must.NotEq(t, source, s.Plan(f.now, f.peers, false).Source)
}
