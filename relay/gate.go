package relay

import (
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/ratecap"
)

type (
	// gate keeps what a pool's endpoints get of all nodes within what they bear. All sends of requests pass it.
	sendLimits struct {
		self string
		// startedAt is when this node started; leaving tells that it is on its way out.
		startedAt time.Time
		leaving   bool
		// cold is what cold endpoints may get, of the nodes that announced returns.
		cold      kernel.ColdShare
		announced func() []kernel.Peer
		// caps holds the endpoints that bound what they take.
		caps *ratecap.Limiter
		// permits is true where endpoints may be chosen that need another node's permit.
		allowPermits bool
	}

	// sendState is what a node knows of its own sends to an endpoint.
	sendState struct {
		sentAt time.Time
		// cold is whether it may send while the endpoint is cold.
		coldRole kernel.ColdRole
	}
)

func (r *Relay) sendLimits(pool string) sendLimits {
	table := r.View().Table
	traits, _ := table.Pool(pool)
	return sendLimits{self: r.options.Name, startedAt: r.startedAt, leaving: r.Leaving(), cold: r.options.ColdLimits.FractionalShare(table.CapacityShare(pool), traits.ColdRate), announced: r.announcedPeers, caps: r.rateCaps}
}

// admits tells whether an endpoint may get a request from this node now, and whether only with another node's permit.
func (g sendLimits) admits(now time.Time, e model.Endpoint, s *endpointState) (admitted, needsPermit bool) {
	switch {
	case !g.admitsCold(now, e, &s.gate):
		return false, false
	case g.caps.Admits(now, e, s.gate.sentAt):
		return true, false
	default:
		// An ejected endpoint gets a probe now and then: that needs no other node.
		return g.allowPermits && !s.health.Ejected() && g.caps.MayRequestPermit(now, e.Incarnation()), true
	}
}

func (g sendLimits) admitsCold(now time.Time, e model.Endpoint, s *sendState) bool {
	if g.cold.Senders == 0 || !kernel.IsCold(now, e) {
		return true
	}
	if s.coldRole.Expired(now) {
		s.coldRole = s.coldRole.With(now, g.startedAt, !g.leaving && g.cold.IsSender(g.self, e, g.announced()))
	}
	return g.cold.DueForRole(now, s.coldRole, s.sentAt)
}
