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

var errMemberUnavailable = errors.New("node: member unknown or not alive")

// newQuarantineAgent returns this node's part of the quarantine.
func (n *Node) newQuarantineAgent() *quarantine.Agent {
	return quarantine.NewAgent(n.ctx, n.member.Node, quarantine.Dependencies{
		Peers:   n.coordinatorPeers,
		Call:    n.callMember,
		Connect: connectOnce,
		ReachesOthers: func(ctx context.Context, e model.Endpoint) bool {
			return n.paths.ReachesOthers(ctx, e)
		},
		Store: n.storeQuarantineChange,
	}, time.Now, n.metrics, n.log)
}

// connectOnce opens a connection to an address and closes it.
func connectOnce(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// coordinatorPeers returns the members that may coordinate the quarantine of a pool: the live ones, and this node even
// while it is leaving.
func (n *Node) coordinatorPeers() []kernel.Peer {
	peers := []kernel.Peer{{Name: n.member.Node}}
	members, _ := n.fleet.alive()
	for _, m := range members {
		if m.Node != n.member.Node {
			peers = append(peers, kernel.Peer{Name: m.Node})
		}
	}
	return peers
}

// callMember calls the live member on the named node and decodes its answer into reply. It returns errMemberUnavailable
// if no live member is known there.
func (n *Node) callMember(ctx context.Context, node string, kind peer.Kind, message, reply any) error {
	members, _ := n.fleet.alive()
	for _, m := range members {
		if m.Node == node {
			return n.peers.Call(ctx, m.Address, kind, message, reply)
		}
	}
	return errMemberUnavailable
}

// storeQuarantineChange writes a change of the held requests to the notices row of the table. Heartbeats inform the
// other nodes that there is a new version to read.
func (n *Node) storeQuarantineChange(ctx context.Context, change kernel.QuarantineChange) error {
	return n.recordNoticeWrite(n.store.ChangeHeld(ctx, change))
}

// recordDisconnect records that the connection to an endpoint broke while the endpoint may have worked on a request.
func (n *Node) recordDisconnect(e model.Endpoint, req model.Request) {
	n.quarantine.RecordDisconnect(e, req.Digests(e.Pool))
}

// checkQuarantine returns a refusal if a request is held back. It is called right before a request is sent to an
// endpoint of a pool.
func (n *Node) checkQuarantine(pool string, req model.Request) *model.Refusal {
	return n.quarantine.Check(req.Digests(pool))
}
