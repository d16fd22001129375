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
	// batcherIdleTimeout is how long after its last group a node no longer counts as the pool's batcher: a pool in
	// use gets pieces far more often, so another node may batch by then.
	batcherIdleTimeout = 1500 * time.Millisecond
	// takeOverTimeout bounds the requests to the possible batchers of a pool. The first pieces wait for the
	// replies, and a lost node does not reply.
	takeOverTimeout = 60 * time.Millisecond
	// confirmInterval is how often a batcher checks whether another node batches too. After a network partition or
	// a suspended process both may, until they hear from each other.
	confirmInterval = 500 * time.Millisecond
	// takeOverCandidates is how many nodes, the first by hash of the pool, are asked in addition to the last known
	// batcher. Any node that recently sent pieces knows the batcher.
	takeOverCandidates = 2
)

// placeGroup returns the other node that is to batch a group, or an empty name if this one is. Two nodes that
// batch for one pool would assign the same room twice and call busy workers, so a node that does not batch
// redirects groups to the one that does, and begins to batch only if there is none.
func (b *batcher) placeGroup(ctx context.Context, excluded []string) (movedTo string) {
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

// recordGroup records that a group arrived, and reports whether this node batches for the pool.
func (b *batcher) recordGroup() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.relay.now()
	b.active = b.active && now.Sub(b.lastGroupAt) < batcherIdleTimeout
	b.lastGroupAt = now
	return b.active
}

// expectedBatcher returns the known batcher, or else the first node by hash. It is empty if that is this node.
func (b *batcher) expectedBatcher(excluded []string) string {
	if other := b.knownBatcher(excluded); other != "" {
		return other
	}
	for _, node := range b.relay.orders.Of(b.queueName, b.eligiblePeers(b.relay.Reachable())) {
		if node == b.relay.options.Name {
			return ""
		}
		if !slices.Contains(excluded, node) {
			return node
		}
	}
	return ""
}

// knownBatcher returns the last known batcher if it is another node that is reachable and not excluded.
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

// forgetBatcher records that a node does not batch, as it reaches no worker.
func (b *batcher) forgetBatcher(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.currentBatcher == node {
		b.currentBatcher = ""
	}
}

// claimPool asks the possible batchers to hand the pool over. It returns the node that continues to batch, or an
// empty name if this one batches from now on.
func (b *batcher) claimPool(ctx context.Context, excluded []string) (movedTo string) {
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
	claim := b.claims
	pollRoom := b.traits.Room >= minPolledRoom
	b.mu.Unlock()
	r.metrics.CountEvent("BatcherTookOver")
	r.log.Info().Str("Pool", b.queueName).Bool("Yielded", yielded).Msg("batching begins here")
	if pollRoom {
		go b.pollFreeRoom()
	}
	if r.options.Policy.Uses(kernel.SingleBatcher) {
		go b.confirmSole(claim)
	}
	return ""
}

// takeOverRequest returns the message to the possible batchers of the pool. batches is true if this node already
// batches.
func (b *batcher) takeOverRequest(batches bool) peer.TakeOver {
	r := b.relay
	return peer.TakeOver{Pool: b.queueName, Node: r.options.Name, Capacity: r.options.Capacity, Batches: batches, Leaving: r.Leaving() || b.unreached()}
}

