package kernel

import (
	"maps"
	"slices"
	"strings"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// relistGracePeriod is how long after the store answers again an entry that lapsed during the outage is kept, so
	// that its endpoint can be listed again: the platform promises that within about two seconds.
	relistGracePeriod = 2200 * time.Millisecond
	// outageThreshold is how long the list may go without being proven current before entries count as lapsed
	// during an outage. An entry outlives three heartbeat intervals of more than a second, and the list is proven
	// current every second, or every two where an answer is lost.
	outageThreshold = 2400 * time.Millisecond
)

type (
	// Registry is a node's view of the endpoints: the entries of the store's list, with those that lapsed while the
	// store did not answer and may be listed again. An entry lapses, and leaves the list, if its endpoint has not
	// renewed it for some heartbeat intervals. A Registry is immutable.
	Registry struct {
		entries map[string]registryEntry
		// evacuations are the failure domains that get no work.
		evacuations Evacuations
		// standings holds what endpoints have stated of themselves to this node, by incarnation.
		standings map[string]listedStanding
		// byPool holds the endpoints of each pool in the order of their names, with the states that follow from
		// entries, standings and evacuations.
		byPool map[string][]model.Endpoint
		// provenAt is when the list was last proven current; storeRecoveredAt is when that first happened after the
		// last outage of the store.
		provenAt         time.Time
		storeRecoveredAt time.Time
	}

	registryEntry struct {
		endpoint model.Endpoint
		// lapsed is true for an entry that lapsed during an outage of the store and may be listed again.
		lapsed bool
	}

	listedStanding struct {
		Standing
		// unlistedSince is when the incarnation was first missing from the list; zero while it is listed.
		unlistedSince time.Time
	}
)

// NewRegistry returns a registry without endpoints.
func NewRegistry() Registry {
	return Registry{entries: map[string]registryEntry{}}
}

// WithChanges returns the registry after a read of the list that proves it current as of provenAt. listed are the
// entries that were written, removed the names of those that were removed, and unreadable the names of those that were
// overwritten by a value that names no endpoint. An older entry of a process that has started again since is ignored.
func (r Registry) WithChanges(now, provenAt time.Time, listed []model.Endpoint, removed, unreadable []string) Registry {
	if !r.provenAt.IsZero() && provenAt.Sub(r.provenAt) > outageThreshold {
		r.storeRecoveredAt = now
	}
	r.provenAt = provenAt
	grace := !r.storeRecoveredAt.IsZero() && now.Sub(r.storeRecoveredAt) < relistGracePeriod
	if len(listed)+len(removed)+len(unreadable) == 0 && (grace || !r.anyLapsed()) {
		// Most answers contain no change, and copying a large list takes much processor time on a small host.
		return r
	}
	entries := maps.Clone(r.entries)
	for _, name := range removed {
		e, known := entries[name]
		if known && grace && r.effective(e.endpoint).State != model.Leaving {
			e.lapsed = true
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
			// The entry took an unknown time to arrive, so this end is too late rather than too early.
			e.ColdUntil = now.Add(e.ColdFor)
		}
		entries[e.Name] = registryEntry{endpoint: e}
	}
	if !grace {
		maps.DeleteFunc(entries, func(_ string, e registryEntry) bool { return e.lapsed })
	}
	r.entries = entries
	r.standings = r.retainedStandings(now)
	return r.indexed()
}

// retainedStandings returns the standings without those of incarnations that left the list long ago.
func (r Registry) retainedStandings(now time.Time) map[string]listedStanding {
	retained := make(map[string]listedStanding, len(r.standings))
	for incarnation, s := range r.standings {
		switch {
		case r.lists(incarnation):
			s.unlistedSince = time.Time{}
		case s.unlistedSince.IsZero():
			s.unlistedSince = now
		case now.Sub(s.unlistedSince) >= StandingRetention:
			continue
		}
		retained[incarnation] = s
	}
	return retained
}

// lists reports whether an incarnation is listed.
func (r Registry) lists(incarnation string) bool {
	entry, known := r.entries[model.NameOfIncarnation(incarnation)]
	return known && entry.endpoint.Incarnation() == incarnation
}

// WithStatement returns the registry after an endpoint stated something of itself in the answer to a request that this
// node sent at sentAt, and whether its standing has changed.
func (r Registry) WithStatement(sentAt, now time.Time, e model.Endpoint, stated model.Statement) (after Registry, changed bool) {
	incarnation := e.Incarnation()
	before := r.standings[incarnation]
	standing := before.With(sentAt, now, stated)
	if standing == before.Standing {
		return r, false
	}
	r.standings = maps.Clone(r.standings)
	if r.standings == nil {
		r.standings = map[string]listedStanding{}
	}
	before.Standing = standing
	r.standings[incarnation] = before
	return r.withReindexed(e), true
}

