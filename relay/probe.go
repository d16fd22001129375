package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

const (
	// quickProbeTimeout bounds the probes of possible successors of a lost batcher: many round trips between
	// hosts.
	quickProbeTimeout = 100 * time.Millisecond
	// maxParallelProbes is how many nodes are probed at the same time. If three fifths of all nodes are lost at once,
	// at least one of those probed answers in nine of ten cases. If nodes were probed one after the other, a request
	// would wait for the time-out of each lost node.
	maxParallelProbes = 5
)

var errProbeUnanswered = errors.New("relay: no answer to a probe")

// probeForBatcher returns the known batcher of a pool, if that is not excluded. Otherwise it probes the first nodes
// by hash and returns the first one that answers, or this node if none does.
func (r *Relay) probeForBatcher(ctx context.Context, b *batcher, excluded []string) string {
	if known := b.knownBatcher(excluded); known != "" || !r.options.Policy.Uses(kernel.ProbeSuccessors) {
		return r.selectBatcher(b, excluded)
	}
	candidates := slices.DeleteFunc(slices.Clone(r.orders.Of(b.queueName, b.eligiblePeers(r.Reachable()))), func(node string) bool { return slices.Contains(excluded, node) })
	candidates = candidates[:min(maxParallelProbes, len(candidates))]
	answered := r.probeAll(ctx, candidates)
	for i, node := range candidates {
		if answered[i] {
			return node
		}
	}
	return r.options.Name
}

// probeAll reports which of several nodes answer within quickProbeTimeout and are not leaving. Those that do not
// answer are suspected.
func (r *Relay) probeAll(ctx context.Context, nodes []string) []bool {
	ctx, cancel := context.WithTimeout(ctx, quickProbeTimeout)
	defer cancel()
	answered := make([]bool, len(nodes))
	var probes sync.WaitGroup
	for i, node := range nodes {
		if node == r.options.Name {
			answered[i] = true
			continue
		}
		probes.Go(func() {
			var reply peer.ProbeReply
			err := r.peers.Call(ctx, r.addressOf(node), peer.KindProbe, peer.Empty{}, &reply)
			answered[i] = err == nil && !reply.Leaving
			if err != nil {
				r.Suspect(node, errProbeUnanswered)
			}
		})
	}
	probes.Wait()
	return answered
}
