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
	modelPool = "p"
	// modelStep is the step of the model's time, noticeTime how long nodes take to notice that a node was lost, and pollTime how
	// often a node reads the rows of the store.
	modelStep   = 50 * time.Millisecond
	noticeTime  = 300 * time.Millisecond
	pollTime    = 500 * time.Millisecond
	modelStream = 3 * time.Second
)

type (
	// bindingModel is a fleet of nodes that begin streams, lose nodes, and get callers back. Messages and calls of the store take no
	// time, but nodes notice lost ones late, and read the store's rows late.
	bindingModel struct {
		random *rand.Rand
		now    time.Time
		nodes  []*bindingNode
		// rows and records are the store's.
		rows       map[string]kernel.VersionChange
		rowVersion uint64
		records    map[kernel.StreamKey]kernel.BindingRecord
		overtaking map[kernel.StreamKey]kernel.BindingRecord
		// listed are the versions that have engines.
		listed []kernel.Binding
		// registrars are those of the nodes that others take for alive, as of the last change that they have noticed.
		registrars kernel.Registrars
		noticeAt   time.Time
		streams    int
		live       []*modelledStream
		back       []*modelledStream
		seconds    map[int]*resumptions
	}

	// bindingNode is a node of the model.
	bindingNode struct {
		kernel.Peer
		alive     bool
		startedAt time.Time
		// cutUntil is the time until which it does not reach the store, and asleepUntil that until which it does nothing, while others
		// take it for alive.
		cutUntil, asleepUntil time.Time

		versions  kernel.PoolVersions
		listed    []kernel.Binding
		publisher *kernel.VersionPublisher
		bindings  *kernel.Bindings
		unsent    []kernel.BindingRecord
		outgoing  []kernel.BindingRecord
		settled   []kernel.StreamKey
		pacer     kernel.Pacer
		sendAt    time.Time
		waiting   []kernel.BindingRecord
		storeAt   time.Time
	}

	modelledStream struct {
		key     kernel.StreamKey
		binding kernel.Binding
		node    int
		// endsAt is when it ends, breaksAt when it breaks off before; zero if it does not. backAt is when its caller comes back.
		endsAt, breaksAt, backAt time.Time
	}

	// resumptions counts the streams that came back in one second.
	resumptions struct{ wentOn, unknown, joined int }
)

func newBindingModel(seed uint64, nodes, domains int, versions ...string) *bindingModel {
	m := &bindingModel{
		random: rand.New(rand.NewPCG(seed, 0)), now: bindingStart, rows: map[string]kernel.VersionChange{},
		records: map[kernel.StreamKey]kernel.BindingRecord{}, overtaking: map[kernel.StreamKey]kernel.BindingRecord{}, seconds: map[int]*resumptions{},
	}
	m.list(versions...)
	for _, p := range registrarPeers(nodes, domains) {
		m.nodes = append(m.nodes, &bindingNode{Peer: p})
		m.startNode(m.nodes[len(m.nodes)-1])
	}
	m.notice()
	return m
}

func (m *bindingModel) startNode(n *bindingNode) {
	*n = bindingNode{
		Peer: n.Peer, alive: true, startedAt: m.now, publisher: kernel.NewVersionPublisher(), bindings: kernel.NewBindings(),
		pacer: kernel.NewRegistrarPacer(), cutUntil: n.cutUntil, asleepUntil: n.asleepUntil,
	}
}

func (m *bindingModel) list(versions ...string) {
	m.listed = nil
	for _, v := range versions {
		m.listed = append(m.listed, kernel.Binding{Pool: modelPool, Version: v})
	}
}

// notice makes all nodes know which others are alive.
func (m *bindingModel) notice() {
	var alive []kernel.Peer
	for _, n := range m.nodes {
		if n.alive {
			alive = append(alive, n.Peer)
		}
	}
	m.registrars = kernel.NewRegistrars(alive)
	m.noticeAt = time.Time{}
}

// kill ends nodes and has their callers come back.
func (m *bindingModel) kill(ends func(i int, n *bindingNode) bool) {
	for i, n := range m.nodes {
		if n.alive && ends(i, n) {
			n.alive = false
		}
	}
	for _, s := range m.live {
		if !m.nodes[s.node].alive && s.breaksAt.IsZero() {
			s.breaksAt = m.now
		}
	}
	m.noticeAt = m.now.Add(noticeTime)
}

