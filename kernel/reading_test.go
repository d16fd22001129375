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
	// readingStep is the resolution of the simulated time; the other times are those of package follow.
	readingStep          = 10 * time.Millisecond
	readingPollInterval  = 500 * time.Millisecond
	readingRetryInterval = 100 * time.Millisecond
	readingMaxAttempts   = 3
	readingLongPoll      = 400 * time.Millisecond
	readingSilence       = 400 * time.Millisecond
	readingStoreInterval = 900 * time.Millisecond
	readingStoreRetry    = 300 * time.Millisecond
	readingMaxAge        = 2 * time.Second
	readingKeyTrust      = 4500 * time.Millisecond
)

type (
	// readingFleet simulates nodes that follow one table of the store, in virtual time.
	readingFleet struct {
		now    time.Time
		random *rand.Rand
		peers  []kernel.Peer
		nodes  map[string]*readingNode
		// answers tells whether the store answers a node, and frozen whether a node is suspended.
		answers func(node string) bool
		frozen  func(node string) bool
		// calls counts the calls to the store by the failure domain of the node that made them.
		calls map[string]int
	}

	readingNode struct {
		kernel.Peer
		selector *kernel.SourceSelector
		provenAt time.Time
		reads    bool
		down     bool
		// nextPoll and nextStoreCall are the times at which it next asks other nodes and next reads the store. While it
		// waits for the answer of pendingSource to a long poll, until is when that answer comes at the latest.
		nextPoll, nextStoreCall time.Time
		pendingSource           string
		until                   time.Time
		suspects                map[string]bool
	}
)

func newReadingFleet(seed uint64, domains, each int) *readingFleet {
	f := &readingFleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*readingNode{}, calls: map[string]int{},
		answers: func(string) bool { return true }, frozen: func(string) bool { return false },
	}
	for d := range domains {
		for n := range each {
			p := kernel.Peer{Name: fmt.Sprintf("node-%d-%d", d, n), Domain: fmt.Sprint("domain-", d), Capacity: 1}
			f.peers = append(f.peers, p)
			f.nodes[p.Name] = &readingNode{
				Peer: p, selector: kernel.NewSourceSelector(p.Name, p.Domain, readingMaxAge), provenAt: f.now, suspects: map[string]bool{},
				nextPoll: f.now.Add(time.Duration(f.random.Int64N(int64(readingPollInterval)))),
			}
		}
	}
	return f
}

// run advances the time and calls look after each step.
func (f *readingFleet) run(length time.Duration, look func()) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(readingStep) {
		for _, p := range f.peers {
			if n := f.nodes[p.Name]; !f.frozen(p.Name) {
				f.step(n)
			}
		}
		look()
	}
}

func (f *readingFleet) step(n *readingNode) {
	if n.reads && !f.now.Before(n.nextStoreCall) {
		f.askStore(n)
	}
	if n.pendingSource != "" {
		f.wait(n)
		return
	}
	if !f.now.Before(n.nextPoll) {
		f.pollSources(n, 0)
	}
}

func (f *readingFleet) askStore(n *readingNode) {
	f.calls[n.Domain]++
	n.down = !f.answers(n.Name)
	if n.down {
		n.nextStoreCall = f.now.Add(time.Duration(float64(readingStoreRetry) * (0.75 + f.random.Float64()/2)))
		return
	}
	n.provenAt = f.now
	n.nextStoreCall = f.now.Add(readingStoreInterval)
}

func (f *readingFleet) plan(n *readingNode) kernel.SourcePlan {
	var reachable []kernel.Peer
	for _, p := range f.peers {
		if !n.suspects[p.Name] {
			reachable = append(reachable, p)
		}
	}
	return n.selector.Plan(f.now, reachable, n.lost())
}

func (n *readingNode) lost() bool { return n.reads && n.down }

// pollSources asks other nodes one after the other until an answer suffices; the last one may delay its answer.
func (f *readingFleet) pollSources(n *readingNode, attempts int) {
	plan := f.plan(n)
	for ; attempts < readingMaxAttempts && plan.Source != ""; attempts++ {
		source := f.nodes[plan.Source]
		if f.frozen(source.Name) {
			n.suspects[source.Name] = true
			n.nextPoll = f.now.Add(readingSilence)
			return
		}
		f.recordQuestion(source, n)
		if (plan.LongPoll || attempts == readingMaxAttempts-1) && f.isStale(source) {
			n.pendingSource, n.until = source.Name, f.now.Add(readingLongPoll)
			return
		}
		if f.take(n, source) {
			f.end(n, f.plan(n), readingPollInterval)
			return
		}
		plan = f.plan(n)
	}
	f.endUnsuccessful(n, plan)
}

// endUnsuccessful ends a poll in which no answer sufficed.
func (f *readingFleet) endUnsuccessful(n *readingNode, plan kernel.SourcePlan) {
	pause := readingPollInterval
	if plan.Source != "" {
		pause = readingRetryInterval
	}
	f.end(n, plan, pause)
	if !plan.ReadStore && n.selector.ShouldProbeStore(f.peers, f.random.Float64()) {
		f.askStore(n)
		n.selector.RecordProbe(!n.down)
		f.end(n, f.plan(n), pause)
	}
}

func (f *readingFleet) isStale(n *readingNode) bool {
	return n.lost() && f.now.Sub(n.provenAt) > readingMaxAge
}

// recordQuestion tells the node that is asked about the one that asks it.
func (f *readingFleet) recordQuestion(asked, by *readingNode) {
	if asked.lost() && by.provenAt.After(asked.provenAt) {
		asked.selector.RecordFresherNode(f.now, by.Name)
	}
}

