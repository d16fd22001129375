package kernel

import (
	"slices"
	"sync"
)

const (
	// maxOrderedSets bounds the sets of nodes whose orders are kept: the reachable nodes, and those of a build or a region.
	maxOrderedSets = 4
	// maxOrders bounds the orders that are kept of a set, some 16 KB each with 1,000 nodes.
	maxOrders = 64
)

type (
	// NodeOrders keeps the results of NodesByHash until the nodes change: with 1,000 nodes one takes a small host some
	// milliseconds, and requests need several. It is safe for concurrent use.
	NodeOrders struct {
		mu sync.Mutex
		// sets holds the sets of nodes that were last ordered, the newest last.
		sets []orderedSet
	}

	// orderedSet is a set of nodes with its orders by subject.
	orderedSet struct {
		nodes     []Peer
		bySubject map[string][]string
	}
)

// NewNodeOrders returns an empty NodeOrders.
func NewNodeOrders() *NodeOrders {
	return &NodeOrders{}
}

// Of returns what NodesByHash returns. Neither nodes nor the result may be changed afterwards.
func (o *NodeOrders) Of(subject string, nodes []Peer) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	set := o.set(nodes)
	order, known := set.bySubject[subject]
	if !known {
		if len(set.bySubject) >= maxOrders {
			clear(set.bySubject)
		}
		order = NodesByHash(subject, nodes)
		set.bySubject[subject] = order
	}
	return order
}

func (o *NodeOrders) set(nodes []Peer) orderedSet {
	for _, set := range o.sets {
		if samePeers(set.nodes, nodes) {
			return set
		}
	}
	if len(o.sets) >= maxOrderedSets {
		o.sets = slices.Delete(o.sets, 0, 1)
	}
	set := orderedSet{nodes: nodes, bySubject: map[string][]string{}}
	o.sets = append(o.sets, set)
	return set
}

// samePeers reports whether two lists have the same nodes in the same order. Most often they are the same list.
func samePeers(a, b []Peer) bool {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}
