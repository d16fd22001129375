package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

var bindingStart = time.Unix(1_700_000_000, 0)

func record(key string, version string, order int64, expires time.Duration) kernel.BindingRecord {
	return kernel.BindingRecord{Key: kernel.StreamKey(key), Binding: kernel.Binding{Pool: "p", Version: version}, Order: order, ExpiresAt: bindingStart.Add(expires)}
}

// The first event of a stream comes from the engine that was chosen last. Guards against an older record that arrives later.
func TestLaterRecordOfStreamHolds(t *testing.T) {
	b := kernel.NewBindings()
	must.True(t, b.Add(bindingStart, record("k", "v2", 20, time.Second)))
	must.True(t, b.Add(bindingStart, record("k", "v1", 10, time.Second)))
	found, ok := b.Find(bindingStart, "k")
	must.True(t, ok)
	must.EqOp(t, "v2", found.Binding.Version)
	_, ok = b.Find(bindingStart.Add(time.Second), "k")
	must.False(t, ok, must.Sprint("an expired record"))
	must.True(t, b.Add(bindingStart.Add(time.Second), record("k", "v3", 5, time.Minute)))
	found, _ = b.Find(bindingStart.Add(time.Second), "k")
	must.EqOp(t, "v3", found.Binding.Version)
}

// A node keeps a bounded number of records, and drops expired ones for new ones.
func TestBindingsAreBounded(t *testing.T) {
	b := kernel.NewBindings()
	added := 0
	for i := range 100_000 {
		if b.Add(bindingStart, record(fmt.Sprint(i), "v1", 0, time.Second)) {
			added++
		}
	}
	must.Less(t, 100_000, added)
	must.EqOp(t, added, b.Len())
	must.True(t, b.Add(bindingStart.Add(2*time.Second), record("later", "v1", 0, time.Minute)))
	must.EqOp(t, 1, b.Len())
}

// IDs are the callers' own. Guards against two customers, or two splits of customer and ID, that share a key.
func TestStreamKeysDiffer(t *testing.T) {
	seen := map[kernel.StreamKey]bool{}
	for _, k := range [][2]string{{"a", "b"}, {"ab", ""}, {"", "ab"}, {"b", "a"}, {"a", "bb"}, {"ab", "b"}} {
		key := kernel.NewStreamKey(k[0], k[1])
		if k[1] == "" {
			must.EqOp(t, "", key)
			continue
		}
		must.False(t, seen[key])
		must.EqOp(t, 16, len(key))
		seen[key] = true
	}
}

func registrarPeers(nodes, domains int) []kernel.Peer {
	var out []kernel.Peer
	for i := range nodes {
		out = append(out, kernel.Peer{Name: fmt.Sprint("node-", i), Domain: fmt.Sprint("domain-", i%domains), Capacity: 1})
	}
	return out
}

// Each binding is kept by two nodes of two failure domains, and what all nodes together send and write stays bounded.
func TestRegistrars(t *testing.T) {
	for _, nodes := range []int{1, 2, 3, 8, 41, 400} {
		peers := registrarPeers(nodes, 5)
		domains := map[string]string{}
		for _, p := range peers {
			domains[p.Name] = p.Domain
		}
		k := kernel.NewRegistrars(peers)
		load := map[string]int{}
		for _, p := range peers {
			primary, secondary := k.Of(p.Name)
			must.NotEq(t, "", primary)
			must.SliceContains(t, k.All(), primary)
			load[primary]++
			if nodes == 1 {
				must.EqOp(t, "", secondary)
				continue
			}
			must.NotEq(t, primary, secondary)
			must.SliceContains(t, k.All(), secondary)
			load[secondary]++
			if nodes > 100 {
				must.NotEq(t, domains[primary], domains[secondary], must.Sprint(nodes))
			}
		}
		messages := 0.0
		for _, n := range load {
			messages = max(messages, float64(n)/k.FlushInterval().Seconds())
		}
		must.LessEq(t, 500.0, messages, must.Sprintf("%d nodes: messages a second at a registrar", nodes))
		writes := float64(len(k.Resolvers("pool"))) / k.StoreFlushInterval().Seconds()
		must.LessEq(t, 81.0, writes, must.Sprintf("%d nodes: writes a second", nodes))
	}
}

// An event may follow at once: the first records of a quiet node are sent at once, a steady series is spread.
func TestPacerLetsBurstsThrough(t *testing.T) {
	p := kernel.NewRegistrarPacer()
	now := bindingStart
	atOnce := 0
	for range 100 {
		var wait time.Duration
		if p, wait = p.With(now, 250*time.Millisecond); wait == 0 {
			atOnce++
		}
		now = now.Add(wait)
	}
	must.Between(t, 5, atOnce, 12)
	must.Between(t, 20*time.Second, now.Sub(bindingStart), 25*time.Second)
}

