package kernel

import (
	"maps"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"basilstall.example/basilstall/model"
)

type (
	// Registry is a node's view of the endpoints: the entries of the store's list, with those that lapsed while the
	// store did not answer and may be listed again. An entry lapses, and leaves the list, if its endpoint has not
	// renewed it for some heartbeat intervals. A Registry is immutable, and shares what is the same with the one that it
	// was made from.
	Registry struct {
		entries *immutable.Map[string, registryEntry]
		// byAddress holds the names of the endpoints that are listed at each address.
		byAddress *immutable.Map[string, []string]
		// lapsed holds what is known of the entries that lapsed, by name.
		lapsed map[string]lapse
		// evacuations are the failure domains that get no work.
		evacuations Evacuations
		// standings holds what endpoints have stated of themselves to this node, by incarnation.
		standings map[string]listedStanding
		// byPool holds the endpoints of each pool, with the states that follow from entries, standings and evacuations.
		// Pools without endpoints have no list. The map is replaced whenever a list is.
		byPool *map[string]*poolList
		// revision identifies the entries. changed holds the names of those that differ from base, the revision that they
		// were made from.
		revision *registryRevision
		base     *registryRevision
		changed  []string
		// absences holds why the entries among changed that are missing from the list were kept or dropped.
		absences map[string]Absence
		// provenAt is when the list was last proven current, proofInterval the last ordinary time between two proofs.
		provenAt      time.Time
		proofInterval time.Duration
		// drainBound is the time after a report that an endpoint leaves in which it may get work; zero for no bound.
		// readInterval is how often the list is read from the store.
		drainBound   time.Duration
		readInterval time.Duration
	}

	// ListChange is what a read of the list of endpoints changes.
	ListChange struct {
		// ProvenAt is when the list was proven current, Reads the reads of the list by all nodes.
		ProvenAt time.Time
		Reads    ReadHistory
		// Listed are the entries that were written, Removed those that were removed, and Unreadable the names of those
		// that were overwritten by a value that names no endpoint.
		Listed     []model.Endpoint
		Removed    []RemovedEntry
		Unreadable []string
	}

	// RemovedEntry is an entry that was removed between two versions of the store.
	RemovedEntry struct {
		Name           string
		After, Through uint64
	}

	// Absence is a decision about an entry that is missing from the list, and the age of what decided it.
	Absence struct {
		AbsenceVerdict
		// EvidenceAge is the time since the start of the read that showed the evidence, and UnlistedFor that since the
		// list was last proven to hold the entry.
		EvidenceAge time.Duration
		UnlistedFor time.Duration
	}

	registryEntry struct {
		// endpoint is shared and must not be changed.
		endpoint *model.Endpoint
		// lapsed is true for an entry that lapsed during an outage of the store and may be listed again.
		lapsed bool
	}

	// lapse is what is known of an entry that lapsed.
	lapse struct {
		// removed tells between which versions the entry was removed. It is kept until keptUntil.
		removed   RemovedEntry
		keptUntil time.Time
		// listedAt is when the list was last proven to hold the entry, missingAt when it was first proven to lack it.
		listedAt, missingAt time.Time
	}

	// registryRevision is an identity; the field makes different ones have different addresses.
	registryRevision struct {
		_ byte
	}

	listedStanding struct {
		Standing
		// unlistedSince is when the incarnation was first missing from the list; zero while it is listed.
		unlistedSince time.Time
	}
)

// NewRegistry returns a registry without endpoints.
func NewRegistry() Registry {
	return Registry{
		entries:   immutable.NewMap[string, registryEntry](nil),
		byAddress: immutable.NewMap[string, []string](nil),
		byPool:    &map[string]*poolList{},
		revision:  &registryRevision{},
	}
}

// WithDrainBound returns the registry with a bound on the time after a report that an endpoint leaves in which it may get
// work, where a node reads the list from the store at an interval.
func (r Registry) WithDrainBound(bound, readInterval time.Duration) Registry {
	r.drainBound, r.readInterval = bound, readInterval
	return r
}

// WithChanges returns the registry after a read of the list of which only the names of the removed entries are known.
func (r Registry) WithChanges(now, provenAt time.Time, listed []model.Endpoint, removed, unreadable []string) Registry {
	change := ListChange{ProvenAt: provenAt, Listed: listed, Unreadable: unreadable}
	for _, name := range removed {
		change.Removed = append(change.Removed, RemovedEntry{Name: name})
	}
	return r.WithListChange(now, change)
}

