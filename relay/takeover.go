package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

const (
	// batcherIdleTimeout is how long a node has not batched for a pool when another may have done it:
	// a pool in use gets pieces far more often.
	batcherIdleTimeout = 1500 * time.Millisecond
	// takeOverTimeout bounds the question to those that may batch; the first pieces wait for it,
	// and a node that was lost does not answer.
	takeOverTimeout = 60 * time.Millisecond
	// confirmInterval is how often a node that batches asks whether another does too: after a cut or a
	// freeze both may, until they hear of each other.
	confirmInterval = 500 * time.Millisecond
	// takeOverCandidates is how many nodes are asked beside the one that batched last: those that come
	// first for the pool. Any node that sent pieces lately knows who batches.
	takeOverCandidates = 2
)

// place decides where a group is to be batched: here, where the name is empty, or at another node. Two
// nodes that batch for one pool would give the same room out twice and call workers that are busy, so a
// node that does not batch yet sends groups on to the one that does, and begins only where there is none.
func (g *batcher) placeGroup(ctx context.Context, passedOver []string) (elsewhere string) {
	g.claimMu.Lock()
	defer g.claimMu.Unlock()
	if g.recordGroup() {
		return ""
	}
	if other := g.expectedBatcher(passedOver); other != "" && g.relay.options.Policy.Uses(kernel.SingleBatcher) {
		return other
	}
	return g.claimPool(ctx, passedOver)
}

// batches tells whether this node batches for the pool, and notes that a group came.
func (g *batcher) recordGroup() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.relay.now()
	g.active = g.active && now.Sub(g.lastGroupAt) < batcherIdleTimeout
	g.lastGroupAt = now
	return g.active
}

// follows returns the other node that batches, as far as is known here, or that is to; empty where it
// is this one.
func (g *batcher) expectedBatcher(passedOver []string) string {
	if other := g.knownBatcher(passedOver); other != "" {
		return other
	}
	for _, node := range kernel.NodesByHash(g.queueName, g.eligiblePeers(g.relay.Reachable())) {
		if node == g.relay.options.Name {
			return ""
		}
		if !slices.Contains(passedOver, node) {
			return node
		}
	}
	return ""
}

// knownBatcher returns the other node that was last seen to batch, while it is reachable.
func (g *batcher) knownBatcher(passedOver []string) string {
	g.mu.Lock()
	known := g.currentBatcher
	g.mu.Unlock()
	if known == g.relay.options.Name || slices.Contains(passedOver, known) || !g.relay.isReachable(known) {
		return ""
	}
	return known
}

func (g *batcher) setCurrentBatcher(node string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.currentBatcher = node
}

// begin asks those that may batch for the pool to hand it over. It returns the node that goes on to
// batch instead; empty where this one does from now on.
func (g *batcher) claimPool(ctx context.Context, passedOver []string) (elsewhere string) {
	r := g.relay
	g.mu.Lock()
	g.queue.TakeOver(r.now())
	g.mu.Unlock()
	yielded, other := g.requestTakeOver(ctx, g.takeOverRequest(false))
	if other != "" && !slices.Contains(passedOver, other) && r.options.Policy.Uses(kernel.SingleBatcher) {
		g.setCurrentBatcher(other)
		return other
	}
	g.mu.Lock()
	g.active = true
	g.currentBatcher = r.options.Name
	g.claims++
	begun := g.claims
	worthAsking := g.traits.Room >= minPolledRoom
	g.mu.Unlock()
	r.metrics.Event("BatcherTookOver")
	r.log.Info().Str("Pool", g.queueName).Bool("Yielded", yielded).Msg("batching begins here")
	if worthAsking {
		go g.pollFreeRoom()
	}
	if r.options.Policy.Uses(kernel.SingleBatcher) {
		go g.confirmSole(begun)
	}
	return ""
}

// question is what other nodes are asked that may batch for the pool.
func (g *batcher) takeOverRequest(batches bool) peer.TakeOver {
	r := g.relay
	return peer.TakeOver{Pool: g.queueName, Node: r.options.Name, Capacity: r.options.Capacity, Batches: batches, Leaving: r.Leaving()}
}