func (m *bindingModel) restart() {
	for _, n := range m.nodes {
		if !n.alive {
			m.startNode(n)
		}
	}
	m.noticeAt = m.now.Add(noticeTime)
}

func (m *bindingModel) node(name string) *bindingNode {
	for _, n := range m.nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// sleep has a third of the registrars sleep for a time, if there are other nodes.
func (m *bindingModel) sleep(d time.Duration) {
	for i, name := range m.registrars.All() {
		if i%3 == 0 && len(m.nodes) > 1 {
			m.node(name).asleepUntil = m.now.Add(d)
		}
	}
}

// awake reports whether a node is alive and not asleep.
func (m *bindingModel) awake(n *bindingNode) bool {
	return n.alive && !m.now.Before(n.asleepUntil)
}

// reachesStore reports whether a node reaches the store.
func (m *bindingModel) reachesStore(n *bindingNode) bool {
	return !m.now.Before(n.cutUntil)
}

// run lets time pass. Of the streams that begin a second, some break off.
func (m *bindingModel) run(d time.Duration, perSecond int) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelStep) {
		if !m.noticeAt.IsZero() && !m.now.Before(m.noticeAt) {
			m.notice()
		}
		step := int(m.now.Sub(bindingStart) / modelStep)
		for i, n := range m.nodes {
			if m.awake(n) {
				m.stepNode(n, (step+i)%int(pollTime/modelStep) == 0)
			}
		}
		for range perSecond * int(modelStep/time.Millisecond) / 1000 {
			m.begin()
		}
		m.stepStreams()
	}
}

func (m *bindingModel) stepNode(n *bindingNode, poll bool) {
	if poll && m.reachesStore(n) {
		m.readRows(n)
	}
	if poll {
		first := len(m.registrars.All()) > 0 && m.registrars.All()[0] == n.Name
		for _, w := range n.publisher.Decide(m.now, n.listed, m.reachesStore(n), n.versions, first, m.random.Float64()) {
			if m.reachesStore(n) {
				m.write(w)
			}
		}
	}
	kept := n.unsent[:0]
	for _, r := range n.unsent {
		if kernel.NeedsBindingRecord(m.now, n.versions, n.listed, modelPool, true) {
			n.outgoing = append(n.outgoing, r)
		} else if m.now.Before(r.ExpiresAt) {
			kept = append(kept, r)
		}
	}
	n.unsent = kept
	m.flush(n)
	if len(n.waiting) > 0 && !m.now.Before(n.storeAt) && m.reachesStore(n) {
		for _, r := range n.waiting {
			m.records[r.Key] = r
		}
		n.waiting, n.storeAt = nil, m.now.Add(m.registrars.StoreFlushInterval())
	}
}

func (m *bindingModel) readRows(n *bindingNode) {
	var changes []kernel.VersionChange
	for _, row := range m.rows {
		changes = append(changes, row)
	}
	n.versions = n.versions.With(m.now, changes)
	n.listed = m.listed
}

func (m *bindingModel) write(w kernel.VersionWrite) {
	key := kernel.VersionKey(w.Binding)
	m.rowVersion++
	row := kernel.VersionChange{Key: key, Row: w.Row(), RowVersion: m.rowVersion}
	if w.Action == kernel.RemoveVersion {
		if m.rows[key].RowVersion != w.RowVersion {
			return
		}
		row.Removed = true
	}
	m.rows[key] = row
}

// flush sends the records that wait at a node to its registrars.
func (m *bindingModel) flush(n *bindingNode) {
	if len(n.outgoing)+len(n.settled) == 0 || m.now.Before(n.sendAt) {
		return
	}
	var wait time.Duration
	n.pacer, wait = n.pacer.With(m.now, m.registrars.FlushInterval())
	n.sendAt = m.now.Add(wait)
	primary, secondary := m.registrars.Of(n.Name)
	sent := false
	for i, name := range []string{primary, secondary} {
		registrar := m.node(name)
		if registrar == nil || !m.awake(registrar) {
			continue
		}
		sent = sent || i == 0
		for _, r := range n.outgoing {
			registrar.bindings.Add(m.now, r)
		}
		for _, key := range n.settled {
			registrar.bindings.Settle(m.now, key)
		}
		if i == 0 {
			registrar.waiting = append(registrar.waiting, n.outgoing...)
		}
	}
	if sent {
		n.outgoing = nil
	}
	n.settled = nil
}

