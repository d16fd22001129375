package kernel

import (
	"math"
	"slices"
	"strings"
)

// capacityPower is how much more the larger hosts get to do: with 6, a host of four times another's
// capacity is chosen 4,096 times as often, so that small hosts keep to their own callers even where
// they are many. With 3, one pool in ten fell to a small host among 57 small and 8 large ones.
const capacityPower = 6

// Peer is a node as the choice of who works for others sees it.
type Peer struct {
	Name   string
	Domain string
	// Capacity is what the node's host can carry relative to others; 1 where it is not known.
	Capacity float64
}

// Gatherers returns the nodes in the order in which they are to gather the pieces of a pool, the
// same for all who know the same nodes: by weighted rendezvous hashing, so that the loss of one
// node moves only what was its.
func Gatherers(subject string, nodes []Peer) []string {
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
	return -math.Pow(capacity, capacityPower) / math.Log(u)
}
