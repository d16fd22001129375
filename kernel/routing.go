package kernel

import (
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// loadReportTTL is how long a reported load counts; its weight falls linearly to zero over this time.
	loadReportTTL = 2 * time.Second
	// crossDomainPenalty is the number of calls in flight that is added to the load of an endpoint in another failure
	// domain.
	crossDomainPenalty = 1.0
	// prefixLoadFactor is how far above the pool's mean the load of an endpoint that does not report its slots may
	// rise before a prefix moves on to the next endpoint (bounded-load rendezvous hashing).
	prefixLoadFactor = 1.25
	// maxPrefixDelay is how many times the lowest expected time an endpoint may take to keep a prefix. Reading the prefix
	// anew at another endpoint, which caches it from then on, costs less than the time lost at one beyond it.
	maxPrefixDelay = 2.0
	// recentReport is the age up to which a report shows the present state of an endpoint where contention changes every
	// few hundred milliseconds.
	recentReport = 500 * time.Millisecond
	// recentChoices is the number of candidates with a recent report that are compared with the first one. In the model of
	// 400 nodes (package pace), one gave 0.96 and two gave 0.98 on time with a third of the endpoints slow.
	recentChoices = 2
	// maxUsualTime bounds the expected time at an endpoint that has not reported lately, relative to that of a request alone
	// at a usual endpoint. Otherwise, a node that knows only overloaded endpoints would take all others to be as loaded, and
	// keep to those that it knows.
	maxUsualTime = 3.0
	// unreportedShare is the expected time at an endpoint that has not reported lately, as a share of the mean of the others.
	// With 1, a restarted endpoint of a pool of two got no requests while the other one was not busy.
	unreportedShare = 0.95
	// freeSlotWeight is how much each request in a slot adds to the expected time, in times of a request per slot. The load
	// may have risen since the report, so the less loaded of two endpoints with free slots is better. With 1, slow endpoints
	// were left idle near saturation: 0.55 instead of 0.87 on time in a trial of three nodes at 0.95 of the capacity.
	freeSlotWeight = 0.25
)

// Candidate is an endpoint that a call may be routed to.
type Candidate struct {
	Endpoint model.Endpoint
	// InFlight is the number of the node's own calls to the endpoint.
	InFlight int
	// Load is the load that the endpoint reported with a reply at LoadAt.
	Load   model.Load
	LoadAt time.Time
	Health Health
	// Slowness is how long work is expected to take at the endpoint, relative to a usual endpoint of the pool. It is 0 for
	// all candidates if the endpoints of the pool do not state their contention; then only the load decides.
	Slowness float64
	// PendingPrefillTokens is how many prompt tokens of this node's requests an engine has still to prefill.
	PendingPrefillTokens int
}

// usualEndpoint is what is assumed of an endpoint that has not reported lately: the expected time of a request there,
// slightly less than the mean of the others and at most maxUsualTime, or 0 if none has reported; and its slots.
type usualEndpoint struct {
	time  float64
	slots int
}

// Usable returns the candidates that may get a call: those that accept work now, are not ejected and not among the
// excluded incarnations. If fewer than the share minUsableShare of the others are healthy, those with the fewest ejections
// are added up to that share. Where all may get a call, the result is candidates itself: a large pool takes megabytes.
func Usable(now time.Time, candidates []Candidate, excluded []string) []Candidate {
	if allUsable(now, candidates, excluded) {
		return candidates
	}
	eligible := make([]Candidate, 0, len(candidates))
	healthy := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !c.Endpoint.Accepts(now) || slices.Contains(excluded, c.Endpoint.Incarnation()) {
			continue
		}
		eligible = append(eligible, c)
		if c.Health.Usable(now) {
			healthy = append(healthy, c)
		}
	}
	if float64(len(healthy)) >= minUsableShare*float64(len(eligible)) && len(healthy) > 0 {
		return withoutProbed(now, healthy)
	}
	return withoutProbed(now, withLeastEjected(eligible, healthy))
}

func allUsable(now time.Time, candidates []Candidate, excluded []string) bool {
	for i := range candidates {
		if !candidates[i].isUsable(now, excluded) {
			return false
		}
	}
	return true
}

// isUsable reports whether an endpoint may get a call whatever the others are like.
func (c *Candidate) isUsable(now time.Time, excluded []string) bool {
	return c.Endpoint.Accepts(now) && !c.Endpoint.OnProbation(now) && c.Health.Usable(now) &&
		(len(excluded) == 0 || !slices.Contains(excluded, c.Endpoint.Incarnation()))
}

