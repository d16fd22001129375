package node

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/quarantine"
)

var errMemberUnavailable = errors.New("node: no such member")

// newQuarantineAgent returns the node's part in the quarantine.
func (n *Node) newQuarantineAgent() *quarantine.Agent {
	return quarantine.NewAgent(n.ctx, n.member.Node, quarantine.Dependencies{
		Peers: n.coordinatorPeers,
		Call:  n.callMember,
		Connect: func(ctx context.Context, address string) error {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return err
			}
			return conn.Close()
		},
		Store: n.storeQuarantineChange,
	}, time.Now, n.metrics, n.log)
}

// coordinatorPeers returns the members that may keep a pool's cases, this one among them.
func (n *Node) coordinatorPeers() []kernel.Peer {
	out := []kernel.Peer{{Name: n.member.Node}}
	members, _ := n.fleet.alive()
	for _, m := range members {
		if m.Node != n.member.Node {
			out = append(out, kernel.Peer{Name: m.Node})
		}
	}
	return out
}

func (n *Node) callMember(ctx context.Context, node string, kind peer.Kind, message, reply any) error {
	members, _ := n.fleet.alive()
	for _, m := range members {
		if m.Node == node {
			return n.peers.Call(ctx, m.Address, kind, message, reply)
		}
	}
	return errMemberUnavailable
}

// storeQuarantineChange writes a change into the table; heartbeats tell the others that there is something to read.
func (n *Node) storeQuarantineChange(ctx context.Context, change kernel.QuarantineChange) error {
	return n.recordNoticeWrite(n.store.ChangeHeld(ctx, change))
}

// recordDisconnect notes that an endpoint broke off while it worked on a request.
func (n *Node) recordDisconnect(e model.Endpoint, req model.Request) {
	n.quarantine.RecordDisconnect(e, req.Digest())
}

// checkQuarantine tells whether a request may be sent to an endpoint.
func (n *Node) checkQuarantine(req model.Request) *model.Refusal {
	return n.quarantine.Check(req.Digest())
}
