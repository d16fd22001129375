package kernel

import "time"

// Reader returns the node that one is to ask for what the store holds: the one that reads for its
// failure domain, the same for all nodes that know the same ones; empty for none. Own tells that
// the node itself reads. Nodes that are away, because the store does not answer them, are passed
// over: two nodes that lean on each other's word would both grow old with it. Where the node itself
// reads and the store does not answer (lost), another one is named, of its domain or beyond: the
// store may turn away single nodes.
func Reader(self, domain string, nodes []Peer, lost bool, away map[string]bool) (source string, own bool) {
	var near, far []Peer
	for _, n := range nodes {
		switch {
		case away[n.Name] && n.Name != self:
		case n.Domain == domain:
			near = append(near, n)
		case n.Name != self:
			far = append(far, n)
		}
	}
	order := Gatherers("reader of "+domain, near)
	own = len(order) == 0 || order[0] == self
	if !own {
		return order[0], false
	}
	if !lost {
		return "", true
	}
	for _, name := range append(order, Gatherers("reader beyond "+domain, far)...) {
		if name != self {
			return name, true
		}
	}
	return "", true
}

// Patience returns how long the next answer of a reader is waited for while it comes, after one that did or did not
// come whole in time. The usual time is the greatest age of a useful proof: then another node is asked, since this one
// may be cut off from all else. It doubles up to a most, so that an answer that outgrows its link comes whole
// in the end.
func Patience(before, usual, most time.Duration, inTime bool) time.Duration {
	if inTime || before <= 0 {
		return usual
	}
	return min(2*before, most)
}
