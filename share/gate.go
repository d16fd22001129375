package share

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// GateQuiet is how long after requests last waited a pool still counts as overloaded.
	GateQuiet = 2 * time.Second
	// gateExtra is how many requests more than it has slots an endpoint gets, so that a slot is not idle while the message
	// about the end of a request and the next request are on their way.
	gateExtra = 1
	// gateRefusalPause is how long an endpoint that has refused a request gets none beyond its slots. Some endpoints have
	// no queue.
	gateRefusalPause = 10 * time.Second
	// foreignRiseWeight and foreignFallWeight are the weights of a report in the mean number of requests at an endpoint
	// that others have sent. It falls faster because slots that nobody uses are worse than a request that waits.
	foreignRiseWeight, foreignFallWeight = 0.3, 0.7
	// gateFaultPause is how long an endpoint gets no request after no connection to it could be opened.
	gateFaultPause = time.Second
	// gateSilence is how long a node may report nothing before the slots of its requests are freed: three of its regular
	// reports.
	gateSilence = 1500 * time.Millisecond
	// gateRateWindow is the time over which the rate of work is measured. gateRateWeight is the weight of a measurement.
	gateRateWindow = 250 * time.Millisecond
	gateRateWeight = 0.3
	// minGateSpeed and maxGateSpeed bound the measured work that a slot does in a second. Callers that leave, and
	// messages that are lost, must not make the estimate useless.
	minGateSpeed, maxGateSpeed = 0.1, 4
	// stretchRiseWeight and stretchFallWeight are the weights of one request in the mean ratio of time in a slot to expected
	// work. It falls faster, as too high a ratio leaves no request that can be in time, and so no measurement.
	stretchRiseWeight, stretchFallWeight = 0.1, 0.3
	// deviationFactor is how many mean deviations are added to the mean time in a slot for the latest start. With the mean
	// alone, 128 of 559 requests of a customer that waited were late.
	deviationFactor = 2
	// meanWorkWeight is the weight of one request in the mean expected work.
	meanWorkWeight = 0.1
	// initialGateStretch is that ratio before the first measurement: the extra request of an endpoint with two slots
	// makes it 1.5.
	initialGateStretch                   = 1.5
	minGateStretch, maxGateStretch       = 0.5, 4
	defaultGateWork                      = 100 * time.Millisecond
	gateLevelInterval, gateSweepInterval = 50 * time.Millisecond, time.Second
	// gateExpiryInterval is how often all requests are searched for late ones. At each call, the search would take most of the
	// time.
	gateExpiryInterval = 5 * time.Millisecond
	// gateReleaseInterval is how often all requests are searched for passed deadlines and silent nodes.
	gateReleaseInterval = 100 * time.Millisecond
	// minGateRetry is the least time to retry, maxGateSpread the longest time over which the retries of one customer are
	// spread.
	minGateRetry, maxGateSpread = 150 * time.Millisecond, 3 * time.Second
)

// The states of requests.
const (
	// GateQueued: the request waits for a slot. Gate.Advance returns the decision.
	GateQueued GateState = iota
	// GateAdmitted: the request holds a slot and may be sent.
	GateAdmitted
	// GateRefused: the request cannot be served in time. It holds no slot.
	GateRefused
	// GateDropped: the request waited and its node has given it up, or is lost.
	GateDropped
)

// The results of requests that were admitted.
const (
	// GateServed: the endpoint ran the request.
	GateServed GateResult = iota
	// GateUnsent: the request was withdrawn before an endpoint ran it.
	GateUnsent
	// GateNoRoom: the endpoint refused the request for lack of capacity.
	GateNoRoom
	// GateUnreachable: no connection to the endpoint could be opened.
	GateUnreachable
)

