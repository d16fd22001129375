package relay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

// SetNodes takes over which nodes there are, this one included, and which of them have just announced
// themselves.
func (r *Relay) SetNodes(nodes []Node, announced []string) {
	r.nodes.Store(&nodes)
	r.nodesKnown.Store(true)
	for _, name := range announced {
		r.suspects.probeNow(name)
	}
}

// Reachable returns the nodes that are not leaving and answer, as far as is known. This one is among them,
// unless it is leaving and there are others.
func (r *Relay) Reachable() []kernel.Peer {
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

// announced returns the nodes that have announced themselves and are not leaving, whether they answer or not.
func (r *Relay) announcedPeers() []kernel.Peer {
	var out []kernel.Peer
	for _, n := range *r.nodes.Load() {
		if !n.Leaving {
			out = append(out, kernel.Peer{Name: n.Name, Domain: n.Domain, Capacity: n.Capacity})
		}
	}
	return out
}

// reachable tells whether another node is not leaving and answers, as far as is known.
func (r *Relay) isReachable(node string) bool {
	for _, n := range *r.nodes.Load() {
		if n.Name == node {
			return !n.Leaving && !r.suspects.suspected(node)
		}
	}
	return false
}

// Ask calls another node by its name, for a reply that may be large: it ends where nothing comes from the
// node for a time.
func (r *Relay) CallUnlessSilent(ctx context.Context, silence time.Duration, node string, kind peer.Kind, message, reply any) error {
	return r.peers.CallUnlessSilent(ctx, silence, r.addressOf(node), kind, message, reply)
}

// callNode calls another node by its name. One that is silent is passed over from then on; a caller who has left, or
// waits no longer, says nothing of it.
func (r *Relay) callNode(ctx context.Context, node string, kind peer.Kind, message, reply any) error {
	err := r.peers.Call(ctx, r.addressOf(node), kind, message, reply)
	if silent := (*peer.CallError)(nil); errors.As(err, &silent) && ctx.Err() == nil {
		r.Suspect(node, err)
	}
	return err
}

// Suspect notes that a node did not answer; it is probed until it does.
func (r *Relay) Suspect(node string, err error) {
	if r.suspects.suspect(node) {
		r.log.Info().Str("Peer", node).Err(err).Msg("node does not answer")
	}
}

// MaxIdleConnections returns how many idle connections this node may keep to an endpoint of a pool.
func (r *Relay) MaxIdleConnections(pool string) int {
	traits, _ := r.View().Table.Pool(pool)
	return kernel.MaxIdleConnections(traits.MaxConns, r.fleetSize())
}

// live returns how many nodes share the fleet's budgets; 0 while that is not known.
func (r *Relay) fleetSize() int {
	if !r.nodesKnown.Load() {
		return 0
	}
	return max(1, len(*r.nodes.Load()))
}
