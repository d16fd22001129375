package follow

import (
	"context"
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
	// awayMemory is how long a node that the store does not answer is passed over before it is
	// asked again, and sourceTries how many nodes are asked in a row.
	awayMemory  = time.Second
	sourceTries = 3
)

var errSourceLost = errors.New("follow: the store does not answer the reader")

// askPeer asks the node that reads the store for this one. This node reads the store itself where
// it is that node, or where the answer does not come or is old.
func (f *Follower) askPeer(ctx context.Context) {
	if !f.knowsAll() && !f.lost() {
		// The whole of each table comes from the store: after a common start, one node would have
		// to answer all others with it.
		return
	}
	for range sourceTries {
		source, own := kernel.Reader(f.options.Name, f.options.Domain, f.relay.Reachable(), f.lost(), f.awayNow())
		if source == "" {
			f.setReads(true, "this node reads for its failure domain")
			return
		}
		age, err := f.askNode(ctx, source)
		// A node whose answer still comes is not silent, but another one may tell the news sooner.
		slow := errors.Is(err, context.DeadlineExceeded)
		f.patience = kernel.Patience(f.patience, f.options.MostAge, peerMost, !slow)
		if slow || errors.Is(err, errSourceLost) {
			f.away[source] = clock.Now().Add(awayMemory)
			continue
		}
		f.decide(source, own, age, err)
		return
	}
	f.setReads(true, "the store does not answer the readers")
}

// decide takes in what the reader said, or that it did not.
func (f *Follower) decide(source string, own bool, age time.Duration, err error) {
	if err != nil {
		f.metrics.Event("ReaderFailed")
		f.relay.Suspect(source, err)
	}
	switch {
	case own:
		f.setReads(true, "this node reads for its failure domain")
	case err != nil:
		f.setReads(true, "the reader does not answer")
	case age > f.options.MostAge:
		f.setReads(true, "the reader's word is old")
	default:
		f.setReads(false, source+" reads for this node")
	}
}

// awayNow returns the nodes that are passed over, and forgets the others.
func (f *Follower) awayNow() map[string]bool {
	out := map[string]bool{}
	for name, until := range f.away {
		if clock.Now().After(until) {
			delete(f.away, name)
			continue
		}
		out[name] = true
	}
	return out
}

// askNode asks a node for what it knows of all tables; it returns the greatest age of its proofs.
func (f *Follower) askNode(ctx context.Context, node string) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, f.patience)
	defer cancel()
	// Others wait for the same answer, or a large one comes over a slow link: endpoints that leave are to be
	// known all the same.
	slow := time.AfterFunc(peerSilence, func() { f.setReads(true, "the reader's answer is slow") })
	defer slow.Stop()
	question := peer.Feed{After: map[string]uint64{}, Unpacks: true}
	for _, t := range f.tables {
		t.mu.Lock()
		question.After[t.Name], _ = t.mirror.Known()
		t.mu.Unlock()
	}
	asked := clock.Now()
	var reply peer.FeedReply
	if err := f.relay.Ask(ctx, peerSilence, node, peer.KindFeed, question, &reply); err != nil {
		f.noteGivenUp(node, "", err)
		return 0, err
	}
	came := clock.Now()
	if reply.Lost {
		return 0, errSourceLost
	}
	oldest := time.Duration(0)
	for _, t := range f.tables {
		d, ok := reply.Tables[t.Name]
		if !ok {
			return f.options.MostAge + 1, nil
		}
		oldest = max(oldest, d.Age)
		began := clock.Now()
		size, err := unpack(reply, t.Name)
		if err != nil {
			return 0, err
		}
		t.mu.Lock()
		if version, _ := t.mirror.Known(); d.Version >= version {
			news := t.mirror.TakeDelta(asked, d)
			t.Apply(t.mirror.ProvenAt(), news)
		}
		t.mu.Unlock()
		f.noteTaken(taken{
			table: t.Name, from: node, version: d.Version, size: size,
			elapsed: came.Sub(asked), applied: clock.Now().Sub(began),
		})
	}
	return oldest, nil
}
