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
}

// Usable returns the candidates that may get a call: those that accept work now, are not ejected and not among the
// excluded incarnations. If fewer than the share minUsableShare of the others are healthy, those with the fewest ejections
// are added up to that share.
func Usable(now time.Time, candidates []Candidate, excluded []string) []Candidate {
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
func PickTwoChoices(now time.Time, candidates []Candidate, domain string, first, second float64) int {
	if len(candidates) == 0 {
		return -1
	}
	var own []int
	for i, c := range candidates {
		if c.Endpoint.FailureDomain == domain {
			own = append(own, i)
		}
	}
	a := int(first * float64(len(candidates)))
	b := int(second * float64(len(candidates)))
	if len(own) > 0 {
		a = own[int(first*float64(len(own)))]
	}
	if a == b {
		b = (b + 1) % len(candidates)
	}
	if estimatedLoad(now, candidates[b], domain) < estimatedLoad(now, candidates[a], domain) {
		return b
	}
	return a
}

// PickPrefix returns the index of the candidate that a prompt's prefix hashes to, or the next one in the order of the
// hashes if that one has no free slot: a cached prefix saves less time than waiting costs. If none has a free slot, it
// returns the least loaded one. It returns -1 if there are no candidates.
func PickPrefix(now time.Time, candidates []Candidate, prefix string) int {
	if len(candidates) == 0 {
		return -1
	}
	loads := make([]float64, len(candidates))
	var total float64
	for i, c := range candidates {
		loads[i] = estimatedLoad(now, c, c.Endpoint.FailureDomain)
		total += loads[i]
	}
	mean := (total + 1) / float64(len(candidates))
	best, least := -1, 0
	var bestScore uint64
	for i, c := range candidates {
		if loadPerSlot(c, loads[i]) < loadPerSlot(candidates[least], loads[least]) {
			least = i
		}
		if !hasCapacity(c, loads[i], mean) {
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
func estimatedLoad(now time.Time, c Candidate, domain string) float64 {
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
