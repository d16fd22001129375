package kernel

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"basilstall.example/basilstall/share"
)

const (
	// demandRetention is how long the stages of requests are remembered whose pieces count as demand: longer than the time
	// from the estimate at a request's arrival until the pieces of its last stage are sent.
	demandRetention = 2 * time.Second
	// retryDemandPeriod is how long after its first attempt a retried request is not counted again. The ledger averages
	// over the same time; counted at each retry, callers that do not wait would raise their demand.
	retryDemandPeriod = time.Second
	// promisedCapacity is the part of the capacity that is divided. The estimate of the capacity is not exact; if more than
	// the real one were divided, the lowest ranks within their shares would wait for all others. The rest goes to groups
	// beyond their shares.
	promisedCapacity = 0.9
	// crowdedMeasureTime is how long pieces must have queued until the work that was served shows the capacity: the time
	// over which the ledger averages. maxCrowdedBreak is the longest break in which they may not have queued.
	crowdedMeasureTime = time.Second
	maxCrowdedBreak    = 300 * time.Millisecond
	// capacityInterval is how often the capacity is measured, capacityWeight the weight of the newest value in its moving
	// average. maxCapacityError bounds the ratio of this average to the capacity by the pool's traits.
	capacityInterval = 50 * time.Millisecond
	capacityWeight   = 0.1
	maxCapacityError = 2.0
	// minLeftover bounds the estimated wait of groups beyond their shares: the part of the capacity that shares leave
	// unused is not below it.
	minLeftover = 1 - promisedCapacity
	// spareBacklog is the backlog, in full batches per endpoint, up to which groups beyond their shares get all of the
	// capacity that is left: a part of a call. In the model of a burst, 0.2 leaves 1 % of the calls' places empty, and 0.5
	// makes a quarter more groups late.
	spareBacklog = 0.35
	// reclassifyInterval is how often groups are classified while no worker is free: the estimates of waits follow from the
	// classes. With a thousand groups, it takes about as long as to sort them.
	reclassifyInterval = 5 * time.Millisecond
	// maxShareWait is the longest estimated wait; a flow without any share waits forever.
	maxShareWait = time.Minute
)

// The classes of shared groups, in the order in which they are made.
const (
	// withinFlow is the class of groups whose flows request no more than their rates. All of these can be made on time, so
	// they go before those of flows that lose a part in any case. Ordered by rank together with withinCredit, only 0.52 of the
	// requests of small customers were on time beside a flood of a higher rank, in the model of a pool whose room binds.
	withinFlow shareClass = iota
	// withinCredit is the class of groups of other flows, as many as their shares have capacity for.
	withinCredit
	// beyondShare is the class of all other groups.
	beyondShare
)

type (
	// shareClass is how a group stands to its customer's share.
	shareClass uint8

	// ShareStanding is how a customer's share decides about a group. Rates are in seconds of an endpoint per second.
	ShareStanding struct {
		// Applies is true if the queue is ordered by shares at present.
		Applies bool
		// Share is the rate that the customer's share allows, Use the one at which it was served lately.
		Share float64
		Use   float64
		// Limited is true if the group's rank asks for more than the share leaves for it.
		Limited bool
		// Beyond is true if the share leaves no capacity for the group's rank now.
		Beyond bool
	}

	// queueShares is the state of a BatchQueue for the order by customers' shares. It changes in place.
	queueShares struct {
		ledger *share.Ledger
		// countedAt is when the pieces of a stage of a request were counted as demand.
		countedAt map[stageOfRequest]time.Time
		// capacity is the moving average of the work that the pool does in a second, in seconds of an endpoint.
		// It was last updated at measuredAt.
		capacity   float64
		measuredAt time.Time
		// crowdedSince is since when pieces have queued without a longer break than maxCrowdedBreak, crowdedAt when they
		// last did; zero if they do not.
		crowdedSince time.Time
		crowdedAt    time.Time
		// classifiedAt is when the groups were last classified.
		classifiedAt time.Time
		// exceededAt is when customers last asked for more than the capacity while pieces queued.
		exceededAt time.Time
	}

	stageOfRequest struct {
		request string
		stage   int
	}

	// groupOrder compares groups, as for slices.SortFunc. Groups that are due before earliestFinish are late.
	groupOrder func(earliestFinish time.Time, a, b *waitingGroup) int
)

func newQueueShares() queueShares {
	return queueShares{ledger: share.NewLedger(), countedAt: map[stageOfRequest]time.Time{}}
}

