package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// notReadyRetryAfter is the retry delay from a node whose routing is missing or too old: the time within which a
	// node reads the store again.
	notReadyRetryAfter = 500 * time.Millisecond
	// ranksPerCustomerPriority is how many ranks one step of a customer's priority is worth: more than there are
	// priorities of routes.
	ranksPerCustomerPriority = 10
)

// Admission is the result of admitting a request.
type Admission struct {
	Route model.Route
	// Pool runs the request itself.
	Pool     string
	Customer string
	// Authenticated is true if the request was admitted by its API key.
	Authenticated bool
	// Regions are those in which the request may be served.
	Regions AllowedRegions
	// Bound is true once the stream of the request may only go on at Binding.
	Bound   bool
	Binding Binding
	// Version is that of the routing table.
	Version uint64
	// Rank orders requests by priority, the customer's first, then the route's; 0 is served first.
	Rank int
	// Deadline is when the request must be answered: the earlier of its route's timeout and the caller's deadline.
	Deadline time.Time
}

// RoutingTrust tells how far a node trusts the routing that it knows.
type RoutingTrust struct {
	// MaxKeyAge is the maximum age of the routing up to which API keys are trusted; 0 means that they are trusted at any age.
	MaxKeyAge time.Duration
	// Behind is true if another node may know a newer routing, and this one has been unproven for too long to go by it.
	Behind bool
}

// trustsKeys reports whether API keys may be checked by a routing.
func (t RoutingTrust) trustsKeys(now time.Time, view RoutingView) bool {
	return t.MaxKeyAge == 0 || view.Fresh(now, t.MaxKeyAge)
}

// refuseBehind returns a refusal if no request may be decided on by the routing.
func (t RoutingTrust) refuseBehind() *model.Refusal {
	if !t.Behind {
		return nil
	}
	return model.NewRefusal(model.NotRun, model.StaleRouting, notReadyRetryAfter, "the routing known here is too old, and another node may know a newer one")
}

// Admit decides whether to accept a request, by its route, its customer's API key and its deadline, as far as the routing is
// trusted.
func Admit(now time.Time, view RoutingView, trust RoutingTrust, f model.Forward) (Admission, *model.Refusal) {
	if view.Table == nil {
		return Admission{}, model.NewRefusal(model.NotRun, model.NotReady, notReadyRetryAfter, "no routing is known yet")
	}
	if refusal := trust.refuseBehind(); refusal != nil {
		return Admission{}, refusal
	}
	route, ok := view.Table.Match(f.Host, f.Path)
	switch unread := view.Table.routing.Unread; {
	case !ok && unread.AnyRoute, route.Unread:
		return Admission{}, refuseUnread("the route of the request can't be read by this node")
	case !ok:
		return Admission{}, model.NewRefusal(model.NotRun, model.UnknownPipeline, 0, "no route matches")
	}
	a := Admission{
		Route:    route,
		Pool:     PoolFor(route, StreamID(route, f)),
		Version:  view.Table.Version(),
		Rank:     route.Priority,
		Deadline: f.ReceivedAt.Add(route.Timeout),
	}
	if !f.Deadline.IsZero() && f.Deadline.Before(a.Deadline) {
		a.Deadline = f.Deadline
	}
	a.Regions = AllowedRegionsFor(route, model.KeyHolder{})
	if !route.Public && view.Table.RequiresKeys() {
		holder, known := view.Table.CustomerByKey(f.Key)
		if !known && view.Table.routing.Unread.AnyKey {
			return Admission{}, refuseUnread("the customers who may hold the API key can't be read by this node")
		}
		if !known {
			return Admission{}, model.NewRefusal(model.NotRun, model.Unauthorized, 0, "the API key is not known")
		}
		if !trust.trustsKeys(now, view) {
			return Admission{}, model.NewRefusal(model.NotRun, model.StaleRouting, notReadyRetryAfter, "the API keys known here are too old to trust")
		}
		a.Customer = holder.Name
		a.Authenticated = true
		a.Regions = AllowedRegionsFor(route, holder)
		if holder.Priority >= 0 {
			a.Rank += holder.Priority * ranksPerCustomerPriority
		}
	}
	if !now.Before(a.Deadline) {
		return Admission{}, model.NewRefusal(model.NotRun, model.DeadlinePassed, 0, "the deadline has passed")
	}
	return a, nil
}

// refuseUnread refuses a request that a part of the routing decides on which could not be decoded. A node of another build may.
func refuseUnread(detail string) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.RoutingUnread, notReadyRetryAfter, detail)
}

// RecheckAdmission decides again, right before a request is first sent: since it was admitted, the process may have
// been suspended or the API key revoked.
func RecheckAdmission(now time.Time, view RoutingView, trust RoutingTrust, f model.Forward, a Admission) *model.Refusal {
	if !now.Before(a.Deadline) {
		return model.NewRefusal(model.NotRun, model.DeadlinePassed, 0, "the deadline has passed")
	}
	if refusal := trust.refuseBehind(); refusal != nil {
		return refusal
	}
	if !a.Authenticated {
		return nil
	}
	holder, known := view.Table.CustomerByKey(f.Key)
	if !known || holder.Name != a.Customer {
		return model.NewRefusal(model.NotRun, model.Unauthorized, 0, "the API key was taken away meanwhile")
	}
	if !trust.trustsKeys(now, view) {
		return model.NewRefusal(model.NotRun, model.StaleRouting, notReadyRetryAfter, "the API keys known here are too old to trust")
	}
	return nil
}
