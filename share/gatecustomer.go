package share

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// gateRateMemory is the time constant of the rates by customer and rank: shares follow changes within about a second.
	gateRateMemory = time.Second
	// gateRankFloor is the part of what it asks for that a rank is served while higher ranks of its customer wait. All
	// ranks that are below it get at most every second request, so that they do not starve the higher ones.
	gateRankFloor = 0.25
	// maxGateWait is the estimate for a request that would not be served at all.
	maxGateWait = time.Hour
	// gateNegligibleRate is the rate, in work per second, below which an idle customer is forgotten.
	gateNegligibleRate = 1e-4
)

type (
	// gateCustomer is what is known of a customer that asks.
	gateCustomer struct {
		name   string
		weight float64
		// startTag is the virtual time at which the customer's next request may start.
		startTag float64
		// recentDemand is the demand relative to the weight when the customer last began to wait or was served. It is fixed in
		// between because the queue of the gate is ordered by it.
		recentDemand float64
		// ranks is ordered by rank.
		ranks       []*gateRank
		waiting     int
		waitingWork float64
		// index is the customer's place in the queue of the gate while it waits.
		index int
		// lastWasFloor is true if the last request served was one of a lower rank that is owed service.
		lastWasFloor bool
	}

	// gateRank holds the waiting requests of one rank.
	gateRank struct {
		customer      *gateCustomer
		rank          int
		requests      gateHeap
		work          float64
		asked, served gateRate
	}

	// gateHeap orders requests by due time, then by their order of arrival at their node.
	gateHeap []*gateRequest

	// gateQueue orders customers by start tag, equal ones by recent demand, then by name. Start tags are often equal, as requests
	// of one kind have equal work.
	gateQueue []*gateCustomer

	// gateRate is a rate of work per second that decays exponentially.
	gateRate struct {
		sum float64
		at  time.Time
	}
)

// customer returns the state of a customer.
func (g *Gate) customer(name string) *gateCustomer {
	c := g.customers[name]
	if c == nil {
		c = &gateCustomer{name: name, weight: 1}
		g.customers[name] = c
	}
	return c
}

// enqueue adds a request to the queue of its customer.
func (g *Gate) enqueue(now time.Time, c *gateCustomer, r *gateRequest) {
	if c.waiting == 0 {
		c.startTag = max(c.startTag, g.virtualTime)
		c.recentDemand = c.demand(now) / c.weight
		heap.Push(&g.queue, c)
	}
	heap.Push(&r.rank.requests, r)
	c.waiting++
	c.waitingWork += r.work
	r.rank.work += r.work
	g.waitingWork += r.work
}

// dequeue removes a request from the queue of its customer.
func (g *Gate) dequeue(r *gateRequest) {
	c := r.rank.customer
	heap.Remove(&r.rank.requests, r.index)
	c.waiting--
	c.waitingWork = max(0, c.waitingWork-r.work)
	r.rank.work = max(0, r.rank.work-r.work)
	g.waitingWork = max(0, g.waitingWork-r.work)
	if len(r.rank.requests) == 0 {
		r.rank.work = 0
	}
	if c.waiting == 0 {
		c.waitingWork = 0
		heap.Remove(&g.queue, c.index)
	}
	if len(g.queue) == 0 {
		g.waitingWork = 0
	}
}

// takeFrom removes a request that is served from the queue of its customer and charges the customer for it.
func (g *Gate) takeFrom(now time.Time, c *gateCustomer, r *gateRequest) {
	c.lastWasFloor = c.higherWaits(r)
	g.virtualTime = max(g.virtualTime, c.startTag)
	c.startTag += r.work / c.weight
	c.recentDemand = c.demand(now) / c.weight
	heap.Fix(&g.queue, c.index)
	g.dequeue(r)
}

// share returns the work per second that a customer may use.
func (g *Gate) share(c *gateCustomer) float64 {
	return min(g.level*c.weight, g.workRate())
}

// updateLevel divides the rate of work among the customers by weighted max-min: those that ask for less than level times
// their weight get what they ask for, the others get that much.
func (g *Gate) updateLevel(now time.Time) {
	if now.Sub(g.levelAt) < gateLevelInterval && !g.levelAt.IsZero() {
		return
	}
	g.levelAt = now
	type claim struct{ demand, weight float64 }
	claims := make([]claim, 0, len(g.customers))
	weights := 0.0
	for _, c := range g.customers {
		claims = append(claims, claim{demand: c.demand(now), weight: c.weight})
		weights += c.weight
	}
	slices.SortFunc(claims, func(a, b claim) int {
		if a.demand*b.weight < b.demand*a.weight {
			return -1
		}
		return 1
	})
	left := g.workRate()
	for _, c := range claims {
		if c.demand/c.weight >= left/weights {
			break
		}
		left -= c.demand
		weights -= c.weight
	}
	g.level = math.Inf(1)
	if weights > 0 {
		g.level = left / weights
	}
}

