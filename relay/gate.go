package relay

import (
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/ratecap"
)

type (
	// sendLimits limits the requests that this node sends to the endpoints of a pool, so that all nodes together stay
	// within cold limits and rate caps. All sends of requests are subject to it.
	sendLimits struct {
		// self is the name of this node.
		self string
		// startedAt is when this node started; leaving is true if it is about to stop.
		startedAt time.Time
		leaving   bool
		// cold is what each sender may send to a cold endpoint. The senders are chosen from the nodes that the function
		// announced returns.
		cold      kernel.ColdShare
		announced func() []kernel.Peer
		// rateCaps limits what is sent to endpoints with rate caps.
		rateCaps *ratecap.Limiter
		// refusalCaps holds the refusal caps of endpoints.
		refusalCaps *ratecap.Limiter
		// allowPermits is true if endpoints may be chosen that require a permit of another node.
		allowPermits bool
	}

	// sendState is the state of a node's sends to one endpoint.
	sendState struct {
		// lastSentAt is when the node last sent to the endpoint or granted another node a permit to do so.
		lastSentAt time.Time
		// coldRole is whether the node may send while the endpoint is cold.
		coldRole kernel.ColdRole
		// refusalRole and refusalWindow are whether the node may send to the endpoint while it states a refusal cap, and how
		// much.
		refusalRole   kernel.RefusalRole
		refusalWindow kernel.RefusalWindow
	}
)

func (r *Relay) sendLimits(pool string) sendLimits {
	table := r.View().Table
	traits, _ := table.Pool(pool)
	return sendLimits{self: r.options.Name, startedAt: r.startedAt, leaving: r.Leaving(), cold: r.options.ColdLimits.FractionalShare(table.CapacityShare(pool), traits.ColdRate), announced: func() []kernel.Peer { return r.announcedSenders(pool) }, rateCaps: r.rateCaps, refusalCaps: r.refusalCaps}
}

// admits reports whether this node may send a request to an endpoint now, and whether it needs a permit of another
// node to do so.
func (l sendLimits) admits(now time.Time, e model.Endpoint, s *endpointState) (admitted, needsPermit bool) {
	switch {
	case !l.admitsCold(now, e, &s.sends), !l.admitsRefusals(now, e, s):
		return false, false
	case l.rateCaps.Admits(now, e, s.sends.lastSentAt):
		return true, false
	default:
		// No permits are requested for the occasional probes of an ejected endpoint.
		return l.allowPermits && !s.health.Ejected() && l.rateCaps.MayRequestPermit(now, e.Incarnation()), true
	}
}

// anyCaps reports whether an endpoint states a rate cap or a refusal cap.
func (l sendLimits) anyCaps() bool {
	return l.rateCaps.Len() > 0 || l.refusalCaps.Len() > 0
}

// limitsCold reports whether an endpoint is cold and few nodes may send to it.
func (l sendLimits) limitsCold(now time.Time, e model.Endpoint) bool {
	return l.cold.Senders > 0 && kernel.IsCold(now, e)
}

func (l sendLimits) admitsCold(now time.Time, e model.Endpoint, s *sendState) bool {
	if !l.limitsCold(now, e) {
		return true
	}
	if s.coldRole.Expired(now) {
		s.coldRole = s.coldRole.With(now, l.startedAt, !l.leaving && l.cold.IsSender(l.self, e, l.announced()))
	}
	return l.cold.DueForRole(now, s.coldRole, s.lastSentAt)
}

// admitsRefusals reports whether this node may send one more request to an endpoint that may state a refusal cap.
func (l sendLimits) admitsRefusals(now time.Time, e model.Endpoint, s *endpointState) bool {
	stated := l.refusalCaps.FractionalView(e.Incarnation()).Cap
	if !stated.Stated {
		return true
	}
	if s.sends.refusalRole.Expired(now) {
		s.sends.refusalRole = s.sends.refusalRole.With(now, l.startedAt, l.self, e.Incarnation(), l.announced())
	}
	return !l.leaving && s.sends.refusalWindow.Admits(now, stated, s.slots(e), s.sends.refusalRole, s.inFlight)
}

// slots returns how many requests an endpoint processes at a time, by its last report or else its entry.
func (s *endpointState) slots(e model.Endpoint) int {
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return e.Slots
}
