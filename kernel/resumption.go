package kernel

import (
	"fmt"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// versionGoneRetry is the Retry-After time of a resumed stream for which no engine of its version takes work: by then
	// another one may be listed.
	versionGoneRetry = time.Second
	// bindingUnknownRetry is that of a resumed stream where a registrar or the store did not answer.
	bindingUnknownRetry = 500 * time.Millisecond
	// routeChangeMemory is how long a node remembers that a route led to other pools: streams that began there may come back.
	routeChangeMemory = MaxStreamLife
)

// The sources of a Finding.
const (
	// BindingRecorded: a record states what the stream is bound to.
	BindingRecorded FindingSource = "Recorded"
	// BindingOnlyVersion: the pool's streams are all bound to one version.
	BindingOnlyVersion FindingSource = "OnlyVersion"
	// BindingNotRecorded: no record of the stream was found, and its pool has had several versions.
	BindingNotRecorded FindingSource = "NotRecorded"
	// BindingUnanswered: neither a record was found nor did the store answer.
	BindingUnanswered FindingSource = "Unanswered"
)

type (
	// FindingSource says from what a binding is known, or why it is not.
	FindingSource string

	// Finding is what was found out of what a resumed stream is bound to.
	Finding struct {
		Source  FindingSource
		Binding Binding
		// Node is the node that knew; empty if this one did. Stored is true if it had read it in the store.
		Node   string
		Stored bool
		// Settled is true if the binding cannot have changed since it was recorded. Order is that of the record.
		Settled bool
		Order   int64
		// Age is the time since the record was made, or since the store was asked for the versions of the pool.
		Age time.Duration
	}

	// RouteHistory remembers which routes have lately led to other pools. It is immutable.
	RouteHistory struct {
		// changedAt has the time at which a route's pools last changed, by the host and prefix of the route.
		changedAt map[string]time.Time
	}
)

// Known reports whether it is known what the stream is, or was, bound to.
func (f Finding) Known() bool {
	return f.Source == BindingRecorded || f.Source == BindingOnlyVersion
}

// Or returns the one of two findings that holds. A record that is not settled may have been overtaken by one that neither has found.
func (f Finding) Or(g Finding) Finding {
	switch {
	case f.Known() != g.Known():
		if f.Known() {
			return f
		}
		return g
	case !f.Known():
		if f.Source == BindingUnanswered {
			return f
		}
		return g
	case f.Settled != g.Settled:
		if f.Settled {
			return f
		}
		return g
	case g.Order > f.Order:
		return g
	default:
		return f
	}
}

// Confirmed returns a finding that is not settled after the store was asked, once the caller had come back, for what may have overtaken it:
// before the first event of a stream that was recorded at several versions its last record is in the store.
func (f Finding) Confirmed(stored Finding) Finding {
	if stored.Source == BindingUnanswered {
		return stored
	}
	f = f.Or(stored)
	f.Settled = true
	return f
}

// IsResumption reports whether a request continues a stream of which its caller has events already.
func IsResumption(route model.Route, f model.Forward) bool {
	return route.Kind == model.Stream && route.Resumable && f.LastEventID != ""
}

// StreamID returns the ID of the attempt that brought, or will bring, the first event of the stream of a request.
func StreamID(route model.Route, f model.Forward) string {
	if IsResumption(route, f) {
		return f.Resumes
	}
	return f.ID
}

// ListsOnly reports whether no listed engine of a pool has another version than the given one. An engine is listed before there is a row
// of its version.
func ListsOnly(listed []Binding, only Binding) bool {
	return !slices.ContainsFunc(listed, func(b Binding) bool { return b.Pool == only.Pool && b != only })
}

// NeedsBindingRecord reports whether what a stream of a pool is bound to has to be recorded because other nodes could not conclude it
// from the versions of the pool. On a route that does not allow that (see AllowsInference) it always has to be.
func NeedsBindingRecord(now time.Time, versions PoolVersions, listed []Binding, pool string, allNodesRecord bool) bool {
	only, ok := versions.Only(pool)
	return !ok || !ListsOnly(listed, only) || !versions.Fresh(now) || !allNodesRecord
}