// rank returns the queue of a rank.
func (c *gateCustomer) rank(rank int) *gateRank {
	i, found := slices.BinarySearchFunc(c.ranks, rank, func(r *gateRank, rank int) int { return r.rank - rank })
	if !found {
		c.ranks = slices.Insert(c.ranks, i, &gateRank{customer: c, rank: rank})
	}
	return c.ranks[i]
}

// next returns the request that the customer is to be served next: the first of the highest rank, or every second time of
// a lower rank that got less than its floor. Some request must wait.
func (c *gateCustomer) next(now time.Time) *gateRequest {
	var first, owed *gateRank
	for _, rank := range c.ranks {
		switch {
		case len(rank.requests) == 0:
		case first == nil:
			first = rank
		case rank.owed(now, 0) && (owed == nil || rank.servedPart(now) < owed.servedPart(now)):
			owed = rank
		}
	}
	if owed != nil && !c.lastWasFloor {
		return owed.requests[0]
	}
	return first.requests[0]
}

// higherWaits reports whether a request of a higher rank than that of r waits.
func (c *gateCustomer) higherWaits(r *gateRequest) bool {
	return slices.ContainsFunc(c.ranks, func(rank *gateRank) bool { return rank.rank < r.rank.rank && len(rank.requests) > 0 })
}

// workBefore returns the work of the customer that is served before a request that is not queued yet, and the rate at
// which it is done if the customer gets share.
func (c *gateCustomer) workBefore(now time.Time, r *gateRequest, share float64) (work, rate float64) {
	for _, other := range r.rank.requests {
		if !other.ask.Due.After(r.ask.Due) {
			work += other.work
		}
	}
	higher, asked := 0.0, 0.0
	for _, rank := range c.ranks {
		if rank.rank < r.rank.rank {
			higher += rank.work
			asked += rank.asked.perSecond(now)
		}
	}
	if higher+asked == 0 {
		return work, share
	}
	if r.rank.owed(now, r.rank.work) {
		return work, share / 2
	}
	return work + higher, share - asked
}

// demand returns the work per second that the customer asks for.
func (c *gateCustomer) demand(now time.Time) float64 {
	sum := 0.0
	for _, rank := range c.ranks {
		sum += rank.asked.perSecond(now)
	}
	return sum
}

// use returns the work per second that the customer was given.
func (c *gateCustomer) use(now time.Time) float64 {
	sum := 0.0
	for _, rank := range c.ranks {
		sum += rank.served.perSecond(now)
	}
	return sum
}

// forgettable reports whether a customer has been idle for so long that it makes no difference whether it is known.
func (c *gateCustomer) forgettable(now time.Time, virtualTime float64) bool {
	return c.waiting == 0 && c.startTag <= virtualTime && c.demand(now) < gateNegligibleRate
}

// owed reports whether the rank, with more work that is as good as served, got less than its floor.
func (r *gateRank) owed(now time.Time, more float64) bool {
	return r.served.perSecond(now)+more/gateRateMemory.Seconds() < gateRankFloor*r.asked.perSecond(now)
}

// servedPart returns the part of what the rank asked for that it was served.
func (r *gateRank) servedPart(now time.Time) float64 {
	return r.served.perSecond(now) / max(r.asked.perSecond(now), gateNegligibleRate)
}

func (r *gateRate) add(now time.Time, work float64) {
	r.sum = r.perSecond(now)*gateRateMemory.Seconds() + work
	r.at = now
}

func (r *gateRate) perSecond(now time.Time) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-now.Sub(r.at).Seconds()/gateRateMemory.Seconds()) / gateRateMemory.Seconds()
}

// Len implements heap.Interface.
func (h gateHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h gateHeap) Less(i, j int) bool {
	if !h[i].ask.Due.Equal(h[j].ask.Due) {
		return h[i].ask.Due.Before(h[j].ask.Due)
	}
	return h[i].ask.Key.Number < h[j].ask.Key.Number
}

// Swap implements heap.Interface.
func (h gateHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *gateHeap) Push(x any) {
	r := x.(*gateRequest)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *gateHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}

// Len implements heap.Interface.
func (q gateQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q gateQueue) Less(i, j int) bool {
	if q[i].startTag != q[j].startTag {
		return q[i].startTag < q[j].startTag
	}
	if q[i].recentDemand != q[j].recentDemand {
		return q[i].recentDemand < q[j].recentDemand
	}
	return q[i].name < q[j].name
}

// Swap implements heap.Interface.
func (q gateQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *gateQueue) Push(x any) {
	c := x.(*gateCustomer)
	c.index = len(*q)
	*q = append(*q, c)
}

// Pop implements heap.Interface.
func (q *gateQueue) Pop() any {
	old := *q
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return c
}
