package kernel

import (
	"maps"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// roomMargin is the share of an endpoint's room that is given out: sizes are approximate.
	roomMargin = 0.97
	// spacingRatio is the least time between the starts of two calls, as a share of the time in which
	// one endpoint comes free on average. Calls take nearly the same time, so starts that fall
	// together stay together, and pieces that just missed them wait for a whole call; spaced
	// evenly, a piece waits for a part of the spacingRatio.
	spacingRatio = 0.8
	// refusalBackoff is how long an endpoint that refused a call as full gets no other: a part of
	// the shortest call.
	refusalBackoff = 60 * time.Millisecond
	// maxPieceAttempts bounds how often a piece is asked for.
	maxPieceAttempts = 3
	// slowdownWeight is the weight of the newest call in an endpoint's slowdown.
	slowdownWeight = 0.3
	// holdWeight is the weight of the newest result in the time that results are held.
	holdWeight = 0.05
	// unlistedRetention is how long it counts when a worker that is no longer listed got its last call: longer than the pause
	// between two calls under the smallest rate cap.
	unlistedRetention = 30 * time.Second
	// maxLateBacklog is how many full batches an endpoint may have waiting for work that comes
	// late to be taken all the same.
	maxLateBacklog = 0.5
)

type (
	// BatchQueue collects the pieces of one pool from all nodes, and cuts them into calls as its
	// endpoints come free. An endpoint works on one call at a time and takes the same time for
	// a call whatever it holds, so pieces wait here, where others can join them, and never at
	// an endpoint. No piece is started whose result would find no room. It changes in place.
	BatchQueue struct {
		traits model.PieceTraits
		// workers holds the pool's endpoints by their incarnations.
		workers map[string]*worker
		// unlistedCalledAt holds when incarnations that are no longer listed got their last call.
		unlistedCalledAt map[string]time.Time
		groups           map[uint64]*waitingGroup
		running          map[uint64]PieceBatch
		// results holds what is known to occupy room, by handle.
		results     map[string]heldResult
		lastBatchID uint64
		// holdTime is how long results occupy room, from the start of their call.
		holdTime time.Duration
		// lastStart is when the last call was handed out.
		lastStart time.Time
		// sharedUntil is until when calls of another batcher may be under way at the workers,
		// foreignUntil until when results may lie there that it had made.
		sharedUntil  time.Time
		foreignUntil time.Time
		policy       Policy
		// byRank is true while priority counts in the order of what waits, as of the last order.
		byRank bool
		// overloadedAt is when it last showed that not all can be on time.
		overloadedAt time.Time
		// coldShare bounds the calls to coldShare workers.
		coldShare ColdShare
	}

	worker struct {
		endpoint     model.Endpoint
		runningCalls int
		// lastCallAt is when it last got a call, or may have got one of another batcher.
		lastCallAt time.Time
		// usedRoom is the room taken by results and by calls under way.
		usedRoom    int64
		pausedUntil time.Time
		// foreignBytes is the room that was taken at foreignAt by results that are not known here; they
		// are gone at foreignUntil.
		foreignBytes int64
		foreignAt    time.Time
		foreignUntil time.Time
		health       Health
		// slowdown is how long calls take, relative to what is stated; probedAt is when it last got a piece for
		// finding out whether it is still slow.
		slowdown float64
		probedAt time.Time
		// rateCap is how many calls a second it takes of all batchers.
		rateCap model.RateCap
		// unanswered is true from a call that was overdue until one is answered: its slowdown is not known.
		unanswered bool
	}

	waitingGroup struct {
		PieceGroup
		addedAt  time.Time
		waiting  []model.Piece
		results  []ResultRef
		attempts map[int]int
		// runningCalls counts the calls under way for each piece: a call that is overdue has a second one beside it.
		runningCalls map[int]int
		waited       time.Duration
		// fetchedAt is when the calls under way have fetched the inputs.
		fetchedAt   time.Time
		inputsFreed bool
		// suspect is true once a worker ended while it made this group's pieces: no two such groups share a call, so
		// that what ends a worker does not take the same others' pieces with it again and again.
		suspect bool
	}

	heldResult struct {
		worker string
		bytes  int64
		// callStartedAt is when its call started, until when its worker drops it.
		callStartedAt time.Time
		expiresAt     time.Time
	}
)

