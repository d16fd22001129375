package relay

import (
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/ratecap"
)

type (
	// sendLimits limits the requests that this node sends to the endpoints of a pool, so that all nodes together stay
	// within the bounds of cold endpoints and within rate caps. All sends of requests are subject to it.
	sendLimits struct {
		self string
		// startedAt is when this node started; leaving is true if it is about to stop.
		startedAt time.Time
		leaving   bool
		// cold is what each sender may send to a cold endpoint. The senders are chosen from the nodes that announced
		// returns.
		cold      kernel.ColdShare
		announced func() []kernel.Peer
		// caps limits what is sent to endpoints with rate caps.
		rateCaps *ratecap.Limiter
		// allowPermits is true if endpoints may be chosen that require a permit of another node.
		allowPermits bool
	}

	// sendState is the state of a node's sends to one endpoint.
	sendState struct {
		// lastSentAt is when the node last sent to the endpoint or granted another node a permit to do so.
		lastSentAt time.Time
		// coldRole is whether the node may send while the endpoint is cold.
		coldRole kernel.ColdRole
	}
)

func (r *Relay) sendLimits(pool string) sendLimits {
	table := r.View().Table
	traits, _ := table.Pool(pool)
	return sendLimits{self: r.options.Name, startedAt: r.startedAt, leaving: r.Leaving(), cold: r.options.ColdLimits.FractionalShare(table.CapacityShare(pool), traits.ColdRate), announced: r.announcedPeers, rateCaps: r.rateCaps}
}

// admits reports whether this node may send a request to an endpoint now, and whether it needs a permit of another
// node to do so.
func (l sendLimits) admits(now time.Time, e model.Endpoint, s *endpointState) (admitted, needsPermit bool) {
	switch {
	case !l.admitsCold(now, e, &s.sends):
		return false, false
	case l.rateCaps.Admits(now, e, s.sends.lastSentAt):
		return true, false
	default:
		// No permits are requested for the occasional probes of an ejected endpoint.
		return l.allowPermits && !s.health.Ejected() && l.rateCaps.MayRequestPermit(now, e.Incarnation()), true
	}
}

func (l sendLimits) admitsCold(now time.Time, e model.Endpoint, s *sendState) bool {
	if l.cold.Senders == 0 || !kernel.IsCold(now, e) {
		return true
	}
	if s.coldRole.Expired(now) {
		s.coldRole = s.coldRole.With(now, l.startedAt, !l.leaving && l.cold.IsSender(l.self, e, l.announced()))
	}
	return l.cold.DueForRole(now, s.coldRole, s.lastSentAt)
}
