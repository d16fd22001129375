package relay

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

type (
	// reachableNodes are the reachable nodes while their key is the same.
	reachableNodes struct {
		reachableKey
		peers []kernel.Peer
	}

	// reachableKey is what the reachable nodes follow from: the nodes, the version of the suspects, and whether this node is
	// leaving.
	reachableKey struct {
		nodes    *[]Node
		suspects uint64
		leaving  bool
	}
)

// SetNodes sets the nodes of the fleet, including this one. A node announces itself by writing its row to the store when
// it starts; announced names the nodes that have just done so.
func (r *Relay) SetNodes(nodes []Node, announced []string) {
	r.nodes.Store(&nodes)
	r.nodesKnown.Store(true)
	r.bindings.ForgetRegistrars()
	r.helpers.Retain(func(name string) bool {
		return slices.ContainsFunc(nodes, func(n Node) bool { return n.Name == name })
	})
	for _, name := range announced {
		r.suspects.probeNow(name)
	}
}

// Reachable returns the nodes that are not leaving and not suspected. This node is included unless it is leaving
// and there are others. The slice is shared until one of this changes, and must not be changed.
func (r *Relay) Reachable() []kernel.Peer {
	key := reachableKey{nodes: r.nodes.Load(), suspects: r.suspects.version.Load(), leaving: r.Leaving()}
	if known := r.reachable.Load(); known != nil && known.reachableKey == key {
		return known.peers
	}
	peers := r.findReachable()
	r.reachable.Store(&reachableNodes{reachableKey: key, peers: peers})
	return peers
}

func (r *Relay) findReachable() []kernel.Peer {
	var out []kernel.Peer
	for _, n := range *r.nodes.Load() {
		if n.Name != r.options.Name && !n.Leaving && !r.suspects.suspected(n.Name) {
			out = append(out, kernel.Peer{Name: n.Name, Domain: n.Domain, Capacity: n.Capacity})
		}
	}
	if len(out) == 0 || !r.Leaving() {
		out = append(out, kernel.Peer{Name: r.options.Name, Domain: r.options.Domain, Capacity: r.options.Capacity})
	}
	return out
}

// announcedPeers returns the nodes that have announced themselves and are not leaving, whether or not they answer.
func (r *Relay) announcedPeers() []kernel.Peer {
	var out []kernel.Peer
	for _, n := range *r.nodes.Load() {
		if !n.Leaving {
			out = append(out, kernel.Peer{Name: n.Name, Domain: n.Domain, Capacity: n.Capacity})
		}
	}
	return out
}

// announcedSenders returns the nodes that have announced themselves, are not leaving and have not announced that they do not
// reach a pool, whether or not they answer. They share what few nodes may send to an endpoint.
func (r *Relay) announcedSenders(pool string) []kernel.Peer {
	var out []kernel.Peer
	for _, n := range *r.nodes.Load() {
		if !n.Leaving && !slices.Contains(n.Unreached, pool) {
			out = append(out, kernel.Peer{Name: n.Name, Domain: n.Domain, Capacity: n.Capacity})
		}
	}
	return out
}

// UnreachedPools returns the pools that this node does not reach, in order.
func (r *Relay) UnreachedPools() []string {
	return r.paths.LostPools()
}

// otherNodes returns the reachable nodes but this one and the excluded ones.
func (r *Relay) otherNodes(excluded []string) []kernel.Peer {
	return slices.DeleteFunc(slices.Clone(r.Reachable()), func(p kernel.Peer) bool {
		return p.Name == r.options.Name || slices.Contains(excluded, p.Name)
	})
}

// isReachable reports whether another node is known, not leaving and not suspected.
func (r *Relay) isReachable(node string) bool {
	for _, n := range *r.nodes.Load() {
		if n.Name == node {
			return !n.Leaving && !r.suspects.suspected(node)
		}
	}
	return false
}

// CallWithIdleTimeout calls another node by its name, for a reply that may be large. The call fails if nothing is
// received from the node for timeout.
func (r *Relay) CallWithIdleTimeout(ctx context.Context, timeout time.Duration, node string, kind peer.Kind, message, reply any) error {
	return r.peers.CallWithIdleTimeout(ctx, timeout, r.addressOf(node), kind, message, reply)
}

// callNode calls another node by its name. A node that fails to answer is suspected, except if the call ended with
// ctx.
func (r *Relay) callNode(ctx context.Context, node string, kind peer.Kind, message, reply any) error {
	err := r.peers.Call(ctx, r.addressOf(node), kind, message, reply)
	if unanswered := (*peer.CallError)(nil); errors.As(err, &unanswered) && ctx.Err() == nil {
		r.Suspect(node, err)
	}
	return err
}

// Suspect records that a node did not answer. The node is probed until it does.
func (r *Relay) Suspect(node string, err error) {
	if r.suspects.suspect(node) {
		r.log.Info().Str("Peer", node).Err(err).Msg("node does not answer")
	}
}

// MaxIdleConnections returns how many idle connections this node may keep to each endpoint of a pool.
func (r *Relay) MaxIdleConnections(pool string) int {
	traits, _ := r.View().Table.Pool(pool)
	return kernel.MaxIdleConnections(traits.MaxConns, r.fleetSize())
}

// KnownNodes returns the number of nodes that share the limits of the fleet, or 0 while that is not known. Until then
// nothing is taken from the retry budget that the nodes share.
func (r *Relay) KnownNodes() int {
	return r.fleetSize()
}

// fleetSize returns how many nodes share the limits of the fleet, or 0 while that is not known.
func (r *Relay) fleetSize() int {
	if !r.nodesKnown.Load() {
		return 0
	}
	return max(1, len(*r.nodes.Load()))
}
