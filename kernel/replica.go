package kernel

import (
	"time"
)

const (
	// maxRememberedRemovals is how many removed rows a replica remembers; who is further behind gets the
	// whole table.
	maxRememberedRemovals = 256
)

type (
	// Row is a row of a table of the platform's store.
	Row struct {
		Key     string
		Value   string
		Version uint64
		Removed bool
	}

	// Delta is what changed in a table since a version, as one node knows it.
	Delta struct {
		Rows []Row
		// Version is the store's newest version that the table is known at.
		Version uint64
		// Whole tells that Rows are all rows of the table.
		Whole bool
		// Age is how long ago the store call began that proved the table current.
		Age time.Duration
	}

	// Replica is one node's copy of a table, from the store or from another node's replica. Versions
	// only grow. It changes in place.
	Replica struct {
		rows    map[string]Row
		removed []Row
		// known is true once the whole table was read; version is what it is known at; forgotten
		// is up to which version removals are no longer remembered.
		known            bool
		version          uint64
		forgottenVersion uint64
		provenAt         time.Time
	}
)

// NewReplica returns a replica that knows nothing.
func NewReplica() *Replica {
	return &Replica{rows: map[string]Row{}}
}

// Known tells whether the table was ever read, and up to which version.
func (m *Replica) Version() (version uint64, known bool) {
	return m.version, m.known
}

// ProvenAt is the start of the newest store call that is known to have shown what is known here.
func (m *Replica) ProvenAt() time.Time {
	return m.provenAt
}

// Take takes in what the store answered to a call that began at a time. It returns the rows that
// are news, removed ones among them, each key once.
func (m *Replica) Apply(began time.Time, rows []Row, version uint64, whole bool) []Row {
	if m.known && version < m.version {
		return nil
	}
	if whole {
		rows = append(rows, m.missing(rows, version)...)
		m.known = true
		// What was removed before is not known: others may still hold it.
		m.forgottenVersion = version
		m.removed = nil
	}
	var news []Row
	for _, r := range newestOfEach(rows) {
		if old, held := m.rows[r.Key]; held && old.Version >= r.Version {
			continue
		}
		if !r.Removed {
			m.rows[r.Key] = r
			news = append(news, r)
			continue
		}
		m.rememberRemoval(r)
		if _, held := m.rows[r.Key]; held {
			delete(m.rows, r.Key)
			news = append(news, r)
		}
	}
	m.version = max(m.version, version)
	if began.After(m.provenAt) {
		m.provenAt = began
	}
	return news
}

// newestOfEach returns the newest row of each key. An answer may hold several: a row that was written
// and removed between two questions.
func newestOfEach(rows []Row) []Row {
	at := make(map[string]int, len(rows))
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		i, seen := at[r.Key]
		switch {
		case !seen:
			at[r.Key] = len(out)
			out = append(out, r)
		case r.Version > out[i].Version:
			out[i] = r
		}
	}
	return out
}

// missing returns the removals of the rows that a whole table no longer has.
func (m *Replica) missing(rows []Row, version uint64) []Row {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
	}
	var out []Row
	for key := range m.rows {
		if !listed[key] {
			out = append(out, Row{Key: key, Version: version, Removed: true})
		}
	}
	return out
}

func (m *Replica) rememberRemoval(r Row) {
	m.removed = append(m.removed, r)
	if len(m.removed) > maxRememberedRemovals {
		m.forgottenVersion = m.removed[0].Version
		m.removed = m.removed[1:]
	}
}

// Since returns what changed after a version; false means that nothing is known here.
func (m *Replica) Since(now time.Time, after uint64) (Delta, bool) {
	if !m.known {
		return Delta{}, false
	}
	d := Delta{Version: m.version, Age: now.Sub(m.provenAt), Whole: after == 0 || after < m.forgottenVersion}
	for _, r := range m.rows {
		if d.Whole || r.Version > after {
			d.Rows = append(d.Rows, r)
		}
	}
	if !d.Whole {
		for _, r := range m.removed {
			if r.Version > after {
				d.Rows = append(d.Rows, r)
			}
		}
	}
	return d, true
}

// ApplyDelta takes in what another node answered to a question that was asked at a time. What it
// proves is as old as the other node's proof was when it answered, counted from the question: the
// answer may have been long under way.
func (m *Replica) ApplyDelta(asked time.Time, d Delta) []Row {
	return m.Apply(asked.Add(-d.Age), d.Rows, d.Version, d.Whole)
}
