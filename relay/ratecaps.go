package relay

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/ratecap"
)

const (
	// maxPermitRequests is the maximum number of permits that are requested for one attempt.
	maxPermitRequests = 2
	// leavingPermitWait is how long another node waits until it asks again for a permit to send to an endpoint that gets
	// no work from this one.
	leavingPermitWait = time.Second
)

var errNodeUnavailable = errors.New("relay: the node is leaving or does not answer")

// newRateCapLimiter returns the limiter of this node's sends to endpoints with rate caps.
func (r *Relay) newRateCapLimiter() *ratecap.Limiter {
	return ratecap.NewLimiter(r.ctx, r.options.Name, ratecap.Dependencies{
		Announced: r.announcedPeers,
		Listed: func(incarnation string) bool {
			e, listed := r.Registry().Find(model.NameOfIncarnation(incarnation))
			return listed && e.Incarnation() == incarnation
		},
		Fraction:      r.rateCapShare,
		Publish:       r.deps.PublishRateCap,
		RequestPermit: r.requestCapPermit,
		Changed:       r.batchers.updateRateCaps,
	}, r.now, r.metrics, r.log)
}

// newRefusalCapLimiter returns what this node knows of the refusal caps of endpoints.
func (r *Relay) newRefusalCapLimiter() *ratecap.Limiter {
	return ratecap.NewLimiter(r.ctx, r.options.Name, ratecap.Dependencies{
		Kind:      "RefusalCap",
		Name:      "refusal cap",
		Announced: r.announcedPeers,
		Listed: func(incarnation string) bool {
			e, listed := r.Registry().Find(model.NameOfIncarnation(incarnation))
			return listed && e.Incarnation() == incarnation
		},
		Fraction: r.rateCapShare,
		Publish:  r.deps.PublishRefusalCap,
		Changed:  r.batchers.updateRateCaps,
	}, r.now, r.metrics, r.log)
}

// SetRefusalCap applies the refusal cap of an endpoint, or its absence, that is published in the store.
func (r *Relay) SetRefusalCap(incarnation string, stated model.RateCap) {
	r.refusalCaps.ApplyNotice(incarnation, stated)
}

// hasRefusalCaps reports whether an endpoint of a pool states a refusal cap. Only some nodes may send to such endpoints.
func (r *Relay) hasRefusalCaps(pool string) bool {
	if r.refusalCaps.Len() == 0 {
		return false
	}
	return slices.ContainsFunc(r.Registry().Endpoints(pool), func(e model.Endpoint) bool { return r.refusalCaps.HasCap(e.Incarnation()) })
}

