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
func (q *BatchQueue) endStarved(now time.Time) []GroupOutcome {
	if !q.policy.Uses(EndStarvedGroups) {
		return nil
	}
	var ended []GroupOutcome
	for _, g := range q.groups {
		if len(g.waiting) == 0 || now.Before(q.lateSince(g).Add(maxStarvedCalls*q.callTime(q.traits.Batch))) {
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

// lateSince is from when on a group waits that can no longer be on time: from its start where its request was late
// before.
func (q *BatchQueue) lateSince(g *waitingGroup) time.Time {
	late := g.Due.Add(-q.callTime(1))
	if g.AskedAt.After(late) {
		return g.AskedAt
	}
	return late
}

// isLate tells whether a group can no longer be on time, whoever makes it.
func (q *BatchQueue) isLate(now time.Time, g *waitingGroup) bool {
	return now.Add(q.callTime(1)).After(g.Due)
}