// aliveNode draws a node that serves.
func (m *bindingModel) aliveNode() int {
	for range 1000 {
		if i := m.random.IntN(len(m.nodes)); m.awake(m.nodes[i]) {
			return i
		}
	}
	return -1
}

func (m *bindingModel) begin() {
	i := m.aliveNode()
	if i < 0 {
		return
	}
	n := m.nodes[i]
	var may []kernel.Binding
	for _, b := range n.listed {
		if n.versions.MayBegin(m.now, b) {
			may = append(may, b)
		}
	}
	if len(may) == 0 {
		return
	}
	m.streams++
	s := &modelledStream{key: kernel.NewStreamKey("customer", fmt.Sprint(m.streams)), binding: may[m.random.IntN(len(may))], node: i}
	s.endsAt = m.now.Add(time.Duration(m.random.Float64() * float64(modelStream)))
	if m.random.IntN(20) == 0 {
		s.breaksAt = m.now.Add(time.Duration(m.random.Float64() * float64(s.endsAt.Sub(m.now))))
	}
	r := kernel.BindingRecord{Key: s.key, Binding: s.binding, RecordedAt: m.now, ExpiresAt: kernel.BindingExpiry(m.now, m.now.Add(10*time.Second))}
	if len(may) > 1 && m.random.IntN(5) == 0 {
		if !m.reachesStore(n) {
			return
		}
		m.overtake(n, r, may)
		m.live = append(m.live, s)
		return
	}
	n.bindings.Add(m.now, r)
	n.bindings.Settle(m.now, r.Key)
	if kernel.NeedsBindingRecord(m.now, n.versions, n.listed, modelPool, true) {
		n.outgoing = append(n.outgoing, r)
		n.settled = append(n.settled, r.Key)
	} else {
		n.unsent = append(n.unsent, r)
	}
	m.live = append(m.live, s)
}

// overtake begins a stream at a node that was sent to an engine of another version before: the store has the last record before the first
// event, and other nodes may have either.
func (m *bindingModel) overtake(n *bindingNode, r kernel.BindingRecord, may []kernel.Binding) {
	earlier := r
	for earlier.Binding == r.Binding {
		earlier.Binding = may[m.random.IntN(len(may))]
	}
	n.outgoing = append(n.outgoing, earlier)
	n.sendAt = m.now
	m.flush(n)
	r.Order, r.Settled = 1500, true
	n.bindings.Add(m.now, r)
	m.overtaking[r.Key] = r
	if m.random.IntN(2) == 0 {
		n.outgoing = append(n.outgoing, r)
	}
}

// stepStreams ends streams, breaks them off, and takes up those whose callers come back.
func (m *bindingModel) stepStreams() {
	live := m.live[:0]
	for _, s := range m.live {
		switch {
		case !s.breaksAt.IsZero() && !m.now.Before(s.breaksAt):
			s.backAt = m.now.Add(time.Duration(m.random.Float64() * float64(time.Second)))
			m.back = append(m.back, s)
		case m.now.Before(s.endsAt):
			live = append(live, s)
		}
	}
	m.live = live
	back := m.back[:0]
	for _, s := range m.back {
		if m.now.Before(s.backAt) {
			back = append(back, s)
			continue
		}
		if i := m.aliveNode(); i >= 0 {
			m.resume(m.nodes[i], s)
		} else {
			back = append(back, s)
		}
	}
	m.back = back
}

// resume takes a stream up at a node, as package binding finds out what it is bound to.
func (m *bindingModel) resume(n *bindingNode, s *modelledStream) {
	second := int(m.now.Sub(bindingStart) / time.Second)
	counts := m.seconds[second]
	if counts == nil {
		counts = &resumptions{}
		m.seconds[second] = counts
	}
	found, known := m.find(n, s.key)
	switch {
	case !known:
		counts.unknown++
	case found != s.binding:
		counts.joined++
	default:
		counts.wentOn++
	}
}