// MayInferBinding reports whether what a stream is bound to may be concluded now from the versions of the pool that its route
// leads to: the route has led there for as long as a stream lasts, and all nodes keep to what the rows of versions state.
func MayInferBinding(now time.Time, history RouteHistory, route model.Route, allNodesRecord bool) bool {
	return allNodesRecord && AllowsInference(route) && !history.Changed(now, route)
}

// AllowsInference reports whether what a stream of a route is bound to may be concluded from the versions of a pool at all: the route
// leads to one pool, and its streams end before the rows of their versions are removed.
func AllowsInference(route model.Route) bool {
	return len(route.Split) == 1 && route.Timeout <= MaxStreamLife
}

// AdmitResumed decides on a request that resumes a stream, after what was found out of its binding. It is refused unless the
// binding is known and its route still leads to the pool.
func AdmitResumed(a Admission, f Finding) (Admission, *model.Refusal) {
	switch {
	case f.Source == BindingUnanswered:
		return a, model.NewRefusal(model.NotRun, model.StreamUnknown, ClampRetryAfter(bindingUnknownRetry), "it is not known now at which version the stream began")
	case !f.Known() || !f.Settled:
		return a, model.NewRefusal(model.NotRun, model.StreamUnknown, 0, "it is not known at which version the stream began: it can only begin anew")
	}
	return a.WithBinding(f.Binding)
}

// WithBinding returns the admission of a request whose stream is bound. It is refused if the route does not lead to the pool
// any more.
func (a Admission) WithBinding(b Binding) (Admission, *model.Refusal) {
	if !slices.ContainsFunc(a.Route.Split, func(w model.WeightedPool) bool { return w.Pool == b.Pool }) {
		return a, model.NewRefusal(model.NotRun, model.VersionGone, 0, fmt.Sprintf("the stream began at pool %s, which the route does not lead to any more: it can only begin anew", b.Pool))
	}
	a.Pool, a.Binding, a.Bound = b.Pool, b, true
	return a, nil
}

// Endpoints returns the endpoints of the request's pool that may serve it: those in its regions and, once it is bound to a
// version, of that version.
func (a Admission) Endpoints(r Registry) []model.Endpoint {
	allowed := a.Regions.AllowedEndpoints(r.Endpoints(a.Pool))
	if !a.Bound {
		return allowed
	}
	return slices.DeleteFunc(slices.Clone(allowed), func(e model.Endpoint) bool { return e.Version != a.Binding.Version })
}

// refuseVersionGone refuses a resumed stream if no listed endpoint of its version takes work. It returns nil otherwise.
func refuseVersionGone(r Registry, a Admission) *model.Refusal {
	if !a.Bound || slices.ContainsFunc(a.Endpoints(r), model.Endpoint.TakesWork) {
		return nil
	}
	return model.NewRefusal(model.NotRun, model.VersionGone, ClampRetryAfter(versionGoneRetry), fmt.Sprintf("pool %s has no endpoint of version %q for the stream", a.Pool, a.Binding.Version))
}

// With returns the history after a change of the routing.
func (h RouteHistory) With(now time.Time, before, after *RouteTable) RouteHistory {
	if before == nil {
		return h
	}
	changed := map[string]time.Time{}
	for name, at := range h.changedAt {
		if now.Sub(at) < routeChangeMemory {
			changed[name] = at
		}
	}
	old := map[string]model.Route{}
	for _, r := range before.routing.Routes {
		old[routeID(r)] = r
	}
	for _, r := range after.routing.Routes {
		if known, ok := old[routeID(r)]; ok && !slices.Equal(known.Split, r.Split) {
			changed[routeID(r)] = now
		}
	}
	return RouteHistory{changedAt: changed}
}

// Changed reports whether a route has lately led to other pools, or to the same in other shares.
func (h RouteHistory) Changed(now time.Time, route model.Route) bool {
	at, ok := h.changedAt[routeID(route)]
	return ok && now.Sub(at) < routeChangeMemory
}

func routeID(r model.Route) string {
	return r.Host + r.Prefix
}