// WithListChange returns the registry after a read of the list. An older entry of a process that has started again since is
// ignored. Missing entries are kept or dropped as JudgeAbsence decides.
func (r Registry) WithListChange(now time.Time, c ListChange) Registry {
	before := r
	unproven := time.Duration(0)
	if !r.provenAt.IsZero() {
		unproven = c.ProvenAt.Sub(r.provenAt)
	}
	if 0 < unproven && unproven <= outageThreshold {
		r.proofInterval = unproven
	}
	r.provenAt = c.ProvenAt
	if len(c.Listed)+len(c.Removed)+len(c.Unreadable) == 0 && !r.hasEndedLapse(now, c.Reads) {
		// Most answers contain no change.
		return r
	}
	if r.entries.Len() == 0 {
		return r.filled(now, c.Listed)
	}
	names := slices.Clone(c.Unreadable)
	absences := map[string]Absence{}
	evidence := before.outageEvidence(c, unproven)
	for _, removed := range c.Removed {
		names = append(names, removed.Name)
		e, known := r.entries.Get(removed.Name)
		if !known {
			continue
		}
		l := lapse{removed: removed, listedAt: before.provenAt, missingAt: c.ProvenAt}
		evidence.Leaving = r.effective(*e.endpoint).State == model.Leaving
		evidence.ReadMeanwhile = l.readMeanwhile(c.Reads)
		verdict := JudgeAbsence(evidence)
		absences[removed.Name] = l.absence(now, verdict)
		if verdict.Keep == 0 {
			r = r.withoutEntry(removed.Name)
			continue
		}
		l.keptUntil = now.Add(verdict.Keep)
		r = r.withLapsedEntry(removed.Name, e.endpoint, l)
	}
	for _, name := range c.Unreadable {
		r = r.withoutEntry(name)
	}
	for _, e := range c.Listed {
		names = append(names, e.Name)
		if known, ok := r.entries.Get(e.Name); ok && known.endpoint.Started.After(e.Started) {
			continue
		}
		r = r.withEntry(e.Name, registryEntry{endpoint: received(now, e)})
	}
	for name, l := range r.lapsed {
		reason, ended := l.ended(now, c.Reads)
		if !ended {
			continue
		}
		absences[name] = l.absence(now, AbsenceVerdict{Reason: reason})
		r = r.withoutEntry(name)
		names = append(names, name)
	}
	r.standings = r.retainedStandings(now)
	r.revision, r.base, r.changed, r.absences = &registryRevision{}, before.revision, names, absences
	return r.withPools(before, names)
}

// outageEvidence returns the evidence of an outage of the store that is the same for all entries that a read shows to be
// missing; before is the registry that the list was last proven to equal.
func (r Registry) outageEvidence(c ListChange, unproven time.Duration) AbsenceEvidence {
	e := AbsenceEvidence{Unproven: unproven, ProofInterval: max(r.proofInterval, r.readInterval), Bound: r.drainBound}
	if unproven <= outageThreshold || len(c.Removed) == 0 {
		return e
	}
	isLive := func(entry registryEntry) bool {
		return !entry.lapsed && r.effective(*entry.endpoint).State != model.Leaving
	}
	for it := r.entries.Iterator(); !it.Done(); {
		if _, entry, _ := it.Next(); isLive(entry) {
			e.Live++
		}
	}
	for _, removed := range c.Removed {
		if entry, known := r.entries.Get(removed.Name); known && isLive(entry) {
			e.Missing++
		}
	}
	return e
}

// hasEndedLapse reports whether an entry that lapsed is to be dropped now.
func (r Registry) hasEndedLapse(now time.Time, reads ReadHistory) bool {
	for _, l := range r.lapsed {
		if _, ended := l.ended(now, reads); ended {
			return true
		}
	}
	return false
}

// ended returns why an entry that lapsed is to be dropped now, given the reads of the list that are known by now.
func (l lapse) ended(now time.Time, reads ReadHistory) (AbsenceReason, bool) {
	switch {
	case l.readMeanwhile(reads):
		return AbsenceReadMeanwhile, true
	case !now.Before(l.keptUntil):
		return AbsenceNotRelisted, true
	default:
		return "", false
	}
}

// readMeanwhile reports whether the store was read while the entry was removed.
func (l lapse) readMeanwhile(reads ReadHistory) bool {
	return l.removed.Through > 0 && reads.InUse(l.removed.After, l.removed.Through)
}

func (l lapse) absence(now time.Time, v AbsenceVerdict) Absence {
	return Absence{AbsenceVerdict: v, EvidenceAge: now.Sub(l.missingAt), UnlistedFor: now.Sub(l.listedAt)}
}

// received returns an entry that was read now. It took an unknown time to arrive, so the end of the time in which the
// endpoint is cold is too late rather than too early.
func received(now time.Time, e model.Endpoint) *model.Endpoint {
	if e.ColdFor > 0 {
		e.ColdUntil = now.Add(e.ColdFor)
	}
	return &e
}