// expire forgets which stages were counted as demand long ago.
func (s *queueShares) expire(now time.Time) {
	maps.DeleteFunc(s.countedAt, func(_ stageOfRequest, at time.Time) bool { return now.Sub(at) > demandRetention })
}

// ShareStanding returns how the share of a group's customer decides about the group.
func (q *BatchQueue) ShareStanding(now time.Time, group PieceGroup) ShareStanding {
	if !q.ordersByShare(group) {
		return ShareStanding{}
	}
	standing := q.shares.ledger.Standing(group.flow())
	return ShareStanding{Applies: true, Share: standing.Share, Use: standing.Use, Limited: standing.Limited, Beyond: q.classOf(now, group, standing) == beyondShare}
}

// flow returns the flow that a group belongs to in the ledger.
func (p PieceGroup) flow() share.Flow {
	return share.Flow{Customer: p.Customer, Rank: p.Rank}
}

// ordersByShare reports whether a group is ordered by shares at present.
func (q *BatchQueue) ordersByShare(group PieceGroup) bool {
	return group.Shared && q.byShare && len(group.Pieces) > 0 && q.policy.Uses(WaitPerRequest)
}

// work returns the work that pieces with results of a size take, in seconds of an endpoint: the time in its slots, or the
// time that the results take all of its room if that is longer.
func (q *BatchQueue) work(pieces int, resultBytes int64) float64 {
	inSlots := float64(pieces) / float64(max(1, q.traits.MaxBatch)) * q.callTime(q.traits.MaxBatch).Seconds() / float64(max(1, q.traits.Slots))
	if q.traits.Room <= 0 {
		return inSlots
	}
	inRoom := float64(pieces) * float64(resultBytes) / (roomMargin * float64(q.traits.Room)) * q.holdTime.Seconds()
	return max(inSlots, inRoom)
}

// recordDemand counts the pieces of a shared group as demand of its customer, once for each stage of a request: when the group
// is added, or when it is not and this queue is a cause. Requests that only other pools have no time for are no demand here.
func (q *BatchQueue) recordDemand(now time.Time, group PieceGroup) {
	if !group.Shared || len(group.Pieces) == 0 || q.groups[group.ID] != nil {
		return
	}
	key := stageOfRequest{group.Pieces[0].Request, group.Pieces[0].Stage}
	if _, counted := q.shares.countedAt[key]; counted {
		return
	}
	q.shares.countedAt[key] = now
	if group.Waited > 0 && group.Waited < retryDemandPeriod {
		return
	}
	q.shares.ledger.Request(now, group.flow(), group.Weight, q.work(len(group.Pieces), group.ResultBytes))
}

// recordServed counts a number of pieces of a group as served, or as not served if the number is negative.
func (q *BatchQueue) recordServed(now time.Time, g *waitingGroup, pieces int) {
	if g.Shared {
		q.shares.ledger.Serve(now, g.flow(), q.work(pieces, g.ResultBytes))
	}
}

// recordNotServed records that the pieces of a call were not made, and took no capacity.
func (q *BatchQueue) recordNotServed(now time.Time, batch PieceBatch) {
	for _, id := range batch.groups {
		if g := q.groups[id]; g != nil {
			q.recordServed(now, g, -1)
		}
	}
}

// updateShares divides the capacity among the customers. Where pieces have queued for a while, the work done shows the
// capacity; else it follows from the traits of the pool.
func (q *BatchQueue) updateShares(now time.Time) {
	s := &q.shares
	if now.Sub(s.measuredAt) < capacityInterval {
		return
	}
	s.measuredAt = now
	stated := q.concurrency(now) / float64(max(1, q.traits.Slots))
	if s.capacity == 0 {
		s.capacity = stated
	}
	switch {
	case q.backlog(now) > maxLateBacklog:
		s.crowdedAt = now
		if s.crowdedSince.IsZero() {
			s.crowdedSince = now
		}
	case now.Sub(s.crowdedAt) > maxCrowdedBreak:
		s.crowdedSince = time.Time{}
	}
	target := stated
	if !s.crowdedSince.IsZero() && now.Sub(s.crowdedSince) >= crowdedMeasureTime {
		target = s.ledger.Served()
	}
	s.capacity += capacityWeight * (target - s.capacity)
	s.capacity = min(max(s.capacity, stated/maxCapacityError), stated*maxCapacityError)
	s.ledger.Update(now, promisedCapacity*s.capacity)
}

