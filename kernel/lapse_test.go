package kernel_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// The model of a list of endpoints, its readers and its followers.
const (
	lapseStep = 100 * time.Millisecond
	// lapseReadInterval is the time between two reads of the list, lapseAskInterval between two questions of a follower.
	// lapseTakeOver is how long other nodes need to find that no reader of theirs reaches the store.
	lapseReadInterval = 900 * time.Millisecond
	lapseAskInterval  = 400 * time.Millisecond
	lapseTakeOver     = 1500 * time.Millisecond
	// lapseAfter is the silence after which an entry is removed, relistTime when an endpoint has written it again after an
	// outage. drainBound is the time after which an endpoint that has reported that it leaves may get no more work.
	lapseAfter = 3600 * time.Millisecond
	relistTime = 1900 * time.Millisecond
	drainBound = 3 * time.Second
	// leavingName is the endpoint that leaves.
	leavingName = "leaving"
)

type (
	// lapseModel is a store with a list of endpoints, and nodes of which the first that reaches the store reads it and the
	// others follow. All times are since the start.
	lapseModel struct {
		start   time.Time
		now     time.Duration
		version uint64
		rows    map[string]kernel.Row
		changes []kernel.Row
		nodes   []*lapseNode
		// The nodes whose names are cut reach neither the store nor the other nodes from cutFrom to cutTo.
		cut            func(node int) bool
		cutFrom, cutTo time.Duration
		// The store answers nobody from awayFrom to awayTo; entries lapse meanwhile.
		awayFrom, awayTo time.Duration
		// The endpoint that leaves reports so at reportAt, unless that is negative, and its entry is removed at removeAt.
		reportAt, removeAt time.Duration
		others             int
	}

	lapseNode struct {
		replica  *kernel.Replica
		registry kernel.Registry
		nextRead time.Duration
		nextAsk  time.Duration
	}
)

func newLapseModel(nodes, others int) *lapseModel {
	m := &lapseModel{start: time.Unix(1000, 0), rows: map[string]kernel.Row{}, cut: func(int) bool { return false }, reportAt: -1, removeAt: -1, others: others}
	m.write(leavingName, "ready", false)
	for i := range others {
		m.write(fmt.Sprint("other-", i), "ready", false)
	}
	for i := range nodes {
		m.nodes = append(m.nodes, &lapseNode{
			replica: kernel.NewReplica(), registry: newLapseRegistry(),
			nextAsk: time.Duration(i*37%4) * lapseStep,
		})
	}
	return m
}

func (m *lapseModel) write(key, value string, removed bool) {
	m.version++
	row := kernel.Row{Key: key, Value: value, Version: m.version, Removed: removed}
	m.changes = append(m.changes, row)
	if removed {
		delete(m.rows, key)
	} else {
		m.rows[key] = row
	}
}

func (m *lapseModel) isCut(node int) bool {
	return m.now >= m.cutFrom && m.now < m.cutTo && m.cut(node)
}

func (m *lapseModel) isAway() bool {
	return m.now >= m.awayFrom && m.now < m.awayTo
}

// reader returns the node that reads for a node: the first one that it reaches. A node on the side of a cut that reaches
// the store takes over from a reader on the other side after some time.
func (m *lapseModel) reader(node int) int {
	for i := range m.nodes {
		if m.isCut(i) == m.isCut(node) {
			if i != 0 && m.now < m.cutFrom+lapseTakeOver {
				return -1
			}
			return i
		}
	}
	return -1
}

func (m *lapseModel) step() {
	m.stepStore()
	now := m.start.Add(m.now)
	for i, n := range m.nodes {
		source := m.reader(i)
		switch {
		case source == i && m.now >= n.nextRead && !m.isAway() && !m.isCut(i):
			after, known := n.replica.Version()
			rows := m.changes[after:]
			if !known {
				rows = nil
				for _, row := range m.rows {
					rows = append(rows, row)
				}
			}
			n.apply(now, func() []kernel.Row { return n.replica.Apply(now, rows, m.version, !known) })
			n.nextRead = m.now + lapseReadInterval
		case source >= 0 && source != i && m.now >= n.nextAsk:
			m.ask(n, m.nodes[source])
			n.nextAsk = m.now + lapseAskInterval
		}
	}
	m.now += lapseStep
}

