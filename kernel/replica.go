package kernel

import (
	"time"
)

const (
	// maxRememberedRemovals is how many removed rows a replica remembers. A node that is further behind gets the whole
	// table.
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

	// Delta holds the changes of a table after a version, as one node knows them.
	Delta struct {
		Rows []Row
		// Version is the newest version of the store up to which the table is known.
		Version uint64
		// Whole is true if Rows are all rows of the table.
		Whole bool
		// Age is the time since the start of the store call that proved the table current.
		Age time.Duration
	}

	// Replica is one node's copy of a table, read from the store or from another node's replica. Its version never
	// decreases. The methods change it in place and must not be called concurrently.
	Replica struct {
		rows    map[string]Row
		removed []Row
		// known is true once the whole table was read. version is the version of the store up to which the table
		// is known, and forgottenVersion that up to which removals are no longer remembered.
		known            bool
		version          uint64
		forgottenVersion uint64
		provenAt         time.Time
	}
)

// NewReplica returns an empty replica of a table that was not read yet.
func NewReplica() *Replica {
	return &Replica{rows: map[string]Row{}}
}

// Version returns the version of the store up to which the table is known, and whether it was ever read.
func (m *Replica) Version() (version uint64, known bool) {
	return m.version, m.known
}

// ProvenAt returns the start of the newest store call whose answer proved the replica current.
func (m *Replica) ProvenAt() time.Time {
	return m.provenAt
}

// Apply applies the store's answer to a call that began at a time. It returns the rows that changed, including the
// removed ones, each key once.
func (m *Replica) Apply(began time.Time, rows []Row, version uint64, whole bool) []Row {
	if m.known && version < m.version {
		return nil
	}
	if whole {
		rows = append(rows, m.missing(rows, version)...)
		m.known = true
		// Which rows were removed before is not known, and other replicas may still hold them.
		m.forgottenVersion = version
		m.removed = nil
	}
	var changes []Row
	for _, r := range newestOfEach(rows) {
		if old, held := m.rows[r.Key]; held && old.Version >= r.Version {
			continue
		}
		if !r.Removed {
			m.rows[r.Key] = r
			changes = append(changes, r)
			continue
		}
		m.rememberRemoval(r)
		if _, held := m.rows[r.Key]; held {
			delete(m.rows, r.Key)
			changes = append(changes, r)
		}
	}
	m.version = max(m.version, version)
	if began.After(m.provenAt) {
		m.provenAt = began
	}
	return changes
}

// newestOfEach returns the newest row of each key. An answer holds several rows of a key that was written and removed
// between two calls.
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

// missing returns the removals of the held rows that a whole table no longer contains.
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

// Since returns the changes after a version, or false if the table was not read yet.
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

// ApplyDelta applies another node's answer to a question that was asked at a time. The table is proven current as of
// the time of the question less the delta's age. The time of the answer does not count, since it may have been
// in transit for long.
func (m *Replica) ApplyDelta(asked time.Time, d Delta) []Row {
	return m.Apply(asked.Add(-d.Age), d.Rows, d.Version, d.Whole)
}
