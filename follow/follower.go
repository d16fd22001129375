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
	// idlePause is how often a node that need not read the store looks whether it must.
	idlePause = 250 * time.Millisecond
	// retryFirst and retryMost bound the pause after a question without an answer; each is twice
	// the one before, and shorter or longer by up to retryJitter of it. Few nodes ask a store that is away, so
	// they may ask often, and all others learn of its return from them.
	retryFirst  = 150 * time.Millisecond
	retryMost   = 300 * time.Millisecond
	retryJitter = 0.25
	// retryAlone is the greatest such pause of a node that does not know any other yet: after a common start
	// without the store, all nodes are such.
	retryAlone = 1200 * time.Millisecond
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
		// MostAge is how old another node's proof may be before the store is asked as well.
		MostAge time.Duration
	}

	// Follower follows tables.
	Follower struct {
		options Options
		store   Store
		relay   *relay.Relay
		log     zerolog.Logger
		metrics *metric.Set
		tables  []*followed
		packer  *packer
		// reads is true while this node reads the store.
		reads atomic.Bool
		// deciding guards reading.
		deciding sync.Mutex
		reading  *kernel.SourceSelector
		// settled decides once, as soon as all tables are known, whether this node goes on to read.
		settled sync.Once
		// decided is true from then on: undated tables are read by those that go on to read only.
		decided atomic.Bool
		// news tells of each answer about the tables.
		news *news
		// callTimeout is how long another node's answer is waited for. It belongs to the goroutine that asks them.
		callTimeout time.Duration
		// givenUpAt is when an answer that was given up was last logged, on the clock of Now in nanoseconds.
		givenUpAt atomic.Int64
	}

	// followed is a table with what is known of it.
	followed struct {
		Table
		mu      sync.Mutex
		replica *kernel.Replica
		// down is true while the store does not answer for the table.
		down atomic.Bool
	}
)

// NewFollower follows tables until ctx ends.
func NewFollower(ctx context.Context, options Options, store Store, r *relay.Relay, tables []Table, metrics *metric.Set, log zerolog.Logger) *Follower {
	f := &Follower{options: options, store: store, relay: r, log: log, metrics: metrics, packer: newPacker(), news: newNews(), callTimeout: options.MostAge}
	f.reading = kernel.NewSourceSelector(options.Name, options.Domain, options.MostAge)
	f.reads.Store(true)
	for _, t := range tables {
		f.tables = append(f.tables, &followed{Table: t, replica: kernel.NewReplica()})
	}
	for _, t := range f.tables {
		go func() {
			f.read(ctx, t)
		}()
	}
	go func() {
		for pause := peerEvery; clock.Sleep(ctx, pause); {
			pause = f.askPeer(ctx)
		}
	}()
	return f
}

// knowsAll tells whether all tables were read, but for undated ones.
func (f *Follower) knowsAll() bool {
	for _, t := range f.tables {
		if t.Undated {
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

// provenAgo returns the greatest age of the proofs of all tables.
func (f *Follower) provenAgo() time.Duration {
	now := clock.Now()
	oldest := time.Duration(0)
	for _, t := range f.tables {
		if t.Undated {
			continue
		}
		t.mu.Lock()
		oldest = max(oldest, now.Sub(t.replica.ProvenAt()))
		t.mu.Unlock()
	}
	return oldest
}

// lost tells whether this node reads the store and gets no answer.
func (f *Follower) lost() bool {
	if !f.reads.Load() {
		return false
	}
	for _, t := range f.tables {
		if t.down.Load() {
			return true
		}
	}
	return false
}

func (f *Follower) forgetDown() {
	for _, t := range f.tables {
		t.down.Store(false)
	}
}

func (f *Follower) setReads(reads bool, why string) {
	if !reads {
		// What the store did not answer then says nothing of the next time that it is asked.
		f.forgetDown()
	}
	if f.reads.Swap(reads) != reads {
		f.log.Info().Bool("Reads", reads).Str("Why", why).Msg("reading of the store changed")
	}
}

// Reads tells whether this node reads the store itself.
func (f *Follower) Reads() bool {
	return f.reads.Load()
}

// knowsLittle tells whether the store does not answer this node and what it knows is too old for others.
func (f *Follower) knowsLittle() bool {
	return f.lost() && (!f.knowsAll() || f.provenAgo() > f.options.MostAge)
}

// Answer answers another node's question for what is known here. Where that is little, the answer waits for
// news as long as the question allows.
func (f *Follower) Answer(ctx context.Context, body []byte) (any, error) {
	var question peer.Feed
	if err := peer.DecodeBody(body, &question); err != nil {
		return nil, err
	}
	if question.Node != "" && question.ProvenAgo > 0 && f.lost() && f.provenAgo() > question.ProvenAgo {
		f.deciding.Lock()
		f.reading.RecordFresherNode(clock.Now(), question.Node)
		f.deciding.Unlock()
	}
	if question.Hold > 0 && f.knowsLittle() {
		f.news.Await(ctx, min(question.Hold, sourceHold), func() bool { return !f.knowsLittle() })
	}
	reply := peer.FeedReply{Tables: map[string]kernel.Delta{}, Lost: f.lost()}
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
