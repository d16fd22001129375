package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
)

func TestReplicaReportsOnlyChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewReplica()
	must.Len(t, 2, r.Apply(now, []kernel.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, 2, true))
	must.SliceEmpty(t, r.Apply(now, []kernel.Row{{Key: "a", Version: 1}}, 3, false))
	must.Len(t, 1, r.Apply(now, []kernel.Row{{Key: "a", Version: 4}}, 4, false))
	changes := r.Apply(now, []kernel.Row{{Key: "a", Version: 4}}, 5, true)
	must.Eq(t, []kernel.Row{{Key: "b", Version: 5, Removed: true}}, changes, must.Sprint("rows that are missing from the whole table are removed"))
	must.SliceEmpty(t, r.Apply(now, []kernel.Row{{Key: "a", Version: 3}}, 3, false), must.Sprint("an older answer is ignored"))
}

// A row that was written and removed between two calls must not be reported as a change. Removals are applied
// before additions, so that an endpoint that was listed and removed in one answer would stay in use permanently.
func TestRowAddedAndRemovedInOneAnswerIsNoChange(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewReplica()
	r.Apply(now, []kernel.Row{{Key: "a", Version: 1}}, 1, true)
	must.SliceEmpty(t, r.Apply(now, []kernel.Row{{Key: "b", Version: 2}, {Key: "b", Version: 3, Removed: true}}, 3, false))
	changes := r.Apply(now, []kernel.Row{{Key: "a", Version: 4, Removed: true}, {Key: "a", Version: 5}}, 5, false)
	must.Eq(t, []kernel.Row{{Key: "a", Version: 5}}, changes)
	changes = r.Apply(now, []kernel.Row{{Key: "a", Version: 6}, {Key: "a", Version: 7, Removed: true}}, 7, false)
	must.Eq(t, []kernel.Row{{Key: "a", Version: 7, Removed: true}}, changes)
	d, _ := r.Since(now, 1)
	must.Len(t, 2, d.Rows, must.Sprint("a delta holds both removals"))
}

// A copy is proven current only as of the time at which its source was, counted back from when the copy was
// requested.
func TestDeltaKeepsAgeOfSource(t *testing.T) {
	now := time.Unix(1000, 0)
	source, follower := kernel.NewReplica(), kernel.NewReplica()
	source.Apply(now, []kernel.Row{{Key: "a", Version: 1}}, 1, true)
	asked := now.Add(2 * time.Second)
	answered := asked.Add(700 * time.Millisecond)
	d, ok := source.Since(answered, 0)
	must.True(t, ok)
	follower.ApplyDelta(asked, d)
	must.False(t, follower.ProvenAt().After(now), must.Sprint("not proven later than by the store's own answer"))
	must.Eq(t, now.Add(-700*time.Millisecond), follower.ProvenAt())
	_, ok = kernel.NewReplica().Since(now, 0)
	must.False(t, ok)
}

// replicaMachine drives a store, two replicas that read it, and a follower that copies either of them or reads the
// store.
type replicaMachine struct {
	now      time.Time
	version  uint64
	store    map[string]kernel.Row
	log      []kernel.Row
	sources  [2]*kernel.Replica
	follower *kernel.Replica
	// observed is the table as it follows from the changes that the follower reported.
	observed map[string]kernel.Row
}

// observe applies reported changes in any order; each row may be reported once.
func (m *replicaMachine) observe(t *rapid.T, changes []kernel.Row) {
	seen := map[string]bool{}
	for _, r := range changes {
		if seen[r.Key] {
			t.Fatalf("two changes of row %s: %v", r.Key, changes)
		}
		seen[r.Key] = true
		delete(m.observed, r.Key)
		if !r.Removed {
			m.observed[r.Key] = r
		}
	}
}

// A replica that copies two replicas at different versions is never ahead of the store, never goes back, and equals the
// store's table once it has caught up.
func TestChainedReplicasMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &replicaMachine{
			now:      time.Unix(1000, 0),
			store:    map[string]kernel.Row{},
			sources:  [2]*kernel.Replica{kernel.NewReplica(), kernel.NewReplica()},
			follower: kernel.NewReplica(),
			observed: map[string]kernel.Row{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": m.write,
			"read":  func(t *rapid.T) { m.read(rapid.IntRange(0, 1).Draw(t, "reader")) },
			"copy":  m.copyFromStore,
			"ask":   func(t *rapid.T) { m.copyFromSource(t, rapid.IntRange(0, 1).Draw(t, "source")) },
			"agree": m.checkAgreement,
		})
	})
}