// usesShares reports whether shared groups are ordered by shares: while ranks count, and from the time that customers ask for
// more than the capacity and pieces queue. Until the first group would be late, the queue fills with groups of the customers
// that ask most.
func (q *BatchQueue) usesShares(now time.Time) bool {
	s := &q.shares
	if s.ledger.Requested() > s.capacity && q.backlog(now) > maxLateBacklog {
		s.exceededAt = now
	}
	return q.byRank || (!s.exceededAt.IsZero() && now.Sub(s.exceededAt) < overloadHoldCalls*q.callTime(q.traits.MaxBatch))
}

// arrangeShared orders the shared groups by shares, within the places that they have among all groups, if shares are in
// force. It also decides whether they are.
func (q *BatchQueue) arrangeShared(now time.Time, groups []*waitingGroup) {
	if !anyShared(groups) {
		q.byShare = false
		return
	}
	s := &q.shares
	if q.countFreeWorkers(now) == 0 && now.Sub(s.classifiedAt) < reclassifyInterval {
		return
	}
	s.classifiedAt = now
	q.updateShares(now)
	if q.byShare = q.usesShares(now); !q.byShare {
		return
	}
	earliestFinish := now.Add(q.callTime(1))
	shared := slices.DeleteFunc(slices.Clone(groups), func(g *waitingGroup) bool { return !g.Shared })
	slices.SortFunc(shared, func(a, b *waitingGroup) int { return q.compareInFlow(earliestFinish, a, b, 0, 0) })
	q.classify(shared)
	// Sorted by class, the groups are in the order of compareShared: they are in that of compareInFlow, where those that are
	// late come last.
	var classes [2 * (beyondShare + 1)][]*waitingGroup
	for _, g := range shared {
		class := g.shareClass
		if q.policy.Uses(LateLast) && earliestFinish.After(g.Due) {
			class += beyondShare + 1
		}
		classes[class] = append(classes[class], g)
	}
	fillSharedPlaces(groups, slices.Concat(classes[:]...))
}

// classify decides which of the shared groups, in the order of compareInFlow, are within their customers' shares. A flow that
// requests no more than its rate is within its share with all of its groups, any other with as many as its credit allows.
func (q *BatchQueue) classify(groups []*waitingGroup) {
	flows := map[share.Flow]*share.Standing{}
	for _, g := range groups {
		f := flows[g.flow()]
		if f == nil {
			standing := q.shares.ledger.Standing(g.flow())
			f = &standing
			flows[g.flow()] = f
		}
		g.shareClass = classFor(*f, -f.Credit)
		f.Credit -= q.work(len(g.waiting), g.ResultBytes)
	}
}

// classFor returns the class of a group of a flow with the given shortfall.
func classFor(standing share.Standing, shortfall float64) shareClass {
	switch {
	case !standing.Limited:
		return withinFlow
	case shortfall < 0:
		return withinCredit
	default:
		return beyondShare
	}
}

func anyShared(groups []*waitingGroup) bool {
	return slices.ContainsFunc(groups, func(g *waitingGroup) bool { return g.Shared })
}

// delayShared orders the shared groups among their places, after delay has changed by how much later they count as due.
func (q *BatchQueue) delayShared(earliestFinish time.Time, groups []*waitingGroup, delay func(*waitingGroup) time.Duration) {
	if !q.byShare || !anyShared(groups) {
		return
	}
	shared := slices.DeleteFunc(slices.Clone(groups), func(g *waitingGroup) bool { return !g.Shared })
	slices.SortFunc(shared, func(a, b *waitingGroup) int { return q.compareShared(earliestFinish, a, b, delay(a), delay(b)) })
	fillSharedPlaces(groups, shared)
}

// fillSharedPlaces puts the shared groups, in their order, into the places of shared groups. All other groups keep theirs.
func fillSharedPlaces(groups, shared []*waitingGroup) {
	next := 0
	for i, g := range groups {
		if g.Shared {
			groups[i] = shared[next]
			next++
		}
	}
}

// compareShared orders shared groups: those that can be on time first, then those within their shares, then as within one
// flow.
func (q *BatchQueue) compareShared(earliestFinish time.Time, a, b *waitingGroup, delayA, delayB time.Duration) int {
	if lateA, lateB := earliestFinish.After(a.Due), earliestFinish.After(b.Due); lateA != lateB && q.policy.Uses(LateLast) {
		return trueLast(lateA, lateB)
	}
	if c := cmp.Compare(a.shareClass, b.shareClass); c != 0 {
		return c
	}
	return q.compareInFlow(earliestFinish, a, b, delayA, delayB)
}