// refusalSenders returns those of some nodes that may send to an endpoint of a pool, if endpoints state refusal caps and this node
// reaches the pool. Otherwise it returns all of them.
func (r *Relay) refusalSenders(pool string, nodes []kernel.Peer) []kernel.Peer {
	if !r.hasRefusalCaps(pool) || r.paths.Lost(pool) {
		return nodes
	}
	announced := r.announcedSenders(pool)
	senders := map[string]bool{}
	for _, e := range r.Registry().Endpoints(pool) {
		stated := r.refusalCaps.FractionalView(e.Incarnation()).Cap
		if !stated.Stated || !e.TakesWork() {
			continue
		}
		for _, name := range kernel.RefusalSenderNames(stated, r.pool(pool).slotsOf(e), e.Incarnation(), announced) {
			senders[name] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(p kernel.Peer) bool { return !senders[p.Name] })
}

// barred reports whether this node may send nothing to the endpoints of a pool now because they state refusal caps. Another
// node may.
func (r *Relay) barred(pool string) bool {
	if !r.hasRefusalCaps(pool) {
		return false
	}
	limits := r.sendLimits(pool)
	limits.allowPermits = true
	return !r.pool(pool).hasCandidate(r.now(), r.Registry().Endpoints(pool), limits)
}

// rateCapShare returns the share of an endpoint's rate cap, from 0 to 1, that requests may use; pieces may use a share
// of the same size.
func (r *Relay) rateCapShare(incarnation string) float64 {
	e, _ := r.Registry().Find(model.NameOfIncarnation(incarnation))
	return r.View().Table.CapacityShare(e.Pool)
}

// requestCapPermit asks another node for a permit to send one request to an endpoint of a pool. If the permit is
// denied, wait is the time until this node's turn.
func (r *Relay) requestCapPermit(ctx context.Context, node, pool, incarnation string) (granted bool, wait time.Duration, err error) {
	if !r.isReachable(node) {
		return false, 0, errNodeUnavailable
	}
	var reply peer.CapPermitReply
	err = r.callNode(ctx, node, peer.KindCapPermit, peer.CapPermit{Pool: pool, Incarnation: incarnation}, &reply)
	return reply.Granted, reply.Wait, err
}

// handleCapPermit handles another node's request for a permit. It is denied for an incarnation that is not listed or may
// get no work.
func (r *Relay) handleCapPermit(_ context.Context, body []byte) (any, error) {
	var request peer.CapPermit
	if err := peer.DecodeBody(body, &request); err != nil {
		return nil, err
	}
	e, listed := r.Registry().Find(model.NameOfIncarnation(request.Incarnation))
	if !listed || e.Incarnation() != request.Incarnation {
		return peer.CapPermitReply{}, nil
	}
	if !e.TakesWork() {
		return peer.CapPermitReply{Wait: leavingPermitWait}, nil
	}
	granted, wait := r.pool(request.Pool).grantPermit(r.now(), request.Incarnation, r.rateCaps.Permit)
	return peer.CapPermitReply{Granted: granted, Wait: wait}, nil
}

// SetRateCap applies the rate cap of an endpoint, or its absence, that is published in the store.
func (r *Relay) SetRateCap(incarnation string, stated model.RateCap) {
	r.rateCaps.ApplyNotice(incarnation, stated)
}

// admitRateCaps refuses a request if all endpoints of its pool are at their rate caps. It returns nil otherwise.
func (r *Relay) admitRateCaps(a kernel.Admission) *model.Refusal {
	endpoints := a.Regions.AllowedEndpoints(r.Registry().Endpoints(a.Pool))
	return r.rateCaps.AdmitPool(r.now(), a.Pool, endpoints, r.pool(a.Pool).lastSentAt)
}

// refuseRateCaps returns the refusal of a request whose permits were denied, or nil if an endpoint of its pool has no cap.
func (r *Relay) refuseRateCaps(a kernel.Admission) *model.Refusal {
	endpoints := a.Regions.AllowedEndpoints(r.Registry().Endpoints(a.Pool))
	return r.rateCaps.RefusePool(r.now(), a.Pool, endpoints, r.pool(a.Pool).lastSentAt)
}

// chooseEndpoint chooses an endpoint for one attempt by pick. If this node may send to the endpoint only with another
// node's permit, it requests one; if the permit is denied, it calls release for the endpoint and chooses another.
func (j *job) chooseEndpoint(ctx context.Context, p *pool, pick func(now time.Time, limits sendLimits) (choice, bool), release func(model.Endpoint)) (model.Endpoint, bool) {
	r := j.relay
	j.permitUntil = time.Time{}
	limits := r.sendLimits(p.name)
	for requested := 0; ; requested++ {
		limits.allowPermits = requested < maxPermitRequests
		now := r.now()
		c, ok := pick(now, limits)
		j.permitDenied = requested > 0
		if !ok || !c.needsPermit {
			return c.endpoint, ok
		}
		if r.rateCaps.RequestPermit(ctx, c.endpoint) {
			p.recordPermittedSend(r.now(), c.endpoint.Incarnation())
			j.permitUntil = now.Add(kernel.PermitLifetime)
			return c.endpoint, true
		}
		release(c.endpoint)
	}
}
