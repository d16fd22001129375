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

// mirrorMachine drives a store, two mirrors that read it, and one that asks them.
type mirrorMachine struct {
	now     time.Time
	version uint64
	store   map[string]kernel.Row
	log     []kernel.Row
	sources [2]*kernel.Mirror
	copied  *kernel.Mirror
}

// A copy that asks now and then, of two sources at different versions, is never ahead of the store,
// never goes back, and is the store's table once it has caught up.
func TestMirrorsOfMirrorsAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &mirrorMachine{
			now:     time.Unix(1000, 0),
			store:   map[string]kernel.Row{},
			sources: [2]*kernel.Mirror{kernel.NewMirror(), kernel.NewMirror()},
			copied:  kernel.NewMirror(),
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": m.write,
			"read":  func(t *rapid.T) { m.read(rapid.IntRange(0, 1).Draw(t, "reader")) },
			"ask":   func(t *rapid.T) { m.ask(t, rapid.IntRange(0, 1).Draw(t, "source")) },
			"agree": m.agree,
		})
	})
}

func (m *mirrorMachine) write(t *rapid.T) {
	m.version++
	r := kernel.Row{Key: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), Version: m.version, Removed: rapid.Bool().Draw(t, "removed")}
	m.log = append(m.log, r)
	delete(m.store, r.Key)
	if !r.Removed {
		m.store[r.Key] = r
	}
}

func (m *mirrorMachine) read(source int) {
	after, known := m.sources[source].Known()
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
	m.sources[source].Take(m.now, rows, m.version, !known)
}

func (m *mirrorMachine) ask(t *rapid.T, source int) {
	before, _ := m.copied.Known()
	if d, ok := m.sources[source].Since(m.now, before); ok {
		m.copied.TakeDelta(m.now, d)
	}
	if after, _ := m.copied.Known(); after < before || after > m.version {
		t.Fatalf("version went from %d to %d, the store is at %d", before, after, m.version)
	}
}

// agree lets the copy catch up and compares.
func (m *mirrorMachine) agree(t *rapid.T) {
	m.read(0)
	m.ask(t, 0)
	all, _ := m.copied.Since(m.now, 0)
	if len(all.Rows) != len(m.store) {
		t.Fatalf("%d rows, the store has %d", len(all.Rows), len(m.store))
	}
	for _, r := range all.Rows {
		if m.store[r.Key] != r {
			t.Fatalf("row %s is %v, in the store %v", r.Key, r, m.store[r.Key])
		}
	}
}
