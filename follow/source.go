package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/peer"
)

const (
	// peerPollInterval is the time between two requests to other nodes. It adds to the age of the tables.
	peerPollInterval = 500 * time.Millisecond
	// peerIdleTimeout is how long an asked node may send nothing. An answer that is still being received may take
	// longer, in the end up to maxPeerTimeout: the time that 10 Mbit/s, the bandwidth of the slowest links of hosts,
	// take for the largest message.
	peerIdleTimeout = 400 * time.Millisecond
	maxPeerTimeout  = 7 * time.Second
	// maxSourceAttempts is how many nodes are asked one after the other. The last one may delay its answer by
	// sourceLongPollTime while it waits for newer tables itself, and the next request follows after peerRetryInterval.
	// All waiting nodes thus learn at once that the store is back.
	maxSourceAttempts  = 3
	sourceLongPollTime = 400 * time.Millisecond
	peerRetryInterval  = 100 * time.Millisecond
)

// pollPeers requests changes from other nodes if this node does not read the store itself or the store does not answer
// it. It returns the pause before the next poll.
func (f *Follower) pollPeers(ctx context.Context) time.Duration {
	if !f.allTablesKnown() && !f.storeLost() {
		// The first copy of each table comes from the store. Otherwise one node would have to send the whole tables to
		// all others after a simultaneous start.
		return peerPollInterval
	}
	plan := f.plan()
	for attempt := 0; attempt < maxSourceAttempts && plan.Source != ""; attempt++ {
		hold := time.Duration(0)
		if plan.LongPoll || attempt == maxSourceAttempts-1 {
			hold, attempt = sourceLongPollTime, maxSourceAttempts
		}
		sufficient := f.querySource(ctx, plan.Source, hold)
		plan = f.plan()
		if sufficient {
			f.setReadsStore(plan.ReadStore, plan.Reason)
			return peerPollInterval
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

// plan returns where to get the tables from.
func (f *Follower) plan() kernel.SourcePlan {
	f.selectorMu.Lock()
	defer f.selectorMu.Unlock()
	return f.selector.Plan(clock.Now(), f.relay.Reachable(), f.storeLost())
}

// querySource requests changes from a node and reports whether its answer is sufficient, so that no further node is
// asked. The node may delay its answer by hold while it waits for newer tables.
func (f *Follower) querySource(ctx context.Context, source string, hold time.Duration) bool {
	answer, err := f.fetchFromNode(ctx, source, hold)
	// A node whose answer is still being received has not failed, but another one may have the changes sooner.
	answer.TimedOut = errors.Is(err, context.DeadlineExceeded)
	answer.Failed = err != nil && !answer.TimedOut
	f.callTimeout = kernel.CallTimeout(f.callTimeout, f.options.MaxAge, maxPeerTimeout, !answer.TimedOut)
	if answer.Failed {
		f.metrics.CountEvent("ReaderFailed")
		f.relay.Suspect(source, err)
	}
	f.selectorMu.Lock()
	defer f.selectorMu.Unlock()
	return f.selector.RecordAnswer(clock.Now(), source, answer)
}

// probeStore reads a table from the store once if the selector chooses this node for a probe. It is called if no other
// node had a sufficient answer.
func (f *Follower) probeStore(ctx context.Context) {
	f.selectorMu.Lock()
	probe := f.selector.ShouldProbeStore(f.relay.Reachable(), rand.Float64())
	f.selectorMu.Unlock()
	if !probe {
		return
	}
	f.metrics.CountEvent("StoreTried")
	err := f.fetch(ctx, f.tables[0])
	f.selectorMu.Lock()
	f.selector.RecordProbe(err == nil)
	f.selectorMu.Unlock()
	if err == nil {
		plan := f.plan()
		f.setReadsStore(plan.ReadStore, plan.Reason)
	}
}

// fetchFromNode requests the changes of all tables from a node and applies them. It returns what the node reported
// about the store and the age of its tables.
func (f *Follower) fetchFromNode(ctx context.Context, node string, hold time.Duration) (kernel.SourceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, f.callTimeout+hold)
	defer cancel()
	// A slow answer may be one that many nodes wait for, or a large one on a slow link. Reading the store meanwhile
	// lets this node learn in time which endpoints are leaving.
	slowTimer := time.AfterFunc(peerIdleTimeout+hold, func() { f.setReadsStore(true, "the reader's answer is slow") })
	defer slowTimer.Stop()
	request := peer.Feed{After: map[string]uint64{}, Unpacks: true, Node: f.options.Name, Hold: hold}
	for _, t := range f.tables {
		t.mu.Lock()
		request.After[t.Name], _ = t.replica.Version()
		t.mu.Unlock()
	}
	if f.allTablesKnown() {
		request.ProvenAgo = f.oldestAge()
	}
	sentAt := clock.Now()
	var reply peer.FeedReply
	if err := f.relay.CallWithIdleTimeout(ctx, peerIdleTimeout+hold, node, peer.KindFeed, request, &reply); err != nil {
		f.recordFailure(node, "", err)
		return kernel.SourceAnswer{}, err
	}
	receivedAt := clock.Now()
	answer := kernel.SourceAnswer{StoreLost: reply.Lost}
	for _, t := range f.tables {
		delta, ok := reply.Tables[t.Name]
		if !ok && !t.IgnoreAge {
			answer.Age = f.options.MaxAge + 1
		}
		if !ok {
			continue
		}
		if !t.IgnoreAge {
			answer.Age = max(answer.Age, delta.Age)
		}
		startedAt := clock.Now()
		size, err := unpack(reply, t.Name)
		if err != nil {
			return kernel.SourceAnswer{}, err
		}
		t.mu.Lock()
		if version, _ := t.replica.Version(); delta.Version >= version {
			changes := t.replica.ApplyDelta(sentAt, delta)
			t.Apply(t.replica.ProvenAt(), changes)
		}
		t.mu.Unlock()
		f.recordAnswer(answerStats{
			table: t.Name, source: node, version: delta.Version, size: size,
			elapsed: receivedAt.Sub(sentAt), applied: clock.Now().Sub(startedAt),
		})
	}
	f.updates.Broadcast()
	return answer, nil
}
