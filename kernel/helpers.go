package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// declineTTL is how long a node that declined to send requests to a pool is not asked again where others may be. It is
	// longer than a node takes to find that its path to a pool is back.
	declineTTL = time.Second
	// minDeclineTTL is how long it is not asked where no other may be: a fleet that is cut off as a whole then asks each node
	// five times a second in place of once for each request.
	minDeclineTTL = 200 * time.Millisecond
	// helperTTL is how long a node counts as a known helper after it last accepted a request.
	helperTTL = 3 * time.Second
	// minHelpers is how many known helpers a node spreads its requests over where there are as many. With fewer, it asks
	// nodes that it knows nothing of.
	minHelpers = 8
	// exploreShare is the share of requests that go to a node that is no known helper, so that the helpers of a long cut are
	// not the same for all of it.
	exploreShare = 0.1
	// MaxHelpersAsked is how many nodes are asked for one request: if three quarters of all nodes are cut off, and nothing is
	// known of them yet, one of these reaches the pool in nine of ten cases.
	MaxHelpersAsked = 8
	// maxRelayedBytes bounds the bodies that a node holds for other nodes, so that a large one does not end it.
	maxRelayedBytes = 24 << 20
	// unreachableRetryAfter is the time after which a caller may retry a request for a pool that no node reaches: within it,
	// nodes try their paths again.
	unreachableRetryAfter = 500 * time.Millisecond
)

type (
	// HelperState is what a node knows of itself when another one asks it to send requests to a pool.
	HelperState struct {
		Leaving bool
		// PathLost is true if it does not reach the pool either.
		PathLost bool
		// HasEndpoint is true if an endpoint of the pool may get work from it now.
		HasEndpoint bool
		Routing     RoutingView
		// HeldBytes is the size of the bodies of the requests that it serves for other nodes.
		HeldBytes int64
	}

	// RelayOffer is a request that another node asks a node to send.
	RelayOffer struct {
		// Version is that of the routing by which the other node has admitted it.
		Version uint64
		// BodyBytes is the size of its body.
		BodyBytes int64
	}

	// Helper is another node that may send requests to the endpoints of a pool which this node does not reach.
	Helper struct {
		Peer
		// InFlight is the number of requests that this node has under way there.
		InFlight int
		// Load is the load that the node last reported, at LoadAt: the requests that it serves, relative to its capacity.
		Load   float64
		LoadAt time.Time
		// AcceptedAt and DeclinedAt are when it last accepted and declined a request for the pool; zero if never.
		AcceptedAt time.Time
		DeclinedAt time.Time
	}
)

// known reports whether the node has lately accepted requests, and declined none since.
func (h Helper) known(now time.Time) bool {
	return !h.AcceptedAt.IsZero() && now.Sub(h.AcceptedAt) < helperTTL && h.AcceptedAt.After(h.DeclinedAt)
}

// declined reports whether the node has declined a request within ttl, and accepted none since.
func (h Helper) declined(now time.Time, ttl time.Duration) bool {
	return !h.DeclinedAt.IsZero() && now.Sub(h.DeclinedAt) < ttl && !h.AcceptedAt.After(h.DeclinedAt)
}

// capacity returns the capacity of the node's host, or 1 if unknown.
func (h Helper) capacity() float64 {
	if h.Capacity <= 0 {
		return 1
	}
	return h.Capacity
}

// load returns the load of the node relative to its capacity.
func (h Helper) load() float64 {
	return h.Load + float64(h.InFlight)/h.capacity()
}

// PickHelper returns the index of the node that is asked to send a request in this node's place, -1 if there is none to
// ask: the less loaded of two that are drawn by their capacities from the known helpers, or, where these are few and for
// some requests, from all that have not declined lately. If all others have, it may be one of those that declined first. The
// numbers are uniform in [0, 1).
func PickHelper(now time.Time, helpers []Helper, explore, first, second float64) int {
	var known, others, declined []int
	for i, h := range helpers {
		switch {
		case h.known(now):
			known = append(known, i)
		case !h.declined(now, declineTTL):
			others = append(others, i)
		case !h.declined(now, minDeclineTTL):
			declined = append(declined, i)
		}
	}
	candidates := known
	if len(known)+len(others) == 0 {
		candidates = declined
	}
	if len(others) > 0 && (len(known) == 0 || explore < exploreShare || len(known) < minHelpers && explore < 0.5) {
		candidates = others
	}
	if len(candidates) == 0 {
		return -1
	}
	a := drawByCapacity(helpers, candidates, first)
	b := drawByCapacity(helpers, candidates, second)
	if helpers[b].load() < helpers[a].load() {
		return b
	}
	return a
}

// drawByCapacity returns one of the candidates, each with a probability proportional to its capacity.
func drawByCapacity(helpers []Helper, candidates []int, random float64) int {
	total := 0.0
	for _, i := range candidates {
		total += helpers[i].capacity()
	}
	left := random * total
	for _, i := range candidates {
		left -= helpers[i].capacity()
		if left < 0 {
			return i
		}
	}
	return candidates[len(candidates)-1]
}

// DeclineRelay returns the reason for which a node does not send a request for another one; it is empty if it does.
func DeclineRelay(s HelperState, o RelayOffer) model.Reason {
	switch {
	case s.Leaving:
		return model.Draining
	case s.PathLost:
		return model.EndpointsUnreachable
	case s.Routing.Table == nil:
		return model.NotReady
	case !s.HasEndpoint:
		return model.NoEndpoint
	case s.Routing.Table.Version() < o.Version:
		return model.StaleRouting
	case s.HeldBytes+o.BodyBytes > maxRelayedBytes:
		return model.Overloaded
	default:
		return ""
	}
}

// AdmitRelayed admits a request for another node, which has admitted it on the given route and for the given customer.
// Where this node's routing tells otherwise, one of the two is older, and the request is refused as not run: the
// other node will know soon what holds.
func AdmitRelayed(now time.Time, view RoutingView, trust RoutingTrust, f model.Forward, route, customer string) (Admission, *model.Refusal) {
	a, refusal := Admit(now, view, trust, f)
	if refusal != nil && refusal.Reason != model.Unauthorized && refusal.Reason != model.UnknownPipeline {
		return a, refusal
	}
	if refusal != nil || a.Route.Name != route || a.Customer != customer {
		return a, model.NewRefusal(model.NotRun, model.StaleRouting, notReadyRetryAfter, "the routing of two nodes differs")
	}
	return a, nil
}

// OtherHelperMayServe reports whether another node may serve a request that one node has refused in place of the one that
// got it from its caller: not run, and for a reason that lies with the node.
func OtherHelperMayServe(refusal *model.Refusal) bool {
	if refusal.Verdict != model.NotRun {
		return false
	}
	switch refusal.Reason {
	case model.EndpointsUnreachable, model.StaleRouting, model.NotReady, model.RoutingUnread, model.NoEndpoint, model.EndpointsPaused, model.EndpointsCold, model.EndpointsCapped,
		model.EndpointsBrittle, model.VersionGone, model.NodeFull, model.Draining:
		return true
	default:
		return false
	}
}

// RefuseUnreachable returns the refusal of a request for a pool that no node reaches which was asked.
func RefuseUnreachable(pool string) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.EndpointsUnreachable, ClampRetryAfter(unreachableRetryAfter), "no endpoint of pool "+pool+" is reached")
}