// withoutProbed returns the candidates without those on probation that have a call in flight: its answer shows whether
// the endpoint accepts requests again. If no other is left, it returns all.
func withoutProbed(now time.Time, candidates []Candidate) []Candidate {
	probed := func(c Candidate) bool { return c.Endpoint.OnProbation(now) && c.InFlight > 0 }
	if !slices.ContainsFunc(candidates, probed) {
		return candidates
	}
	others := slices.DeleteFunc(slices.Clone(candidates), probed)
	if len(others) == 0 {
		return candidates
	}
	return others
}

// withLeastEjected adds to the healthy candidates those with the fewest ejections, up to the share minUsableShare.
func withLeastEjected(eligible, healthy []Candidate) []Candidate {
	floor := int(math.Ceil(minUsableShare * float64(len(eligible))))
	sorted := slices.Clone(eligible)
	slices.SortStableFunc(sorted, func(a, b Candidate) int {
		return a.Health.Ejections - b.Health.Ejections
	})
	for _, c := range sorted {
		if len(healthy) >= floor {
			break
		}
		if !slices.ContainsFunc(healthy, func(h Candidate) bool { return h.Endpoint.Name == c.Endpoint.Name }) {
			healthy = append(healthy, c)
		}
	}
	return healthy
}

// PickTwoChoices returns the index of the less loaded of two random candidates. The first one is of the node's own
// failure domain if there are any. The two numbers are uniform in [0, 1). It returns -1 if there are no candidates.
//
// If the slowness of the candidates is known, it returns the one with the lowest expected time among the first one and
// recentChoices others that have reported lately. Random choices keep nodes from all taking the endpoint that looks best.
func PickTwoChoices(now time.Time, candidates []Candidate, domain string, first, second float64) int {
	if len(candidates) == 0 {
		return -1
	}
	own := func(c *Candidate) bool { return c.Endpoint.FailureDomain == domain }
	a, found := pickMatch(candidates, own, first)
	if !found {
		a = int(first * float64(len(candidates)))
	}
	if candidates[a].Slowness > 0 {
		return pickByExpectedTime(now, candidates, domain, a, second)
	}
	b := int(second * float64(len(candidates)))
	if a == b {
		b = (b + 1) % len(candidates)
	}
	if estimatedLoad(now, &candidates[b], domain) < estimatedLoad(now, &candidates[a], domain) {
		return b
	}
	return a
}

// pickByExpectedTime returns the index of the candidate with the lowest expected time among first and recentChoices random
// ones of those that have reported lately. A large fleet hears of each endpoint rarely; the recent reports tell a node
// which few endpoints are fast and free now, others ones to each node. random is uniform in [0, 1).
func pickByExpectedTime(now time.Time, candidates []Candidate, domain string, first int, random float64) int {
	recent := func(c *Candidate) bool { return c.reportedLately(now) }
	usual := newUsualEndpoint(now, candidates)
	best, lowest := first, candidates[first].expectedTime(now, domain, usual)
	for range recentChoices {
		i, found := pickMatch(candidates, recent, random)
		if !found || i == first {
			i = int(random * float64(len(candidates)))
		}
		if i == first {
			i = (i + 1) % len(candidates)
		}
		if t := candidates[i].expectedTime(now, domain, usual); t < lowest {
			best, lowest = i, t
		}
		random = nextRandom(random)
	}
	return best
}

// nextRandom returns another number in [0, 1) from the less significant digits of one that is uniform there.
func nextRandom(random float64) float64 {
	_, next := math.Modf(random * (1 << 20))
	return next
}

// pickMatch returns the index of a random candidate that matches, and false if none does. random is uniform in [0, 1).
func pickMatch(candidates []Candidate, matches func(*Candidate) bool, random float64) (int, bool) {
	count := 0
	for i := range candidates {
		if matches(&candidates[i]) {
			count++
		}
	}
	skip := int(random * float64(count))
	for i := range candidates {
		if !matches(&candidates[i]) {
			continue
		}
		if skip == 0 {
			return i, true
		}
		skip--
	}
	return -1, false
}

// PickPrefix returns the index of the candidate that a prompt's prefix hashes to, or the next one in the order of the
// hashes if that one has no free slot: a cached prefix saves less time than waiting costs. If none has a free slot, it
// returns the least loaded one. It returns -1 if there are no candidates.
//
// If the slowness of the candidates is known, one that is expected to take more than maxPrefixDelay times as long as the
// best one is passed over as well, even if that one has no free slot. If none is left, the one with the lowest expected
// time is returned in place of the least loaded one.
func PickPrefix(now time.Time, candidates []Candidate, prefix string) int {
	if len(candidates) == 0 {
		return -1
	}
	loads := make([]float64, len(candidates))
	var total float64
	for i, c := range candidates {
		loads[i] = estimatedLoad(now, &c, c.Endpoint.FailureDomain)
		total += loads[i]
	}
	mean := (total + 1) / float64(len(candidates))
	limit := maxPrefixDelay * lowestExpectedTime(candidates, loads)
	best, least := -1, 0
	var bestScore uint64
	for i, c := range candidates {
		if isLessLoaded(c, loads[i], candidates[least], loads[least]) {
			least = i
		}
		if !hasCapacity(c, loads[i], mean) || c.Slowness > 0 && c.timeAtLoad(loads[i], c.slots(1)) > limit {
			continue
		}
		score := rendezvousScore(prefix, c.Endpoint.Name)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return least
	}
	return best
}

