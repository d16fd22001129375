package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

const (
	// minPollInterval is the minimum time between two long polls of a node. peerPollInterval is the time between two
	// requests to a node of an older build, which replies at once.
	minPollInterval  = 200 * time.Millisecond
	peerPollInterval = 500 * time.Millisecond
	// newsMargin is the minimum difference in age for which a long poll is answered. A smaller one is due to the transit
	// time of the request.
	newsMargin = 50 * time.Millisecond
	// peerIdleTimeout is how long an asked node may send nothing. An answer that is still being received may take
	// longer, in the end up to maxPeerTimeout: the time that 10 Mbit/s, the bandwidth of the slowest links of hosts,
	// take for the largest message.
	peerIdleTimeout = 400 * time.Millisecond
	maxPeerTimeout  = 7 * time.Second
	// maxSourceAttempts is the maximum number of nodes that are asked in one poll, each with a long poll of
	// sourceLongPollTime. A poll without a sufficient answer is repeated after peerRetryInterval.
	maxSourceAttempts  = 3
	sourceLongPollTime = 400 * time.Millisecond
	peerRetryInterval  = 100 * time.Millisecond
	// settleTime is how long a starting node that knows no other one waits before it looks again: nodes that start at the
	// same time find each other only once some have announced themselves.
	settleTime = 400 * time.Millisecond
	// maxStartTime is how long a starting node waits for the tables from other nodes before it reads them from the store.
	maxStartTime = 4 * time.Second
)

// pollPeers requests changes from other nodes if this node does not read the store itself or the store does not answer
// it. It returns the pause before the next poll.
func (f *Follower) pollPeers(ctx context.Context) time.Duration {
	if !f.membershipKnown() {
		f.updates.Await(ctx, roleCheckInterval, f.membershipKnown)
		return 0
	}
	plan := f.plan()
	if !f.allTablesKnown() {
		if plan.ReadStore && !f.settled && len(f.relay.Reachable()) == 1 {
			f.settled = true
			plan = f.settle(ctx)
		}
		f.setReadsStore(plan.ReadStore, plan.Reason)
	}
	for attempt := 0; attempt < maxSourceAttempts && plan.Source != ""; attempt++ {
		f.probeForReader(ctx)
		sentAt := clock.Now()
		sufficient, follows := f.querySource(ctx, plan.Source)
		plan = f.plan()
		if sufficient {
			f.setReadsStore(plan.ReadStore, plan.Reason)
			if !follows {
				return peerPollInterval
			}
			return max(0, minPollInterval-clock.Now().Sub(sentAt))
		}
	}
	f.setReadsStore(plan.ReadStore, plan.Reason)
	if !plan.ReadStore {
		f.probeStore(ctx)
	}
	if plan.Source == "" {
		return peerPollInterval
	}
	return jittered(peerRetryInterval)
}

// settle gives the nodes that start at the same time as this one the time to announce themselves, reads once more which
// nodes there are, and returns the plan that follows.
func (f *Follower) settle(ctx context.Context) kernel.SourcePlan {
	clock.Sleep(ctx, jittered(settleTime))
	for _, t := range f.tables {
		if t.Membership {
			f.recordResult(ctx, t, f.fetch(ctx, t, t.MaxWait))
		}
	}
	return f.plan()
}

// plan returns where to get the tables from.
func (f *Follower) plan() kernel.SourcePlan {
	f.selectorMu.Lock()
	defer f.selectorMu.Unlock()
	plan := f.selector.Plan(clock.Now(), f.relay.Reachable(), f.storeLost())
	if !f.allTablesKnown() && clock.Now().Sub(f.startedAt) > maxStartTime {
		plan.ReadStore, plan.Reason = true, "no other node has sent the tables"
	}
	return plan
}

// Follows reports whether this node gets the tables from another one.
func (f *Follower) Follows() bool {
	plan := f.plan()
	return !plan.ReadStore && plan.Source != ""
}

// querySource requests changes from a node. It returns whether the answer is sufficient, so that no other node has to be
// asked, and whether the node supports long polls.
func (f *Follower) querySource(ctx context.Context, source string) (sufficient, follows bool) {
	result := f.fetchFromNode(ctx, source)
	f.selectorMu.Lock()
	sufficient = f.selector.RecordAnswer(clock.Now(), source, result.answer)
	f.selectorMu.Unlock()
	switch {
	case result.answer.Failed:
		f.metrics.CountEvent("ReaderFailed")
		f.relay.Suspect(source, result.err)
	case result.answer.TimedOut:
		f.metrics.CountEvent("SourceLate")
	case !sufficient:
		f.metrics.CountEvent("SourceSkipped")
	}
	return sufficient, result.follows
}

