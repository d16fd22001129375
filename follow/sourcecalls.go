package follow

import (
	"context"
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

// maxLateCalls bounds the calls to other nodes whose answers are still being received while a further node is asked.
const maxLateCalls = 1

type (
	// sourceCalls are the calls to other nodes for their tables. It is safe for concurrent use.
	sourceCalls struct {
		mu sync.Mutex
		// pending holds the nodes that are being asked, and late those of them that have not answered completely in time.
		pending map[string]bool
		late    map[string]bool
		// lost holds the nodes that have said in their last answer that the store does not answer them.
		lost map[string]bool
	}

	// sourceResult is the outcome of a call to another node. follows is true if the node supports long polls.
	sourceResult struct {
		answer  kernel.SourceAnswer
		follows bool
		err     error
	}
)

func newSourceCalls() *sourceCalls {
	return &sourceCalls{pending: map[string]bool{}, late: map[string]bool{}, lost: map[string]bool{}}
}

// begin begins a call to a node. It returns false if an earlier answer of the node is still being received, or those of
// more than maxLateCalls others.
func (c *sourceCalls) begin(node string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[node] || len(c.late) > maxLateCalls {
		return false
	}
	c.pending[node] = true
	return true
}

// setLate records that the answer of a node is late, unless the call has ended.
func (c *sourceCalls) setLate(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[node] {
		c.late[node] = true
	}
}

func (c *sourceCalls) end(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, node)
	delete(c.late, node)
}

// anyLate reports whether an answer is still being received that was not complete in time.
func (c *sourceCalls) anyLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.late) > 0
}

// setLost records whether a node has said that the store does not answer it.
func (c *sourceCalls) setLost(node string, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[node] = lost
}

func (c *sourceCalls) saidLost(node string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost[node]
}

// fetchFromNode requests the changes of all tables from a node and applies them. An answer that is not complete in time is
// still received and applied, as long as bytes of it arrive: what has arrived would be sent again otherwise.
func (f *Follower) fetchFromNode(ctx context.Context, node string) sourceResult {
	const hold = sourceLongPollTime
	late := sourceResult{answer: kernel.SourceAnswer{TimedOut: true}}
	if !f.calls.begin(node) {
		return late
	}
	if f.allTablesKnown() {
		// A slow answer may be one that many nodes wait for, or a large one on a slow link. Reading the store meanwhile
		// lets this node learn in time which endpoints are leaving.
		slowTimer := time.AfterFunc(peerIdleTimeout+hold, func() { f.setSourceSlow(true) })
		defer f.setSourceSlow(false)
		defer slowTimer.Stop()
	}
	announced := f.options.Outbox.Take()
	request := f.newRequest(announced)
	request.KnowsLost = f.calls.saidLost(node)
	done := make(chan sourceResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, maxPeerTimeout+hold)
		defer cancel()
		result := f.callNode(ctx, node, request)
		if !result.follows {
			f.options.Outbox.Add(announced)
		}
		f.calls.end(node)
		done <- result
	}()
	timer := time.NewTimer(f.options.MaxAge + hold)
	defer timer.Stop()
	select {
	case result := <-done:
		return result
	case <-timer.C:
		f.calls.setLate(node)
		return late
	}
}

// callNode makes one call to a node and applies its reply.
func (f *Follower) callNode(ctx context.Context, node string, request peer.Feed) sourceResult {
	sentAt := clock.Now()
	var reply peer.FeedReply
	if err := f.relay.CallWithIdleTimeout(ctx, peerIdleTimeout+sourceLongPollTime, node, peer.KindFeed, request, &reply); err != nil {
		f.recordFailure(node, "", err)
		return sourceResult{answer: kernel.SourceAnswer{Failed: true}, err: err}
	}
	f.calls.setLost(node, reply.Lost)
	answer, err := f.applyReply(node, sentAt, reply)
	answer.Failed = err != nil
	return sourceResult{answer: answer, follows: reply.Follows, err: err}
}
