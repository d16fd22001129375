package kernel

import (
	"math"
	"slices"
	"strings"
)

// capacityExponent keeps a pool off small hosts while large ones are up, however many the small ones are: a host of four
// times another's capacity is chosen 4,096 times as often.
const capacityExponent = 6

// Peer is a node as the choice of who works for others sees it.
type Peer struct {
	Name   string
	Domain string
	// Capacity is what the node's host can carry relative to others; 1 where it is not known.
	Capacity float64
}

// NodesByHash returns the nodes in the order in which they are to batch the pieces of a pool, the
// same for all who know the same nodes: by weighted rendezvous hashing, so that the loss of one
// node moves only what was its.
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

// weightedScore is the weight over the negative logarithm of the hash, taken as a number between 0
// and 1: the greatest of these falls to each node with a chance in proportion to its weight.
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
	// KeepPool: this node goes on to batch, and the other one leaves the pool to it.
	KeepPool PoolAnswer = iota
	// YieldPool: the other node batches from now on.
	YieldPool
	// SharePool: each batches for its own requests.
	SharePool
)

type (
	// PoolAnswer is what a node that batches answers to another one.
	PoolAnswer int

	// PoolClaim is a node's claim to batch for a pool.
	PoolClaim struct {
		Peer
		// Batches is true for a node that does so already, Leaving for one that will soon be gone.
		Batching bool
		Leaving  bool
	}
)

// AnswerClaim decides which of two nodes batches for a pool, where the first does. It goes on unless it is
// leaving or the other can carry more: a change costs calls that are not full. Where both batch, the one that
// comes first for the pool does so alone. A leaving node gets no pool from one that stays.
func AnswerClaim(pool string, own, other PoolClaim) PoolAnswer {
	stays := other.Capacity <= own.Capacity
	if other.Batching {
		stays = NodesByHash(pool, []Peer{own.Peer, other.Peer})[0] == own.Name
	}
	switch {
	case own.Leaving && other.Leaving:
		return SharePool
	case !own.Leaving && (stays || other.Leaving):
		return KeepPool
	default:
		return YieldPool
	}
}