// NewBatchQueue returns a batch queue for a pool.
func NewBatchQueue(traits model.PieceTraits) *BatchQueue {
	return &BatchQueue{
		traits:           traits,
		workers:          map[string]*worker{},
		unlistedCalledAt: map[string]time.Time{},
		groups:           map[uint64]*waitingGroup{},
		running:          map[uint64]PieceBatch{},
		results:          map[string]heldResult{},
		holdTime:         2 * traits.CallTime,
	}
}

// SetPolicy says which mechanisms decide.
func (q *BatchQueue) SetPolicy(p Policy) {
	q.policy = p
}

// SetTraits takes over what the newest routing says of the pool.
func (q *BatchQueue) SetTraits(traits model.PieceTraits) {
	q.traits = traits
}

// SetColdShare says how often one node may call a worker that is cold.
func (q *BatchQueue) SetColdShare(share ColdShare) {
	q.coldShare = share
}

// SetRateCap says how many calls a second a worker takes of all batchers.
func (q *BatchQueue) SetRateCap(incarnation string, stated model.RateCap) {
	if w := q.workers[incarnation]; w != nil {
		w.rateCap = stated
	}
}

// SetEndpoints brings the workers in line with the registry. What a worker held is gone with it.
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

// Add takes a group in, or tells that it cannot be made in time and when to come back.
func (q *BatchQueue) Add(now time.Time, group PieceGroup) (accepted bool, retryAfter time.Duration) {
	if len(q.workers) > 0 && q.activeWorkers() == 0 {
		return false, RetryAfter(evacuatedRetry)
	}
	wait := q.EstimateWait(now, group)
	finish := now.Add(wait + q.callTime(len(group.Pieces)))
	late := finish.After(group.Due) && q.backlog() > maxLateBacklog
	if late || finish.After(group.Until) {
		return false, RetryAfter(max(wait, q.callTime(q.traits.Batch)))
	}
	if group.AskedAt.IsZero() {
		group.AskedAt = now
	}
	q.groups[group.ID] = &waitingGroup{
		PieceGroup:   group,
		addedAt:      now,
		waiting:      slices.Clone(group.Pieces),
		attempts:     map[int]int{},
		runningCalls: map[int]int{},
	}
	return true, 0
}

// Cancel forgets a group and returns what was made for it; what is still being made turns up as
// unwanted.
func (q *BatchQueue) Cancel(id uint64) []ResultRef {
	g := q.groups[id]
	if g == nil {
		return nil
	}
	delete(q.groups, id)
	return g.results
}

// Expire ends the groups that can no longer be made in time and forgets results that their
// workers no longer hold, and workers that are gone.
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
	maps.DeleteFunc(q.unlistedCalledAt, func(_ string, calledAt time.Time) bool { return now.Sub(calledAt) >= unlistedRetention })
	for handle, r := range q.results {
		if now.After(r.expiresAt) {
			q.Release(now, ResultRef{Handle: handle, Worker: r.worker})
		}
	}
	return ended
}

// Pending returns how many pieces wait and how many calls are under way.
func (q *BatchQueue) Pending() (pieces, calls int) {
	for _, g := range q.groups {
		pieces += len(g.waiting)
	}
	return pieces, len(q.running)
}

// Usage returns how much room of an endpoint is taken, as far as is known here, and how many calls
// it works on.
func (q *BatchQueue) Usage(incarnation string) (bytes int64, calls int) {
	w := q.workers[incarnation]
	if w == nil {
		return 0, 0
	}
	return w.usedRoom, w.runningCalls
}