// filled returns an empty registry with its first entries, each name once. It is made without the intermediate versions
// that as many single changes would leave behind.
func (r Registry) filled(now time.Time, listed []model.Endpoint) Registry {
	entries := immutable.NewMapBuilder[string, registryEntry](nil)
	addresses := make(map[string][]string, len(listed))
	pools := map[string][]model.Endpoint{}
	r.revision, r.base, r.changed, r.absences = &registryRevision{}, r.revision, make([]string, 0, len(listed)), nil
	for _, e := range listed {
		entry := received(now, e)
		entries.Set(e.Name, registryEntry{endpoint: entry})
		addresses[e.Address] = append(addresses[e.Address], e.Name)
		pools[e.Pool] = append(pools[e.Pool], r.effective(*entry))
		r.changed = append(r.changed, e.Name)
	}
	byAddress := immutable.NewMapBuilder[string, []string](nil)
	for address, names := range addresses {
		byAddress.Set(address, names)
	}
	r.entries, r.byAddress = entries.Map(), byAddress.Map()
	byPool := make(map[string]*poolList, len(pools))
	for pool, endpoints := range pools {
		byPool[pool] = newPoolList(endpoints)
	}
	r.byPool = &byPool
	r.standings = r.retainedStandings(now)
	return r
}

// withEntry returns the registry with an entry added or replaced. The lists of the pools are left as they are.
func (r Registry) withEntry(name string, e registryEntry) Registry {
	if known, ok := r.entries.Get(name); ok && known.endpoint.Address != e.endpoint.Address {
		r.byAddress = withoutName(r.byAddress, known.endpoint.Address, name)
	}
	names, _ := r.byAddress.Get(e.endpoint.Address)
	if !slices.Contains(names, name) {
		r.byAddress = r.byAddress.Set(e.endpoint.Address, append(slices.Clone(names), name))
	}
	r.entries = r.entries.Set(name, e)
	return r.withoutLapse(name)
}

// withLapsedEntry returns the registry with an entry that lapsed. The lists of the pools are left as they are.
func (r Registry) withLapsedEntry(name string, e *model.Endpoint, l lapse) Registry {
	r = r.withEntry(name, registryEntry{endpoint: e, lapsed: true})
	r.lapsed = maps.Clone(r.lapsed)
	if r.lapsed == nil {
		r.lapsed = map[string]lapse{}
	}
	r.lapsed[name] = l
	return r
}

func (r Registry) withoutLapse(name string) Registry {
	if _, lapsed := r.lapsed[name]; lapsed {
		r.lapsed = maps.Clone(r.lapsed)
		delete(r.lapsed, name)
	}
	return r
}

// withoutEntry returns the registry without an entry. The lists of the pools are left as they are.
func (r Registry) withoutEntry(name string) Registry {
	known, ok := r.entries.Get(name)
	if !ok {
		return r
	}
	r.byAddress = withoutName(r.byAddress, known.endpoint.Address, name)
	r.entries = r.entries.Delete(name)
	return r.withoutLapse(name)
}

func withoutName(byAddress *immutable.Map[string, []string], address, name string) *immutable.Map[string, []string] {
	names, _ := byAddress.Get(address)
	if len(names) <= 1 {
		return byAddress.Delete(address)
	}
	return byAddress.Set(address, slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name }))
}

// withPools returns the registry with the lists of the pools as its entries with the given names say; before holds the
// entries that the lists still follow.
func (r Registry) withPools(before Registry, names []string) Registry {
	changes := map[string]map[string]*model.Endpoint{}
	sizes := map[string]int{}
	change := func(pool, name string, e *model.Endpoint) {
		if changes[pool] == nil {
			changes[pool] = map[string]*model.Endpoint{}
		}
		changes[pool][name] = e
	}
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if seen[name] {
			continue
		}
		seen[name] = true
		old, known := before.entries.Get(name)
		now, listed := r.entries.Get(name)
		if known {
			change(old.endpoint.Pool, name, nil)
			sizes[old.endpoint.Pool]--
		}
		if listed {
			e := r.effective(*now.endpoint)
			change(e.Pool, name, &e)
			sizes[e.Pool]++
		}
	}
	byPool := maps.Clone(*r.byPool)
	for pool, changed := range changes {
		list := byPool[pool]
		if list == nil {
			list = newPoolList(nil)
		}
		byPool[pool] = list.with(changed, list.size+sizes[pool])
		if byPool[pool].size == 0 {
			delete(byPool, pool)
		}
	}
	r.byPool = &byPool
	return r
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
	entry, known := r.entries.Get(model.NameOfIncarnation(incarnation))
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
	return r.withPools(r, []string{e.Name}), true
}

