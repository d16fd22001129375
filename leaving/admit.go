package leaving

import (
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// streamAllowance and unaryAllowance are the shortest times that a leaving node grants to a stream and to a unary request
	// from its receipt to its end, as single requests may take longer than those before.
	streamAllowance = 5 * time.Second
	unaryAllowance  = 2 * time.Second
	// streamSendAllowance and unarySendAllowance are the same from the first attempt at an endpoint on.
	streamSendAllowance = 2500 * time.Millisecond
	unarySendAllowance  = time.Second
	// margin is how many times as long as the longest request before it a request is granted: endpoints may be slower while
	// nodes are restarted.
	margin = 2
)

// The stages of a request at a leaving node.
const (
	// AtReceipt is before any work on the request.
	AtReceipt Stage = iota
	// AtSend is right before the request is first sent.
	AtSend
)

type (
	// Stage is how far a request has come.
	Stage int

	// Request is a request that no endpoint has got.
	Request struct {
		Stream bool
		// Deadline is when the request must be answered.
		Deadline time.Time
		Stage    Stage
		// Seen is what was seen of the requests of its route.
		Seen Seen
	}
)

// Admit decides whether a node that is about to stop still works on a request. One that might be cut off is refused at once,
// so that its caller can go to another node while there is time: a request that may need longer, by what was seen of its route,
// or, if too little was seen, one whose deadline is after the stop.
func Admit(now, stopsAt time.Time, r Request) *model.Refusal {
	needed := r.Deadline.Sub(now)
	if r.Seen.Known {
		needed = min(needed, r.granted())
	}
	if now.Add(needed).After(stopsAt) {
		return model.NewRefusal(model.NotRun, model.Draining, kernel.ClampRetryAfter(0), "the node is leaving")
	}
	return nil
}

// granted returns the time that the request is assumed to need at most.
func (r Request) granted() time.Duration {
	switch {
	case r.Stage == AtSend && r.Stream:
		return max(streamSendAllowance, margin*r.Seen.Longest.SinceSent)
	case r.Stage == AtSend:
		return max(unarySendAllowance, margin*r.Seen.Longest.SinceSent)
	case r.Stream:
		return max(streamAllowance, margin*r.Seen.Longest.Whole)
	default:
		return max(unaryAllowance, margin*r.Seen.Longest.Whole)
	}
}