// probeForReader reads a table from the store, beside the questions to other nodes, if the readers are lost and the selector
// chooses this node to find out whether the store answers it.
func (f *Follower) probeForReader(ctx context.Context) {
	f.selectorMu.Lock()
	probe := f.selector.ShouldProbeForReader(clock.Now())
	f.selectorMu.Unlock()
	if probe {
		go f.readForProbe(ctx)
	}
}

// probeStore reads a table from the store once if the selector chooses this node for a probe. It is called if no other
// node had a sufficient answer.
func (f *Follower) probeStore(ctx context.Context) {
	f.selectorMu.Lock()
	probe := f.selector.ShouldProbeStore(f.relay.Reachable(), rand.Float64())
	f.selectorMu.Unlock()
	if probe {
		f.readForProbe(ctx)
	}
}

// readForProbe reads the first table from the store, without a wait for changes, and reads on if the store answers.
func (f *Follower) readForProbe(ctx context.Context) {
	f.metrics.CountEvent("StoreTried")
	overdue := time.AfterFunc(storeOverdue, func() { f.recordProbe(false) })
	defer overdue.Stop()
	err := f.fetch(ctx, f.tables[0], 0)
	overdue.Stop()
	f.recordProbe(err == nil)
	if err == nil {
		plan := f.plan()
		f.setReadsStore(plan.ReadStore, plan.Reason)
	}
}

func (f *Follower) recordProbe(answered bool) {
	f.selectorMu.Lock()
	f.selector.RecordProbe(clock.Now(), answered)
	f.selectorMu.Unlock()
	f.updates.Broadcast()
}

// setSourceSlow records whether this node waits for a slow answer of the node that it follows.
func (f *Follower) setSourceSlow(slow bool) {
	if f.sourceSlow.Swap(slow) != slow && slow {
		f.metrics.CountEvent("SourceSlow")
		f.updates.Broadcast()
	}
}

// newRequest returns a request for what this node does not know.
func (f *Follower) newRequest(announced map[string][]byte) peer.Feed {
	request := peer.Feed{After: map[string]uint64{}, Reads: map[string][]kernel.ReadSpan{}, Unpacks: true, Node: f.options.Name, Hold: sourceLongPollTime, AwaitsNews: true, Announced: announced}
	for _, t := range f.tables {
		t.mu.Lock()
		request.After[t.Name], _ = t.replica.Version()
		if t.TellsReads {
			request.Reads[t.Name] = t.replica.Proof().Reads.Spans(clock.Now())
		}
		t.mu.Unlock()
	}
	if f.allTablesKnown() {
		request.ProvenAgo = f.oldestAge()
	}
	request.Unanswered = f.unanswered(clock.Now())
	return request
}

// applyReply applies a node's reply to a request that was sent at sentAt.
func (f *Follower) applyReply(node string, sentAt time.Time, reply peer.FeedReply) (kernel.SourceAnswer, error) {
	receivedAt := clock.Now()
	answer := kernel.SourceAnswer{StoreLost: reply.Lost}
	// The request arrived after it was sent, so the reply was made after this time.
	repliedAt := sentAt.Add(min(max(0, reply.Held), receivedAt.Sub(sentAt)))
	f.addAttempts(repliedAt, reply.Unanswered)
	f.recordProver(node)
	for _, t := range f.tables {
		delta, ok := reply.Tables[t.Name]
		answer.Starting = answer.Starting || !ok && !t.Optional
		if !ok {
			continue
		}
		if !t.IgnoreAge {
			answer.Age = max(answer.Age, delta.Age)
		}
		startedAt := clock.Now()
		size, err := f.packer.unpack(reply, t.Name)
		if err != nil {
			return kernel.SourceAnswer{}, err
		}
		f.change(t, func() ([]kernel.Row, bool) {
			if version, _ := t.replica.Version(); delta.Version < version {
				return nil, false
			}
			return t.replica.ApplyDelta(repliedAt, delta), true
		})
		f.recordAnswer(answerStats{
			table: t.Name, source: node, version: delta.Version, size: size,
			elapsed: receivedAt.Sub(sentAt), applied: clock.Now().Sub(startedAt),
		})
	}
	f.updates.Broadcast()
	return answer, nil
}
