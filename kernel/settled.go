package kernel

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// settleTime is how long nodes wait before they rely on a membership change: until all nodes have learned of it, and
// until requests sent before it no longer count in the same window as requests sent after it.
const settleTime = 8 * time.Second

type (
	// SettledNodes is the set of nodes that divide a fleet-wide limit between them without asking each other. The other
	// nodes rank a node that joins as soon as they learn of it, but the node itself has no rank until they have had
	// time to do so; a node that leaves keeps its rank for the same time. Unreachable nodes keep their ranks: otherwise
	// each side of a network partition would use the whole limit. It is immutable.
	SettledNodes struct {
		// known holds the announced nodes, and those that left within settleTime.
		known map[string]settledNode
	}

	settledNode struct {
		joinedAt time.Time
		// leftAt is zero while the node is announced.
		leftAt time.Time
	}
)

// With returns the nodes after a new list of the announced ones.
func (s SettledNodes) With(now time.Time, announced []Peer) SettledNodes {
	if s.equals(announced) {
		return s
	}
	out := SettledNodes{known: make(map[string]settledNode, len(announced))}
	for _, n := range announced {
		node, known := s.known[n.Name]
		if !known || !node.leftAt.IsZero() {
			node = settledNode{joinedAt: now}
		}
		out.known[n.Name] = node
	}
	for name, node := range s.known {
		if _, still := out.known[name]; still {
			continue
		}
		if node.leftAt.IsZero() {
			node.leftAt = now
		}
		if now.Sub(node.leftAt) < settleTime {
			out.known[name] = node
		}
	}
	return out
}

// equals reports whether the announced nodes are exactly the known ones, and none of those has left.
func (s SettledNodes) equals(announced []Peer) bool {
	if len(announced) != len(s.known) {
		return false
	}
	for _, n := range announced {
		node, known := s.known[n.Name]
		if !known || !node.leftAt.IsZero() {
			return false
		}
	}
	return true
}

// Rank returns how many nodes rank before self by rendezvous hash of the subject. It returns math.MaxInt for a node
// that others may not have learned of yet, or that has left.
func (s SettledNodes) Rank(now time.Time, self, subject string) int {
	node, known := s.known[self]
	if !known || !node.leftAt.IsZero() || now.Sub(node.joinedAt) < settleTime {
		return math.MaxInt
	}
	own := rendezvousScore(subject, self)
	before := 0
	for name, other := range s.known {
		gone := !other.leftAt.IsZero() && now.Sub(other.leftAt) >= settleTime
		if name != self && !gone && rendezvousScore(subject, name) > own {
			before++
		}
	}
	return before
}

// First returns at most count nodes, the highest ranked by rendezvous hash of the subject.
func (s SettledNodes) TopRanked(now time.Time, subject string, count int) []string {
	names := make([]string, 0, len(s.known))
	for name, node := range s.known {
		if node.leftAt.IsZero() || now.Sub(node.leftAt) < settleTime {
			names = append(names, name)
		}
	}
	return topRankedByHash(subject, names, count)
}

// topRankedByHash returns at most count of several nodes, the highest ranked by rendezvous hash of the subject, in order of
// rank.
func topRankedByHash(subject string, nodes []string, count int) []string {
	type scored struct {
		name  string
		score uint64
	}
	first := make([]scored, 0, count+1)
	for _, name := range nodes {
		entry := scored{name: name, score: rendezvousScore(subject, name)}
		at, _ := slices.BinarySearchFunc(first, entry, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		if at < count {
			first = slices.Insert(first, at, entry)
			first = first[:min(count, len(first))]
		}
	}
	names := make([]string, 0, len(first))
	for _, entry := range first {
		names = append(names, entry.name)
	}
	return names
}
