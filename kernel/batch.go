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
	// spacing is the least time between the starts of two calls, as a share of the time in which
	// one endpoint comes free on average. Calls take nearly the same time, so starts that fall
	// together stay together, and pieces that just missed them wait for a whole call; spaced
	// evenly, a piece waits for a part of the spacing.
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
		// former holds when incarnations that are no longer listed got their last call.
		unlistedCalledAt map[string]time.Time
		groups           map[uint64]*waitingGroup
		running          map[uint64]PieceBatch
		// results holds what is known to occupy room, by handle.
		results     map[string]heldResult
		lastBatchID uint64
		// hold is how long results occupy room, from the start of their call.
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
		// cold bounds the calls to cold workers.
		coldShare ColdShare
	}

	worker struct {
		endpoint     model.Endpoint
		runningCalls int
		// lastCallAt is when it last got a call, or may have got one of another batcher.
		lastCallAt time.Time
		// used is the room taken by results and by calls under way.
		usedRoom    int64
		pausedUntil time.Time
		// foreign is the room that was taken at foreignAt by results that are not known here; they
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
		// running counts the calls under way for each piece: a call that is overdue has a second one beside it.
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
		// since is when its call started, until when its worker drops it.
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
func (g *BatchQueue) SetPolicy(p Policy) {
	g.policy = p
}

// SetTraits takes over what the newest routing says of the pool.
func (g *BatchQueue) SetTraits(traits model.PieceTraits) {
	g.traits = traits
}

// SetColdShare says how often one node may call a worker that is cold.
func (g *BatchQueue) SetColdShare(share ColdShare) {
	g.coldShare = share
}

// SetRateCap says how many calls a second a worker takes of all batchers.
func (g *BatchQueue) SetRateCap(incarnation string, stated model.RateCap) {
	if m := g.workers[incarnation]; m != nil {
		m.rateCap = stated
	}
}

// SetEndpoints brings the workers in line with the registry. What a worker held is gone with it.
func (g *BatchQueue) SetEndpoints(endpoints []model.Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Incarnation()] = true
		m := g.workers[e.Incarnation()]
		if m == nil {
			m = &worker{slowdown: 1, lastCallAt: g.unlistedCalledAt[e.Incarnation()]}
			delete(g.unlistedCalledAt, e.Incarnation())
			g.workers[e.Incarnation()] = m
		}
		m.endpoint = e
	}
	for incarnation, m := range g.workers {
		if listed[incarnation] {
			continue
		}
		g.unlistedCalledAt[incarnation] = m.lastCallAt
		delete(g.workers, incarnation)
		for handle, r := range g.results {
			if r.worker == incarnation {
				delete(g.results, handle)
			}
		}
	}
}

// Add takes a group in, or tells that it cannot be made in time and when to come back.
func (g *BatchQueue) Add(now time.Time, group PieceGroup) (accepted bool, retryAfter time.Duration) {
	if len(g.workers) > 0 && g.activeWorkers() == 0 {
		return false, ClampRetryAfter(evacuatedRetry)
	}
	wait := g.EstimateWait(now, group)
	finish := now.Add(wait + g.callTime(len(group.Pieces)))
	overdue := finish.After(group.Due) && g.backlog() > maxLateBacklog
	if overdue || finish.After(group.Until) {
		return false, ClampRetryAfter(max(wait, g.callTime(g.traits.Batch)))
	}
	if group.AskedAt.IsZero() {
		group.AskedAt = now
	}
	g.groups[group.ID] = &waitingGroup{
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
func (g *BatchQueue) Cancel(id uint64) []ResultRef {
	w := g.groups[id]
	if w == nil {
		return nil
	}
	delete(g.groups, id)
	return w.results
}

// Expire ends the groups that can no longer be made in time and forgets results that their
// workers no longer hold, and workers that are gone.
func (g *BatchQueue) Expire(now time.Time) []GroupOutcome {
	var ended []GroupOutcome
	latest := now.Add(g.callTime(1))
	for id, w := range g.groups {
		if g.isLate(now, w) {
			w.dropDuplicates()
		}
		if len(w.waiting) == 0 || latest.Before(w.Until) {
			continue
		}
		ended = append(ended, w.outcome(model.PieceLate))
		delete(g.groups, id)
	}
	ended = append(ended, g.endStarved(now)...)
	maps.DeleteFunc(g.unlistedCalledAt, func(_ string, calledAt time.Time) bool { return now.Sub(calledAt) >= unlistedRetention })
	for handle, r := range g.results {
		if now.After(r.expiresAt) {
			g.Release(now, ResultRef{Handle: handle, Worker: r.worker})
		}
	}
	return ended
}

// Waiting returns how many pieces wait and how many calls are under way.
func (g *BatchQueue) Pending() (pieces, calls int) {
	for _, w := range g.groups {
		pieces += len(w.waiting)
	}
	return pieces, len(g.running)
}

// Used returns how much room of an endpoint is taken, as far as is known here, and how many calls
// it works on.
func (g *BatchQueue) Usage(incarnation string) (bytes int64, calls int) {
	m := g.workers[incarnation]
	if m == nil {
		return 0, 0
	}
	return m.usedRoom, m.runningCalls
}
