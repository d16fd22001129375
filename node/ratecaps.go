package node

import (
	"context"
	"time"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/ratecap"
)

// newRateCapLimiter returns the node's part in keeping the rate caps of endpoints.
func (n *Node) newRateCapLimiter() *ratecap.Limiter {
	return ratecap.NewLimiter(n.ctx, n.member.Node, ratecap.Dependencies{
		Announced: n.announcedPeers,
		Listed:    n.dispatcher.Listed,
		Publish: func(ctx context.Context, incarnation string, stated model.RateCap) error {
			return n.recordNoticeWrite(n.store.ChangeRateCap(ctx, incarnation, stated))
		},
		RequestPermit: n.requestCapPermit,
		Changed:       func() {},
	}, time.Now, n.metrics, n.log)
}

// mayRequestPermit tells whether another node is worth asking for a permit to call an endpoint now that was last called at a
// time.
func (n *Node) mayRequestPermit(now time.Time, e model.Endpoint, calledAt time.Time) bool {
	return n.rateCaps.MayRequestPermit(now, e.Incarnation()) && n.mayCallCold(now, e, calledAt)
}

func (n *Node) requestCapPermit(ctx context.Context, node, pool, incarnation string) (granted bool, wait time.Duration, err error) {
	var reply peer.CapPermitReply
	err = n.callMember(ctx, node, peer.KindCapPermit, peer.CapPermit{Pool: pool, Incarnation: incarnation}, &reply)
	return reply.Granted, reply.Wait, err
}

func (n *Node) handleCapPermit(_ context.Context, body []byte) (any, error) {
	var question peer.CapPermit
	if err := peer.DecodeBody(body, &question); err != nil {
		return nil, err
	}
	granted, wait := n.dispatcher.Permit(time.Now(), question.Pool, question.Incarnation, n.rateCaps.Permit)
	return peer.CapPermitReply{Granted: granted, Wait: wait}, nil
}
