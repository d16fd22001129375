package kernel_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

const (
	// followerStep is the resolution of the simulated time; the other times are those of package follow.
	followerStep          = 10 * time.Millisecond
	followerPollInterval  = 500 * time.Millisecond
	followerRetryInterval = 100 * time.Millisecond
	followerMaxAttempts   = 3
	followerLongPoll      = 400 * time.Millisecond
	followerCallTimeout   = 400 * time.Millisecond
	followerStoreInterval = 900 * time.Millisecond
	followerStoreRetry    = 300 * time.Millisecond
	followerMaxAge        = 2 * time.Second
	followerMaxKeyAge     = 4500 * time.Millisecond
)

type (
	// followerSim simulates nodes that follow one table of the store, in virtual time.
	followerSim struct {
		now    time.Time
		random *rand.Rand
		peers  []kernel.Peer
		nodes  map[string]*followerNode
		// answers tells whether the store answers a node, and frozen whether a node is suspended.
		storeAnswers func(node string) bool
		suspended    func(node string) bool
		// calls counts the calls to the store by the failure domain of the node that made them.
		storeCalls map[string]int
	}

	followerNode struct {
		kernel.Peer
		selector   *kernel.SourceSelector
		provenAt   time.Time
		readsStore bool
		storeDown  bool
		// nextPoll and nextStoreCall are the times at which it next asks other nodes and next reads the store. While it
		// waits for the answer of pendingSource to a long poll, until is when that answer comes at the latest.
		nextPoll, nextStoreCall time.Time
		pendingSource           string
		longPollEnd             time.Time
		suspects                map[string]bool
	}
)

func newFollowerSim(seed uint64, domains, each int) *followerSim {
	f := &followerSim{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*followerNode{}, storeCalls: map[string]int{},
		storeAnswers: func(string) bool { return true }, suspended: func(string) bool { return false },
	}
	for d := range domains {
		for n := range each {
			p := kernel.Peer{Name: fmt.Sprintf("node-%d-%d", d, n), Domain: fmt.Sprint("domain-", d), Capacity: 1}
			f.peers = append(f.peers, p)
			f.nodes[p.Name] = &followerNode{
				Peer: p, selector: kernel.NewSourceSelector(p.Name, p.Domain, followerMaxAge), provenAt: f.now, suspects: map[string]bool{},
				nextPoll: f.now.Add(time.Duration(f.random.Int64N(int64(followerPollInterval)))),
			}
		}
	}
	return f
}

// run advances the time and calls look after each step.
func (f *followerSim) run(length time.Duration, look func()) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(followerStep) {
		for _, p := range f.peers {
			if n := f.nodes[p.Name]; !f.suspended(p.Name) {
				f.step(n)
			}
		}
		look()
	}
}

func (f *followerSim) step(n *followerNode) {
	if n.readsStore && !f.now.Before(n.nextStoreCall) {
		f.readStore(n)
	}
	if n.pendingSource != "" {
		f.awaitAnswer(n)
		return
	}
	if !f.now.Before(n.nextPoll) {
		f.pollSources(n, 0)
	}
}

func (f *followerSim) readStore(n *followerNode) {
	f.storeCalls[n.Domain]++
	n.storeDown = !f.storeAnswers(n.Name)
	if n.storeDown {
		n.nextStoreCall = f.now.Add(time.Duration(float64(followerStoreRetry) * (0.75 + f.random.Float64()/2)))
		return
	}
	n.provenAt = f.now
	n.nextStoreCall = f.now.Add(followerStoreInterval)
}

func (f *followerSim) plan(n *followerNode) kernel.SourcePlan {
	var reachable []kernel.Peer
	for _, p := range f.peers {
		if !n.suspects[p.Name] {
			reachable = append(reachable, p)
		}
	}
	return n.selector.Plan(f.now, reachable, n.storeLost())
}

func (n *followerNode) storeLost() bool { return n.readsStore && n.storeDown }

// pollSources asks other nodes one after the other until an answer suffices; the last one may delay its answer.
func (f *followerSim) pollSources(n *followerNode, attempts int) {
	plan := f.plan(n)
	for ; attempts < followerMaxAttempts && plan.Source != ""; attempts++ {
		source := f.nodes[plan.Source]
		if f.suspended(source.Name) {
			n.suspects[source.Name] = true
			n.nextPoll = f.now.Add(followerCallTimeout)
			return
		}
		f.recordPoll(source, n)
		if (plan.LongPoll || attempts == followerMaxAttempts-1) && f.isStale(source) {
			n.pendingSource, n.longPollEnd = source.Name, f.now.Add(followerLongPoll)
			return
		}
		if f.applyAnswer(n, source) {
			f.endPoll(n, f.plan(n), followerPollInterval)
			return
		}
		plan = f.plan(n)
	}
	f.endFailedPoll(n, plan)
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
		n.selector.RecordProbe(!n.storeDown)
		f.endPoll(n, f.plan(n), pause)
	}
}