func (m *bindingModel) find(n *bindingNode, key kernel.StreamKey) (kernel.Binding, bool) {
	found := m.recordOf(n, key)
	asker := n
	for _, name := range m.registrars.All() {
		registrar := m.node(name)
		if !m.awake(registrar) {
			continue
		}
		found = found.Or(m.recordOf(registrar, key))
		if !m.reachesStore(asker) {
			asker = registrar
		}
	}
	switch {
	case found.Settled:
		return found.Binding, true
	case !m.reachesStore(asker):
		return kernel.Binding{}, false
	case found.Known():
		found = found.Confirmed(findingOf(m.overtaking, key))
		return found.Binding, true
	}
	var rows []kernel.VersionChange
	for _, row := range m.rows {
		rows = append(rows, row)
	}
	if only, ok := (kernel.PoolVersions{}).With(m.now, rows).Only(modelPool); ok {
		return only, true
	}
	found = findingOf(m.records, key).Or(findingOf(m.overtaking, key))
	return found.Binding, found.Known()
}

// recordOf returns what a node knows of a stream by itself.
func (m *bindingModel) recordOf(n *bindingNode, key kernel.StreamKey) kernel.Finding {
	r, ok := n.bindings.Find(m.now, key)
	if !ok {
		return kernel.Finding{Source: kernel.BindingNotRecorded}
	}
	return kernel.Finding{Source: kernel.BindingRecorded, Binding: r.Binding, Settled: r.Settled, Order: r.Order}
}

func findingOf(records map[kernel.StreamKey]kernel.BindingRecord, key kernel.StreamKey) kernel.Finding {
	r, ok := records[key]
	if !ok {
		return kernel.Finding{Source: kernel.BindingNotRecorded}
	}
	return kernel.Finding{Source: kernel.BindingRecorded, Binding: r.Binding, Settled: r.Settled, Order: r.Order}
}

// total adds up all seconds, and returns the smallest share that went on in any second with twelve streams or more.
func (m *bindingModel) total() (all resumptions, least float64) {
	least = 1
	for _, c := range m.seconds {
		all.wentOn += c.wentOn
		all.unknown += c.unknown
		all.joined += c.joined
		if n := c.wentOn + c.unknown + c.joined; n >= 12 {
			least = min(least, float64(c.wentOn)/float64(n))
		}
	}
	return all, least
}

// Callers come back to any of many nodes while versions come and go, nodes and domains are lost, some do not reach the store, and
// all are killed at once. Guards against a stream that goes on at a guess, and against streams that are refused more than rarely.
func TestBindingsOverAFleet(t *testing.T) {
	for _, tc := range []struct {
		nodes, domains, perSecond int
	}{{1, 1, 100}, {3, 3, 100}, {8, 3, 200}, {80, 5, 600}, {400, 5, 2000}} {
		t.Run(fmt.Sprint(tc.nodes, " nodes"), func(t *testing.T) {
			m := newBindingModel(uint64(tc.nodes), tc.nodes, tc.domains, "v1")
			m.run(5*time.Second, tc.perSecond)
			m.list("v1", "v2")
			m.run(5*time.Second, tc.perSecond)
			m.kill(func(i int, _ *bindingNode) bool { return tc.nodes > 1 && i%10 == 0 })
			m.run(2*time.Second, tc.perSecond)
			m.restart()
			for i, n := range m.nodes {
				if tc.nodes > 3 && i%7 == 0 {
					n.cutUntil = m.now.Add(8 * time.Second)
				}
			}
			m.run(3*time.Second, tc.perSecond)
			m.list("v2", "v3")
			m.run(2*time.Second, tc.perSecond)
			m.sleep(2 * time.Second)
			m.run(3*time.Second, tc.perSecond)
			m.kill(func(_ int, n *bindingNode) bool { return tc.domains > 1 && n.Domain == "domain-1" })
			m.run(3*time.Second, tc.perSecond)
			m.restart()
			m.run(3*time.Second, tc.perSecond)
			m.kill(func(int, *bindingNode) bool { return true })
			m.run(time.Second, tc.perSecond)
			m.restart()
			m.notice()
			m.run(4*time.Second, tc.perSecond)
			all, least := m.total()
			share := float64(all.wentOn) / float64(all.wentOn+all.unknown+all.joined)
			t.Logf("%d streams; came back: %d went on, %d unknown, %d joined; share %.3f, least in a second %.3f", m.streams, all.wentOn, all.unknown, all.joined, share, least)
			must.EqOp(t, 0, all.joined)
			must.GreaterEq(t, 0.9, share)
			must.GreaterEq(t, 0.5, least)
		})
	}
}
