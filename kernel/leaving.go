package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// streamAllowance is the time that a stream may need from its receipt to its last event. A leaving node accepts
	// no stream that might not end before the node stops.
	streamAllowance = 5 * time.Second
	// unaryAllowance is the longest time that a unary request is assumed to need; its route's timeout if that is
	// shorter.
	unaryAllowance = 2 * time.Second
)

// AdmitWhileLeaving decides whether a node that is about to stop still accepts a request from an open connection. A
// request that might be cut off is refused at once, so that its caller can go to another node while there is time.
func AdmitWhileLeaving(now, stopsAt time.Time, route model.Route) *model.Refusal {
	needed := min(unaryAllowance, route.Timeout)
	if route.Kind == model.Stream {
		needed = min(streamAllowance, route.Timeout)
	}
	if now.Add(needed).After(stopsAt) {
		return model.NewRefusal(model.NotRun, model.Draining, ClampRetryAfter(0), "the node is leaving")
	}
	return nil
}
