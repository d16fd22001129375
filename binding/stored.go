package binding

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
)

const (
	// storerPatience is how long a registrar waits before it stores records whose storer does not answer any more.
	storerPatience = 1500 * time.Millisecond
	// maxRecordsPerRow keeps a row below the platform's limit of 64 KiB, at 60 bytes a record.
	maxRecordsPerRow = 700
	// maxRemovalsPerWrite bounds the rows that a write removes.
	maxRemovalsPerWrite = 50
	// removalInterval is the minimum interval between writes that only remove rows.
	removalInterval = 30 * time.Second
	// overtakingPrefix begins the keys of the rows of records that overtake others. Few streams have one.
	overtakingPrefix = "overtaking/"
)

var (
	errNotStored  = errors.New("binding: the store has not taken the record in time")
	errUnreadable = errors.New("binding: a row of records can't be read, or there is no room for it")
)

type (
	// storedRecords writes the records of a registrar to the store and reads those of others.
	storedRecords struct {
		agent  *Agent
		outbox *outbox
		// prefix begins the keys of the rows, and is followed by writer, which is unique to this process.
		prefix string
		writer string

		mu sync.Mutex
		// waiting are records that this node is to write.
		waiting []waitingRecord
		// backups are records that another registrar writes, or this node if that one is lost.
		backups []backup
		rows    int
		// removeAt holds when each row in the store that this node knows of is to be removed, by key.
		removeAt  map[string]time.Time
		removedAt time.Time
		loadedAt  time.Time
	}

	// waitingRecord is a record that is to be written. stored is closed once the store has it; nil if nobody waits for that.
	waitingRecord struct {
		kernel.BindingRecord
		stored chan struct{}
	}

	// backup is a record that the node storer writes.
	backup struct {
		record   kernel.BindingRecord
		storer   string
		queuedAt time.Time
	}
)

func newStoredRecords(a *Agent, prefix string, pacer kernel.Pacer) *storedRecords {
	s := &storedRecords{agent: a, prefix: prefix, writer: fmt.Sprintf("%s/%x", a.name, a.now().UnixNano()), removeAt: map[string]time.Time{}}
	s.outbox = newOutbox(a.ctx, a.now, storeCoalesceTime, pacer, func() time.Duration { return a.registrars().StoreFlushInterval() }, s.write)
	return s
}

// add queues records that this node writes if store is true, or otherwise if the storer is lost.
func (s *storedRecords) add(store bool, storer string, records []kernel.BindingRecord) {
	now := s.agent.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if store {
		s.queueLocked(waitingRecords(records, nil))
		return
	}
	for _, r := range records {
		if len(s.backups) < maxQueuedRecords {
			s.backups = append(s.backups, backup{record: r, storer: storer, queuedAt: now})
		}
	}
}

// store writes records to the store, and returns once it has them.
func (s *storedRecords) store(ctx context.Context, records []kernel.BindingRecord) error {
	stored := make([]chan struct{}, len(records))
	for i := range stored {
		stored[i] = make(chan struct{})
	}
	s.mu.Lock()
	s.queueLocked(waitingRecords(records, stored))
	s.mu.Unlock()
	for _, done := range stored {
		select {
		case <-done:
		case <-ctx.Done():
			return errNotStored
		}
	}
	return nil
}

// waitingRecords returns records to be queued. stored is nil, or has a channel for each.
func waitingRecords(records []kernel.BindingRecord, stored []chan struct{}) []waitingRecord {
	out := make([]waitingRecord, len(records))
	for i, r := range records {
		out[i].BindingRecord = r
		if stored != nil {
			out[i].stored = stored[i]
		}
	}
	return out
}

// queueLocked queues records to be written.
func (s *storedRecords) queueLocked(records []waitingRecord) {
	room := max(0, maxQueuedRecords-len(s.waiting))
	if room < len(records) {
		s.agent.metrics.CountEvent("BindingNotStored")
		records = records[:room]
	}
	s.waiting = append(s.waiting, records...)
	s.outbox.wake()
}

