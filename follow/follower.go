// Package follow keeps copies of tables of the platform's store. One node of each failure domain
// reads the store; the others ask that node, or where it knows no more than they do the next ones,
// as kernel.Reading decides. So the store is asked by few, also while it does not answer, and a node that
// it turns away goes on knowing what others know, with the age of its proof.
package follow

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/relay"
)

const (
	// roleCheckInterval is how often a node that need not read the store looks whether it must.
	roleCheckInterval = 250 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a question without an answer; each is twice
	// the one before, and shorter or longer by up to retryJitter of it. Few nodes ask a store that is away, so
	// they may ask often, and all others learn of its return from them.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 300 * time.Millisecond
	retryJitter   = 0.25
	// maxInitialRetryPause is the greatest such pause of a node that does not know any other yet: after a common start
	// without the store, all nodes are such.
	maxInitialRetryPause = 1200 * time.Millisecond
)

var (
	// ErrHistoryGone is returned by a store that no longer knows what changed since a version.
	ErrHistoryGone = errors.New("follow: the store's history is gone")
	// ErrTooLong is returned for an answer that is longer than what is read at once.
	ErrTooLong = errors.New("follow: the store's answer is too long")
)

type (
	// Options are what a follower is told at its start.
	Options struct {
		// Name is the node's.
		Name   string
		Domain string
		// MaxAge is how old another node's proof may be before the store is asked as well.
		MaxAge time.Duration
	}

	// Follower follows tables.
	Follower struct {
		options Options
		store   Store
		relay   *relay.Relay
		log     zerolog.Logger
		metrics *metric.Set
		tables  []*followedTable
		packer  *packer
		// reads is true while this node reads the store.
		readsStore atomic.Bool
		// deciding guards reading.
		selectorMu sync.Mutex
		selector   *kernel.SourceSelector
		// settled decides once, as soon as all tables are known, whether this node goes on to read.
		decideOnce sync.Once
		// decided is true from then on: undated tables are read by those that go on to read only.
		decided atomic.Bool
		// news tells of each answer about the tables.
		updates *broadcaster
		// callTimeout is how long another node's answer is waited for. It belongs to the goroutine that asks them.
		callTimeout time.Duration
		// failureLoggedAt is when an answer that was given up was last logged, on the clock of Now in nanoseconds.
		failureLoggedAt atomic.Int64
	}

	// followed is a table with what is known of it.
	followedTable struct {
		Table
		mu      sync.Mutex
		replica *kernel.Replica
		// down is true while the store does not answer for the table.
		down atomic.Bool
	}
)

// NewFollower follows tables until ctx ends.
func NewFollower(ctx context.Context, options Options, store Store, r *relay.Relay, tables []Table, metrics *metric.Set, log zerolog.Logger) *Follower {
	f := &Follower{options: options, store: store, relay: r, log: log, metrics: metrics, packer: newPacker(), updates: newBroadcaster(), callTimeout: options.MaxAge}
	f.selector = kernel.NewSourceSelector(options.Name, options.Domain, options.MaxAge)
	f.readsStore.Store(true)
	for _, t := range tables {
		f.tables = append(f.tables, &followedTable{Table: t, replica: kernel.NewReplica()})
	}
	for _, t := range f.tables {
		go func() {
			f.readLoop(ctx, t)
		}()
	}
	go func() {
		for pause := peerPollInterval; clock.Sleep(ctx, pause); {
			pause = f.pollPeers(ctx)
		}
	}()
	return f
}

// allTablesKnown tells whether all tables were read, but for undated ones.
func (f *Follower) allTablesKnown() bool {
	for _, t := range f.tables {
		if t.IgnoreAge {
			continue
		}
		t.mu.Lock()
		_, known := t.replica.Version()
		t.mu.Unlock()
		if !known {
			return false
		}
	}
	return true
}

// oldestAge returns the greatest age of the proofs of all tables.
func (f *Follower) oldestAge() time.Duration {
	now := clock.Now()
	oldest := time.Duration(0)
	for _, t := range f.tables {
		if t.IgnoreAge {
			continue
		}
		t.mu.Lock()
		oldest = max(oldest, now.Sub(t.replica.ProvenAt()))
		t.mu.Unlock()
	}
	return oldest
}

// lost tells whether this node reads the store and gets no answer.
func (f *Follower) storeLost() bool {
	if !f.readsStore.Load() {
		return false
	}
	for _, t := range f.tables {
		if t.down.Load() {
			return true
		}
	}
	return false
}

func (f *Follower) clearDown() {
	for _, t := range f.tables {
		t.down.Store(false)
	}
}

func (f *Follower) setReadsStore(reads bool, why string) {
	if !reads {
		// What the store did not answer then says nothing of the next time that it is asked.
		f.clearDown()
	}
	if f.readsStore.Swap(reads) != reads {
		f.log.Info().Bool("Reads", reads).Str("Why", why).Msg("reading of the store changed")
	}
}

// Reads tells whether this node reads the store itself.
func (f *Follower) ReadsStore() bool {
	return f.readsStore.Load()
}

// isStale tells whether the store does not answer this node and what it knows is too old for others.
func (f *Follower) isStale() bool {
	return f.storeLost() && (!f.allTablesKnown() || f.oldestAge() > f.options.MaxAge)
}

// Answer answers another node's question for what is known here. Where that is little, the answer waits for
// news as long as the question allows.
func (f *Follower) HandleFeed(ctx context.Context, body []byte) (any, error) {
	var question peer.Feed
	if err := peer.DecodeBody(body, &question); err != nil {
		return nil, err
	}
	if question.Node != "" && question.ProvenAgo > 0 && f.storeLost() && f.oldestAge() > question.ProvenAgo {
		f.selectorMu.Lock()
		f.selector.RecordFresherNode(clock.Now(), question.Node)
		f.selectorMu.Unlock()
	}
	if question.Hold > 0 && f.isStale() {
		f.updates.Await(ctx, min(question.Hold, sourceLongPoll), func() bool { return !f.isStale() })
	}
	reply := peer.FeedReply{Tables: map[string]kernel.Delta{}, Lost: f.storeLost()}
	now := clock.Now()
	for _, t := range f.tables {
		t.mu.Lock()
		if d, known := t.replica.Since(now, question.After[t.Name]); known {
			reply.Tables[t.Name] = d
		}
		t.mu.Unlock()
	}
	if !question.Unpacks {
		return reply, nil
	}
	if err := f.packer.pack(&reply); err != nil {
		return nil, err
	}
	return reply, nil
}