func versionRow(pool, version string, rowVersion uint64, retiring bool) kernel.VersionChange {
	row := kernel.VersionRow{Pool: pool, Version: version, Retiring: retiring}
	return kernel.VersionChange{Key: kernel.VersionKey(row.Binding()), Row: row, RowVersion: rowVersion}
}

// Only what the rows state may be begun or concluded: an absent or retiring version is not begun, and two are no conclusion.
func TestPoolVersions(t *testing.T) {
	v1, v2 := kernel.Binding{Pool: "p", Version: "v1"}, kernel.Binding{Pool: "p", Version: "v2"}
	v := kernel.PoolVersions{}
	must.False(t, v.MayBegin(bindingStart, v1))
	v = v.With(bindingStart, []kernel.VersionChange{versionRow("p", "v1", 3, false), versionRow("other", "v9", 4, false)})
	must.True(t, v.MayBegin(bindingStart, v1))
	must.False(t, v.MayBegin(bindingStart.Add(2*time.Minute), v1), must.Sprint("rows that are out of date"))
	only, ok := v.Only("p")
	must.True(t, ok)
	must.EqOp(t, v1, only)
	must.False(t, kernel.NeedsBindingRecord(bindingStart, v, nil, "p", true))
	must.True(t, kernel.NeedsBindingRecord(bindingStart, v, nil, "p", false), must.Sprint("nodes of an older build"))
	must.True(t, kernel.NeedsBindingRecord(bindingStart.Add(time.Minute), v, nil, "p", true), must.Sprint("rows that are out of date"))
	must.True(t, kernel.NeedsBindingRecord(bindingStart, v, nil, "unknown", true))
	must.False(t, kernel.NeedsBindingRecord(bindingStart, v, []kernel.Binding{v1, {Pool: "other", Version: "v2"}}, "p", true))
	must.True(t, kernel.NeedsBindingRecord(bindingStart, v, []kernel.Binding{v1, v2}, "p", true), must.Sprint("an engine that has no row yet"))
	v = v.With(bindingStart, []kernel.VersionChange{versionRow("p", "v2", 5, false)})
	_, ok = v.Only("p")
	must.False(t, ok)
	must.True(t, kernel.NeedsBindingRecord(bindingStart, v, nil, "p", true))
	retired := v.With(bindingStart, []kernel.VersionChange{versionRow("p", "v1", 6, true)})
	must.False(t, retired.MayBegin(bindingStart, v1))
	must.True(t, retired.MayBegin(bindingStart, v2))
	_, ok = retired.Only("p")
	must.False(t, ok, must.Sprint("streams of a retiring version may still come back"))
	must.False(t, retired.With(bindingStart, []kernel.VersionChange{versionRow("p", "v1", 5, false)}).MayBegin(bindingStart, v1), must.Sprint("an older row"))
	removed := versionRow("p", "v1", 7, true)
	removed.Removed = true
	_, ok = retired.With(bindingStart, []kernel.VersionChange{removed}).Only("p")
	must.True(t, ok)
}

// Rows follow the listed versions: announced at once by one node, by others only if that one does not, and removed long after the
// last stream may have begun. Guards against a version without a row, and against a row that is gone too soon.
func TestVersionPublisher(t *testing.T) {
	v1, v2 := kernel.Binding{Pool: "p", Version: "v1"}, kernel.Binding{Pool: "p", Version: "v2"}
	rows := kernel.PoolVersions{}.With(bindingStart, []kernel.VersionChange{versionRow("p", "v1", 3, false)})
	first, other := kernel.NewVersionPublisher(), kernel.NewVersionPublisher()
	must.SliceEmpty(t, first.Decide(bindingStart, []kernel.Binding{v1}, true, rows, true, 0))
	must.SliceEmpty(t, first.Decide(bindingStart, []kernel.Binding{v1, v2}, true, kernel.PoolVersions{}, true, 0), must.Sprint("rows that were not read"))
	writes := first.Decide(bindingStart, []kernel.Binding{v1, v2}, false, rows, true, 0)
	must.Eq(t, []kernel.VersionWrite{{Action: kernel.AnnounceVersion, Binding: v2}}, writes)
	must.SliceEmpty(t, other.Decide(bindingStart, []kernel.Binding{v1, v2}, false, rows, false, 0.5))
	must.Len(t, 1, other.Decide(bindingStart.Add(4*time.Second), []kernel.Binding{v1, v2}, false, rows, false, 0.5))
	rows = rows.With(bindingStart, []kernel.VersionChange{versionRow("p", "v2", 5, false)})

	var changes []kernel.VersionWrite
	retiredAt, removedAt := time.Duration(0), time.Duration(0)
	for after := time.Duration(0); after < 5*time.Minute; after += 250 * time.Millisecond {
		now := bindingStart.Add(after)
		for _, w := range first.Decide(now, []kernel.Binding{v2}, true, rows, true, 0) {
			changes = append(changes, w)
			switch w.Action {
			case kernel.RetireVersion:
				retiredAt = after
				rows = rows.With(now, []kernel.VersionChange{versionRow("p", "v1", 9, true)})
			case kernel.RemoveVersion:
				must.EqOp(t, 9, w.RowVersion, must.Sprint("the removal fails if the row has changed"))
				removedAt = after
				gone := versionRow("p", "v1", 10, true)
				gone.Removed = true
				rows = rows.With(now, []kernel.VersionChange{gone})
			}
		}
	}
	must.Len(t, 2, changes)
	must.Between(t, 15*time.Second, retiredAt, 30*time.Second)
	must.GreaterEq(t, 2*kernel.MaxStreamLife, removedAt-retiredAt)

	// A list that is out of date retires nothing, and a version that is listed again is announced again.
	rows = kernel.PoolVersions{}.With(bindingStart, []kernel.VersionChange{versionRow("p", "v1", 3, false)})
	stale := kernel.NewVersionPublisher()
	for after := time.Duration(0); after < 5*time.Minute; after += time.Second {
		must.SliceEmpty(t, stale.Decide(bindingStart.Add(after), nil, false, rows, true, 0))
	}
	rows = rows.With(bindingStart, []kernel.VersionChange{versionRow("p", "v1", 4, true)})
	must.Eq(t, []kernel.VersionWrite{{Action: kernel.AnnounceVersion, Binding: v1, RowVersion: 4}}, stale.Decide(bindingStart, []kernel.Binding{v1}, true, rows, true, 0))
}

