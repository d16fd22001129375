package kernel

import (
	"math"
	"slices"
	"strings"
)

// capacityExponent keeps pools off small hosts while large ones are up, however many small ones there are: a host
// with four times the capacity of another is chosen 4,096 times as often.
const capacityExponent = 6

// Peer is a node that can be selected as a batcher.
type Peer struct {
	Name   string
	Domain string
	// Capacity is the capacity of the node's host relative to others, or 1 if unknown.
	Capacity float64
}

// NodesByHash returns the names of the nodes in the order of preference for a subject, such as a pool to batch
// for. The order is the same on all nodes that know the same nodes. It uses weighted rendezvous hashing, so that
// the loss of a node moves only the pools of that node.
func NodesByHash(subject string, nodes []Peer) []string {
	scores := make(map[string]float64, len(nodes))
	names := make([]string, 0, len(nodes))
	for _, n := range nodes {
		scores[n.Name] = weightedScore(subject, n)
		names = append(names, n.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		switch {
		case scores[a] > scores[b]:
			return -1
		case scores[a] < scores[b]:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return names
}

// weightedScore returns the weight divided by the negative logarithm of the hash, which is scaled to between 0
// and 1. The probability that a node has the greatest score is proportional to its weight.
func weightedScore(subject string, n Peer) float64 {
	u := (float64(rendezvousScore(subject, n.Name)) + 1) / (math.MaxUint64 + 2)
	capacity := n.Capacity
	if capacity <= 0 {
		capacity = 1
	}
	return -math.Pow(capacity, capacityExponent) / math.Log(u)
}

// The answers to a node that batches for a pool or is about to.
const (
	// KeepPool means that this node continues to batch, and the other one stops or does not begin.
	KeepPool TakeOverDecision = iota
	// YieldPool means that the other node batches from now on.
	YieldPool
	// SharePool means that each node batches for its own requests.
	SharePool
)

type (
	// TakeOverDecision is a batcher's answer to the claim of another node.
	TakeOverDecision int

	// BatcherCandidate is a node's claim to batch for a pool.
	BatcherCandidate struct {
		Peer
		// Batching is true if the node already batches for the pool, Leaving if it is about to leave.
		Batching bool
		Leaving  bool
	}
)

// DecideTakeOver decides which of two nodes batches for a pool that own batches for at present. The present batcher
// continues unless it is leaving or the other node has more capacity, as a change costs calls that are not full.
// If both nodes batch, the first by NodesByHash continues alone. A leaving node gets no pool from one that stays.
func DecideTakeOver(pool string, own, other BatcherCandidate) TakeOverDecision {
	keep := other.Capacity <= own.Capacity
	if other.Batching {
		keep = NodesByHash(pool, []Peer{own.Peer, other.Peer})[0] == own.Name
	}
	switch {
	case own.Leaving && other.Leaving:
		return SharePool
	case !own.Leaving && (keep || other.Leaving):
		return KeepPool
	default:
		return YieldPool
	}
}
