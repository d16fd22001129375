package kernel

import (
	"basilstall.example/basilstall/model"
)

// HandOver ends the groups of which no piece has been started; their senders then send them to the pool's next
// batcher. Groups with started pieces are completed here. The next batcher learns how much room is taken in the
// same way as after the loss of a batcher (see TakeOver and SetFreeRoom).
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

// Abandon ends all groups, also those with started pieces, because this node no longer reaches the workers. Their senders
// send them to the pool's next batcher, which has all their pieces made.
func (q *BatchQueue) Abandon() []GroupOutcome {
	moved := make([]GroupOutcome, 0, len(q.groups))
	for id, g := range q.groups {
		moved = append(moved, g.outcome(model.PieceMoved))
		delete(q.groups, id)
	}
	return moved
}
