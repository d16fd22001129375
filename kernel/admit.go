package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// unknownRetry is when a caller may come back to a node that knows too little: the time in
	// which a node reads the store again.
	unknownRetry = 500 * time.Millisecond
	// customerRanks is how many ranks one step of a customer's priority is worth: more than there
	// are priorities of routes.
	customerRanks = 10
)

// Admission is what a request is admitted under.
type Admission struct {
	Route model.Route
	// Pool is where the request itself runs.
	Pool     string
	Customer string
	// Keyed is true where the request was admitted for its API key.
	Keyed bool
	// Homes are the regions that the request may be served in.
	Homes   Homes
	Version uint64
	// Rank orders requests by priority, the customer's first, then the route's; 0 comes first.
	Rank int
	// Until is when the request must be answered: its route's timeout or the caller's deadline.
	Until time.Time
}

// Admit decides whether a request is for this system: its route, its customer, and whether the
// view is young enough to tell. The limit is the greatest age of a view that keys are trusted by.
func Admit(now time.Time, view RoutingView, limit time.Duration, f model.Forward) (Admission, *model.Refusal) {
	if view.Table == nil {
		return Admission{}, model.NewRefusal(model.NotRun, model.NotReady, unknownRetry, "no routing is known yet")
	}
	route, ok := view.Table.Match(f.Host, f.Path)
	if !ok {
		return Admission{}, model.NewRefusal(model.NotRun, model.UnknownPipeline, 0, "no route matches")
	}
	a := Admission{
		Route:   route,
		Pool:    PoolFor(route, f.ID),
		Version: view.Table.Version(),
		Rank:    route.Priority,
		Until:   f.ReceivedAt.Add(route.Timeout),
	}
	if !f.Deadline.IsZero() && f.Deadline.Before(a.Until) {
		a.Until = f.Deadline
	}
	a.Homes = HomesOf(route, model.KeyHolder{})
	if !route.Public && view.Table.HasCustomers() {
		holder, known := view.Table.Holder(f.Key)
		if !known {
			return Admission{}, model.NewRefusal(model.NotRun, model.Unauthorized, 0, "the API key is not known")
		}
		if !view.Fresh(now, limit) {
			return Admission{}, model.NewRefusal(model.NotRun, model.StaleRouting, unknownRetry, "the API keys known here are too old to trust")
		}
		a.Customer = holder.Name
		a.Keyed = true
		a.Homes = HomesOf(route, holder)
		if holder.Priority >= 0 {
			a.Rank += holder.Priority * customerRanks
		}
	}
	if !now.Before(a.Until) {
		return Admission{}, model.NewRefusal(model.NotRun, model.DeadlinePassed, 0, "the deadline has passed")
	}
	return a, nil
}

// StillAdmitted decides again, right before a request is first sent: the process may have been
// suspended or the key taken away since it was admitted.
func StillAdmitted(now time.Time, view RoutingView, limit time.Duration, f model.Forward, a Admission) *model.Refusal {
	if !now.Before(a.Until) {
		return model.NewRefusal(model.NotRun, model.DeadlinePassed, 0, "the deadline has passed")
	}
	if !a.Keyed {
		return nil
	}
	holder, known := view.Table.Holder(f.Key)
	if !known || holder.Name != a.Customer {
		return model.NewRefusal(model.NotRun, model.Unauthorized, 0, "the API key was taken away meanwhile")
	}
	if !view.Fresh(now, limit) {
		return model.NewRefusal(model.NotRun, model.StaleRouting, unknownRetry, "the API keys known here are too old to trust")
	}
	return nil
}
