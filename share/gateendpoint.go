package share

import (
	"math"
	"slices"
	"time"
)

// timeInSlot returns how long a request with the given work spends in a slot at most, as a rule.
func (g *Gate) timeInSlot(work float64) time.Duration {
	return time.Duration(work * (g.stretch + deviationFactor*g.deviation) * float64(time.Second))
}

// recordStretch records the ratio of the time that a request spent in its slot to its expected work.
func (g *Gate) recordStretch(ratio float64) {
	ratio = min(max(ratio, minGateStretch), maxGateStretch)
	weight := stretchRiseWeight
	if ratio < g.stretch {
		weight = stretchFallWeight
	}
	g.deviation += stretchRiseWeight * (math.Abs(ratio-g.stretch) - g.deviation)
	g.stretch += weight * (ratio - g.stretch)
}

// recordEndpoint records what the end of a request shows about its endpoint.
func (g *Gate) recordEndpoint(now time.Time, end GateEnd) {
	if end.Incarnation == "" {
		return
	}
	i := slices.IndexFunc(g.endpoints, func(e *gateEndpoint) bool { return e.incarnation == end.Incarnation })
	if i < 0 {
		return
	}
	e := g.endpoints[i]
	if end.Slots > 0 && end.Slots != g.reportedSlots[e.incarnation] {
		g.reportedSlots[e.incarnation] = end.Slots
		g.updateSlots()
	}
	if end.Load > 0 {
		e.recordLoad(end.Load)
	}
	switch {
	case end.Result == GateUnreachable:
		e.pausedUntil = now.Add(gateFaultPause)
	case end.Result == GateNoRoom && end.Load <= e.slots:
		// The endpoint has no queue, or does not report it. The first refusal may be due to the extra request, a later one
		// only to requests that this gate has not admitted.
		if now.Before(e.noExtraUntil) {
			e.penalty = min(e.penalty+1, e.slots-1)
		}
		e.noExtraUntil = now.Add(gateRefusalPause)
	}
}

// updateSlots sets the slots of the endpoints. If an endpoint has not reported any, they are those of its entry, or else
// the most that another endpoint of the pool has reported.
func (g *Gate) updateSlots() {
	most := 1
	for _, known := range g.reportedSlots {
		most = max(most, known)
	}
	g.totalSlots = 0
	for i, e := range g.endpoints {
		e.slots = most
		if known := g.reportedSlots[e.incarnation]; known > 0 {
			e.slots = known
		} else if g.listed[i].Slots > 0 {
			e.slots = g.listed[i].Slots
		}
		g.totalSlots += e.slots
	}
}

// freeEndpoint returns the endpoint with room that has the fewest requests relative to its slots; nil if none has room.
func (g *Gate) freeEndpoint(now time.Time) *gateEndpoint {
	var best *gateEndpoint
	bestLoad := math.Inf(1)
	for _, e := range g.endpoints {
		limit := e.slots + gateExtra
		if now.Before(e.noExtraUntil) {
			limit = e.slots - e.penalty
		} else {
			e.penalty = 0
		}
		limit = max(limit-int(math.Round(e.foreign)), e.slots/2, 1)
		if e.running >= limit || now.Before(e.pausedUntil) {
			continue
		}
		load := float64(e.running) / float64(e.slots)
		if load < bestLoad || load == bestLoad && e.lastAssigned < best.lastAssigned {
			best, bestLoad = e, load
		}
	}
	return best
}

// recordLoad records how many requests the endpoint has, with the one that ends.
func (e *gateEndpoint) recordLoad(load int) {
	foreign := float64(max(0, load-e.running))
	weight := foreignRiseWeight
	if foreign < e.foreign {
		weight = foreignFallWeight
	}
	e.foreign += weight * (foreign - e.foreign)
}
