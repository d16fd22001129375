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
	// peerPollInterval is how often another node is asked. It adds to the age of what is known.
	peerPollInterval = 500 * time.Millisecond
	// maxPeerSilence is how long nothing may come from a node that was asked. An answer that takes longer
	// while it comes is waited for, in the end up to maxPeerTimeout: what 10 Mbit/s, the slowest links of hosts,
	// take for the largest message.
	maxPeerSilence = 400 * time.Millisecond
	maxPeerTimeout = 7 * time.Second
	// maxSourceAttempts is how many nodes are asked in a row. The last one may hold its answer for sourceLongPoll while
	// it waits for news itself, and the next is asked after a short pause: so the store's return is known at
	// once to all who wait for it.
	maxSourceAttempts = 3
	sourceLongPoll    = 400 * time.Millisecond
	peerRetryInterval = 100 * time.Millisecond
)

// pollPeers asks another node for what it knows of the store, where this node does not read the store itself or
// is not answered by it.
//
// It returns the pause until the next time.
func (f *Follower) pollPeers(ctx context.Context) time.Duration {
	if !f.allTablesKnown() && !f.storeLost() {
		// The whole of each table comes from the store: after a common start, one node would have
		// to answer all others with it.
		return peerPollInterval
	}
	plan := f.plan()
	for try := 0; try < maxSourceAttempts && plan.Source != ""; try++ {
		hold := time.Duration(0)
		if plan.LongPoll || try == maxSourceAttempts-1 {
			hold, try = sourceLongPoll, maxSourceAttempts
		}
		enough := f.querySource(ctx, plan.Source, hold)
		plan = f.plan()
		if enough {
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

// plan asks the kernel what to do next.
func (f *Follower) plan() kernel.SourcePlan {
	f.selectorMu.Lock()
	defer f.selectorMu.Unlock()
	return f.selector.Plan(clock.Now(), f.relay.Reachable(), f.storeLost())
}

// querySource asks a node and tells whether its word is enough.
func (f *Follower) querySource(ctx context.Context, source string, hold time.Duration) bool {
	answer, err := f.fetchFromNode(ctx, source, hold)
	// A node whose answer still comes is not silent, but another one may tell the news sooner.
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

// probeStore asks the store once where no other node could tell anything and it is this node's turn.
func (f *Follower) probeStore(ctx context.Context) {
	f.selectorMu.Lock()
	tries := f.selector.ShouldProbeStore(f.relay.Reachable(), rand.Float64())
	f.selectorMu.Unlock()
	if !tries {
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

// fetchFromNode asks a node for what it knows of all tables, and returns what it said of its own proofs.
func (f *Follower) fetchFromNode(ctx context.Context, node string, hold time.Duration) (kernel.SourceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, f.callTimeout+hold)
	defer cancel()
	// Others wait for the same answer, or a large one comes over a slow link: endpoints that leave are to be
	// known all the same.
	slow := time.AfterFunc(maxPeerSilence+hold, func() { f.setReadsStore(true, "the reader's answer is slow") })
	defer slow.Stop()
	question := peer.Feed{After: map[string]uint64{}, Unpacks: true, Node: f.options.Name, Hold: hold}
	for _, t := range f.tables {
		t.mu.Lock()
		question.After[t.Name], _ = t.replica.Version()
		t.mu.Unlock()
	}
	if f.allTablesKnown() {
		question.ProvenAgo = f.oldestAge()
	}
	asked := clock.Now()
	var reply peer.FeedReply
	if err := f.relay.CallUnlessSilent(ctx, maxPeerSilence+hold, node, peer.KindFeed, question, &reply); err != nil {
		f.recordFailure(node, "", err)
		return kernel.SourceAnswer{}, err
	}
	came := clock.Now()
	answer := kernel.SourceAnswer{StoreLost: reply.Lost}
	for _, t := range f.tables {
		d, ok := reply.Tables[t.Name]
		if !ok && !t.IgnoreAge {
			answer.Age = f.options.MaxAge + 1
		}
		if !ok {
			continue
		}
		if !t.IgnoreAge {
			answer.Age = max(answer.Age, d.Age)
		}
		began := clock.Now()
		size, err := unpack(reply, t.Name)
		if err != nil {
			return kernel.SourceAnswer{}, err
		}
		t.mu.Lock()
		if version, _ := t.replica.Version(); d.Version >= version {
			news := t.replica.ApplyDelta(asked, d)
			t.Apply(t.replica.ProvenAt(), news)
		}
		t.mu.Unlock()
		f.recordAnswer(answerStats{
			table: t.Name, source: node, version: d.Version, size: size,
			elapsed: came.Sub(asked), applied: clock.Now().Sub(began),
		})
	}
	f.updates.Broadcast()
	return answer, nil
}
