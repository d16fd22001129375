package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// streamNeeds is the time that a stream may need from its receipt to its last event. A leaving node takes none
	// that might not end before it is gone.
	streamNeeds = 5 * time.Second
	// unaryNeeds is the most that a unary request is taken to need; its route's timeout if that
	// is less.
	unaryNeeds = 2 * time.Second
)

// TakeWhileLeaving decides whether a node that will be gone at a time still takes a request that
// comes on an open connection. One that might be cut is refused at once, so that its caller can
// go to another node while there is time.
func TakeWhileLeaving(now, gone time.Time, route model.Route) *model.Refusal {
	needs := min(unaryNeeds, route.Timeout)
	if route.Kind == model.Stream {
		needs = min(streamNeeds, route.Timeout)
	}
	if now.Add(needs).After(gone) {
		return model.NewRefusal(model.NotRun, model.Draining, ClampRetryAfter(0), "the node is leaving")
	}
	return nil
}
