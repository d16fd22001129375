package kernel

import (
	"basilstall.example/basilstall/model"
)

// HandOver ends the groups of which no piece was started yet: they are to be asked of the node that batches
// for the pool from now on. What is under way is brought to its end here. The next batcher learns what room
// is taken as after any loss.
func (q *BatchQueue) HandOver() []GroupOutcome {
	var moved []GroupOutcome
	for id, g := range q.groups {
		if len(g.waiting) == len(g.Pieces) {
			moved = append(moved, g.outcome(model.PieceMoved))
			delete(q.groups, id)
		}
	}
	return moved
}
