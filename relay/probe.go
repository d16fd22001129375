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
	// quickProbeTimeout is how long a node may take to say that it is there when a batcher was lost: many
	// round trips between hosts.
	quickProbeTimeout = 100 * time.Millisecond
	// maxParallelProbes is how many nodes are asked at once. With three of five nodes lost at one moment,
	// one of these answers nine times in ten; asked one after the other, a request would wait for the
	// silence of each.
	maxParallelProbes = 5
)

var errProbeUnanswered = errors.New("relay: no answer to a probe")

// probeForBatcher returns the first node for a pool that answers at once, of those that were not passed
// over; this node where none does.
func (r *Relay) probeForBatcher(ctx context.Context, g *batcher, passedOver []string) string {
	if known := g.knownBatcher(passedOver); known != "" || !r.options.Policy.Uses(kernel.ProbeSuccessors) {
		return r.selectBatcher(g, passedOver)
	}
	candidates := slices.DeleteFunc(kernel.NodesByHash(g.queueName, g.eligiblePeers(r.Reachable())), func(node string) bool { return slices.Contains(passedOver, node) })
	candidates = candidates[:min(maxParallelProbes, len(candidates))]
	there := r.probeAll(ctx, candidates)
	for i, node := range candidates {
		if there[i] {
			return node
		}
	}
	return r.options.Name
}

// probeAll tells which of several nodes answer at once and are not leaving. Those that do not answer are
// suspected.
func (r *Relay) probeAll(ctx context.Context, nodes []string) []bool {
	ctx, cancel := context.WithTimeout(ctx, quickProbeTimeout)
	defer cancel()
	there := make([]bool, len(nodes))
	var asked sync.WaitGroup
	for i, node := range nodes {
		if node == r.options.Name {
			there[i] = true
			continue
		}
		asked.Go(func() {
			var reply peer.ProbeReply
			err := r.peers.Call(ctx, r.addressOf(node), peer.KindProbe, peer.Empty{}, &reply)
			there[i] = err == nil && !reply.Leaving
			if err != nil {
				r.Suspect(node, errProbeUnanswered)
			}
		})
	}
	asked.Wait()
	return there
}
