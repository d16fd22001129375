package follow

import (
	"context"
	"maps"
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
)

const (
	// MaxWrittenRows is the maximum number of rows in a write, and in a request to another node.
	MaxWrittenRows = 100
	// maxOutboxRows bounds the rows that wait, some 200 bytes each. Nodes whose rows are dropped write them by themselves.
	maxOutboxRows = 4096
	// maxAnnouncedBytes bounds the key and the value of a row of another node.
	maxAnnouncedBytes = 4 << 10
	// writeInterval is the time between two writes of rows of nodes.
	writeInterval = 100 * time.Millisecond
)

// Outbox holds rows of NodesTable that wait to be written into the store by the node that reads it. The others pass them on
// to the node that they follow. It is safe for concurrent use.
type Outbox struct {
	mu   sync.Mutex
	rows map[string][]byte
}

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox {
	return &Outbox{rows: map[string][]byte{}}
}

// Add adds rows by their keys. A row that waits already is replaced. Rows that are too large or too many are ignored.
func (o *Outbox) Add(rows map[string][]byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, value := range rows {
		if _, waits := o.rows[key]; (waits || len(o.rows) < maxOutboxRows) && len(key)+len(value) <= maxAnnouncedBytes {
			o.rows[key] = value
		}
	}
}

// Take removes and returns up to MaxWrittenRows rows; nil if there are none.
func (o *Outbox) Take() map[string][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.rows) <= MaxWrittenRows {
		taken := o.rows
		o.rows = map[string][]byte{}
		if len(taken) == 0 {
			return nil
		}
		return taken
	}
	taken := make(map[string][]byte, MaxWrittenRows)
	for key, value := range o.rows {
		if len(taken) == MaxWrittenRows {
			break
		}
		taken[key] = value
	}
	maps.DeleteFunc(o.rows, func(key string, _ []byte) bool { return taken[key] != nil })
	return taken
}

// writeAnnounced writes the rows in the outbox into the store while this node reads it, until ctx ends.
func (f *Follower) writeAnnounced(ctx context.Context) {
	for clock.Sleep(ctx, writeInterval) {
		if !f.readsStore.Load() {
			continue
		}
		rows := f.options.Outbox.Take()
		if len(rows) == 0 {
			continue
		}
		if err := f.store.WriteNodes(ctx, rows); err != nil {
			f.metrics.CountEvent("AnnounceFailed")
			f.options.Outbox.Add(rows)
			clock.Sleep(ctx, jittered(maxRetryPause))
		}
	}
}
