package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

// Refused takes in that an endpoint did not run a call: its pieces wait again.
func (g *BatchQueue) Refused(now time.Time, batch PieceBatch) []GroupOutcome {
	m := g.finishCall(batch, nil)
	if m != nil {
		m.pausedUntil = now.Add(refusalBackoff)
		g.lastStart = time.Time{}
		m.health.Probing = false
	}
	return g.requeuePieces(now, batch, nil, model.PieceNoRoom, false)
}

// Failed takes in that a call ended without an answer. What it made, if anything, is lost.
func (g *BatchQueue) Failed(now time.Time, batch PieceBatch) []GroupOutcome {
	if m := g.finishCall(batch, nil); m != nil {
		m.health = m.health.WithFailure(now)
		g.lastStart = time.Time{}
	}
	return g.requeuePieces(now, batch, nil, model.PieceFailed, true)
}

// Crashed takes in that a worker's process ended in the middle of a call: one of the pieces may have ended it.
func (g *BatchQueue) Crashed(now time.Time, batch PieceBatch) []GroupOutcome {
	for _, id := range batch.groups {
		if w := g.groups[id]; w != nil {
			w.suspect = true
		}
	}
	return g.Failed(now, batch)
}

// Unreachable takes in that a call's endpoint could not be connected to: its pieces wait again.
func (g *BatchQueue) Unreachable(now time.Time, batch PieceBatch) []GroupOutcome {
	if m := g.finishCall(batch, nil); m != nil {
		m.health = m.health.WithUnreachable(now)
		g.lastStart = time.Time{}
	}
	return g.requeuePieces(now, batch, nil, model.PieceFailed, false)
}

// Done takes the results of a call in. It returns the groups that ended, and the results that
// nobody waits for any more.
func (g *BatchQueue) Done(now time.Time, batch PieceBatch, results []model.PieceResult) (ended []GroupOutcome, unwanted []ResultRef) {
	m := g.finishCall(batch, results)
	if m != nil {
		m.health = m.health.WithSuccess()
		m.updateSlowdown(now, batch, g.medianSlowdown())
	}
	failed := map[int]model.PieceFault{}
	for i, p := range batch.Pieces {
		r := results[i]
		if r.Handle == "" {
			failed[i] = r.Fault
			if m != nil && r.Fault == model.PieceNoRoom {
				g.recordNoRoom(now, m)
			}
			continue
		}
		g.results[r.Handle] = heldResult{worker: batch.Endpoint.Incarnation(), bytes: batch.bytes[i], callStartedAt: batch.startedAt, expiresAt: now.Add(g.traits.Keep)}
		made := ResultRef{Number: p.Number, Handle: r.Handle, Worker: batch.Endpoint.Incarnation(), Pool: batch.Endpoint.Pool, Domain: batch.Endpoint.FailureDomain, Bytes: batch.bytes[i]}
		w := g.groups[batch.groups[i]]
		if w == nil || w.hasResult(p.Number) {
			unwanted = append(unwanted, made)
			continue
		}
		w.results = append(w.results, made)
		w.waiting = slices.DeleteFunc(w.waiting, func(q model.Piece) bool { return q.Number == p.Number })
	}
	ended = g.requeuePieces(now, batch, failed, "", true)
	for _, id := range slices.Compact(slices.Clone(batch.groups)) {
		w := g.groups[id]
		if w == nil || len(w.results) < len(w.Pieces) {
			continue
		}
		slices.SortFunc(w.results, func(a, b ResultRef) int { return a.Number - b.Number })
		ended = append(ended, w.outcome(""))
		delete(g.groups, id)
	}
	return ended, unwanted
}

// end frees the slot of a call, and the room of the pieces that were not made.
func (g *BatchQueue) finishCall(batch PieceBatch, results []model.PieceResult) *worker {
	delete(g.running, batch.ID)
	for i, p := range batch.Pieces {
		if w := g.groups[batch.groups[i]]; w != nil {
			w.runningCalls[p.Number]--
		}
	}
	m := g.workers[batch.Endpoint.Incarnation()]
	if m == nil {
		return nil
	}
	m.runningCalls--
	for i, bytes := range batch.bytes {
		if results == nil || results[i].Handle == "" {
			m.usedRoom -= bytes
		}
	}
	return m
}

// requeuePieces puts pieces that were not made back among the waiting ones, or ends their groups.
// With failed nil, all pieces of the call share one fault.
func (g *BatchQueue) requeuePieces(now time.Time, batch PieceBatch, failed map[int]model.PieceFault, all model.PieceFault, counts bool) []GroupOutcome {
	var ended []GroupOutcome
	for i, p := range batch.Pieces {
		fault := all
		if failed != nil {
			var bad bool
			if fault, bad = failed[i]; !bad {
				continue
			}
		}
		w := g.groups[batch.groups[i]]
		if w == nil || w.madeOrPending(p.Number) {
			continue
		}
		if !counts || (fault == model.PieceNoRoom && g.policy.Uses(LearnRoomFromRefusals)) {
			w.attempts[p.Number]--
		}
		hopeless := fault == model.PieceInputGone || fault == model.PieceLate || w.inputsFreed
		if hopeless || w.attempts[p.Number] >= maxPieceAttempts || !now.Add(g.callTime(1)).Before(w.Until) {
			ended = append(ended, w.outcome(fault))
			delete(g.groups, w.ID)
			continue
		}
		w.waiting = append(w.waiting, p)
	}
	return ended
}

// outcome returns how a group ended; the fault is empty where it is whole.
func (w *waitingGroup) outcome(fault model.PieceFault) GroupOutcome {
	return GroupOutcome{Group: w.ID, Made: w.results, Fault: fault, Waited: w.waited, InputsFreed: w.inputsFreed}
}

// EndStale ends the waiting groups whose inputs went with an incarnation of their worker: a process that
// started again may give the same handle to another request's result.
func (g *BatchQueue) EndStale(superseded func(incarnation string) bool) []GroupOutcome {
	var ended []GroupOutcome
	for id, w := range g.groups {
		if len(w.waiting) == 0 || !AnyStale(w.Inputs, superseded) {
			continue
		}
		ended = append(ended, w.outcome(model.PieceInputGone))
		delete(g.groups, id)
	}
	return ended
}

// AnyStale tells whether any of several results went with an incarnation of its worker.
func AnyStale(made []ResultRef, superseded func(incarnation string) bool) bool {
	return slices.ContainsFunc(made, func(m ResultRef) bool { return superseded(m.Worker) })
}