func (f *followerSim) isStale(n *followerNode) bool {
	return n.storeLost() && f.now.Sub(n.provenAt) > followerMaxAge
}

// recordPoll tells the node that is asked about the one that asks it.
func (f *followerSim) recordPoll(asked, by *followerNode) {
	if asked.storeLost() && by.provenAt.After(asked.provenAt) {
		asked.selector.RecordFresherNode(f.now, by.Name)
	}
}

func (f *followerSim) awaitAnswer(n *followerNode) {
	source := f.nodes[n.pendingSource]
	if f.isStale(source) && f.now.Before(n.longPollEnd) && !f.suspended(source.Name) {
		return
	}
	n.pendingSource = ""
	if f.applyAnswer(n, source) {
		f.endPoll(n, f.plan(n), followerPollInterval)
		return
	}
	f.endFailedPoll(n, f.plan(n))
}

func (f *followerSim) applyAnswer(n, source *followerNode) bool {
	if source.provenAt.After(n.provenAt) {
		n.provenAt = source.provenAt
	}
	return n.selector.RecordAnswer(f.now, source.Name, kernel.SourceAnswer{StoreLost: source.storeLost(), Age: f.now.Sub(source.provenAt)})
}

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

// maxAge returns the greatest age of the data of the nodes that are not frozen.
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
	all := 0
	for _, n := range f.storeCalls {
		all += n
	}
	return all
}

// designatedReaders returns the nodes that are designated to read the store, as any node sees it.
func (f *followerSim) designatedReaders() map[string]bool {
	out := map[string]bool{}
	for _, p := range f.peers {
		// A node that reaches only one other node reads the store or follows that one.
		rank := 0
		for _, other := range f.peers {
			if other.Domain == p.Domain && kernel.NodesByHash("reader of "+p.Domain, []kernel.Peer{p, other})[0] != p.Name {
				rank++
			}
		}
		out[p.Name] = rank < 2
	}
	return out
}

func noAction() {}

// Guards against a rush on an unavailable store. When each node that found its reader's data too old read the store
// itself, repeatedly, and so did each node that took the place of a failing reader, a store that was silent for 6 s got
// 5,096 calls from 195 nodes within 20 s, and 149 of them became readers within two seconds. A fleet reads once per
// failure domain and interval while the store answers; an outage must not cost more calls with more nodes.
func TestFewNodesReadUnavailableStore(t *testing.T) {
	const outage = 6 * time.Second
	for _, each := range []int{8, 39} {
		f := newFollowerSim(uint64(each), 5, each)
		f.run(5*time.Second, noAction)
		for domain, calls := range f.storeCalls {
			must.LessEq(t, 10, calls, must.Sprint(domain, " with ", each, " nodes, calm"))
		}
		f.storeCalls = map[string]int{}
		f.storeAnswers = func(string) bool { return false }
		f.run(outage, noAction)
		must.LessEq(t, 600, f.totalStoreCalls(), must.Sprint(each, " nodes a domain"))
		f.storeAnswers = func(string) bool { return true }
		f.run(500*time.Millisecond, noAction)
		must.LessEq(t, time.Second, f.maxAge(), must.Sprint(each, " nodes a domain: half a second after the store's return"))
		f.storeCalls = map[string]int{}
		f.run(5*time.Second, noAction)
		f.storeCalls = map[string]int{}
		f.run(5*time.Second, noAction)
		must.LessEq(t, 5*10, f.totalStoreCalls(), must.Sprint(each, " nodes a domain: calm again"))
	}
}

// A store that answers only some nodes is found by a probe of one that it answers, and all others follow that one, even
// if it refuses exactly the designated readers.
func TestPartlyAvailableStoreIsFound(t *testing.T) {
	for seed := range uint64(10) {
		for _, each := range []int{3, 8} {
			f := newFollowerSim(seed, 3, each)
			f.run(5*time.Second, noAction)
			bound := f.designatedReaders()
			f.storeAnswers = func(node string) bool { return !bound[node] }
			oldest := time.Duration(0)
			f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
			must.Less(t, followerMaxKeyAge, oldest, must.Sprint("seed ", seed, ", ", each, " nodes a domain: the designated readers refused"))
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
	bound := f.designatedReaders()
	f.suspended = func(node string) bool { return bound[node] }
	oldest := time.Duration(0)
	f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
	must.Less(t, followerMaxKeyAge, oldest)
}

func TestCallTimeoutGrowsUntilAnswerInTime(t *testing.T) {
	const base, limit = 2 * time.Second, 7 * time.Second
	timeout := kernel.CallTimeout(0, base, limit, false)
	must.EqOp(t, base, timeout)
	for _, step := range []struct {
		inTime bool
		want   time.Duration
	}{{false, 4 * time.Second}, {false, limit}, {false, limit}, {true, base}, {true, base}, {false, 4 * time.Second}} {
		timeout = kernel.CallTimeout(timeout, base, limit, step.inTime)
		must.EqOp(t, step.want, timeout)
	}
}
