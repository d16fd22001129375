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
	// peerEvery is how often another node is asked. It adds to the age of what is known.
	peerEvery = 500 * time.Millisecond
	// peerSilence is how long nothing may come from a node that was asked. An answer that takes longer
	// while it comes is waited for, in the end up to peerMost: what 10 Mbit/s, the slowest links of hosts,
	// take for the largest message.
	peerSilence = 400 * time.Millisecond
	peerMost    = 7 * time.Second
	// sourceTries is how many nodes are asked in a row. The last one may hold its answer for sourceHold while
	// it waits for news itself, and the next is asked after a short pause: so the store's return is known at
	// once to all who wait for it.
	sourceTries  = 3
	sourceHold   = 400 * time.Millisecond
	troubleEvery = 100 * time.Millisecond
)

// askPeer asks another node for what it knows of the store, where this node does not read the store itself or
// is not answered by it.
//
// It returns the pause until the next time.
func (f *Follower) askPeer(ctx context.Context) time.Duration {
	if !f.knowsAll() && !f.lost() {
		// The whole of each table comes from the store: after a common start, one node would have
		// to answer all others with it.
		return peerEvery
	}
	plan := f.plan()
	for try := 0; try < sourceTries && plan.Source != ""; try++ {
		hold := time.Duration(0)
		if plan.LongPoll || try == sourceTries-1 {
			hold, try = sourceHold, sourceTries
		}
		enough := f.askSource(ctx, plan.Source, hold)
		plan = f.plan()
		if enough {
			f.setReads(plan.ReadStore, plan.Reason)
			return peerEvery
		}
	}
	f.setReads(plan.ReadStore, plan.Reason)
	if !plan.ReadStore {
		f.tryStore(ctx)
	}
	if plan.Source == "" {
		return peerEvery
	}
	return jittered(troubleEvery)
}

// plan asks the kernel what to do next.
func (f *Follower) plan() kernel.SourcePlan {
	f.deciding.Lock()
	defer f.deciding.Unlock()
	return f.reading.Plan(clock.Now(), f.relay.Reachable(), f.lost())
}

// askSource asks a node and tells whether its word is enough.
func (f *Follower) askSource(ctx context.Context, source string, hold time.Duration) bool {
	answer, err := f.askNode(ctx, source, hold)
	// A node whose answer still comes is not silent, but another one may tell the news sooner.
	answer.TimedOut = errors.Is(err, context.DeadlineExceeded)
	answer.Failed = err != nil && !answer.TimedOut
	f.callTimeout = kernel.CallTimeout(f.callTimeout, f.options.MostAge, peerMost, !answer.TimedOut)
	if answer.Failed {
		f.metrics.Event("ReaderFailed")
		f.relay.Suspect(source, err)
	}
	f.deciding.Lock()
	defer f.deciding.Unlock()
	return f.reading.RecordAnswer(clock.Now(), source, answer)
}

// tryStore asks the store once where no other node could tell anything and it is this node's turn.
func (f *Follower) tryStore(ctx context.Context) {
	f.deciding.Lock()
	tries := f.reading.ShouldProbeStore(f.relay.Reachable(), rand.Float64())
	f.deciding.Unlock()
	if !tries {
		return
	}
	f.metrics.Event("StoreTried")
	err := f.ask(ctx, f.tables[0])
	f.deciding.Lock()
	f.reading.RecordProbe(err == nil)
	f.deciding.Unlock()
	if err == nil {
		plan := f.plan()
		f.setReads(plan.ReadStore, plan.Reason)
	}
}

// askNode asks a node for what it knows of all tables, and returns what it said of its own proofs.
func (f *Follower) askNode(ctx context.Context, node string, hold time.Duration) (kernel.SourceAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, f.callTimeout+hold)
	defer cancel()
	// Others wait for the same answer, or a large one comes over a slow link: endpoints that leave are to be
	// known all the same.
	slow := time.AfterFunc(peerSilence+hold, func() { f.setReads(true, "the reader's answer is slow") })
	defer slow.Stop()
	question := peer.Feed{After: map[string]uint64{}, Unpacks: true, Node: f.options.Name, Hold: hold}
	for _, t := range f.tables {
		t.mu.Lock()
		question.After[t.Name], _ = t.replica.Version()
		t.mu.Unlock()
	}
	if f.knowsAll() {
		question.ProvenAgo = f.provenAgo()
	}
	asked := clock.Now()
	var reply peer.FeedReply
	if err := f.relay.CallUnlessSilent(ctx, peerSilence+hold, node, peer.KindFeed, question, &reply); err != nil {
		f.noteGivenUp(node, "", err)
		return kernel.SourceAnswer{}, err
	}
	came := clock.Now()
	answer := kernel.SourceAnswer{StoreLost: reply.Lost}
	for _, t := range f.tables {
		d, ok := reply.Tables[t.Name]
		if !ok && !t.Undated {
			answer.Age = f.options.MostAge + 1
		}
		if !ok {
			continue
		}
		if !t.Undated {
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
		f.noteTaken(taken{
			table: t.Name, from: node, version: d.Version, size: size,
			elapsed: came.Sub(asked), applied: clock.Now().Sub(began),
		})
	}
	f.news.Tell()
	return answer, nil
}