// stepStore lets endpoints and the store act.
func (m *lapseModel) stepStore() {
	if m.now == m.reportAt {
		m.write(leavingName, "draining", false)
	}
	if _, listed := m.rows[leavingName]; listed && m.removeAt >= 0 && m.now >= m.removeAt {
		m.write(leavingName, "", true)
	}
	left := func(key string) bool { return key == leavingName && m.removeAt >= 0 && m.now >= m.removeAt }
	for i := range m.others + 1 {
		key := leavingName
		if i > 0 {
			key = fmt.Sprint("other-", i-1)
		}
		_, listed := m.rows[key]
		switch {
		case m.isAway() && m.now == m.awayFrom+lapseAfter && listed:
			m.write(key, "", true)
		case m.awayTo > 0 && m.now == m.awayTo+relistTime*time.Duration(i+1)/time.Duration(m.others+1)/lapseStep*lapseStep && !listed && !left(key):
			m.write(key, "ready", false)
		case i > 0 && m.now%(2*time.Second) == time.Duration(i%20)*lapseStep && listed && !m.isAway():
			// Other endpoints change their entries now and then.
			m.write(key, "ready", false)
		}
	}
}

// decodeLapseRows splits rows into listed endpoints and the names of removed ones.
func decodeLapseRows(rows []kernel.Row) (listed []model.Endpoint, removed []kernel.Row) {
	for _, row := range rows {
		if row.Removed {
			removed = append(removed, row)
			continue
		}
		state := model.Live
		if strings.HasPrefix(row.Value, "draining") {
			state = model.Leaving
		}
		listed = append(listed, listedEndpoint(row.Key, state))
	}
	return listed, removed
}

func (n *lapseNode) accepts(now time.Time) bool {
	e, listed := n.registry.Find(leavingName)
	return listed && e.Accepts(now)
}

// proves reports whether the list of a node is proven current at or after a time.
func (n *lapseNode) proves(at time.Time) bool {
	return !n.replica.ProvenAt().Before(at)
}

// lapseCuts returns the sets of nodes that are cut off, by name: the reader alone, the reader with others, others.
func lapseCuts(nodes int) map[string]func(int) bool {
	return map[string]func(int) bool{
		"the reader":            func(i int) bool { return i == 0 },
		"the reader and others": func(i int) bool { return i < max(2, nodes*3/10) },
		"a follower":            func(i int) bool { return i == nodes-1 },
		"all":                   func(int) bool { return true },
	}
}

// A node that was cut off, or whose reader was, finds that an entry is missing which was removed meanwhile. It must not
// take it for one that lapsed in an outage of the store and may be listed again: the endpoint has left, and what it gets
// by then comes later than the bound after its report, which the node has not seen.
func TestRemovalDuringCutIsNoLapse(t *testing.T) {
	for _, fleet := range []struct {
		nodes int
		step  time.Duration
	}{{3, 100 * time.Millisecond}, {400, 1700 * time.Millisecond}} {
		for name, cut := range lapseCuts(fleet.nodes) {
			for _, reports := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d nodes, %s, reports %t", fleet.nodes, name, reports), func(t *testing.T) {
					checkRemovalsInCuts(t, fleet.nodes, fleet.step, cut, reports)
				})
			}
		}
	}
}

// checkRemovalsInCuts checks cuts of 1 to 8 s with a removal every step of each.
func checkRemovalsInCuts(t *testing.T, nodes int, step time.Duration, cut func(int) bool, reports bool) {
	t.Helper()
	for length := time.Second; length <= 8*time.Second; length += max(time.Second, step) {
		for at := step; at <= length; at += step {
			m := newLapseModel(nodes, 5)
			m.cut, m.cutFrom, m.cutTo = cut, 5*time.Second, 5*time.Second+length
			m.removeAt = m.cutFrom + at
			if reports {
				m.reportAt, m.removeAt = m.removeAt, m.removeAt+700*time.Millisecond
			}
			m.checkRemoval(t)
		}
	}
}

// checkRemoval fails the test if a node that has read that the entry of the endpoint that leaves is missing gives it work.
func (m *lapseModel) checkRemoval(t *testing.T) {
	t.Helper()
	reported := m.removeAt
	if m.reportAt >= 0 {
		reported = m.reportAt
	}
	for m.now < m.cutTo+5*time.Second {
		m.step()
		now := m.start.Add(m.now)
		for i, n := range m.nodes {
			if m.now > reported+drainBound && n.accepts(now) && n.proves(m.start.Add(m.removeAt)) {
				t.Fatalf("node %d, cut %t from %v to %v: %v after the report at %v the endpoint still gets work", i, m.cut(i), m.cutFrom, m.cutTo, m.now-reported, reported)
			}
		}
	}
}

