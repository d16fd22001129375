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
func (b *batcher) placeGroup(ctx context.Context, excluded []string) (elsewhere string) {
	b.claimMu.Lock()
	defer b.claimMu.Unlock()
	if b.recordGroup() {
		return ""
	}
	if other := b.expectedBatcher(excluded); other != "" && b.relay.options.Policy.Uses(kernel.SingleBatcher) {
		return other
	}
	return b.claimPool(ctx, excluded)
}

// batches tells whether this node batches for the pool, and notes that a group came.
func (b *batcher) recordGroup() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.relay.now()
	b.active = b.active && now.Sub(b.lastGroupAt) < batcherIdleTimeout
	b.lastGroupAt = now
	return b.active
}

// follows returns the other node that batches, as far as is known here, or that is to; empty where it
// is this one.
func (b *batcher) expectedBatcher(excluded []string) string {
	if other := b.knownBatcher(excluded); other != "" {
		return other
	}
	for _, node := range kernel.NodesByHash(b.queueName, b.eligiblePeers(b.relay.Reachable())) {
		if node == b.relay.options.Name {
			return ""
		}
		if !slices.Contains(excluded, node) {
			return node
		}
	}
	return ""
}

// knownBatcher returns the other node that was last seen to batch, while it is reachable.
func (b *batcher) knownBatcher(excluded []string) string {
	b.mu.Lock()
	known := b.currentBatcher
	b.mu.Unlock()
	if known == b.relay.options.Name || slices.Contains(excluded, known) || !b.relay.isReachable(known) {
		return ""
	}
	return known
}

func (b *batcher) setCurrentBatcher(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBatcher = node
}

// begin asks those that may batch for the pool to hand it over. It returns the node that goes on to
// batch instead; empty where this one does from now on.
func (b *batcher) claimPool(ctx context.Context, excluded []string) (elsewhere string) {
	r := b.relay
	b.mu.Lock()
	b.queue.TakeOver(r.now())
	b.mu.Unlock()
	yielded, other := b.requestTakeOver(ctx, b.takeOverRequest(false))
	if other != "" && !slices.Contains(excluded, other) && r.options.Policy.Uses(kernel.SingleBatcher) {
		b.setCurrentBatcher(other)
		return other
	}
	b.mu.Lock()
	b.active = true
	b.currentBatcher = r.options.Name
	b.claims++
	begun := b.claims
	worthAsking := b.traits.Room >= minPolledRoom
	b.mu.Unlock()
	r.metrics.Event("BatcherTookOver")
	r.log.Info().Str("Pool", b.queueName).Bool("Yielded", yielded).Msg("batching begins here")
	if worthAsking {
		go b.pollFreeRoom()
	}
	if r.options.Policy.Uses(kernel.SingleBatcher) {
		go b.confirmSole(begun)
	}
	return ""
}

// question is what other nodes are asked that may batch for the pool.
func (b *batcher) takeOverRequest(batches bool) peer.TakeOver {
	r := b.relay
	return peer.TakeOver{Pool: b.queueName, Node: r.options.Name, Capacity: r.options.Capacity, Batches: batches, Leaving: r.Leaving()}
}

// confirm asks from time to time whether another node batches too, until this one batches no more or has
// begun anew.
func (b *batcher) confirmSole(begun int) {
	r := b.relay
	for clock.Sleep(r.ctx, confirmInterval) {
		b.mu.Lock()
		active := b.active && b.claims == begun && r.now().Sub(b.lastGroupAt) < batcherIdleTimeout
		b.mu.Unlock()
		if !active {
			return
		}
		if _, other := b.requestTakeOver(r.ctx, b.takeOverRequest(true)); other != "" {
			b.stepDown(other)
			return
		}
	}
}

// requestTakeOver asks those that may batch for the pool. It tells whether one yielded, and returns the node that
// does not.
func (b *batcher) requestTakeOver(ctx context.Context, question peer.TakeOver) (yielded bool, other string) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	asked := b.possibleBatchers()
	for _, reply := range b.callAll(ctx, asked, question) {
		if named := reply.MovedTo; named != "" && named != b.relay.options.Name && !slices.Contains(asked, named) {
			// Only the node itself knows whether it batches still.
			reply = b.callAll(ctx, []string{named}, question)[0]
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
func (b *batcher) callAll(ctx context.Context, nodes []string, question peer.TakeOver) []peer.TakeOverReply {
	r := b.relay
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
func (b *batcher) possibleBatchers() []string {
	var peers []kernel.Peer
	for _, n := range *b.relay.nodes.Load() {
		if n.Name != b.relay.options.Name {
			peers = append(peers, kernel.Peer{Name: n.Name, Domain: n.Domain, Capacity: n.Capacity})
		}
	}
	order := kernel.NodesByHash(b.queueName, b.eligiblePeers(peers))
	nodes := order[:min(takeOverCandidates, len(order))]
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(order, b.currentBatcher) && !slices.Contains(nodes, b.currentBatcher) {
		nodes = append(slices.Clone(nodes), b.currentBatcher)
	}
	return nodes
}

// yield answers a node that batches or is about to: this one leaves the pool to it, or says who batches.
func (b *batcher) answerTakeOver(m peer.TakeOver) peer.TakeOverReply {
	r := b.relay
	b.mu.Lock()
	active := b.active && r.now().Sub(b.lastGroupAt) < batcherIdleTimeout
	b.mu.Unlock()
	if !active {
		return peer.TakeOverReply{MovedTo: b.knownBatcher([]string{m.Node})}
	}
	own := kernel.PoolClaim{Peer: kernel.Peer{Name: r.options.Name, Capacity: r.options.Capacity}, Batching: true, Leaving: r.Leaving()}
	other := kernel.PoolClaim{Peer: kernel.Peer{Name: m.Node, Capacity: m.Capacity}, Batching: m.Batches, Leaving: m.Leaving}
	switch kernel.AnswerClaim(b.queueName, own, other) {
	case kernel.KeepPool:
		return peer.TakeOverReply{MovedTo: r.options.Name, Stays: true}
	case kernel.SharePool:
		return peer.TakeOverReply{}
	default:
		r.suspects.clear(m.Node)
		b.stepDown(m.Node)
		return peer.TakeOverReply{Batched: true}
	}
}

// stepDown leaves the pool to another node.
func (b *batcher) stepDown(to string) {
	r := b.relay
	b.mu.Lock()
	b.active, b.currentBatcher = false, to
	moved := b.queue.HandOver()
	b.mu.Unlock()
	b.deliverOutcomes(moved)
	r.metrics.Event("BatcherYielded")
	r.log.Info().Str("Pool", b.queueName).Str("To", to).Int("Groups", len(moved)).Msg("batching handed over")
}

func (r *Relay) answerTakeOver(_ context.Context, body []byte) (any, error) {
	var m peer.TakeOver
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	b := r.batchers.find(m.Pool)
	if b == nil {
		return peer.TakeOverReply{}, nil
	}
	return b.answerTakeOver(m), nil
}
