package kernel

import (
	"basilstall.example/basilstall/model"
)

// HandOver ends the groups of which no piece was started yet: they are to be asked of the node that batches
// for the pool from now on. What is under way is brought to its end here. The next batcher learns what room
// is taken as after any loss.
func (g *BatchQueue) HandOver() []GroupOutcome {
	var moved []GroupOutcome
	for id, w := range g.groups {
		if len(w.waiting) == len(w.Pieces) {
			moved = append(moved, w.outcome(model.PieceMoved))
			delete(g.groups, id)
		}
	}
	return moved
}
