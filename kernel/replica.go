package kernel

import (
	"cmp"
	"slices"
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
		// Reads tells when the table was read from the store, if the receiver has missed reads.
		Reads []ReadSpan `msgpack:",omitempty"`
	}

	// TableProof tells up to when a copy of a table is proven current, and what is known of the reads before.
	TableProof struct {
		// At is the start of the newest store call whose answer proved the copy current.
		At time.Time
		// Reads are the reads of the table by all nodes, as far as they are known.
		Reads ReadHistory
		// wholeAfter is the version up to which the table was known before the last changes, if they follow from the
		// whole table; zero otherwise.
		wholeAfter uint64
	}

	// rowVersion is the version at which a row was written.
	rowVersion struct {
		version uint64
		key     string
	}

	// Replica is one node's copy of a table, read from the store or from another node's replica. Its version never
	// decreases. The methods change it in place and must not be called concurrently.
	Replica struct {
		rows    map[string]Row
		removed []Row
		// versions has an entry for each write of a row, in ascending order of the versions. Those of rows that were
		// written or removed since are skipped, and dropped once they are the majority.
		versions []rowVersion
		// known is true once the whole table was read. version is the version of the store up to which the table
		// is known, and forgottenVersion that up to which removals are no longer remembered.
		known            bool
		version          uint64
		forgottenVersion uint64
		provenAt         time.Time
		// reads are the reads of the table by all nodes; wholeAfter is that of TableProof.
		reads      ReadHistory
		wholeAfter uint64
	}
)

// NewReplica returns an empty replica of a table that was not read yet.
func NewReplica() *Replica {
	return &Replica{rows: map[string]Row{}}
}

// Version returns the version of the store up to which the table is known, and whether it was ever read.
func (r *Replica) Version() (version uint64, known bool) {
	return r.version, r.known
}

// ProvenAt returns the start of the newest store call whose answer proved the replica current.
func (r *Replica) ProvenAt() time.Time {
	return r.provenAt
}

// Proof returns up to when the replica is proven current.
func (r *Replica) Proof() TableProof {
	return TableProof{At: r.provenAt, Reads: r.reads, wholeAfter: r.wholeAfter}
}

// AddReads adds what another node knows as of now of the reads of the table, and reports whether that was new.
func (r *Replica) AddReads(now time.Time, spans []ReadSpan) bool {
	if !r.known {
		return false
	}
	after, added := r.reads.WithSpans(now, spans)
	r.reads = after
	return added
}

// RemovalSpan returns between which versions a removed row, one of the last changes, was removed. Only changes tell the
// version itself; where a row is missing from the whole table, it may have been removed at any time since the version known
// before.
func (p TableProof) RemovalSpan(row Row) (after, through uint64) {
	if p.wholeAfter > 0 {
		return p.wholeAfter, row.Version
	}
	return row.Version - 1, row.Version
}

// Apply applies the store's answer to a call that began at startedAt. It returns the rows that changed, including the
// removed ones, each key once.
func (r *Replica) Apply(startedAt time.Time, rows []Row, version uint64, whole bool) []Row {
	if r.known && version < r.version {
		return nil
	}
	r.reads = r.reads.WithRead(startedAt, version)
	r.wholeAfter = 0
	if whole {
		r.wholeAfter = r.version
		rows = append(rows, r.missing(rows, version)...)
		r.known = true
		// Which rows were removed before is not known, and other replicas may still hold them.
		r.forgottenVersion = version
		r.removed = nil
	}
	var changes []Row
	ordered := true
	for _, row := range newestOfEach(rows) {
		if old, held := r.rows[row.Key]; held && old.Version >= row.Version {
			continue
		}
		if !row.Removed {
			r.rows[row.Key] = row
			ordered = ordered && (len(r.versions) == 0 || r.versions[len(r.versions)-1].version <= row.Version)
			r.versions = append(r.versions, rowVersion{version: row.Version, key: row.Key})
			changes = append(changes, row)
			continue
		}
		r.rememberRemoval(row)
		if _, held := r.rows[row.Key]; held {
			delete(r.rows, row.Key)
			changes = append(changes, row)
		}
	}
	if !ordered {
		slices.SortFunc(r.versions, func(a, b rowVersion) int { return cmp.Compare(a.version, b.version) })
	}
	r.dropOutdatedVersions()
	r.version = max(r.version, version)
	if startedAt.After(r.provenAt) {
		r.provenAt = startedAt
	}
	return changes
}

// dropOutdatedVersions drops the versions of rows that were written again or removed, once they are the majority.
func (r *Replica) dropOutdatedVersions() {
	if len(r.versions) > 2*len(r.rows)+maxRememberedRemovals {
		r.versions = slices.DeleteFunc(r.versions, func(v rowVersion) bool { return r.rows[v.key].Version != v.version })
	}
}

// newestOfEach returns the newest row of each key. An answer holds several rows of a key that was written and removed
// between two calls.
func newestOfEach(rows []Row) []Row {
	at := make(map[string]int, len(rows))
	out := make([]Row, 0, len(rows))
	for _, row := range rows {
		i, seen := at[row.Key]
		switch {
		case !seen:
			at[row.Key] = len(out)
			out = append(out, row)
		case row.Version > out[i].Version:
			out[i] = row
		}
	}
	return out
}

// missing returns the removals of the held rows that a whole table no longer contains.
func (r *Replica) missing(rows []Row, version uint64) []Row {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
	}
	var out []Row
	for key := range r.rows {
		if !listed[key] {
			out = append(out, Row{Key: key, Version: version, Removed: true})
		}
	}
	return out
}

func (r *Replica) rememberRemoval(row Row) {
	r.removed = append(r.removed, row)
	if len(r.removed) > maxRememberedRemovals {
		r.forgottenVersion = r.removed[0].Version
		r.removed = r.removed[1:]
	}
}

// Since returns the changes after a version, or false if the table was not read yet.
func (r *Replica) Since(now time.Time, after uint64) (Delta, bool) {
	if !r.known {
		return Delta{}, false
	}
	d := Delta{Version: r.version, Age: now.Sub(r.provenAt), Whole: after == 0 || after < r.forgottenVersion}
	first := 0
	if !d.Whole {
		first, _ = slices.BinarySearchFunc(r.versions, after+1, func(v rowVersion, version uint64) int { return cmp.Compare(v.version, version) })
	}
	for _, v := range r.versions[first:] {
		if row := r.rows[v.key]; row.Version == v.version {
			d.Rows = append(d.Rows, row)
		}
	}
	if !d.Whole {
		for _, row := range r.removed {
			if row.Version > after {
				d.Rows = append(d.Rows, row)
			}
		}
	}
	return d, true
}

// ChangedSince reports whether a row has changed after a version.
func (r *Replica) ChangedSince(version uint64) bool {
	if !r.known {
		return false
	}
	written, removed := len(r.versions)-1, len(r.removed)-1
	return version < r.forgottenVersion || written >= 0 && r.versions[written].version > version || removed >= 0 && r.removed[removed].Version > version
}

// ApplyDelta applies another node's answer to a request that was sent at sentAt. The table is proven current as of
// sentAt less the delta's age. The time of the answer does not count, since it may have been in transit for long.
func (r *Replica) ApplyDelta(sentAt time.Time, d Delta) []Row {
	if !r.known || d.Version >= r.version {
		r.reads, _ = r.reads.WithSpans(sentAt, d.Reads)
	}
	return r.Apply(sentAt.Add(-d.Age), d.Rows, d.Version, d.Whole)
}