// write writes one row of records and removes expired rows. Records that could not be written wait for the next write.
func (s *storedRecords) write() {
	now := s.agent.now()
	s.mu.Lock()
	s.waiting = slices.DeleteFunc(s.waiting, func(r waitingRecord) bool { return !now.Before(r.ExpiresAt) })
	waiting := slices.Clone(s.waiting[:min(len(s.waiting), maxRecordsPerRow)])
	s.waiting = s.waiting[len(waiting):]
	records := make([]kernel.BindingRecord, len(waiting))
	for i, r := range waiting {
		records[i] = r.BindingRecord
	}
	remove := s.expiredLocked(now)
	s.rows++
	key := fmt.Sprintf("%s%s/%08x", s.prefix, s.writer, s.rows)
	s.mu.Unlock()
	if len(records)+len(remove) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(s.agent.ctx, storeTimeout)
	defer cancel()
	err := s.agent.deps.WriteRecords(ctx, key, s.agent.encode(records), remove)
	s.mu.Lock()
	if err == nil {
		s.removedAt = now
		for _, removed := range remove {
			delete(s.removeAt, removed)
		}
		for _, r := range waiting {
			if r.stored != nil {
				close(r.stored)
			}
		}
	} else {
		s.queueLocked(waiting)
	}
	if len(records) > 0 {
		// The store may have written the row without an answer.
		s.removeAt[key] = s.removalTime(records)
	}
	more := len(s.waiting) > 0
	s.mu.Unlock()
	if err != nil {
		s.agent.metrics.CountEvent("BindingWriteFailed")
		clock.Sleep(s.agent.ctx, storeTimeout)
	}
	if more {
		s.outbox.wake()
	}
}

// removalTime returns when a row of records may be removed. Those that overtake others outlast them.
func (s *storedRecords) removalTime(records []kernel.BindingRecord) time.Time {
	latest := records[0].ExpiresAt
	for _, r := range records {
		if r.ExpiresAt.After(latest) {
			latest = r.ExpiresAt
		}
	}
	if s.prefix == overtakingPrefix {
		return latest.Add(kernel.MaxStreamLife)
	}
	return latest
}

// expiredLocked returns the keys of rows whose records have all expired, at most maxRemovalsPerWrite.
func (s *storedRecords) expiredLocked(now time.Time) []string {
	var out []string
	for key, at := range s.removeAt {
		if len(out) == maxRemovalsPerWrite {
			break
		}
		if !now.Before(at) {
			out = append(out, key)
		}
	}
	return out
}

// sweep queues the records of lost storers, and has expired rows removed now and then.
func (s *storedRecords) sweep() {
	now := s.agent.now()
	var reachable []string
	for _, p := range s.agent.deps.Peers() {
		reachable = append(reachable, p.Name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	due := 0
	for due < len(s.backups) && now.Sub(s.backups[due].queuedAt) >= storerPatience {
		if b := s.backups[due]; !slices.Contains(reachable, b.storer) {
			s.queueLocked([]waitingRecord{{BindingRecord: b.record}})
		}
		due++
	}
	s.backups = s.backups[due:]
	if now.Sub(s.removedAt) >= removalInterval && len(s.expiredLocked(now)) > 0 {
		s.outbox.wake()
	}
}

// ensureLoaded reads the records in the store unless this node has done so within loadInterval before.
func (s *storedRecords) ensureLoaded(ctx context.Context) error {
	s.mu.Lock()
	recent := !s.loadedAt.IsZero() && s.agent.now().Sub(s.loadedAt) < loadInterval
	s.mu.Unlock()
	if recent {
		return nil
	}
	_, err := s.agent.loadRecords.Do(ctx)
	return err
}

// load reads the records in the store. Rows that another process has written are removed by it, or by this node if they are
// still there when their records have expired. It fails if a record that overtakes others is not known then.
func (s *storedRecords) load(ctx context.Context) ([]kernel.VersionChange, error) {
	startedAt := s.agent.now()
	rows, err := s.agent.deps.ReadRecords(ctx, s.prefix)
	if err != nil {
		s.agent.metrics.CountEvent("BindingReadFailed")
		return nil, err
	}
	s.agent.metrics.CountEvent("BindingsRead")
	complete := true
	for _, encoded := range rows {
		complete = complete && len(encoded) > 0
		for _, r := range s.agent.decode(encoded) {
			complete = s.agent.add(r) && complete
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadedAt = startedAt
	for key := range rows {
		if _, known := s.removeAt[key]; !known && strings.HasPrefix(key, overtakingPrefix) == (s.prefix == overtakingPrefix) {
			s.removeAt[key] = startedAt.Add(2 * kernel.MaxStreamLife)
		}
	}
	if s.prefix == overtakingPrefix && !complete {
		return nil, errUnreadable
	}
	return nil, nil
}