// Standing returns what an incarnation of an endpoint has stated of itself to this node.
func (r Registry) Standing(incarnation string) Standing {
	return r.standings[incarnation].Standing
}

// WithEvacuations returns the registry with the evacuations replaced.
func (r Registry) WithEvacuations(e Evacuations) Registry {
	r.evacuations = e
	return r.withPools(r, r.names())
}

// Evacuations returns the failure domains that get no work.
func (r Registry) Evacuations() Evacuations {
	return r.evacuations
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
	list := (*r.byPool)[pool]
	if list == nil {
		return nil
	}
	return list.endpoints()
}

// SameEndpoints reports whether a registry that this one was made from has the same endpoints, in the same states.
func (r Registry) SameEndpoints(before Registry) bool {
	return r.byPool == before.byPool
}

// SamePool reports the same of one pool.
func (r Registry) SamePool(before Registry, pool string) bool {
	return (*r.byPool)[pool] == (*before.byPool)[pool]
}

// Pools returns the names of the pools that have endpoints, in no particular order.
func (r Registry) Pools() []string {
	return slices.Collect(maps.Keys(*r.byPool))
}

// Accepts reports whether this node may send new work to an incarnation of an endpoint now: it is listed and accepts work.
func (r Registry) Accepts(now time.Time, e model.Endpoint) bool {
	known, listed := r.Find(e.Name)
	return listed && known.Incarnation() == e.Incarnation() && known.Version == e.Version && known.Accepts(now)
}

// Find returns an endpoint by its name.
func (r Registry) Find(name string) (model.Endpoint, bool) {
	e, ok := r.entries.Get(name)
	if !ok {
		return model.Endpoint{}, false
	}
	return r.effective(*e.endpoint), true
}

// FindByAddress returns the endpoint that is listed at an address. Of several, the one that started last is returned.
func (r Registry) FindByAddress(address string) (found model.Endpoint, ok bool) {
	names, _ := r.byAddress.Get(address)
	for _, name := range names {
		entry, listed := r.entries.Get(name)
		if listed && (!ok || entry.endpoint.Started.After(found.Started)) {
			found, ok = *entry.endpoint, true
		}
	}
	return found, ok
}

// Superseded reports whether the process of an incarnation has started again since: neither its results nor its calls
// in flight exist any more.
func (r Registry) Superseded(incarnation string) bool {
	e, known := r.entries.Get(model.NameOfIncarnation(incarnation))
	return known && e.endpoint.Incarnation() != incarnation
}

// Len returns the number of known endpoints.
func (r Registry) Len() int {
	return r.entries.Len()
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
	// Absence tells why an entry that is missing from the list is kept or dropped, if HasAbsence is true.
	Absence    Absence
	HasAbsence bool
}

// Changes returns the differences from an earlier registry, in no particular order. It costs what has changed if this
// registry was made from that one by one call of WithChanges.
func (r Registry) Changes(before Registry) []RegistryChange {
	if r.revision == before.revision {
		return nil
	}
	names := r.changed
	if r.base != before.revision {
		names = slices.Concat(r.names(), before.names())
	}
	var out []RegistryChange
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if seen[name] {
			continue
		}
		seen[name] = true
		if c, changed := r.change(before, name); changed {
			if r.base == before.revision {
				c.Absence, c.HasAbsence = r.absences[name]
			}
			out = append(out, c)
		}
	}
	return out
}

// change returns how the entry of a name differs from an earlier registry.
func (r Registry) change(before Registry, name string) (RegistryChange, bool) {
	old, known := before.entries.Get(name)
	e, listed := r.entries.Get(name)
	switch {
	case !known && !listed:
		return RegistryChange{}, false
	case !known:
		return RegistryChange{Endpoint: *e.endpoint, Message: "endpoint listed"}, true
	case !listed:
		return RegistryChange{Endpoint: *old.endpoint, Message: "endpoint gone"}, true
	case old.endpoint.Incarnation() != e.endpoint.Incarnation():
		return RegistryChange{Endpoint: *e.endpoint, Before: *old.endpoint, Message: "endpoint started again"}, true
	case old.endpoint.State != e.endpoint.State:
		return RegistryChange{Endpoint: *e.endpoint, Message: "endpoint changed its state"}, true
	case e.lapsed && !old.lapsed:
		return RegistryChange{Endpoint: *e.endpoint, Message: "endpoint lapsed while the store was away"}, true
	default:
		return RegistryChange{}, false
	}
}

// names returns the names of all entries.
func (r Registry) names() []string {
	out := make([]string, 0, r.entries.Len())
	for it := r.entries.Iterator(); !it.Done(); {
		name, _, _ := it.Next()
		out = append(out, name)
	}
	return out
}
