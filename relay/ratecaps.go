package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/ratecap"
)

// maxPermitRequests bounds the permits that are asked for before one send.
const maxPermitRequests = 2

var errNodeUnavailable = errors.New("relay: the node is leaving or does not answer")

// newRateCapLimiter returns the node's part in keeping the rate caps of endpoints.
func (r *Relay) newRateCapLimiter() *ratecap.Limiter {
	return ratecap.NewLimiter(r.ctx, r.options.Name, ratecap.Dependencies{
		Announced: r.announcedPeers,
		Listed: func(incarnation string) bool {
			e, listed := r.Registry().Find(model.NameOfIncarnation(incarnation))
			return listed && e.Incarnation() == incarnation
		},
		Part:          r.capPart,
		Publish:       r.deps.PublishRateCap,
		RequestPermit: r.requestCapPermit,
		Changed:       r.batchers.updateRateCaps,
	}, r.now, r.metrics, r.log)
}

// capPart returns which part of an endpoint's cap requests may use, and pieces as well.
func (r *Relay) capPart(incarnation string) float64 {
	e, _ := r.Registry().Find(model.NameOfIncarnation(incarnation))
	return r.View().Table.CapacityShare(e.Pool)
}

func (r *Relay) requestCapPermit(ctx context.Context, node, pool, incarnation string) (granted bool, wait time.Duration, err error) {
	if !r.isReachable(node) {
		return false, 0, errNodeUnavailable
	}
	var reply peer.CapPermitReply
	err = r.callNode(ctx, node, peer.KindCapPermit, peer.CapPermit{Pool: pool, Incarnation: incarnation}, &reply)
	return reply.Granted, reply.Wait, err
}

func (r *Relay) handleCapPermit(_ context.Context, body []byte) (any, error) {
	var question peer.CapPermit
	if err := peer.DecodeBody(body, &question); err != nil {
		return nil, err
	}
	e, listed := r.Registry().Find(model.NameOfIncarnation(question.Incarnation))
	if !listed || e.Incarnation() != question.Incarnation {
		return peer.CapPermitReply{}, nil
	}
	granted, wait := r.pool(question.Pool).grantPermit(r.now(), question.Incarnation, r.rateCaps.Permit)
	return peer.CapPermitReply{Granted: granted, Wait: wait}, nil
}

// SetRateCap takes over what the store says of an endpoint's rate cap.
func (r *Relay) SetRateCap(incarnation string, stated model.RateCap) {
	r.rateCaps.ApplyNotice(incarnation, stated)
}

// admitRateCaps returns the refusal of a request whose pool has only endpoints at their rate caps.
func (r *Relay) admitRateCaps(a kernel.Admission) *model.Refusal {
	endpoints := a.Regions.AllowedEndpoints(r.Registry().Endpoints(a.Pool))
	return r.rateCaps.AdmitPool(r.now(), a.Pool, endpoints, r.pool(a.Pool).lastSentAt)
}

// forward sends a request to an endpoint, once, and takes in what the answer says of the endpoint.
func (r *Relay) forward(ctx context.Context, send Send) (*model.ForwardReply, error) {
	asked := r.now()
	r.rateCaps.RecordSend(send.Endpoint)
	reply, err := r.deps.Forward(ctx, send)
	if err == nil && !reply.Misdirected {
		r.recordRateCap(asked, send.Endpoint, reply.RateCap, reply.Authentic)
	}
	return reply, err
}

// runPieces makes one call for pieces, and takes in what the answer says of the endpoint.
func (r *Relay) runPieces(ctx context.Context, e model.Endpoint, pieces []model.Piece) (PieceReply, error) {
	asked := r.now()
	r.rateCaps.RecordSend(e)
	reply, err := r.deps.RunPieces(ctx, e, pieces)
	if !reply.Misdirected {
		r.recordRateCap(asked, e, reply.RateCap, err == nil && !reply.NotRun)
	}
	return reply, err
}

// recordRateCap takes in what an answer states of the requests that its endpoint takes. That there is none counts only in an
// answer that is whole: a spoilt one may have lost it.
func (r *Relay) recordRateCap(asked time.Time, e model.Endpoint, stated model.RateCap, whole bool) {
	if stated.Stated || whole {
		r.rateCaps.RecordAnswer(asked, e, stated)
	}
}

// choose chooses an endpoint for one send. Where the choice falls on one that this node may send to only with another
// node's permit, it asks for one; without it, the choice falls on another endpoint.
func (j *job) chooseEndpoint(ctx context.Context, p *pool, pick func(now time.Time, g sendLimits) (choice, bool), drop func(model.Endpoint)) (model.Endpoint, bool) {
	r := j.relay
	j.permitUntil = time.Time{}
	g := r.sendLimits(p.name)
	for asked := 0; ; asked++ {
		g.allowPermits = asked < maxPermitRequests
		now := r.now()
		c, ok := pick(now, g)
		if !ok || !c.needsPermit {
			return c.endpoint, ok
		}
		if r.rateCaps.RequestPermit(ctx, c.endpoint) {
			p.recordPermittedSend(r.now(), c.endpoint.Incarnation())
			j.permitUntil = now.Add(kernel.PermitLifetime)
			return c.endpoint, true
		}
		drop(c.endpoint)
	}
}
