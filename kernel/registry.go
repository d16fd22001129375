package kernel

import (
	"maps"
	"slices"
	"strings"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// lapsedGrace is how long after the store's return an entry that lapsed while it was away
	// may take to come back: the platform promises about two seconds.
	lapsedGrace = 2200 * time.Millisecond
	// outageThreshold is how long nothing may have been proven of the list for entries to have lapsed
	// meanwhile: an entry outlives three heartbeat intervals of more than a second, and the list
	// is proven anew each second, or each two where an answer is lost.
	outageThreshold = 2400 * time.Millisecond
)

type (
	// Registry is a node's view of the endpoints: what the store's list says of endpoints, and what it is taken to mean while the
	// store is away. It is immutable.
	Registry struct {
		entries map[string]registryEntry
		// evacuations says which failure domains get no work.
		evacuations Evacuations
		// byPool holds the endpoints of each pool in the order of their names, in the states that follow from
		// entries and evacuations.
		byPool map[string][]model.Endpoint
		// provenAt is when the list was last proven current; returnedAt is when that was first so
		// after an outage.
		provenAt   time.Time
		returnedAt time.Time
	}

	registryEntry struct {
		endpoint model.Endpoint
		// missing is true for an entry that is no longer listed and may come back.
		missing bool
	}
)

// NewRegistry returns a registry that knows no endpoint.
func NewRegistry() Registry {
	return Registry{entries: map[string]registryEntry{}}
}

// WithChanges returns the registry after the list was proven current as of a time: with the entries that
// were written, those that were removed, and those that were overwritten by what names no endpoint.
// An older report of a process that has started again since changes nothing.
func (r Registry) WithChanges(now, provenAt time.Time, listed []model.Endpoint, removed, unreadable []string) Registry {
	if !r.provenAt.IsZero() && provenAt.Sub(r.provenAt) > outageThreshold {
		r.returnedAt = now
	}
	r.provenAt = provenAt
	grace := !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < lapsedGrace
	if len(listed)+len(removed)+len(unreadable) == 0 && (grace || !r.anyMissing()) {
		// Most answers tell no news, and a copy of a large list costs a small host's processor.
		return r
	}
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
	for _, name := range unreadable {
		delete(entries, name)
	}
	for _, e := range listed {
		if known, ok := entries[e.Name]; ok && known.endpoint.Started.After(e.Started) {
			continue
		}
		if e.ColdFor > 0 {
			// The entry may have been under way, so this is late rather than early.
			e.ColdUntil = now.Add(e.ColdFor)
		}
		entries[e.Name] = registryEntry{endpoint: e}
	}
	if !grace {
		maps.DeleteFunc(entries, func(_ string, e registryEntry) bool { return e.missing })
	}
	r.entries = entries
	return r.indexed()
}

func (r Registry) anyMissing() bool {
	for _, e := range r.entries {
		if e.missing {
			return true
		}
	}
	return false
}

// WithEvacuations returns the registry under other evacuations.
func (r Registry) WithEvacuations(e Evacuations) Registry {
	r.evacuations = e
	return r.indexed()
}

// Evacuations returns which failure domains get no work.
func (r Registry) Evacuations() Evacuations {
	return r.evacuations
}

// indexed returns the registry with byPool made from the rest.
func (r Registry) indexed() Registry {
	r.byPool = map[string][]model.Endpoint{}
	for _, entry := range r.entries {
		e := entry.endpoint
		if e.State == model.Live && r.evacuations.Holds(e.FailureDomain) {
			e.State = model.Evacuated
		}
		if cold := r.evacuations.coldUntil(e.FailureDomain); cold.After(e.ColdUntil) {
			e.ColdUntil = cold
		}
		r.byPool[e.Pool] = append(r.byPool[e.Pool], e)
	}
	for _, endpoints := range r.byPool {
		slices.SortFunc(endpoints, func(a, b model.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	}
	return r
}

// Endpoints returns the endpoints of a pool in the order of their names, those that take no work included. The
// slice is shared and must not be changed.
func (r Registry) Endpoints(pool string) []model.Endpoint {
	return r.byPool[pool]
}

// TakesWork tells whether new work may still be sent to an endpoint that was chosen earlier.
func (r Registry) TakesWork(e model.Endpoint) bool {
	entry, listed := r.entries[e.Name]
	return listed && entry.endpoint.Incarnation() == e.Incarnation() && entry.endpoint.State != model.Leaving && !r.evacuations.Holds(e.FailureDomain)
}

// Find returns an endpoint by its name.
func (r Registry) Find(name string) (model.Endpoint, bool) {
	e, ok := r.entries[name]
	return e.endpoint, ok
}

// Superseded tells whether the process that had an incarnation has started again since: then nothing of that
// incarnation is left, neither results nor calls under way.
func (r Registry) Superseded(incarnation string) bool {
	e, known := r.entries[model.NameOfIncarnation(incarnation)]
	return known && e.endpoint.Incarnation() != incarnation
}

// Len returns how many endpoints are known.
func (r Registry) Len() int {
	return len(r.entries)
}

// Age returns how long ago the list was proven current.
func (r Registry) Age(now time.Time) time.Duration {
	return now.Sub(r.provenAt)
}

// RegistryChange is one difference between two registries.
type RegistryChange struct {
	Endpoint model.Endpoint
	// Before is the former incarnation of a process that started again; empty for other changes.
	Before  model.Endpoint
	Message string
}

// Changes returns what changed since an earlier registry.
func (r Registry) Changes(before Registry) []RegistryChange {
	var out []RegistryChange
	for name, e := range r.entries {
		old, known := before.entries[name]
		switch {
		case !known:
			out = append(out, RegistryChange{Endpoint: e.endpoint, Message: "endpoint listed"})
		case old.endpoint.Incarnation() != e.endpoint.Incarnation():
			out = append(out, RegistryChange{Endpoint: e.endpoint, Before: old.endpoint, Message: "endpoint started again"})
		case old.endpoint.State != e.endpoint.State:
			out = append(out, RegistryChange{Endpoint: e.endpoint, Message: "endpoint changed its state"})
		case e.missing && !old.missing:
			out = append(out, RegistryChange{Endpoint: e.endpoint, Message: "endpoint lapsed while the store was away"})
		}
	}
	for name, old := range before.entries {
		if _, still := r.entries[name]; !still {
			out = append(out, RegistryChange{Endpoint: old.endpoint, Message: "endpoint gone"})
		}
	}
	return out
}