// confirmSole regularly checks whether another node batches too, and steps down if so. It returns once this node
// no longer batches under the given claim.
func (b *batcher) confirmSole(claim int) {
	r := b.relay
	for clock.Sleep(r.ctx, confirmInterval) {
		b.mu.Lock()
		active := b.active && b.claims == claim && r.now().Sub(b.lastGroupAt) < batcherIdleTimeout
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

// requestTakeOver sends a request to the possible batchers of the pool. It reports whether one yielded, and
// returns the node that continues to batch, if any.
func (b *batcher) requestTakeOver(ctx context.Context, request peer.TakeOver) (yielded bool, other string) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	asked := b.possibleBatchers()
	for _, reply := range b.callAll(ctx, asked, request) {
		if named := reply.MovedTo; named != "" && named != b.relay.options.Name && !slices.Contains(asked, named) {
			// Only that node knows whether it still batches.
			reply = b.callAll(ctx, []string{named}, request)[0]
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

// callAll sends a request to several nodes in parallel. The reply of a node that does not answer is empty.
func (b *batcher) callAll(ctx context.Context, nodes []string, request peer.TakeOver) []peer.TakeOverReply {
	r := b.relay
	var calls sync.WaitGroup
	replies := make([]peer.TakeOverReply, len(nodes))
	for i, node := range nodes {
		calls.Go(func() {
			if r.peers.Call(ctx, r.addressOf(node), peer.KindTakeOver, request, &replies[i]) != nil {
				r.metrics.CountEvent("TakeOverUnanswered")
			}
		})
	}
	calls.Wait()
	return replies
}

// possibleBatchers returns the other nodes that may batch for the pool, reachable or not: a leaving node may still
// hold waiting groups.
func (b *batcher) possibleBatchers() []string {
	var peers []kernel.Peer
	for _, n := range *b.relay.nodes.Load() {
		if n.Name != b.relay.options.Name {
			peers = append(peers, kernel.Peer{Name: n.Name, Domain: n.Domain, Capacity: n.Capacity})
		}
	}
	order := b.relay.orders.Of(b.queueName, b.eligiblePeers(peers))
	nodes := order[:min(takeOverCandidates, len(order))]
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Contains(order, b.currentBatcher) && !slices.Contains(nodes, b.currentBatcher) {
		nodes = append(slices.Clone(nodes), b.currentBatcher)
	}
	return nodes
}

// handleTakeOver answers a node that batches for the pool or is about to: it hands the pool over, or names the
// node that batches.
func (b *batcher) handleTakeOver(m peer.TakeOver) peer.TakeOverReply {
	r := b.relay
	b.mu.Lock()
	active := b.active && r.now().Sub(b.lastGroupAt) < batcherIdleTimeout
	b.mu.Unlock()
	if !active {
		return peer.TakeOverReply{MovedTo: b.knownBatcher([]string{m.Node})}
	}
	own := kernel.BatcherCandidate{Peer: kernel.Peer{Name: r.options.Name, Capacity: r.options.Capacity}, Batching: true, Leaving: r.Leaving() || b.unreached()}
	other := kernel.BatcherCandidate{Peer: kernel.Peer{Name: m.Node, Capacity: m.Capacity}, Batching: m.Batches, Leaving: m.Leaving}
	switch kernel.DecideTakeOver(b.queueName, own, other) {
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

// stepDown hands the pool over to another node.
func (b *batcher) stepDown(to string) {
	r := b.relay
	b.mu.Lock()
	b.active, b.currentBatcher = false, to
	moved := b.queue.HandOver()
	b.mu.Unlock()
	b.deliverOutcomes(moved)
	r.metrics.CountEvent("BatcherYielded")
	r.log.Info().Str("Pool", b.queueName).Str("To", to).Int("Groups", len(moved)).Msg("batching handed over")
}

// unreached reports whether this node does not reach the pool's workers. It does not batch then.
func (b *batcher) unreached() bool {
	return b.relay.paths.Path(b.pool).Confirmed()
}

// abandon ends the batching on this node, which does not reach the pool's workers. The senders of all groups send them to
// another node.
func (b *batcher) abandon() {
	b.forgetBatcher(b.relay.options.Name)
	b.mu.Lock()
	active := b.active
	b.active = false
	moved := b.queue.Abandon()
	b.mu.Unlock()
	b.deliverOutcomes(moved)
	if active {
		b.relay.metrics.CountEvent("BatcherUnreached")
		b.relay.log.Info().Str("Pool", b.queueName).Int("Groups", len(moved)).Msg("batching ended, as no worker is reached")
	}
}

func (r *Relay) handleTakeOver(_ context.Context, body []byte) (any, error) {
	var m peer.TakeOver
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	b := r.batchers.find(m.Pool)
	if b == nil {
		return peer.TakeOverReply{}, nil
	}
	return b.handleTakeOver(m), nil
}
