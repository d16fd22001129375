// Package follow keeps copies of tables of the platform's store. One node of each failure domain
// reads the store; the others ask that node, or where it knows no more than they do the next ones,
// as kernel.Reading decides. So the store is asked by few, also while it does not answer, and a node that
// it turns away goes on knowing what others know, with the age of its proof.
package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
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
		// deciding guards reading.
		deciding sync.Mutex
		reading  *kernel.Reading
		// settled decides once, as soon as all tables are known, whether this node goes on to read.
		settled sync.Once
		// news tells of each answer about the tables.
		news *news
		// patience is how long another node's answer is waited for. It belongs to the goroutine that asks them.
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
	f := &Follower{options: options, store: store, relay: r, log: log, metrics: metrics, packer: newPacker(), news: newNews(), patience: options.MostAge}
	f.reading = kernel.NewReading(options.Name, options.Domain, options.MostAge)
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
		for pause := peerEvery; clock.Sleep(ctx, pause); {
			pause = f.askPeer(ctx)
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
		if f.waitsForLead(ctx, t) {
			continue
		}
		err := f.ask(ctx, t)
		f.note(ctx, t, err)
		pause := t.Pause
		if err == nil && f.settles(ctx) {
			continue
		}
		if err != nil {
			pause = jittered(retry)
			retry = min(2*retry, f.longestRetry())
		} else {
			retry = retryFirst
		}
		if pause > 0 {
			clock.Sleep(ctx, pause)
		}
	}
}

// settles waits until all tables are known, and then decides whether this node goes on to read. It tells whether
// it did so just now. After a common start each node reads each table once, and few ask again.
func (f *Follower) settles(ctx context.Context) bool {
	settled := false
	f.news.Await(ctx, idlePause, f.knowsAll)
	if f.knowsAll() {
		f.settled.Do(func() {
			plan := f.plan()
			f.setReads(plan.Reads, plan.Why)
			settled = true
		})
	}
	return settled
}

// waitsForLead waits while the store answers neither for a table nor for the first one, and tells whether it did:
// one question at a time finds out whether the store is back.
func (f *Follower) waitsForLead(ctx context.Context, t *followed) bool {
	lead := f.tables[0]
	if t == lead || !t.down.Load() || !lead.down.Load() {
		return false
	}
	f.news.Await(ctx, idlePause, func() bool { return !lead.down.Load() })
	return true
}

func (f *Follower) longestRetry() time.Duration {
	if f.knowsAll() {
		return retryMost
	}
	return retryAlone
}

func jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 - retryJitter + 2*retryJitter*rand.Float64()))
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
	was := t.down.Swap(err != nil)
	if err == nil {
		f.news.Tell()
	}
	if was == (err != nil) {
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

// provenAgo returns the greatest age of the proofs of all tables.
func (f *Follower) provenAgo() time.Duration {
	now := clock.Now()
	oldest := time.Duration(0)
	for _, t := range f.tables {
		t.mu.Lock()
		oldest = max(oldest, now.Sub(t.mirror.ProvenAt()))
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
		f.reading.Heard(clock.Now(), question.Node)
		f.deciding.Unlock()
	}
	if question.Hold > 0 && f.knowsLittle() {
		f.news.Await(ctx, min(question.Hold, sourceHold), func() bool { return !f.knowsLittle() })
	}
	reply := peer.FeedReply{Tables: map[string]kernel.Delta{}, Lost: f.lost()}
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
