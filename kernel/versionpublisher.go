package kernel

import (
	"slices"
	"time"
)

const (
	// versionRetireAfter is how long no engine of a version may be listed before its row is marked as retiring: longer than
	// engines take to start again.
	versionRetireAfter = 20 * time.Second
	// versionRowTrust is how long after its last proof a node's copy of the rows may still let it begin streams.
	versionRowTrust = time.Minute
	// versionRemoveAfter is how long a row is retiring before it is removed: by then no node begins streams by an older
	// copy of the row, and all streams that were begun have ended.
	versionRemoveAfter = versionRowTrust + MaxStreamLife
	// minVersionDelay and maxVersionDelay bound the delay after which a node acts that is not the first by hash.
	minVersionDelay = time.Second
	maxVersionDelay = 4 * time.Second
	// versionRetryInterval is the minimum interval between two writes of a node for one version.
	versionRetryInterval = time.Second
)

// The changes of rows of versions.
const (
	// AnnounceVersion writes the row of a version that an engine was listed with.
	AnnounceVersion VersionAction = iota
	// RetireVersion marks the row of a version as retiring.
	RetireVersion
	// RemoveVersion removes a row that has been retiring for long. It must fail if the row has changed.
	RemoveVersion
)

type (
	// VersionAction is a change of a row of versions.
	VersionAction int

	// VersionWrite is a change that a node writes to the store. RowVersion is that of the row that it changes.
	VersionWrite struct {
		Action     VersionAction
		Binding    Binding
		RowVersion uint64
	}

	// VersionPublisher decides when one node writes rows of versions. It changes in place.
	VersionPublisher struct {
		states map[Binding]*versionState
	}

	// versionState holds since when a reason for a change of one row has existed.
	versionState struct {
		action VersionAction
		since  time.Time
		// delay is how much longer than the first node by hash this one waits.
		delay     time.Duration
		writtenAt time.Time
	}
)

// NewVersionPublisher returns a publisher.
func NewVersionPublisher() *VersionPublisher {
	return &VersionPublisher{states: map[Binding]*versionState{}}
}

// Decide returns the changes that are due, given the versions of the listed engines that take work and the rows that this
// node has read. listIsFresh is false if the list of endpoints may be out of date: no row is retired or removed by it. first
// is true for the first node by hash, which writes at once. The draw is uniform between 0 and 1.
func (p *VersionPublisher) Decide(now time.Time, listed []Binding, listIsFresh bool, rows PoolVersions, first bool, draw float64) []VersionWrite {
	if rows.provenAt.IsZero() {
		// The rows that this node lacks may be there.
		return nil
	}
	wanted := p.wanted(listed, listIsFresh, rows)
	for b, state := range p.states {
		if action, ok := wanted[b]; !ok || action != state.action {
			delete(p.states, b)
		}
	}
	var due []VersionWrite
	for b, action := range wanted {
		state := p.states[b]
		if state == nil {
			state = &versionState{action: action, since: now, delay: minVersionDelay + time.Duration(draw*float64(maxVersionDelay-minVersionDelay))}
			p.states[b] = state
		}
		if state.due(now, first) {
			state.writtenAt = now
			due = append(due, VersionWrite{Action: action, Binding: b, RowVersion: rows.rows[VersionKey(b)].RowVersion})
		}
	}
	return due
}

// wanted returns the change that the row of each version needs.
func (p *VersionPublisher) wanted(listed []Binding, listIsFresh bool, rows PoolVersions) map[Binding]VersionAction {
	wanted := map[Binding]VersionAction{}
	for _, b := range listed {
		if !rows.Lists(b) {
			wanted[b] = AnnounceVersion
		}
	}
	if !listIsFresh {
		return wanted
	}
	for _, c := range rows.rows {
		b := c.Row.Binding()
		switch {
		case slices.Contains(listed, b):
		case c.Row.Retiring:
			wanted[b] = RemoveVersion
		default:
			wanted[b] = RetireVersion
		}
	}
	return wanted
}

// due reports whether a change is due.
func (s *versionState) due(now time.Time, first bool) bool {
	wait := time.Duration(0)
	switch s.action {
	case RetireVersion:
		wait = versionRetireAfter
	case RemoveVersion:
		wait = versionRemoveAfter
	}
	if !first {
		wait += s.delay
	}
	return now.Sub(s.since) >= wait && (s.writtenAt.IsZero() || now.Sub(s.writtenAt) >= versionRetryInterval)
}

// Announced returns the row as this node knows it after its announcement was written, until it reads the row.
func (w VersionWrite) Announced() VersionChange {
	return VersionChange{Key: VersionKey(w.Binding), Row: w.Row(), RowVersion: w.RowVersion}
}

// Row returns the row that is written.
func (w VersionWrite) Row() VersionRow {
	return VersionRow{Pool: w.Binding.Pool, Version: w.Binding.Version, Retiring: w.Action == RetireVersion}
}

// String returns the name of the action for logs.
func (a VersionAction) String() string {
	switch a {
	case AnnounceVersion:
		return "Announce"
	case RetireVersion:
		return "Retire"
	case RemoveVersion:
		return "Remove"
	default:
		return "Unknown"
	}
}