type (
	// GateState is the state of a request at a Gate.
	GateState int

	// GateResult is how a request that was admitted ended.
	GateResult int

	// GateKey identifies a request. Numbers of one node increase with each request.
	GateKey struct {
		Node   string
		Number uint64
	}

	// GateEndpoint is an endpoint that accepts requests. Slots is 0 if it is unknown.
	GateEndpoint struct {
		Incarnation string
		Slots       int
	}

	// GateAsk is a request that needs a slot.
	GateAsk struct {
		Key      GateKey
		Customer string
		// Weight is the weight of the customer. One that is not positive and finite counts as 1.
		Weight float64
		// Rank is served before higher ones of the same customer.
		Rank int
		// Due is when the answer is needed. The slot is freed at Deadline at the latest.
		Due, Deadline time.Time
		// Work is the time that an endpoint needs for the request; 0 if it is unknown.
		Work time.Duration
		// Spread, from 0 to 1, distributes the times at which refused requests are retried.
		Spread float64
	}

	// GateEnd is the end of a request that was admitted, or that its node gave up.
	GateEnd struct {
		Key    GateKey
		Result GateResult
		// Incarnation is the endpoint that got the request last; empty if none did. Slots is the number of its slots that it
		// reported; 0 if it did not.
		Incarnation string
		Slots       int
		// Load is how many requests the endpoint reported as running or waiting; 0 if it did not.
		Load int
	}

	// GateDecision is what a Gate has decided on a request.
	GateDecision struct {
		Key   GateKey
		State GateState
		// Incarnation is the endpoint for which an admitted request was counted.
		Incarnation string
		// Share is the work per second that the customer may use, Use what it was given in about the last second.
		Share, Use float64
		// Over is true if the customer asks for more than its share.
		Over bool
		// RetryAfter is when the customer's share may have capacity for a refused request.
		RetryAfter time.Duration
	}

	// Gate divides the slots of a pool of unary endpoints among customers while more is asked for than they can serve.
	// Customers are served by weighted start-time fair queueing, the requests of one customer by rank, then by due time.
	// Work is measured in seconds of endpoints. Invariants: an endpoint gets at most gateExtra more requests than it has
	// slots; no request waits while an endpoint has room. A Gate changes in place and is not safe for concurrent use.
	Gate struct {
		endpoints []*gateEndpoint
		// known holds the endpoints, and those that were removed while their requests run, by incarnation.
		known     map[string]*gateEndpoint
		customers map[string]*gateCustomer
		running   map[GateKey]*gateRequest
		waiting   map[GateKey]*gateRequest
		// heardAt is when each node last reported.
		heardAt map[string]time.Time
		decided []GateDecision
		// virtualTime is the highest start tag of a request served.
		virtualTime float64
		// rate is the measured work per second of the whole pool; 0 before the first measurement.
		rate   float64
		window gateWindow
		// stretch is the mean ratio of the time in a slot to the expected work, meanWork the mean expected work in seconds.
		stretch, meanWork float64
		// deviation is the mean deviation of the ratio from stretch.
		deviation float64
		// level is the work per second of a customer of weight 1 that asks for more than its share.
		level float64
		// levelAt, expiredAt, releasedAt and sweptAt are when the shares were last computed, late requests last refused, lost
		// ones last released, and idle customers last forgotten.
		levelAt, expiredAt, releasedAt, sweptAt time.Time
		lastWaitedAt                            time.Time
		assignments                             uint64
		reportedSlots                           map[string]int
		listed                                  []GateEndpoint
		totalSlots                              int
		// queue orders the customers that wait by start tag. waitingWork is the work of all requests that wait.
		queue       gateQueue
		waitingWork float64
	}

	gateEndpoint struct {
		incarnation string
		slots       int
		running     int
		// noExtraUntil is until when the endpoint gets no request beyond its slots, pausedUntil until when it gets none.
		noExtraUntil, pausedUntil time.Time
		// penalty is subtracted from the slots until noExtraUntil: other senders use them.
		penalty int
		// foreign is the mean number of requests at the endpoint that this gate has not admitted: those of nodes of earlier
		// builds, of nodes that chose by themselves, and of another gate while nodes are cut off from each other.
		foreign float64
		// lastAssigned is the number of the last assignment, by which equal endpoints take turns.
		lastAssigned uint64
	}

	gateRequest struct {
		ask         GateAsk
		work        float64
		latestStart time.Time
		admittedAt  time.Time
		endpoint    *gateEndpoint
		rank        *gateRank
		index       int
	}

	// gateWindow measures the work that ends while requests wait.
	gateWindow struct {
		startedAt time.Time
		work      float64
		hadIdle   bool
	}
)

// NewGate returns a gate without endpoints.
func NewGate() *Gate {
	return &Gate{
		known: map[string]*gateEndpoint{}, customers: map[string]*gateCustomer{}, running: map[GateKey]*gateRequest{}, waiting: map[GateKey]*gateRequest{},
		heardAt: map[string]time.Time{}, stretch: initialGateStretch, meanWork: defaultGateWork.Seconds(), reportedSlots: map[string]int{},
	}
}