// confirm asks from time to time whether another node batches too, until this one batches no more or has
// begun anew.
func (g *batcher) confirmSole(begun int) {
	r := g.relay
	for clock.Sleep(r.ctx, confirmInterval) {
		g.mu.Lock()
		active := g.active && g.claims == begun && r.now().Sub(g.lastGroupAt) < batcherIdleTimeout
		g.mu.Unlock()
		if !active {
			return
		}
		if _, other := g.requestTakeOver(r.ctx, g.takeOverRequest(true)); other != "" {
			g.stepDown(other)
			return
		}
	}
}

// requestTakeOver asks those that may batch for the pool. It tells whether one yielded, and returns the node that
// does not.
func (g *batcher) requestTakeOver(ctx context.Context, question peer.TakeOver) (yielded bool, other string) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	asked := g.possibleBatchers()
	for _, reply := range g.callAll(ctx, asked, question) {
		if named := reply.MovedTo; named != "" && named != g.relay.options.Name && !slices.Contains(asked, named) {
			// Only the node itself knows whether it batches still.
			reply = g.callAll(ctx, []string{named}, question)[0]
		}
		switch {
		case reply.Batched:
			yielded = true
		case reply.Stays:
			other = reply.MovedTo
		}
	}
	return yielded, other
}

// ask asks several nodes at once; nodes that do not answer leave empty replies.
func (g *batcher) callAll(ctx context.Context, nodes []string, question peer.TakeOver) []peer.TakeOverReply {
	r := g.relay
	var asked sync.WaitGroup
	replies := make([]peer.TakeOverReply, len(nodes))
	for i, node := range nodes {
		asked.Go(func() {
			if r.peers.Call(ctx, r.addressOf(node), peer.KindTakeOver, question, &replies[i]) != nil {
				r.metrics.Event("TakeOverUnanswered")
			}
		})
	}
	asked.Wait()
	return replies
}

// possibleBatchers returns the other nodes that may batch for the pool, whether they are reachable or not:
// a node that is leaving may still hold groups that wait.
func (g *batcher) possibleBatchers() []string {
	var peers []kernel.Peer
	for _, n := range *g.relay.nodes.Load() {
		if n.Name != g.relay.options.Name {
			peers = append(peers, kernel.Peer{Name: n.Name, Domain: n.Domain, Capacity: n.Capacity})
		}
	}
	order := kernel.NodesByHash(g.queueName, g.eligiblePeers(peers))
	nodes := order[:min(takeOverCandidates, len(order))]
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(order, g.currentBatcher) && !slices.Contains(nodes, g.currentBatcher) {
		nodes = append(slices.Clone(nodes), g.currentBatcher)
	}
	return nodes
}

// yield answers a node that batches or is about to: this one leaves the pool to it, or says who batches.
func (g *batcher) answerTakeOver(m peer.TakeOver) peer.TakeOverReply {
	r := g.relay
	g.mu.Lock()
	active := g.active && r.now().Sub(g.lastGroupAt) < batcherIdleTimeout
	g.mu.Unlock()
	if !active {
		return peer.TakeOverReply{MovedTo: g.knownBatcher([]string{m.Node})}
	}
	own := kernel.BatcherCandidate{Peer: kernel.Peer{Name: r.options.Name, Capacity: r.options.Capacity}, Batching: true, Leaving: r.Leaving()}
	other := kernel.BatcherCandidate{Peer: kernel.Peer{Name: m.Node, Capacity: m.Capacity}, Batching: m.Batches, Leaving: m.Leaving}
	switch kernel.DecideTakeOver(g.queueName, own, other) {
	case kernel.KeepPool:
		return peer.TakeOverReply{MovedTo: r.options.Name, Stays: true}
	case kernel.SharePool:
		return peer.TakeOverReply{}
	default:
		r.suspects.clear(m.Node)
		g.stepDown(m.Node)
		return peer.TakeOverReply{Batched: true}
	}
}

// stepDown leaves the pool to another node.
func (g *batcher) stepDown(to string) {
	r := g.relay
	g.mu.Lock()
	g.active, g.currentBatcher = false, to
	moved := g.queue.HandOver()
	g.mu.Unlock()
	g.deliverOutcomes(moved)
	r.metrics.Event("BatcherYielded")
	r.log.Info().Str("Pool", g.queueName).Str("To", to).Int("Groups", len(moved)).Msg("batching handed over")
}

func (r *Relay) answerTakeOver(_ context.Context, body []byte) (any, error) {
	var m peer.TakeOver
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	g := r.batchers.find(m.Pool)
	if g == nil {
		return peer.TakeOverReply{}, nil
	}
	return g.answerTakeOver(m), nil
}
