// Package follow keeps copies of tables of the platform's store. One node of each failure domain
// reads the store; the others ask that node, and the store itself where it does not answer or its
// word is old. So the store is asked by few, and a node that the store turns away goes on knowing
// what others know, with the age of its proof.
package follow

import (
	"context"
	"fmt"
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
	// the one before.
	retryFirst = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
)

var (
	// ErrHistoryGone is returned by a store that no longer knows what changed since a version.
	ErrHistoryGone = errors.New("follow: the store's history is gone")
	// ErrTooLong is returned for an answer that is longer than what is read at once.
	ErrTooLong = errors.New("follow: the store's answer is too long")
)

type (
	// Table is a table to follow. Its functions are called by one goroutine at a time.
	Table struct {
		Name string
		// Hold is how long the store may hold a question for changes; Pause is the time between
		// two questions.
		Hold  time.Duration
		Pause time.Duration
		// Apply takes in what is news, and the time at which the table was last proven current.
		Apply func(provenAt time.Time, news []kernel.Row)
	}

	// Store is how the platform's store is read.
	Store struct {
		// Whole returns all rows of a table and the version that they are of.
		Whole func(ctx context.Context, table string) (Answer, error)
		// Changes returns what changed after a version, waiting for the first change.
		Changes func(ctx context.Context, table string, after uint64, hold time.Duration) (Answer, error)
	}

	// Answer is what the store answered about a table.
	Answer struct {
		Rows []kernel.Row
		// Version is what the table is known at.
		Version uint64
		// Bytes is the answer's size, and Transfer how long it took from its first byte on.
		Bytes    int64
		Transfer time.Duration
	}

	// CutError is the error of an answer that did not come whole.
	CutError struct {
		// Received is how many bytes had come, and Transfer in which time.
		Received int64
		Transfer time.Duration
		Err      error
	}

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
		// away holds until when nodes are passed over. It belongs to the goroutine that asks them.
		away map[string]time.Time
		// patience is how long another node's answer is waited for. It belongs to that goroutine, too.
		patience time.Duration
		// givenUpAt is when an answer that was given up was last logged, on the clock of Now in nanoseconds.
		givenUpAt atomic.Int64
	}

	// followed is a table with what is known of it.
	followed struct {
		Table
		mu     sync.Mutex
		mirror *kernel.Mirror
		// down is true while the store does not answer for the table.
		down atomic.Bool
	}
)

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("follow: the answer broke off after %d bytes: %v", e.Received, e.Err)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error {
	return e.Err
}

// NewFollower follows tables until ctx ends.
func NewFollower(ctx context.Context, options Options, store Store, r *relay.Relay, tables []Table, metrics *metric.Set, log zerolog.Logger) *Follower {
	f := &Follower{options: options, store: store, relay: r, log: log, metrics: metrics, packer: newPacker(), away: map[string]time.Time{}, patience: options.MostAge}
	f.reads.Store(true)
	for _, t := range tables {
		f.tables = append(f.tables, &followed{Table: t, mirror: kernel.NewMirror()})
	}
	for _, t := range f.tables {
		go func() {
			f.read(ctx, t)
		}()
	}
	go func() {
		for clock.Sleep(ctx, peerEvery) {
			f.askPeer(ctx)
		}
	}()
	return f
}

// read reads a table from the store for as long as this node is to.
func (f *Follower) read(ctx context.Context, t *followed) {
	retry := retryFirst
	for ctx.Err() == nil {
		if !f.reads.Load() {
			clock.Sleep(ctx, idlePause)
			continue
		}
		err := f.ask(ctx, t)
		f.note(ctx, t, err)
		pause := t.Pause
		if err != nil {
			pause = retry
			retry = min(2*retry, retryMost)
		} else {
			retry = retryFirst
		}
		if pause > 0 {
			clock.Sleep(ctx, pause)
		}
	}
}

func (f *Follower) ask(ctx context.Context, t *followed) error {
	began := clock.Now()
	t.mu.Lock()
	after, known := t.mirror.Known()
	t.mu.Unlock()
	if !known {
		answer, err := f.store.Whole(ctx, t.Name)
		if err != nil {
			return err
		}
		f.take(t, began, answer, true)
		return nil
	}
	hold := t.Hold
	if t.down.Load() {
		// What is known is already old: an answer is wanted at once.
		hold = 0
	}
	answer, err := f.store.Changes(ctx, t.Name, after, hold)
	// Changes may name a row many times, the table names it once: what has grown too long to tell is read whole.
	if errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrTooLong) {
		f.metrics.Event(wholeReason(err))
		f.log.Info().Str("Table", t.Name).Uint64("After", after).Err(err).Msg("reading the whole table")
		if answer, err = f.store.Whole(ctx, t.Name); err == nil {
			f.take(t, began, answer, true)
		}
		return err
	}
	if err != nil {
		return err
	}
	f.take(t, began, answer, false)
	return nil
}

// wholeReason names in metrics why a table is read whole.
func wholeReason(err error) string {
	if errors.Is(err, ErrTooLong) {
		return "StoreAnswerTooLong"
	}
	return "StoreHistoryGone"
}

// take takes in what the store answered to a question that began at a time.
func (f *Follower) take(t *followed, began time.Time, answer Answer, whole bool) {
	came := clock.Now()
	t.mu.Lock()
	news := t.mirror.Take(began, answer.Rows, answer.Version, whole)
	t.Apply(t.mirror.ProvenAt(), news)
	t.mu.Unlock()
	f.noteTaken(taken{
		table: t.Name, from: fromStore, version: answer.Version, size: answer.Bytes,
		elapsed: came.Sub(began), transfer: answer.Transfer, applied: clock.Now().Sub(came),
	})
}

// note logs when the store stops and begins to answer.
func (f *Follower) note(ctx context.Context, t *followed, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.metrics.Event("StoreFailed")
		f.noteGivenUp(fromStore, t.Name, err)
	}
	if t.down.Swap(err != nil) == (err != nil) {
		return
	}
	t.mu.Lock()
	version, _ := t.mirror.Known()
	t.mu.Unlock()
	if err != nil {
		f.log.Warn().Str("Table", t.Name).Uint64("Version", version).Err(err).Msg("store lost")
		return
	}
	f.log.Info().Str("Table", t.Name).Uint64("Version", version).Msg("store back")
}

// knowsAll tells whether all tables were read.
func (f *Follower) knowsAll() bool {
	for _, t := range f.tables {
		t.mu.Lock()
		_, known := t.mirror.Known()
		t.mu.Unlock()
		if !known {
			return false
		}
	}
	return true
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

func (f *Follower) setReads(reads bool, why string) {
	if f.reads.Swap(reads) != reads {
		f.log.Info().Bool("Reads", reads).Str("Why", why).Msg("reading of the store changed")
	}
}

// Reads tells whether this node reads the store itself.
func (f *Follower) Reads() bool {
	return f.reads.Load()
}

// Answer answers another node's question for what is known here.
func (f *Follower) Answer(_ context.Context, body []byte) (any, error) {
	var question peer.Feed
	if err := peer.DecodeBody(body, &question); err != nil {
		return nil, err
	}
	if f.lost() {
		return peer.FeedReply{Lost: true}, nil
	}
	reply := peer.FeedReply{Tables: map[string]kernel.Delta{}}
	now := clock.Now()
	for _, t := range f.tables {
		t.mu.Lock()
		if d, known := t.mirror.Since(now, question.After[t.Name]); known {
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