// SetEndpoints sets the endpoints that accept requests. The requests of removed endpoints hold no slots of others, and count
// again if their endpoint returns.
func (g *Gate) SetEndpoints(endpoints []GateEndpoint) {
	if slices.Equal(endpoints, g.listed) {
		return
	}
	g.listed = slices.Clone(endpoints)
	g.endpoints = make([]*gateEndpoint, 0, len(endpoints))
	reported := map[string]int{}
	for _, e := range endpoints {
		state := g.known[e.Incarnation]
		if state == nil {
			state = &gateEndpoint{incarnation: e.Incarnation}
		}
		if known := g.reportedSlots[e.Incarnation]; known > 0 {
			reported[e.Incarnation] = known
		}
		g.endpoints = append(g.endpoints, state)
	}
	g.reportedSlots = reported
	maps.DeleteFunc(g.known, func(_ string, e *gateEndpoint) bool { return e.running == 0 })
	for _, e := range g.endpoints {
		g.known[e.incarnation] = e
	}
	g.updateSlots()
	g.levelAt = time.Time{}
}

// Ask admits, queues or refuses a request. Only a request that waits is decided by a later Advance. A request whose key already
// waits or holds a slot is refused, and the earlier one stays as it is.
func (g *Gate) Ask(now time.Time, ask GateAsk) GateDecision {
	g.Hear(now, ask.Key.Node)
	if g.waiting[ask.Key] != nil || g.running[ask.Key] != nil {
		return GateDecision{Key: ask.Key, State: GateRefused, RetryAfter: minGateRetry}
	}
	work := ask.Work.Seconds()
	if work <= 0 {
		work = g.meanWork
	} else {
		g.meanWork += meanWorkWeight * (work - g.meanWork)
	}
	c := g.customer(ask.Customer)
	c.weight = gateWeight(ask.Weight)
	// The demand with this request would count a whole request of a customer that seldom asks as its rate.
	demand := c.demand(now)
	rank := c.rank(ask.Rank)
	rank.asked.add(now, work)
	r := &gateRequest{ask: ask, work: work, rank: rank, latestStart: ask.Due.Add(-g.timeInSlot(work))}
	g.updateLevel(now)
	withinShare := demand <= g.share(c)
	if turn := now.Add(time.Duration(work * float64(time.Second))); withinShare && r.latestStart.Before(turn) {
		// Estimates may be too high after the endpoints were full. A customer within its share waits for its turn in any case.
		r.latestStart = turn
	}
	if e := g.freeEndpoint(now); e != nil && len(g.waiting) == 0 {
		g.enqueue(now, c, r)
		g.takeFrom(now, c, r)
		return g.admit(now, r, e)
	}
	g.lastWaitedAt = now
	// The estimate assumes that other customers are served first, which does not hold for one within its share.
	if !withinShare && now.Add(g.estimateWait(now, c, r)).After(r.latestStart) {
		return g.refusal(now, r)
	}
	g.enqueue(now, c, r)
	g.waiting[ask.Key] = r
	return g.decision(now, r, GateQueued)
}

// gateWeight returns a weight, or 1 for one that would make start tags meaningless.
func gateWeight(weight float64) float64 {
	if !(weight > 0) || math.IsInf(weight, 1) {
		return 1
	}
	return weight
}

// End frees the slot of a request that ended, or removes it if it still waits. An unknown request is ignored.
func (g *Gate) End(now time.Time, end GateEnd) {
	g.Hear(now, end.Key.Node)
	g.recordEndpoint(now, end)
	if r := g.waiting[end.Key]; r != nil {
		g.drop(now, r)
		return
	}
	r := g.running[end.Key]
	if r == nil {
		return
	}
	g.release(r)
	if end.Result == GateServed {
		g.window.work += r.work
		g.recordStretch(now.Sub(r.admittedAt).Seconds() / r.work)
	}
}

// Reconcile frees the slots of a node's requests that it no longer has open. Requests with numbers above last were
// opened after the node wrote its report.
func (g *Gate) Reconcile(now time.Time, node string, last uint64, open []uint64) {
	g.Hear(now, node)
	isOpen := make(map[uint64]bool, len(open))
	for _, number := range open {
		isOpen[number] = true
	}
	ended := func(key GateKey) bool { return key.Node == node && key.Number <= last && !isOpen[key.Number] }
	for key, r := range g.running {
		if ended(key) {
			g.release(r)
		}
	}
	for key, r := range g.waiting {
		if ended(key) {
			g.drop(now, r)
		}
	}
}

// Hear records that a node has reported, so that its requests keep their slots.
func (g *Gate) Hear(now time.Time, node string) {
	g.heardAt[node] = now
}

