package kernel

import (
	"maps"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// lapsedGrace is how long after the store's return an entry that lapsed while it was away
	// may take to come back: the platform promises about two seconds.
	lapsedGrace = 2200 * time.Millisecond
	// outageGap and outageFailures are how long the store must have been silent, and how many
	// questions must have failed, for entries to have lapsed: an entry outlives three heartbeat
	// intervals of more than a second.
	outageGap      = 2 * time.Second
	outageFailures = 2
)

type (
	// Roster is what the store's list says of endpoints, and what it is taken to mean while the
	// store is away. It is immutable.
	Roster struct {
		entries map[string]rosterEntry
		// answeredAt is when the store last answered; returnedAt is when it first did so after
		// an outage.
		answeredAt time.Time
		returnedAt time.Time
		// failures counts the questions that failed since then.
		failures int
	}

	rosterEntry struct {
		endpoint model.Endpoint
		// missing is true for an entry that is no longer listed and may come back.
		missing bool
	}
)

// NewRoster returns a roster that knows no endpoint.
func NewRoster() Roster {
	return Roster{entries: map[string]rosterEntry{}}
}

// WithFailure returns the roster after a question that the store did not answer.
func (r Roster) WithFailure() Roster {
	r.failures++
	return r
}

// WithListing returns the roster after the store listed all endpoints.
func (r Roster) WithListing(now time.Time, listed []model.Endpoint) Roster {
	byName := make(map[string]bool, len(listed))
	for _, e := range listed {
		byName[e.Name] = true
	}
	var removed []string
	for name := range r.entries {
		if !byName[name] {
			removed = append(removed, name)
		}
	}
	return r.WithChanges(now, listed, removed)
}

// WithChanges returns the roster after the store told what changed.
func (r Roster) WithChanges(now time.Time, listed []model.Endpoint, removed []string) Roster {
	if r.failures >= outageFailures && now.Sub(r.answeredAt) > outageGap {
		r.returnedAt = now
	}
	r.failures = 0
	r.answeredAt = now
	grace := !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < lapsedGrace
	entries := maps.Clone(r.entries)
	for _, name := range removed {
		e, known := entries[name]
		if known && grace && e.endpoint.State != model.Leaving {
			e.missing = true
			entries[name] = e
		} else {
			delete(entries, name)
		}
	}
	for _, e := range listed {
		entries[e.Name] = rosterEntry{endpoint: e}
	}
	if !grace {
		maps.DeleteFunc(entries, func(_ string, e rosterEntry) bool { return e.missing })
	}
	r.entries = entries
	return r
}

// Endpoints returns the endpoints of a pool in the order of their names, leaving ones included.
func (r Roster) Endpoints(pool string) []model.Endpoint {
	var out []model.Endpoint
	for _, e := range r.entries {
		if e.endpoint.Pool == pool {
			out = append(out, e.endpoint)
		}
	}
	slices.SortFunc(out, func(a, b model.Endpoint) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Find returns an endpoint by its name.
func (r Roster) Find(name string) (model.Endpoint, bool) {
	e, ok := r.entries[name]
	return e.endpoint, ok
}

// Len returns how many endpoints are known.
func (r Roster) Len() int {
	return len(r.entries)
}

// Age returns how long ago the store last answered.
func (r Roster) Age(now time.Time) time.Duration {
	return now.Sub(r.answeredAt)
}

// RosterChange is one difference between two rosters.
type RosterChange struct {
	Endpoint model.Endpoint
	What     string
}

// Changes returns what changed since an earlier roster.
func (r Roster) Changes(before Roster) []RosterChange {
	var out []RosterChange
	for name, e := range r.entries {
		old, known := before.entries[name]
		switch {
		case !known:
			out = append(out, RosterChange{Endpoint: e.endpoint, What: "endpoint listed"})
		case old.endpoint.State != e.endpoint.State:
			out = append(out, RosterChange{Endpoint: e.endpoint, What: "endpoint changed its state"})
		case e.missing && !old.missing:
			out = append(out, RosterChange{Endpoint: e.endpoint, What: "endpoint lapsed while the store was away"})
		}
	}
	for name, old := range before.entries {
		if _, still := r.entries[name]; !still {
			out = append(out, RosterChange{Endpoint: old.endpoint, What: "endpoint gone"})
		}
	}
	return out
}
