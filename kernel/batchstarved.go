package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// maxStarvedCalls is the time, in full calls, that a group may wait after it can no longer be on time. In this
// time each worker has taken work from the queue once, and it was work that could still be on time, or the worker
// had no room.
const maxStarvedCalls = 1

// endStarved ends the late groups that have waited for too long. They would otherwise wait until their results
// are useless, and so would their callers, who can retry once the queue has drained.
func (q *BatchQueue) endStarved(now time.Time) []GroupOutcome {
	if !q.policy.Uses(EndStarvedGroups) {
		return nil
	}
	var ended []GroupOutcome
	for _, g := range q.groups {
		if len(g.waiting) == 0 || now.Before(q.lateSince(g).Add(maxStarvedCalls*q.callTime(q.traits.MaxBatch))) {
			continue
		}
		outcome := g.outcome(model.PieceStarved)
		outcome.Wait = q.EstimateWait(now, g.PieceGroup)
		ended = append(ended, outcome)
	}
	for _, o := range ended {
		delete(q.groups, o.Group)
	}
	return ended
}

// lateSince returns the time from which on a waiting group could not be on time. It is not before FirstSentAt, as a
// request may have been late when it was sent.
func (q *BatchQueue) lateSince(g *waitingGroup) time.Time {
	late := g.Due.Add(-q.callTime(1))
	if g.FirstSentAt.After(late) {
		return g.FirstSentAt
	}
	return late
}

// isLate reports whether a group can no longer be on time, whichever worker makes it.
func (q *BatchQueue) isLate(now time.Time, g *waitingGroup) bool {
	return now.Add(q.callTime(1)).After(g.Due)
}
