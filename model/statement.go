package model

import "time"

// Statement is what an endpoint states of itself in an answer, whatever the answer is to. It holds for the incarnation
// that answered.
type Statement struct {
	// Load is the load that the endpoint reports; nil if it reports none.
	Load *Load
	// RateCap limits the requests that the endpoint accepts from all nodes together. Its absence counts only in an
	// answer that is Whole.
	RateCap RateCap
	// RefusalCap is how many requests a second, from all nodes together, the endpoint may have to refuse for want of room
	// without ending. Its absence counts only in an answer that is Whole.
	RefusalCap RateCap
	// Leaving is true if the endpoint is about to end and accepts no new work from any node. It never takes that back.
	Leaving bool
	// PauseFor is how long the endpoint wants no requests from the node that it answers; 0 if it asks for no pause.
	PauseFor time.Duration
	// Whole is true if the answer is known to be complete and the endpoint's own.
	Whole bool
	// InvalidContention is the contention as the endpoint stated it, if it is invalid; the rest of the load holds.
	InvalidContention string
}

// Statement returns what the load states. whole is true if the answer that it came with is complete.
func (l Load) Statement(whole bool) Statement {
	return Statement{Load: &l, RateCap: l.RateCap, RefusalCap: l.RefusalCap, Leaving: l.Leaving, PauseFor: l.PauseFor, Whole: whole}
}