// lowestExpectedTime returns the lowest expected time of the candidates, or 0 if their slowness is not known.
func lowestExpectedTime(candidates []Candidate, loads []float64) float64 {
	lowest := 0.0
	for i, c := range candidates {
		if t := c.timeAtLoad(loads[i], c.slots(1)); lowest == 0 || t < lowest {
			lowest = t
		}
	}
	return lowest
}

// isLessLoaded reports whether a has less load per slot than b, or a lower expected time if the slowness of both is known.
func isLessLoaded(a Candidate, loadA float64, b Candidate, loadB float64) bool {
	if a.Slowness > 0 && b.Slowness > 0 {
		return a.timeAtLoad(loadA, a.slots(1)) < b.timeAtLoad(loadB, b.slots(1))
	}
	return loadPerSlot(a, loadA) < loadPerSlot(b, loadB)
}

func hasCapacity(c Candidate, load, mean float64) bool {
	if c.Load.Slots > 0 {
		return load+1 <= float64(c.Load.Slots)
	}
	return load < prefixLoadFactor*mean+1
}

// loadPerSlot returns the load per reported slot.
func loadPerSlot(c Candidate, load float64) float64 {
	return load / float64(max(1, c.Load.Slots))
}

// estimatedLoad estimates the load of an endpoint as seen from a failure domain: the node's own calls in flight, and
// the calls of other nodes according to the last report, weighted by its freshness.
func estimatedLoad(now time.Time, c *Candidate, domain string) float64 {
	load := float64(c.InFlight)
	age := now.Sub(c.LoadAt)
	if age < loadReportTTL && !c.LoadAt.IsZero() {
		fresh := 1 - float64(age)/float64(loadReportTTL)
		others := float64(c.Load.Running+c.Load.Queued) - float64(c.InFlight)
		load += fresh * max(0, others)
	}
	if c.Endpoint.FailureDomain != domain {
		load += crossDomainPenalty
	}
	return load
}

// reportedLately reports whether the last report of the endpoint shows its present state.
func (c *Candidate) reportedLately(now time.Time) bool {
	return !c.LoadAt.IsZero() && now.Sub(c.LoadAt) < recentReport
}

// newUsualEndpoint returns what is assumed of an endpoint that has not reported lately, from those that have.
func newUsualEndpoint(now time.Time, candidates []Candidate) usualEndpoint {
	var sum float64
	count, slots := 0, 0
	for i := range candidates {
		if c := &candidates[i]; c.reportedLately(now) {
			sum += c.timeAtLoad(float64(c.Load.Running+c.Load.Queued), c.slots(1))
			slots += c.slots(1)
			count++
		}
	}
	if count == 0 {
		return usualEndpoint{slots: 1}
	}
	return usualEndpoint{time: min(maxUsualTime, unreportedShare*sum/float64(count)), slots: max(1, slots/count)}
}

// expectedTime returns the expected time of a further request at the endpoint, relative to that of a request alone at a
// usual one. As far as the endpoint has not reported its load lately, it is taken to be used by other nodes until a
// request takes the usual time there: a slow endpoint that they avoid is idle.
func (c *Candidate) expectedTime(now time.Time, domain string, usual usualEndpoint) float64 {
	fresh := 0.0
	if age := now.Sub(c.LoadAt); age < loadReportTTL && !c.LoadAt.IsZero() {
		fresh = 1 - float64(age)/float64(loadReportTTL)
	}
	t := c.timeAtLoad(estimatedLoad(now, c, domain), c.slots(usual.slots))
	return t + (1-fresh)*max(0, usual.time-t)
}

// timeAtLoad returns the expected time of a request relative to that of a request alone at a usual endpoint. Reported
// loads count the request that ended with the report, so a further request waits once load exceeds the slots.
func (c *Candidate) timeAtLoad(load float64, slots int) float64 {
	perSlot := load / float64(slots)
	return c.Slowness * (max(1, perSlot) + freeSlotWeight*perSlot)
}

// slots returns the number of slots that the endpoint has reported, or that of its entry in the list, or unknown if
// neither is known.
func (c *Candidate) slots(unknown int) int {
	switch {
	case c.Load.Slots > 0:
		return c.Load.Slots
	case c.Endpoint.Slots > 0:
		return c.Endpoint.Slots
	default:
		return unknown
	}
}