func (m *replicaMachine) write(t *rapid.T) {
	m.version++
	r := kernel.Row{Key: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), Version: m.version, Removed: rapid.Bool().Draw(t, "removed")}
	m.log = append(m.log, r)
	delete(m.store, r.Key)
	if !r.Removed {
		m.store[r.Key] = r
	}
}

// read lets a replica read the changes from the store, or the whole table at first.
func (m *replicaMachine) read(source int) {
	after, known := m.sources[source].Version()
	var rows []kernel.Row
	if known {
		for _, r := range m.log {
			if r.Version > after {
				rows = append(rows, r)
			}
		}
	} else {
		for _, r := range m.store {
			rows = append(rows, r)
		}
	}
	m.sources[source].Apply(m.now, rows, m.version, !known)
}

// copyFromStore lets the follower read the changes from the store itself.
func (m *replicaMachine) copyFromStore(t *rapid.T) {
	after, known := m.follower.Version()
	if !known {
		return
	}
	var rows []kernel.Row
	for _, r := range m.log {
		if r.Version > after {
			rows = append(rows, r)
		}
	}
	m.observe(t, m.follower.Apply(m.now, rows, m.version, false))
}

// copyFromSource lets the follower copy the changes from a replica.
func (m *replicaMachine) copyFromSource(t *rapid.T, source int) {
	before, _ := m.follower.Version()
	if d, ok := m.sources[source].Since(m.now, before); ok {
		m.observe(t, m.follower.ApplyDelta(m.now, d))
	}
	if after, _ := m.follower.Version(); after < before || after > m.version {
		t.Fatalf("version went from %d to %d, the store is at %d", before, after, m.version)
	}
}

// checkAgreement brings the follower up to date and compares it, and the reported changes, with the store.
func (m *replicaMachine) checkAgreement(t *rapid.T) {
	m.read(0)
	m.copyFromSource(t, 0)
	all, _ := m.follower.Since(m.now, 0)
	if len(all.Rows) != len(m.store) || len(m.observed) != len(m.store) {
		t.Fatalf("the follower has %d rows, the reported changes give %d, the store has %d", len(all.Rows), len(m.observed), len(m.store))
	}
	for _, r := range all.Rows {
		if m.store[r.Key] != r || m.observed[r.Key] != r {
			t.Fatalf("row %s is %v, in the store %v, by the reported changes %v", r.Key, r, m.store[r.Key], m.observed[r.Key])
		}
	}
}

// A node that passes a table on is asked by many others twice a second. An answer must cost what has changed: what it
// allocates must not follow the size of the table, and rows that are written again and again must not pile up.
func TestReplicaAnswersWithChangesOnly(t *testing.T) {
	for _, n := range []int{1_000, 10_000} {
		rows := make([]kernel.Row, n)
		for i := range rows {
			// A whole table comes in the order of its keys.
			rows[i] = kernel.Row{Key: fmt.Sprintf("i-%08x", i), Value: "entry", Version: uint64(n - i)}
		}
		r := kernel.NewReplica()
		r.Apply(testStart, rows, uint64(n), true)
		version := uint64(n)
		for i := range 5 * n {
			version++
			r.Apply(testStart, []kernel.Row{{Key: rows[i%7].Key, Value: "new", Version: version}}, version, false)
		}
		delta, _ := r.Since(testStart, version-2)
		must.Eq(t, []uint64{version - 1, version}, []uint64{delta.Rows[0].Version, delta.Rows[1].Version})
		whole, _ := r.Since(testStart, 0)
		must.Len(t, n, whole.Rows)
		must.Less(t, 1<<10, allocatedBytes(100, func(int) { benchSink, _ = r.Since(testStart, version-1) }))
		must.Zero(t, allocatedBytes(100, func(int) { _, _ = r.Since(testStart, version) }))
	}
}
