package kernel

import (
	"maps"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// roomMargin is the share of an endpoint's room that is allocated; the sizes of results are approximate.
	roomMargin = 0.97
	// spacingRatio sets the least time between the starts of two calls, as a share of the mean interval at which
	// an endpoint becomes free. Calls take nearly the same time, so calls that once start together continue to do
	// so, and a piece that arrives just after waits for a whole call. With evenly spaced starts it waits for a
	// part of the interval.
	spacingRatio = 0.8
	// refusalBackoff is how long an endpoint gets no call after it refused one because it was full: a part of the
	// shortest call.
	refusalBackoff = 60 * time.Millisecond
	// maxPieceAttempts bounds the attempts to make one piece.
	maxPieceAttempts = 3
	// slowdownWeight is the weight of the newest call in the moving average of an endpoint's slowdown.
	slowdownWeight = 0.3
	// holdWeight is the weight of the newest result in the moving average of how long results are held.
	holdWeight = 0.05
	// unlistedRetention is how long the time of a worker's last call is kept after the worker is no longer
	// listed. It is longer than the pause between two calls under the smallest rate cap.
	unlistedRetention = 30 * time.Second
	// maxLateBacklog is the backlog, in full batches per endpoint, up to which a group is accepted although it
	// will be late.
	maxLateBacklog = 0.5
)

type (
	// BatchQueue collects the pieces of one pool from all nodes and combines them into calls as the pool's
	// endpoints become free. The node that holds the queue is the pool's batcher. A call takes about the same time
	// whatever it holds, so pieces wait in the queue, where others can join their call, and never at an endpoint:
	// an endpoint gets no more calls at a time than it has slots. A full call is one with a full batch of pieces.
	//
	// A piece is one unit of a stage's work. The pieces of one stage of one request form a group, as they are
	// needed together; a call may hold pieces of several groups. A group that waits for too long after it can no
	// longer be on time starves and is ended.
	//
	// A worker is an endpoint of the pool, identified by its incarnation: a process that started again is another
	// worker. Room is the memory that a worker has for results, in bytes. A result occupies room until it is freed
	// or expires, and a piece is started only if there is room for its result.
	//
	// A BatchQueue changes in place and is guarded by its owner.
	BatchQueue struct {
		traits model.PieceTraits
		// workers holds the listed endpoints of the pool by incarnation.
		workers map[string]*worker
		// unlistedCalledAt holds the time of the last call to each incarnation that is no longer listed.
		unlistedCalledAt map[string]time.Time
		groups           map[uint64]*waitingGroup
		running          map[uint64]PieceBatch
		// results holds the results that are known to occupy room, by handle.
		results     map[string]heldResult
		lastBatchID uint64
		// holdTime is the moving average of how long results occupy room, from the start of their call.
		holdTime time.Duration
		// lastStart is when the last call was started.
		lastStart time.Time
		// sharedUntil is until when calls of another batcher may be running on the workers, foreignUntil until
		// when foreign results, those of another batcher, may occupy room there.
		sharedUntil  time.Time
		foreignUntil time.Time
		policy       Policy
		// byRank is true if the most recent ordering of the groups took their rank into account.
		byRank bool
		// overloadedAt is the last time at which the queue held or was offered more work than can be done on
		// time.
		overloadedAt time.Time
		// coldShare limits the calls to cold workers.
		coldShare ColdShare
		// byShare is true if the most recent ordering of the groups put the shared ones in the order by shares.
		byShare bool
		// shares has the state of the order by customers' shares.
		shares queueShares
	}

	worker struct {
		endpoint     model.Endpoint
		runningCalls int
		// lastCallAt is when the last call was sent to it, or may have been sent by another batcher.
		lastCallAt time.Time
		// usedRoom is the room taken by known results and by running calls, in bytes.
		usedRoom    int64
		pausedUntil time.Time
		// foreignBytes is the room that foreign results, which this queue does not know, occupied at foreignAt;
		// they are gone at foreignUntil.
		foreignBytes int64
		foreignAt    time.Time
		foreignUntil time.Time
		health       Health
		// slowdown is the moving average of the duration of calls relative to the one that the traits state;
		// probedAt is when a single piece was last sent to find out whether the worker is still slow.
		slowdown float64
		probedAt time.Time
		// rateCap limits the calls a second that the worker accepts from all batchers together.
		rateCap model.RateCap
		// refusalPause is how long it gets no call after it refused one; at least refusalBackoff.
		refusalPause time.Duration
		// unanswered is true from the time a call is overdue until any call is answered; meanwhile the slowdown
		// is unknown.
		unanswered bool
	}

	waitingGroup struct {
		PieceGroup
		addedAt time.Time
		waiting []model.Piece
		results []ResultRef
		// attempts counts the attempts at each piece, by its number; a call that was refused is none.
		attempts map[int]int
		// runningCalls counts the running calls for each piece, by its number; an overdue call may have a second
		// one in parallel.
		runningCalls map[int]int
		// waited is how long the last piece to be started waited for its call.
		waited time.Duration
		// fetchedAt is when the running calls have fetched their inputs.
		fetchedAt   time.Time
		inputsFreed bool
		// suspect is true once a worker's process ended while it made pieces of this group. Two suspect groups
		// never share a call, so that a group that crashes workers does not repeatedly fail the same other
		// groups.
		suspect bool
		// shareClass is how a shared group stood to its customer's share when the groups were last sorted.
		shareClass shareClass
	}

	heldResult struct {
		worker string
		bytes  int64
		// callStartedAt is when its call started, expiresAt when its worker drops it.
		callStartedAt time.Time
		expiresAt     time.Time
	}
)

