package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
)

// read reads a table from the store for as long as this node is to.
func (f *Follower) readLoop(ctx context.Context, t *followedTable) {
	retry := minRetryPause
	for ctx.Err() == nil {
		if !f.readsStore.Load() || t.IgnoreAge && !f.decided.Load() {
			clock.Sleep(ctx, roleCheckInterval)
			continue
		}
		if f.waitForFirstTable(ctx, t) {
			continue
		}
		err := f.fetch(ctx, t)
		f.recordResult(ctx, t, err)
		pause := t.PollInterval
		if err == nil && f.decideRole(ctx) {
			continue
		}
		if err != nil {
			pause = jittered(retry)
			retry = min(2*retry, f.retryPauseLimit())
		} else {
			retry = minRetryPause
		}
		if pause > 0 {
			clock.Sleep(ctx, pause)
		}
	}
}

// settles waits until all tables are known, and then decides whether this node goes on to read. It tells whether
// it did so just now. After a common start each node reads each table once, and few ask again.
func (f *Follower) decideRole(ctx context.Context) bool {
	settled := false
	f.updates.Await(ctx, roleCheckInterval, f.allTablesKnown)
	if f.allTablesKnown() {
		f.decideOnce.Do(func() {
			plan := f.plan()
			f.setReadsStore(plan.ReadStore, plan.Reason)
			f.decided.Store(true)
			settled = true
		})
	}
	return settled
}

// waitForFirstTable waits while the store answers neither for a table nor for the first one, and tells whether it did:
// one question at a time finds out whether the store is back.
func (f *Follower) waitForFirstTable(ctx context.Context, t *followedTable) bool {
	lead := f.tables[0]
	if t == lead || !t.down.Load() || !lead.down.Load() {
		return false
	}
	f.updates.Await(ctx, roleCheckInterval, func() bool { return !lead.down.Load() })
	return true
}

func (f *Follower) retryPauseLimit() time.Duration {
	if f.allTablesKnown() {
		return maxRetryPause
	}
	return maxInitialRetryPause
}

func jittered(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (1 - retryJitter + 2*retryJitter*rand.Float64()))
}

func (f *Follower) fetch(ctx context.Context, t *followedTable) error {
	began := clock.Now()
	t.mu.Lock()
	after, known := t.replica.Version()
	t.mu.Unlock()
	if !known {
		answer, err := f.store.ReadAll(ctx, t.Name)
		if err != nil {
			return err
		}
		f.applyAnswer(t, began, answer, true)
		return nil
	}
	hold := t.Hold
	if t.down.Load() {
		// What is known is already old: an answer is wanted at once.
		hold = 0
	}
	answer, err := f.store.ReadChanges(ctx, t.Name, after, hold)
	// Changes may name a row many times, the table names it once: what has grown too long to tell is read whole.
	if errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrTooLong) {
		f.metrics.CountEvent(fullReadEvent(err))
		f.log.Info().Str("Table", t.Name).Uint64("After", after).Err(err).Msg("reading the whole table")
		if answer, err = f.store.ReadAll(ctx, t.Name); err == nil {
			f.applyAnswer(t, began, answer, true)
		}
		return err
	}
	if err != nil {
		return err
	}
	f.applyAnswer(t, began, answer, false)
	return nil
}

// fullReadEvent names in metrics why a table is read whole.
func fullReadEvent(err error) string {
	if errors.Is(err, ErrTooLong) {
		return "StoreAnswerTooLong"
	}
	return "StoreHistoryGone"
}

// take takes in what the store answered to a question that began at a time.
func (f *Follower) applyAnswer(t *followedTable, began time.Time, answer Answer, whole bool) {
	came := clock.Now()
	t.mu.Lock()
	news := t.replica.Apply(began, answer.Rows, answer.Version, whole)
	t.Apply(t.replica.ProvenAt(), news)
	t.mu.Unlock()
	f.recordAnswer(answerStats{
		table: t.Name, source: fromStore, version: answer.Version, size: answer.Bytes,
		elapsed: came.Sub(began), transfer: answer.Transfer, applied: clock.Now().Sub(came),
	})
}

// note logs when the store stops and begins to answer.
func (f *Follower) recordResult(ctx context.Context, t *followedTable, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.metrics.CountEvent("StoreFailed")
		f.recordFailure(fromStore, t.Name, err)
	}
	was := t.down.Swap(err != nil)
	if err == nil {
		f.updates.Broadcast()
	}
	if was == (err != nil) {
		return
	}
	t.mu.Lock()
	version, _ := t.replica.Version()
	t.mu.Unlock()
	if err != nil {
		f.log.Warn().Str("Table", t.Name).Uint64("Version", version).Err(err).Msg("store lost")
		return
	}
	f.log.Info().Str("Table", t.Name).Uint64("Version", version).Msg("store back")
}