func (f *readingFleet) wait(n *readingNode) {
	source := f.nodes[n.pendingSource]
	if f.isStale(source) && f.now.Before(n.until) && !f.frozen(source.Name) {
		return
	}
	n.pendingSource = ""
	if f.take(n, source) {
		f.end(n, f.plan(n), readingPollInterval)
		return
	}
	f.endUnsuccessful(n, f.plan(n))
}

func (f *readingFleet) take(n, source *readingNode) bool {
	if source.provenAt.After(n.provenAt) {
		n.provenAt = source.provenAt
	}
	return n.selector.RecordAnswer(f.now, source.Name, kernel.SourceAnswer{StoreLost: source.lost(), Age: f.now.Sub(source.provenAt)})
}

func (f *readingFleet) end(n *readingNode, plan kernel.SourcePlan, pause time.Duration) {
	if plan.ReadStore && !n.reads {
		n.nextStoreCall = f.now
	}
	if !plan.ReadStore {
		n.down = false
	}
	n.reads = plan.ReadStore
	n.nextPoll = f.now.Add(pause)
}

// maxAge returns the greatest age of the data of the nodes that are not frozen.
func (f *readingFleet) maxAge() time.Duration {
	oldest := time.Duration(0)
	for _, n := range f.nodes {
		if !f.frozen(n.Name) {
			oldest = max(oldest, f.now.Sub(n.provenAt))
		}
	}
	return oldest
}

func (f *readingFleet) allCalls() int {
	all := 0
	for _, n := range f.calls {
		all += n
	}
	return all
}

// designatedReaders returns the nodes that are designated to read the store, as any node sees it.
func (f *readingFleet) designatedReaders() map[string]bool {
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

func nothing() {}

// Guards against a rush on an unavailable store. When each node that found its reader's data too old read the store
// itself, repeatedly, and so did each node that took the place of a failing reader, a store that was silent for 6 s got
// 5,096 calls from 195 nodes within 20 s, and 149 of them became readers within two seconds. A fleet reads once per
// failure domain and interval while the store answers; an outage must not cost more calls with more nodes.
func TestUnavailableStoreIsAskedByFewNodes(t *testing.T) {
	const outage = 6 * time.Second
	for _, each := range []int{8, 39} {
		f := newReadingFleet(uint64(each), 5, each)
		f.run(5*time.Second, nothing)
		for domain, calls := range f.calls {
			must.LessEq(t, 10, calls, must.Sprint(domain, " with ", each, " nodes, calm"))
		}
		f.calls = map[string]int{}
		f.answers = func(string) bool { return false }
		f.run(outage, nothing)
		must.LessEq(t, 600, f.allCalls(), must.Sprint(each, " nodes a domain"))
		f.answers = func(string) bool { return true }
		f.run(500*time.Millisecond, nothing)
		must.LessEq(t, time.Second, f.maxAge(), must.Sprint(each, " nodes a domain: half a second after the store's return"))
		f.calls = map[string]int{}
		f.run(5*time.Second, nothing)
		f.calls = map[string]int{}
		f.run(5*time.Second, nothing)
		must.LessEq(t, 5*10, f.allCalls(), must.Sprint(each, " nodes a domain: calm again"))
	}
}

// A store that answers only some nodes is found by a probe of one that it answers, and all others follow that one, even
// if it refuses exactly the designated readers.
func TestAStoreThatAnswersSomeNodesIsFound(t *testing.T) {
	for seed := range uint64(10) {
		for _, each := range []int{3, 8} {
			f := newReadingFleet(seed, 3, each)
			f.run(5*time.Second, nothing)
			bound := f.designatedReaders()
			f.answers = func(node string) bool { return !bound[node] }
			oldest := time.Duration(0)
			f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
			must.Less(t, readingKeyTrust, oldest, must.Sprint("seed ", seed, ", ", each, " nodes a domain: the designated readers refused"))
		}
	}
	for seed := range uint64(2) {
		f := newReadingFleet(seed, 5, 39)
		f.run(5*time.Second, nothing)
		refused := map[string]bool{}
		for _, p := range f.peers {
			refused[p.Name] = f.random.Float64() < 0.35
		}
		f.answers = func(node string) bool { return !refused[node] }
		oldest := time.Duration(0)
		f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
		must.Less(t, readingKeyTrust, oldest, must.Sprint("seed ", seed, ": a third refused"))
	}
}

// A node that is the only one that the store refuses, and a node that reaches no other node, stay current.
func TestIsolatedNodeStaysCurrent(t *testing.T) {
	for _, isolated := range []string{"node-0-0", "node-0-1", "node-0-2", "node-0-3"} {
		f := newReadingFleet(1, 3, 4)
		f.answers = func(node string) bool { return node != isolated }
		oldest := time.Duration(0)
		f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
		must.Less(t, readingKeyTrust, oldest, must.Sprint(isolated, " is refused by the store"))

		f = newReadingFleet(1, 3, 4)
		for _, p := range f.peers {
			f.nodes[isolated].suspects[p.Name] = p.Name != isolated
		}
		oldest = 0
		f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
		must.Less(t, readingKeyTrust, oldest, must.Sprint(isolated, " reaches no other node"))
	}
}

// Suspended nodes, the designated readers among them, make no other node's data stale.
func TestFrozenReadersDoNotMakeOthersStale(t *testing.T) {
	f := newReadingFleet(3, 3, 8)
	f.run(5*time.Second, nothing)
	bound := f.designatedReaders()
	f.frozen = func(node string) bool { return bound[node] }
	oldest := time.Duration(0)
	f.run(10*time.Second, func() { oldest = max(oldest, f.maxAge()) })
	must.Less(t, readingKeyTrust, oldest)
}

func TestTheCallTimeoutGrowsUntilAnAnswerComesWhole(t *testing.T) {
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