// Advance admits waiting requests while endpoints have room, and refuses those that can no longer be in time. It returns
// the decisions since the last call.
func (g *Gate) Advance(now time.Time) []GateDecision {
	g.sweep(now)
	for len(g.waiting) > 0 {
		e := g.freeEndpoint(now)
		if e == nil {
			break
		}
		c := g.queue[0]
		r := c.next(now)
		delete(g.waiting, r.ask.Key)
		if now.After(r.latestStart) {
			g.dequeue(r)
			g.decided = append(g.decided, g.refusal(now, r))
			continue
		}
		g.takeFrom(now, c, r)
		g.decided = append(g.decided, g.admit(now, r, e))
	}
	g.measure(now)
	decided := g.decided
	g.decided = nil
	return decided
}

// OverloadedFor returns how much longer the pool counts as overloaded: until no request has waited for GateQuiet. It is 0 if
// the pool is not overloaded.
func (g *Gate) OverloadedFor(now time.Time) time.Duration {
	return max(0, g.lastWaitedAt.Add(GateQuiet).Sub(now))
}

// Idle reports whether no request holds a slot or waits.
func (g *Gate) Idle() bool {
	return len(g.running) == 0 && len(g.waiting) == 0
}

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int { return len(g.waiting) }

// Running returns the number of requests that hold a slot.
func (g *Gate) Running() int { return len(g.running) }

func (g *Gate) admit(now time.Time, r *gateRequest, e *gateEndpoint) GateDecision {
	g.assignments++
	e.running++
	e.lastAssigned = g.assignments
	r.endpoint, r.admittedAt = e, now
	g.running[r.ask.Key] = r
	r.rank.served.add(now, r.work)
	return g.decision(now, r, GateAdmitted)
}

// release frees the slot of a running request.
func (g *Gate) release(r *gateRequest) {
	r.endpoint.running--
	delete(g.running, r.ask.Key)
}

// remove removes a waiting request without a decision.
func (g *Gate) remove(r *gateRequest) {
	g.dequeue(r)
	delete(g.waiting, r.ask.Key)
}

// drop removes a waiting request that its node no longer needs.
func (g *Gate) drop(now time.Time, r *gateRequest) {
	g.remove(r)
	g.decided = append(g.decided, g.decision(now, r, GateDropped))
}

func (g *Gate) decision(now time.Time, r *gateRequest, state GateState) GateDecision {
	c := r.rank.customer
	d := GateDecision{Key: r.ask.Key, State: state, Share: g.share(c), Use: c.use(now)}
	if r.endpoint != nil {
		d.Incarnation = r.endpoint.incarnation
	}
	return d
}

// refusal refuses a request. Its retry is due when the work that waits now is done, plus a part of the time in which the
// customer's share serves what the customer asks for in a second, so that its retries do not all come at once.
func (g *Gate) refusal(now time.Time, r *gateRequest) GateDecision {
	c := r.rank.customer
	d := g.decision(now, r, GateRefused)
	demand, share := c.demand(now), max(d.Share, 1e-6)
	d.Over = demand > share
	wait := time.Duration(min(c.waitingWork/share, maxGateSpread.Seconds()) * float64(time.Second))
	spread := time.Duration(min(demand/share, maxGateSpread.Seconds()) * float64(time.Second))
	d.RetryAfter = max(minGateRetry, wait) + time.Duration(min(max(r.ask.Spread, 0), 1)*float64(spread))
	return d
}

// estimateWait returns how long a request that asks now will wait for a slot: until its customer's share has done the
// work that the customer's order puts before it, and the pool has done that and what other customers are owed meanwhile.
func (g *Gate) estimateWait(now time.Time, c *gateCustomer, r *gateRequest) time.Duration {
	before, rate := c.workBefore(now, r, g.share(c))
	if rate <= 0 {
		return maxGateWait
	}
	left := r.latestStart.Sub(now).Seconds()
	seconds := before / rate
	// Only if the work of all customers cannot be done in time does it matter how much of it goes first.
	if pool := g.waitingWork + r.work; seconds <= left && pool/g.workRate() > left {
		seconds = max(seconds, (g.workOwed(c, before+r.work)+before+r.work)/g.workRate())
	}
	return time.Duration(min(seconds, maxGateWait.Seconds()) * float64(time.Second))
}

// workOwed returns the work of other customers that is served while a customer is served work.
func (g *Gate) workOwed(c *gateCustomer, work float64) float64 {
	sum := 0.0
	for _, other := range g.queue {
		if other != c {
			sum += min(other.waitingWork, work*other.weight/c.weight)
		}
	}
	return sum
}

// workRate returns the work that the pool does in a second.
func (g *Gate) workRate() float64 {
	total := float64(max(1, g.totalSlots))
	if g.rate == 0 {
		return total
	}
	return min(max(g.rate, minGateSpeed*total), maxGateSpeed*total)
}
