package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
)

func TestAMirrorTellsOnlyNews(t *testing.T) {
	now := time.Unix(1000, 0)
	m := kernel.NewMirror()
	must.Len(t, 2, m.Take(now, []kernel.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}, 2, true))
	must.SliceEmpty(t, m.Take(now, []kernel.Row{{Key: "a", Version: 1}}, 3, false))
	must.Len(t, 1, m.Take(now, []kernel.Row{{Key: "a", Version: 4}}, 4, false))
	news := m.Take(now, []kernel.Row{{Key: "a", Version: 4}}, 5, true)
	must.Eq(t, []kernel.Row{{Key: "b", Version: 5, Removed: true}}, news, must.Sprint("a whole table tells what is gone"))
	must.SliceEmpty(t, m.Take(now, []kernel.Row{{Key: "a", Version: 3}}, 3, false), must.Sprint("an older answer changes nothing"))
}

func TestAProofThroughAnotherNodeIsAsOldAsItsOwn(t *testing.T) {
	now := time.Unix(1000, 0)
	source, copied := kernel.NewMirror(), kernel.NewMirror()
	source.Take(now, []kernel.Row{{Key: "a", Version: 1}}, 1, true)
	asked := now.Add(2 * time.Second)
	answered := asked.Add(700 * time.Millisecond)
	d, ok := source.Since(answered, 0)
	must.True(t, ok)
	copied.TakeDelta(asked, d)
	must.False(t, copied.ProvenAt().After(now), must.Sprint("never younger than the store's own answer"))
	must.Eq(t, now.Add(-700*time.Millisecond), copied.ProvenAt())
	_, ok = kernel.NewMirror().Since(now, 0)
	must.False(t, ok)
}

// A copy that asks now and then, of two sources at different versions, is never ahead of the store,
// never goes back, and is the store's table once it has caught up.
func TestMirrorsOfMirrorsAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store, version := map[string]kernel.Row{}, uint64(0)
		var log []kernel.Row
		sources := []*kernel.Mirror{kernel.NewMirror(), kernel.NewMirror()}
		copied := kernel.NewMirror()
		read := func(m *kernel.Mirror) {
			after, known := m.Known()
			if !known {
				var rows []kernel.Row
				for _, r := range store {
					rows = append(rows, r)
				}
				m.Take(now, rows, version, true)
				return
			}
			var rows []kernel.Row
			for _, r := range log {
				if r.Version > after {
					rows = append(rows, r)
				}
			}
			m.Take(now, rows, version, false)
		}
		ask := func(from *kernel.Mirror) {
			before, _ := copied.Known()
			if d, ok := from.Since(now, before); ok {
				copied.TakeDelta(now, d)
			}
			if after, _ := copied.Known(); after < before || after > version {
				t.Fatalf("version went from %d to %d, the store is at %d", before, after, version)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				version++
				r := kernel.Row{Key: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), Version: version, Removed: rapid.Bool().Draw(t, "removed")}
				log = append(log, r)
				if r.Removed {
					delete(store, r.Key)
				} else {
					store[r.Key] = r
				}
			case 2:
				read(sources[rapid.IntRange(0, 1).Draw(t, "reader")])
			default:
				ask(sources[rapid.IntRange(0, 1).Draw(t, "source")])
			}
		}
		read(sources[0])
		ask(sources[0])
		all, _ := copied.Since(now, 0)
		if len(all.Rows) != len(store) {
			t.Fatalf("%d rows, the store has %d", len(all.Rows), len(store))
		}
		for _, r := range all.Rows {
			if store[r.Key] != r {
				t.Fatalf("row %s is %v, in the store %v", r.Key, r, store[r.Key])
			}
		}
	})
}
