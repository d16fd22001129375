package quarantine

import (
	"context"
	"math"
	"slices"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

const (
	// directSpread is the number of other nodes up to which each is informed by the node that decides. Larger fleets are
	// informed in groups, through spreadHeads nodes of each: one of these may not answer.
	directSpread = 24
	spreadHeads  = 2
	// maxSpreadQueue bounds the changes that wait to be sent to all nodes. Further ones are read from the store only.
	maxSpreadQueue = 64
)

// otherNodes returns the other nodes that are believed to answer.
func (a *Agent) otherNodes() []string {
	var out []string
	for _, p := range a.deps.Peers() {
		if p.Name != a.name {
			out = append(out, p.Name)
		}
	}
	return out
}

// spread sends a change of the held requests to all nodes, in the background.
func (a *Agent) spread(change kernel.QuarantineChange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.spreadQueue) >= maxSpreadQueue {
		a.metrics.CountEvent("QuarantineNotSpread")
		return
	}
	a.spreadQueue = append(a.spreadQueue, change)
	if len(a.spreadQueue) == 1 {
		go a.spreadQueued()
	}
}

// spreadQueued sends the queued changes one after the other.
func (a *Agent) spreadQueued() {
	for {
		a.mu.Lock()
		change := a.spreadQueue[0]
		a.mu.Unlock()
		a.sendToAll(change)
		a.mu.Lock()
		a.spreadQueue = a.spreadQueue[1:]
		empty := len(a.spreadQueue) == 0
		a.mu.Unlock()
		if empty {
			return
		}
	}
}

// sendToAll sends a change to all nodes, in groups if there are many.
func (a *Agent) sendToAll(change kernel.QuarantineChange) {
	nodes := a.otherNodes()
	if len(nodes) <= directSpread {
		a.sendToEach(nodes, change, nil)
		return
	}
	groupSize := int(math.Ceil(math.Sqrt(float64(len(nodes)))))
	done := make(chan struct{})
	groups := 0
	for group := range slices.Chunk(nodes, groupSize) {
		groups++
		go func() {
			defer func() { done <- struct{}{} }()
			heads := group[:min(spreadHeads, len(group))]
			if a.sendToEach(heads, change, group[len(heads):]) == 0 {
				a.sendToEach(group[len(heads):], change, nil)
			}
		}()
	}
	for range groups {
		<-done
	}
}

// sendToEach sends a change to several nodes in parallel, which pass it on to others, and returns how many answered.
func (a *Agent) sendToEach(nodes []string, change kernel.QuarantineChange, passOn []string) int {
	answered := make(chan bool)
	for _, node := range nodes {
		go func() {
			answered <- a.call(node, peer.KindSpreadQuarantine, peer.SpreadQuarantine{Change: change, PassOn: passOn})
		}()
	}
	n := 0
	for range nodes {
		if <-answered {
			n++
		}
	}
	return n
}

// handleSpreadQuarantine applies a change and passes it on.
func (a *Agent) handleSpreadQuarantine(_ context.Context, body []byte) (any, error) {
	var m peer.SpreadQuarantine
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	if len(m.PassOn) > 0 {
		go a.sendToEach(m.PassOn, m.Change, nil)
	}
	a.ApplyChange(m.Change)
	return peer.Empty{}, nil
}
