package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
)

// storeOverdue is the time after which a call counts as overdue if the store has not begun to answer it, in addition to the
// time that the store may wait for changes. A healthy store answers in milliseconds.
const storeOverdue = 200 * time.Millisecond

// readLoop reads a table from the store, while this node is to read it, until ctx ends.
func (f *Follower) readLoop(ctx context.Context, t *followedTable) {
	retryPause := minRetryPause
	for ctx.Err() == nil {
		reads := func() bool { return f.reads(t) }
		if !reads() && (!t.Membership || t.known()) {
			f.updates.Await(ctx, roleCheckInterval, reads)
			continue
		}
		if f.waitForFirstTable(ctx, t) {
			continue
		}
		err := f.fetch(ctx, t, f.readWait(t))
		f.recordResult(ctx, t, err)
		pause := t.PollInterval
		if err != nil {
			pause = jittered(retryPause)
			retryPause = min(2*retryPause, f.retryPauseLimit())
		} else {
			retryPause = minRetryPause
		}
		if pause > 0 {
			clock.Sleep(ctx, pause)
		}
	}
}

// readWait returns how long the store may wait before it answers the next request for changes of a table.
func (f *Follower) readWait(t *followedTable) time.Duration {
	if t.IgnoreAge {
		return t.MaxWait
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return kernel.ReadWait(clock.Now(), t.replica.ProvenAt(), t.MaxWait)
}

// waitForFirstTable waits if the store answers requests neither for a table nor for the first table, and reports
// whether it waited. Requests for one table are enough to find out whether the store is back.
func (f *Follower) waitForFirstTable(ctx context.Context, t *followedTable) bool {
	first := f.tables[0]
	if t == first || !t.down.Load() || !first.down.Load() {
		return false
	}
	f.updates.Await(ctx, roleCheckInterval, func() bool { return !first.down.Load() })
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

// fetch reads what changed in a table, or the whole table at first. The store may wait up to maxWait for a change.
func (f *Follower) fetch(ctx context.Context, t *followedTable, maxWait time.Duration) error {
	startedAt := clock.Now()
	t.mu.Lock()
	after, known := t.replica.Version()
	t.mu.Unlock()
	if !known {
		answer, err := f.store.ReadAll(ctx, t.Name)
		if err != nil {
			return err
		}
		f.applyAnswer(t, startedAt, startedAt, answer, true)
		return nil
	}
	if t.down.Load() {
		// The replica is old already: request an immediate answer.
		maxWait = 0
	}
	overdue := time.AfterFunc(maxWait+storeOverdue, func() { f.recordOverdue(t, startedAt) })
	answer, err := f.store.ReadChanges(ctx, t.Name, after, maxWait, func() { overdue.Stop() })
	overdue.Stop()
	// The changes may contain a row many times, the whole table contains it once: if the changes are too large for an
	// answer, the whole table is read.
	if errors.Is(err, ErrHistoryGone) || errors.Is(err, ErrTooLong) {
		f.metrics.CountEvent(fullReadEvent(err))
		f.log.Info().Str("Table", t.Name).Uint64("After", after).Err(err).Msg("reading the whole table")
		if answer, err = f.store.ReadAll(ctx, t.Name); err == nil {
			f.applyAnswer(t, startedAt, startedAt, answer, true)
		}
		return err
	}
	if err != nil {
		f.recordAttempt(t, startedAt)
		return err
	}
	provenAt := startedAt
	if len(answer.Rows) == 0 && clock.Now().Sub(startedAt) >= maxWait {
		// The store has waited for a change, and there was none.
		provenAt = startedAt.Add(maxWait)
	}
	f.applyAnswer(t, startedAt, provenAt, answer, false)
	return nil
}

// recordOverdue records that the store has not begun to answer a call of this node in time. The call is not
// cancelled. Other nodes are notified, and one of them becomes a reader.
func (f *Follower) recordOverdue(t *followedTable, startedAt time.Time) {
	if t.IgnoreAge {
		return
	}
	f.recordAttempt(t, startedAt)
	if t.down.Swap(true) {
		return
	}
	f.metrics.CountEvent("StoreOverdue")
	f.log.Info().Str("Table", t.Name).Dur("Elapsed", clock.Now().Sub(startedAt)).Msg("answer of the store overdue")
	f.updates.Broadcast()
}

// fullReadEvent returns the metrics event for the reason why the whole table is read.
func fullReadEvent(err error) string {
	if errors.Is(err, ErrTooLong) {
		return "StoreAnswerTooLong"
	}
	return "StoreHistoryGone"
}

// applyAnswer applies the store's answer to a request that was sent at startedAt. It proves the table current as of provenAt.
func (f *Follower) applyAnswer(t *followedTable, startedAt, provenAt time.Time, answer Answer, whole bool) {
	receivedAt := clock.Now()
	f.recordProver(fromStore)
	f.change(t, func() ([]kernel.Row, bool) {
		return t.replica.Apply(provenAt, answer.Rows, answer.Version, whole), true
	})
	f.recordAnswer(answerStats{
		table: t.Name, source: fromStore, version: answer.Version, size: answer.Bytes,
		elapsed: receivedAt.Sub(startedAt), transfer: answer.Transfer, applied: clock.Now().Sub(receivedAt),
	})
}

// recordResult records whether the store answered for a table. It logs when the store stops answering and when it
// answers again.
func (f *Follower) recordResult(ctx context.Context, t *followedTable, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.metrics.CountEvent("StoreFailed")
		f.recordFailure(fromStore, t.Name, err)
	}
	wasDown := t.down.Swap(err != nil)
	f.updates.Broadcast()
	if wasDown == (err != nil) {
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