// withReindexed returns the registry with the entry of one endpoint replaced in byPool. Endpoints of a large pool may ask
// for pauses many times a second, and indexing all pools takes much processor time on a small host.
func (r Registry) withReindexed(e model.Endpoint) Registry {
	known, listed := r.Find(e.Name)
	i := slices.IndexFunc(r.byPool[known.Pool], func(other model.Endpoint) bool { return other.Name == e.Name })
	if !listed || i < 0 {
		return r
	}
	r.byPool = maps.Clone(r.byPool)
	r.byPool[known.Pool] = slices.Clone(r.byPool[known.Pool])
	r.byPool[known.Pool][i] = known
	return r
}

// Standing returns what an incarnation of an endpoint has stated of itself to this node.
func (r Registry) Standing(incarnation string) Standing {
	return r.standings[incarnation].Standing
}

func (r Registry) anyLapsed() bool {
	for _, e := range r.entries {
		if e.lapsed {
			return true
		}
	}
	return false
}

// WithEvacuations returns the registry with the evacuations replaced.
func (r Registry) WithEvacuations(e Evacuations) Registry {
	r.evacuations = e
	return r.indexed()
}

// Evacuations returns the failure domains that get no work.
func (r Registry) Evacuations() Evacuations {
	return r.evacuations
}

// indexed returns the registry with byPool rebuilt from entries and evacuations.
func (r Registry) indexed() Registry {
	r.byPool = map[string][]model.Endpoint{}
	for _, entry := range r.entries {
		e := r.effective(entry.endpoint)
		r.byPool[e.Pool] = append(r.byPool[e.Pool], e)
	}
	for _, endpoints := range r.byPool {
		slices.SortFunc(endpoints, func(a, b model.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	}
	return r
}

// effective returns a listed endpoint with what its own answers and the evacuations add to its entry.
func (r Registry) effective(e model.Endpoint) model.Endpoint {
	standing := r.Standing(e.Incarnation())
	e.PausedUntil = standing.PausedUntil
	switch {
	case standing.Leaving():
		e.State = model.Leaving
	case e.State == model.Live && r.evacuations.Contains(e.FailureDomain):
		e.State = model.Evacuated
	}
	if cold := r.evacuations.coldUntil(e.FailureDomain); cold.After(e.ColdUntil) {
		e.ColdUntil = cold
	}
	return e
}

// Endpoints returns the endpoints of a pool in the order of their names, including those that take no work. The slice
// is shared and must not be changed.
func (r Registry) Endpoints(pool string) []model.Endpoint {
	return r.byPool[pool]
}

// Pools returns the names of the pools that have endpoints, in no particular order.
func (r Registry) Pools() []string {
	return slices.Collect(maps.Keys(r.byPool))
}

// Accepts reports whether this node may send new work to an incarnation of an endpoint now: it is listed and accepts work.
func (r Registry) Accepts(now time.Time, e model.Endpoint) bool {
	known, listed := r.Find(e.Name)
	return listed && known.Incarnation() == e.Incarnation() && known.Version == e.Version && known.Accepts(now)
}

// Find returns an endpoint by its name.
func (r Registry) Find(name string) (model.Endpoint, bool) {
	e, ok := r.entries[name]
	if !ok {
		return model.Endpoint{}, false
	}
	return r.effective(e.endpoint), true
}

// FindByAddress returns the endpoint that is listed at an address. Of several, the one that started last is returned.
func (r Registry) FindByAddress(address string) (found model.Endpoint, ok bool) {
	for _, entry := range r.entries {
		if e := entry.endpoint; e.Address == address && (!ok || e.Started.After(found.Started)) {
			found, ok = e, true
		}
	}
	return found, ok
}

// Superseded reports whether the process of an incarnation has started again since: neither its results nor its calls
// in flight exist any more.
func (r Registry) Superseded(incarnation string) bool {
	e, known := r.entries[model.NameOfIncarnation(incarnation)]
	return known && e.endpoint.Incarnation() != incarnation
}

// Len returns the number of known endpoints.
func (r Registry) Len() int {
	return len(r.entries)
}

// Age returns the time since the list was last proven current.
func (r Registry) Age(now time.Time) time.Duration {
	return now.Sub(r.provenAt)
}

// RegistryChange is one difference between two registries.
type RegistryChange struct {
	Endpoint model.Endpoint
	// Before is the previous incarnation of a process that started again; empty for other changes.
	Before model.Endpoint
	// Message is the text of the change's log line.
	Message string
}

// Changes returns the differences from an earlier registry, in no particular order.
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
		case e.lapsed && !old.lapsed:
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
