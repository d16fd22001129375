package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

// Refused records that an endpoint refused a call without running it, and requeues its pieces.
func (q *BatchQueue) Refused(now time.Time, batch PieceBatch) []GroupOutcome {
	q.recordNotServed(now, batch)
	w := q.finishCall(batch, nil)
	if w != nil {
		w.pausedUntil = now.Add(max(refusalBackoff, w.refusalPause))
		q.lastStart = time.Time{}
		w.health.Probing = false
	}
	return q.requeuePieces(now, batch, nil, model.PieceNoRoom, false)
}

// Failed records that a call ended without an answer. Any results it made are lost.
func (q *BatchQueue) Failed(now time.Time, batch PieceBatch) []GroupOutcome {
	if w := q.finishCall(batch, nil); w != nil {
		w.health = w.health.WithFailure(now)
		q.lastStart = time.Time{}
	}
	return q.requeuePieces(now, batch, nil, model.PieceFailed, true)
}

// Crashed records that a worker's process ended during a call. Any piece of the call may have caused it, so all
// of its groups become suspect.
func (q *BatchQueue) Crashed(now time.Time, batch PieceBatch) []GroupOutcome {
	for _, id := range batch.groups {
		if g := q.groups[id]; g != nil {
			g.suspect = true
		}
	}
	return q.Failed(now, batch)
}

// Unreachable records that a call's endpoint could not be connected to, and requeues its pieces.
func (q *BatchQueue) Unreachable(now time.Time, batch PieceBatch) []GroupOutcome {
	q.recordNotServed(now, batch)
	if w := q.finishCall(batch, nil); w != nil {
		w.health = w.health.WithDecisiveFailure(now, 0)
		q.lastStart = time.Time{}
	}
	return q.requeuePieces(now, batch, nil, model.PieceFailed, false)
}

// Done records the results of a call, one for each of its pieces in the same order. It returns the groups that
// ended, and the results that no group needs any more.
func (q *BatchQueue) Done(now time.Time, batch PieceBatch, results []model.PieceResult) (ended []GroupOutcome, unwanted []ResultRef) {
	w := q.finishCall(batch, results)
	if w != nil {
		w.health = w.health.WithSuccess()
		w.updateSlowdown(now, batch, q.medianSlowdown())
	}
	failed := map[int]model.PieceFault{}
	for i, p := range batch.Pieces {
		r := results[i]
		if r.Handle == "" {
			failed[i] = r.Fault
			if w != nil && r.Fault == model.PieceNoRoom {
				q.recordNoRoom(now, w)
			}
			continue
		}
		q.results[r.Handle] = heldResult{worker: batch.Endpoint.Incarnation(), bytes: batch.bytes[i], callStartedAt: batch.startedAt, expiresAt: now.Add(q.traits.ResultTTL)}
		ref := ResultRef{Number: p.Number, Handle: r.Handle, Worker: batch.Endpoint.Incarnation(), Pool: batch.Endpoint.Pool, Domain: batch.Endpoint.FailureDomain, Bytes: batch.bytes[i]}
		g := q.groups[batch.groups[i]]
		if g == nil || g.hasResult(p.Number) {
			unwanted = append(unwanted, ref)
			continue
		}
		g.results = append(g.results, ref)
		g.waiting = slices.DeleteFunc(g.waiting, func(other model.Piece) bool { return other.Number == p.Number })
	}
	ended = q.requeuePieces(now, batch, failed, "", true)
	for _, id := range slices.Compact(slices.Clone(batch.groups)) {
		g := q.groups[id]
		if g == nil || len(g.results) < len(g.Pieces) {
			continue
		}
		slices.SortFunc(g.results, func(a, b ResultRef) int { return a.Number - b.Number })
		ended = append(ended, g.outcome(""))
		delete(q.groups, id)
	}
	return ended, unwanted
}

// finishCall frees the slot of a call and the room of the pieces that were not made.
func (q *BatchQueue) finishCall(batch PieceBatch, results []model.PieceResult) *worker {
	delete(q.running, batch.ID)
	for i, p := range batch.Pieces {
		if g := q.groups[batch.groups[i]]; g != nil {
			g.runningCalls[p.Number]--
		}
	}
	w := q.workers[batch.Endpoint.Incarnation()]
	if w == nil {
		return nil
	}
	w.runningCalls--
	for i, bytes := range batch.bytes {
		if results == nil || results[i].Handle == "" {
			w.usedRoom -= bytes
		}
	}
	return w
}

// requeuePieces requeues the pieces of a call that were not made, or ends their groups. If failed is nil, all
// pieces failed with the fault sharedFault. If isAttempt is false, the call does not count as an attempt.
func (q *BatchQueue) requeuePieces(now time.Time, batch PieceBatch, failed map[int]model.PieceFault, sharedFault model.PieceFault, isAttempt bool) []GroupOutcome {
	var ended []GroupOutcome
	for i, p := range batch.Pieces {
		fault := sharedFault
		if failed != nil {
			var wasNotMade bool
			if fault, wasNotMade = failed[i]; !wasNotMade {
				continue
			}
		}
		g := q.groups[batch.groups[i]]
		if g == nil || g.madeOrPending(p.Number) {
			continue
		}
		if !isAttempt || (fault == model.PieceNoRoom && q.policy.Uses(LearnRoomFromRefusals)) {
			g.attempts[p.Number]--
		}
		final := fault == model.PieceInputGone || fault == model.PieceLate
		if final || !q.mayCallAgain(now, g, p.Number) {
			ended = append(ended, g.outcome(fault))
			delete(q.groups, g.ID)
			continue
		}
		g.waiting = append(g.waiting, p)
	}
	return ended
}

// outcome returns the outcome of a group with the given fault, which is empty for a complete group.
func (g *waitingGroup) outcome(fault model.PieceFault) GroupOutcome {
	return GroupOutcome{Group: g.ID, Made: g.results, Fault: fault, Waited: g.waited, InputsFreed: g.inputsFreed}
}

// EndStale ends the waiting groups with inputs that were lost with an earlier incarnation of their worker. A
// restarted process may assign the same handle to the result of another request.
func (q *BatchQueue) EndStale(superseded func(incarnation string) bool) []GroupOutcome {
	var ended []GroupOutcome
	for id, g := range q.groups {
		if len(g.waiting) == 0 || !AnyStale(g.Inputs, superseded) {
			continue
		}
		ended = append(ended, g.outcome(model.PieceInputGone))
		delete(q.groups, id)
	}
	return ended
}

// AnyStale reports whether any of the results belongs to a superseded incarnation of its worker.
func AnyStale(results []ResultRef, superseded func(incarnation string) bool) bool {
	return slices.ContainsFunc(results, func(r ResultRef) bool { return superseded(r.Worker) })
}