// compareInFlow orders shared groups: those that can be on time first, then by rank. Of the same rank, groups that hold
// results come first, then the order is by due time, which counts from the first attempt.
func (q *BatchQueue) compareInFlow(earliestFinish time.Time, a, b *waitingGroup, delayA, delayB time.Duration) int {
	if lateA, lateB := earliestFinish.After(a.Due), earliestFinish.After(b.Due); lateA != lateB && q.policy.Uses(LateLast) {
		return trueLast(lateA, lateB)
	}
	if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
		return c
	}
	if heldA, heldB := a.holdsResults(), b.holdsResults(); heldA != heldB {
		return trueLast(heldB, heldA)
	}
	if c := a.Due.Add(delayA).Compare(b.Due.Add(delayB)); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}

// holdsResults reports whether results occupy room for a group: those of earlier stages, or of its own pieces. They would be
// made in vain if the group were ended.
func (g *waitingGroup) holdsResults() bool {
	return len(g.Inputs) > 0 || len(g.attempts) > 0
}

// trueLast compares two different values.
func trueLast(a, _ bool) int {
	if a {
		return 1
	}
	return -1
}

// compareWithoutShares orders groups without regard to shares.
func (q *BatchQueue) compareWithoutShares(earliestFinish time.Time, a, b *waitingGroup) int {
	return q.compareGroups(earliestFinish, a, b, 0, 0)
}

// compareForEstimate orders a waiting group and a new, shared one. Groups that are not shared have their place by due time.
func (q *BatchQueue) compareForEstimate(earliestFinish time.Time, waiting, own *waitingGroup) int {
	if !waiting.Shared {
		return q.compareGroups(earliestFinish, waiting, own, 0, 0)
	}
	return q.compareShared(earliestFinish, waiting, own, 0, 0)
}

// shortfall returns the work that the share of a group's flow must have capacity for before the group is within it, in
// seconds of an endpoint; it is within the share if the shortfall is negative. All of the flow's groups that can be on time
// count, also those that are due later: overtaken by the new group, they would be late.
func (q *BatchQueue) shortfall(now time.Time, group PieceGroup, standing share.Standing) float64 {
	if !standing.Limited {
		return 0
	}
	earliestFinish := now.Add(q.callTime(1))
	ahead := 0.0
	for _, g := range q.groups {
		if g.Shared && g.ID != group.ID && g.Customer == group.Customer && g.Rank == group.Rank && !earliestFinish.After(g.Due) {
			ahead += q.work(len(g.waiting), g.ResultBytes)
		}
	}
	return ahead - standing.Credit
}

// classOf returns the class of a group that is added now.
func (q *BatchQueue) classOf(now time.Time, group PieceGroup, standing share.Standing) shareClass {
	return classFor(standing, q.shortfall(now, group, standing))
}

// estimateSharedWait estimates how long the pieces of a shared group wait. Beyond its share, the group waits until the share
// has capacity for it, or for what the shares of all customers leave, whichever comes first.
func (q *BatchQueue) estimateSharedWait(now time.Time, group PieceGroup) time.Duration {
	standing := q.shares.ledger.Standing(group.flow())
	shortfall := q.shortfall(now, group, standing)
	class := classFor(standing, shortfall)
	within := q.waitInOrder(now, &waitingGroup{PieceGroup: group, shareClass: min(class, withinCredit)}, q.compareForEstimate)
	if class != beyondShare {
		return within
	}
	byShare := maxShareWait
	if standing.Rate > 0 {
		byShare = secondsUpTo(shortfall/standing.Rate, maxShareWait)
	}
	leftover := 1.0
	if q.backlog(now) > spareBacklog {
		leftover = max(minLeftover, 1-q.shares.ledger.Promised()/q.shares.capacity)
	}
	beyond := q.waitInOrder(now, &waitingGroup{PieceGroup: group, shareClass: class}, q.compareForEstimate)
	return max(within, min(byShare, secondsUpTo(beyond.Seconds()/leftover, maxShareWait)))
}

// secondsUpTo converts seconds to a duration of at most limit.
func secondsUpTo(seconds float64, limit time.Duration) time.Duration {
	return time.Duration(math.Min(seconds, limit.Seconds()) * float64(time.Second))
}