// Entries that lapse while the store is away are kept until their endpoints are listed again, also at nodes that were cut
// off for a part of that time. Guards against nodes that have no endpoint to send to after an outage.
func TestLapseInOutageIsKept(t *testing.T) {
	for _, nodes := range []int{3, 400} {
		for name, cut := range lapseCuts(nodes) {
			for _, cutEnd := range []time.Duration{0, 4 * time.Second, 9 * time.Second, 11800 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d nodes, %s, cut until %v", nodes, name, cutEnd), func(t *testing.T) {
					m := newLapseModel(nodes, 5)
					m.awayFrom, m.awayTo = 6*time.Second, 12*time.Second
					if cutEnd > 0 {
						m.cut, m.cutFrom, m.cutTo = cut, 3*time.Second, cutEnd
					}
					m.checkInUse(t)
				})
			}
		}
	}
}

// checkInUse fails the test if a node that knows endpoints has no use for one of them.
func (m *lapseModel) checkInUse(t *testing.T) {
	t.Helper()
	for m.now < m.awayTo+5*time.Second {
		m.step()
		now := m.start.Add(m.now)
		for i, n := range m.nodes {
			if _, known := n.replica.Version(); known && !n.accepts(now) {
				t.Fatalf("node %d, %v after the outage: the endpoint is not in use, though it lapsed: %v", i, m.now-m.awayTo, slices.Sorted(slices.Values(endpointNames(n.registry))))
			}
		}
	}
}

// An endpoint leaves while a node is cut off, and the store goes away before the cut ends. The node finds its entry missing
// among lapsed entries. The endpoint gets no more work once another node reports that it read the list around the removal.
func TestRemovalBeforeOutageIsNoLapse(t *testing.T) {
	for _, nodes := range []int{3, 400} {
		cuts := lapseCuts(nodes)
		delete(cuts, "all")
		for name, cut := range cuts {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, name), func(t *testing.T) {
				m := newLapseModel(nodes, 5)
				m.cut, m.cutFrom, m.cutTo = cut, 3*time.Second, 11*time.Second
				m.awayFrom, m.awayTo, m.removeAt = 8*time.Second, 13*time.Second, 6*time.Second
				for m.now < m.awayTo+time.Second {
					m.step()
				}
				m.checkUnused(t)
			})
		}
	}
}

// checkUnused fails the test if a node gives work to the endpoint that leaves.
func (m *lapseModel) checkUnused(t *testing.T) {
	t.Helper()
	for m.now < m.awayTo+5*time.Second {
		for i, n := range m.nodes {
			if n.accepts(m.start.Add(m.now)) {
				t.Fatalf("node %d, cut %t: %v after the outage the endpoint still gets work", i, m.cut(i), m.now-m.awayTo)
			}
		}
		m.step()
	}
}

func newLapseRegistry() kernel.Registry {
	return kernel.NewRegistry().WithDrainBound(drainBound, lapseReadInterval)
}

// apply applies changes of the node's replica to its registry.
func (n *lapseNode) apply(now time.Time, change func() []kernel.Row) {
	rows := change()
	proof := n.replica.Proof()
	listed, removed := decodeLapseRows(rows)
	c := kernel.ListChange{ProvenAt: proof.At, Reads: proof.Reads, Listed: listed}
	for _, row := range removed {
		after, through := proof.RemovalSpan(row)
		c.Removed = append(c.Removed, kernel.RemovedEntry{Name: row.Key, After: after, Through: through})
	}
	n.registry = n.registry.WithListChange(now, c)
}

// ask lets a node ask another one for changes, and tell it of the reads that it knows of.
func (m *lapseModel) ask(n, source *lapseNode) {
	now := m.start.Add(m.now)
	told := n.replica.Proof().Reads.Spans(now)
	if source.replica.AddReads(now, told) {
		source.apply(now, func() []kernel.Row { return nil })
	}
	after, _ := n.replica.Version()
	if d, known := source.replica.Since(now, after); known && d.Version >= after {
		d.Reads = source.replica.Proof().Reads.Lacking(now, told)
		n.apply(now, func() []kernel.Row { return n.replica.ApplyDelta(now, d) })
	}
}
