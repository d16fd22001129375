package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// streamAllowance is the time that a stream may need from its receipt to its last event. A leaving node takes none
	// that might not end before it is gone.
	streamAllowance = 5 * time.Second
	// unaryAllowance is the most that a unary request is taken to need; its route's timeout if that
	// is less.
	unaryAllowance = 2 * time.Second
)

// AdmitWhileLeaving decides whether a node that will be gone at a time still takes a request that
// comes on an open connection. One that might be cut is refused at once, so that its caller can
// go to another node while there is time.
func AdmitWhileLeaving(now, gone time.Time, route model.Route) *model.Refusal {
	needs := min(unaryAllowance, route.Timeout)
	if route.Kind == model.Stream {
		needs = min(streamAllowance, route.Timeout)
	}
	if now.Add(needs).After(gone) {
		return model.NewRefusal(model.NotRun, model.Draining, ClampRetryAfter(0), "the node is leaving")
	}
	return nil
}