// NewBatchQueue returns an empty queue for a pool with the given traits.
func NewBatchQueue(traits model.PieceTraits) *BatchQueue {
	return &BatchQueue{
		traits:           traits,
		workers:          map[string]*worker{},
		unlistedCalledAt: map[string]time.Time{},
		groups:           map[uint64]*waitingGroup{},
		running:          map[uint64]PieceBatch{},
		results:          map[string]heldResult{},
		holdTime:         2 * traits.CallTime,
		shares:           newQueueShares(),
	}
}

// SetPolicy sets which mechanisms are in use.
func (q *BatchQueue) SetPolicy(p Policy) {
	q.policy = p
}

// SetTraits sets the traits of the pool as the current routing states them.
func (q *BatchQueue) SetTraits(traits model.PieceTraits) {
	q.traits = traits
}

// SetColdShare sets how often one node may call a cold worker.
func (q *BatchQueue) SetColdShare(share ColdShare) {
	q.coldShare = share
}

// SetRateCap sets how many calls a second a worker accepts from all batchers together.
func (q *BatchQueue) SetRateCap(incarnation string, stated model.RateCap) {
	if w := q.workers[incarnation]; w != nil {
		w.rateCap = stated
	}
}

// SetRefusalCap sets how many calls a second a worker may have to refuse from all batchers together.
func (q *BatchQueue) SetRefusalCap(incarnation string, stated model.RateCap) {
	if w := q.workers[incarnation]; w != nil {
		w.refusalPause = max(refusalBackoff, RefusalCapBatcherPause(stated))
	}
}

// SetEndpoints sets the pool's listed endpoints. Results of workers that are no longer listed are forgotten: they
// are lost with the worker.
func (q *BatchQueue) SetEndpoints(endpoints []model.Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Incarnation()] = true
		w := q.workers[e.Incarnation()]
		if w == nil {
			w = &worker{slowdown: 1, lastCallAt: q.unlistedCalledAt[e.Incarnation()]}
			delete(q.unlistedCalledAt, e.Incarnation())
			q.workers[e.Incarnation()] = w
		}
		w.endpoint = e
	}
	for incarnation, w := range q.workers {
		if listed[incarnation] {
			continue
		}
		q.unlistedCalledAt[incarnation] = w.lastCallAt
		delete(q.workers, incarnation)
		for handle, r := range q.results {
			if r.worker == incarnation {
				delete(q.results, handle)
			}
		}
	}
}

// Add adds a group to the queue. It returns false and when to retry if the group's results would be useless, or if they
// would be late and the backlog exceeds maxLateBacklog.
func (q *BatchQueue) Add(now time.Time, group PieceGroup) (accepted bool, retryAfter time.Duration) {
	if len(q.workers) > 0 && q.countActiveWorkers() == 0 {
		return false, ClampRetryAfter(evacuatedRetry)
	}
	q.recordDemand(now, group)
	wait := q.EstimateWait(now, group)
	finish := now.Add(wait + q.callTime(len(group.Pieces)))
	late := finish.After(group.Due) && q.backlog(now) > maxLateBacklog
	if late || finish.After(group.Until) {
		retry := ClampRetryAfter(max(wait, q.callTime(q.traits.MaxBatch)))
		if q.ordersByShare(group) {
			retry = SpreadRetryAfter(group.Pieces[0].Request, retry, group.Due.Sub(now)-q.callTime(len(group.Pieces)))
		}
		return false, retry
	}
	if group.FirstSentAt.IsZero() {
		group.FirstSentAt = now
	}
	class := withinFlow
	if q.ordersByShare(group) {
		class = q.classOf(now, group, q.shares.ledger.Standing(group.flow()))
	}
	q.groups[group.ID] = &waitingGroup{
		PieceGroup:   group,
		shareClass:   class,
		addedAt:      now,
		waiting:      slices.Clone(group.Pieces),
		attempts:     map[int]int{},
		runningCalls: map[int]int{},
	}
	return true, 0
}

// Cancel removes a group and returns the results made for it so far. Done returns those still being made as
// unwanted.
func (q *BatchQueue) Cancel(id uint64) []ResultRef {
	g := q.groups[id]
	if g == nil {
		return nil
	}
	delete(q.groups, id)
	return g.results
}

// Expire ends the groups that can no longer be made in time. It also forgets results that their workers have
// dropped, and workers that have not been listed for unlistedRetention.
func (q *BatchQueue) Expire(now time.Time) []GroupOutcome {
	var ended []GroupOutcome
	earliestFinish := now.Add(q.callTime(1))
	for id, g := range q.groups {
		if q.isLate(now, g) {
			g.dropDuplicates()
		}
		if len(g.waiting) == 0 || earliestFinish.Before(g.Until) {
			continue
		}
		ended = append(ended, g.outcome(model.PieceLate))
		delete(q.groups, id)
	}
	ended = append(ended, q.endStarved(now)...)
	q.shares.expire(now)
	maps.DeleteFunc(q.unlistedCalledAt, func(_ string, calledAt time.Time) bool { return now.Sub(calledAt) >= unlistedRetention })
	for handle, r := range q.results {
		if now.After(r.expiresAt) {
			q.Release(now, ResultRef{Handle: handle, Worker: r.worker})
		}
	}
	return ended
}

// Pending returns the number of waiting pieces and of running calls.
func (q *BatchQueue) Pending() (pieces, calls int) {
	for _, g := range q.groups {
		pieces += len(g.waiting)
	}
	return pieces, len(q.running)
}

// Usage returns how much of an endpoint's room is known to be taken, in bytes, and the number of calls it is
// running.
func (q *BatchQueue) Usage(incarnation string) (bytes int64, calls int) {
	w := q.workers[incarnation]
	if w == nil {
		return 0, 0
	}
	return w.usedRoom, w.runningCalls
}
