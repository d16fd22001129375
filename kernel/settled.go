package kernel

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// settleTime is how long nodes wait before they rely on what they know of each other: until all have heard who joined or
// left, and what was sent before no longer counts together with what is sent after.
const settleTime = 8 * time.Second

type (
	// SettledNodes is which nodes share what all of them may do together only so often, without asking each other. Who
	// joins takes the place of others at once for them, and for itself once they have heard of it; who leaves keeps its
	// place for as long. Nodes that do not answer keep theirs: those that are cut off from each other would else all take
	// it. It is immutable.
	SettledNodes struct {
		// known holds the nodes that are announced, and those that left within settleTime.
		known map[string]settledNode
	}

	settledNode struct {
		joinedAt time.Time
		// leftAt is zero while the node is announced.
		leftAt time.Time
	}
)

// With returns the nodes after those that are announced now.
func (s SettledNodes) With(now time.Time, announced []Peer) SettledNodes {
	if s.holdsJust(announced) {
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

// holdsJust tells whether several nodes are all that are known, none of which has left.
func (s SettledNodes) holdsJust(announced []Peer) bool {
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

// Place returns how many nodes come before one by a subject's hash: math.MaxInt for a node that others may not have heard
// of yet, or that has left.
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

// First returns the first nodes by a subject's hash, at most count of them.
func (s SettledNodes) First(now time.Time, subject string, count int) []string {
	names := make([]string, 0, len(s.known))
	for name, node := range s.known {
		if node.leftAt.IsZero() || now.Sub(node.leftAt) < settleTime {
			names = append(names, name)
		}
	}
	return firstByHash(subject, names, count)
}

// firstByHash returns the first of several nodes by a subject's hash, at most count of them, in order.
func firstByHash(subject string, nodes []string, count int) []string {
	type scored struct {
		name  string
		score uint64
	}
	first := make([]scored, 0, count+1)
	for _, name := range nodes {
		one := scored{name: name, score: rendezvousScore(subject, name)}
		at, _ := slices.BinarySearchFunc(first, one, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		if at < count {
			first = slices.Insert(first, at, one)
			first = first[:min(count, len(first))]
		}
	}
	names := make([]string, 0, len(first))
	for _, one := range first {
		names = append(names, one.name)
	}
	return names
}