// Resumed streams go on at the pool and version that are known, or are refused as not run.
func TestAdmitResumed(t *testing.T) {
	route := model.Route{Kind: model.Stream, Resumable: true, Split: []model.WeightedPool{{Pool: "p"}, {Pool: "q"}}}
	admission := kernel.Admission{Route: route, Pool: "q"}
	known := kernel.Finding{Source: kernel.BindingRecorded, Settled: true, Binding: kernel.Binding{Pool: "p", Version: "v1"}}
	a, refusal := kernel.AdmitResumed(admission, known)
	must.Nil(t, refusal)
	must.EqOp(t, "p", a.Pool)
	must.True(t, a.Bound)
	registry := kernel.NewRegistry().WithChanges(bindingStart, bindingStart, []model.Endpoint{
		{Name: "a", Pool: "p", Version: "v1", State: model.Live},
		{Name: "b", Pool: "p", Version: "v2", State: model.Live},
		{Name: "c", Pool: "q", Version: "v1", State: model.Live},
	}, nil, nil)
	must.Len(t, 1, a.Endpoints(registry))
	must.Nil(t, kernel.AdmitPools(bindingStart, registry, model.Forward{}, a))
	without := registry.WithChanges(bindingStart, bindingStart, nil, []string{"a"}, nil)
	must.EqOp(t, model.VersionGone, kernel.AdmitPools(bindingStart, without, model.Forward{}, a).Reason)
	overtaken := known
	overtaken.Settled = false
	for _, f := range []kernel.Finding{{}, {Source: kernel.BindingNotRecorded}, {Source: kernel.BindingUnanswered}, overtaken} {
		_, refusal = kernel.AdmitResumed(admission, f)
		must.EqOp(t, model.StreamUnknown, refusal.Reason)
		must.EqOp(t, model.NotRun, refusal.Verdict)
	}
	moved := admission
	moved.Route.Split = []model.WeightedPool{{Pool: "q"}}
	_, refusal = kernel.AdmitResumed(moved, known)
	must.EqOp(t, model.VersionGone, refusal.Reason)
}

// A route that leads to other pools than a moment ago lets nobody conclude where its streams began.
func TestMovedRouteLetsNobodyInferBindings(t *testing.T) {
	table := func(version uint64, pool string) *kernel.RouteTable {
		return kernel.NewRouteTable(model.Routing{Version: version, Routes: []model.Route{{Host: "h", Prefix: "/a/", Split: []model.WeightedPool{{Pool: pool, Weight: 1}}}}})
	}
	route, _ := table(1, "p").Match("h", "/a/b")
	history := kernel.RouteHistory{}.With(bindingStart, nil, table(1, "p"))
	must.True(t, kernel.MayInferBinding(bindingStart, history, route, true))
	must.False(t, kernel.MayInferBinding(bindingStart, history, route, false))
	long := route
	long.Timeout = kernel.MaxStreamLife + time.Second
	must.False(t, kernel.MayInferBinding(bindingStart, history, long, true), must.Sprint("streams that outlast the rows"))
	history = history.With(bindingStart, table(1, "p"), table(2, "p"))
	must.True(t, kernel.MayInferBinding(bindingStart, history, route, true))
	history = history.With(bindingStart, table(2, "p"), table(3, "q"))
	must.False(t, kernel.MayInferBinding(bindingStart, history, route, true))
	history = history.With(bindingStart, table(3, "q"), table(4, "q"))
	must.False(t, kernel.MayInferBinding(bindingStart.Add(kernel.MaxStreamLife/2), history, route, true))
	must.True(t, kernel.MayInferBinding(bindingStart.Add(kernel.MaxStreamLife), history, route, true))
}
