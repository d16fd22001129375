package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// maxStarvedCalls is for how many full calls a group may wait on that can no longer be on time. Each worker has turned
// to the queue as often meanwhile, and found work that could still be on time, or no room.
const maxStarvedCalls = 1

// endStarved ends the groups that starved for too long. They would wait on until they are useless, and
// their callers with them, who are better told at once and come back when the queue has drained.
func (g *BatchQueue) endStarved(now time.Time) []GroupOutcome {
	if !g.policy.Uses(EndStarvedGroups) {
		return nil
	}
	var ended []GroupOutcome
	for _, w := range g.groups {
		if len(w.waiting) == 0 || now.Before(g.lateSince(w).Add(maxStarvedCalls*g.callTime(g.traits.Batch))) {
			continue
		}
		outcome := w.outcome(model.PieceStarved)
		outcome.Wait = g.EstimateWait(now, w.PieceGroup)
		ended = append(ended, outcome)
	}
	for _, o := range ended {
		delete(g.groups, o.Group)
	}
	return ended
}

// lateSince is from when on a group waits that can no longer be on time: from its start where its request was late
// before.
func (g *BatchQueue) lateSince(w *waitingGroup) time.Time {
	late := w.Due.Add(-g.callTime(1))
	if w.AskedAt.After(late) {
		return w.AskedAt
	}
	return late
}

// isLate tells whether a group can no longer be on time, whoever makes it.
func (g *BatchQueue) isLate(now time.Time, w *waitingGroup) bool {
	return now.Add(g.callTime(1)).After(w.Due)
}
