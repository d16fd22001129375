package kernel

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"
)

const (
	// streamKeyBytes is the length of the hash in a StreamKey. Callers choose the IDs, so it has to resist crafted collisions.
	streamKeyBytes = 12
	// maxBindings is the maximum number of bindings that a node keeps, some 280 bytes each.
	maxBindings = 40_000
	// fullSweepInterval is the minimum interval between the looks for expired records where there is no room.
	fullSweepInterval = 200 * time.Millisecond
	// bindingSlack is how long a binding is kept after the deadline of its stream: callers may come back a little late.
	bindingSlack = 5 * time.Second
	// MaxStreamLife bounds how long a stream is known by its binding.
	MaxStreamLife = time.Minute
)

type (
	// Binding is what a stream is bound to from its first event on. What engines of two versions write does not fit together.
	Binding struct {
		Pool    string
		Version string
	}

	// StreamKey identifies a stream over all attempts of its caller. It is empty for a stream without an ID.
	StreamKey string

	// BindingRecord states what a stream is bound to.
	BindingRecord struct {
		Key     StreamKey
		Binding Binding
		// Settled is true once the node that has the caller has passed on the first event: the binding does not change any more.
		Settled bool
		// Order is the time in milliseconds between the receipt of the attempt that began the stream and the choice of the
		// engine. Of several records of a stream that are settled, or of several that are not, the one with the highest order holds.
		Order int64
		// RecordedAt is when the engine was chosen; at other nodes it is late by the transfer of the record. The record is
		// dropped at ExpiresAt, when its stream can no longer be resumed.
		RecordedAt time.Time
		ExpiresAt  time.Time
	}

	// Bindings holds what streams are bound to, as one node knows it. It has at most maxBindings entries. The methods change
	// it in place and must not be called concurrently.
	Bindings struct {
		records map[StreamKey]BindingRecord
		// sweptAt is when expired records were last dropped for want of room.
		sweptAt time.Time
	}
)

// NewStreamKey returns the key of the stream that a customer's attempt with an ID began.
func NewStreamKey(customer, id string) StreamKey {
	if id == "" {
		return ""
	}
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(customer)))
	_, _ = h.Write(length[:])
	_, _ = h.Write([]byte(customer))
	_, _ = h.Write([]byte(id))
	return StreamKey(base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:streamKeyBytes]))
}

// BindingExpiry returns when the binding of a stream with a deadline expires.
func BindingExpiry(now, deadline time.Time) time.Time {
	expiry := deadline.Add(bindingSlack)
	if latest := now.Add(MaxStreamLife); expiry.After(latest) {
		return latest
	}
	return expiry
}

// NewBindings returns Bindings without entries.
func NewBindings() *Bindings {
	return &Bindings{records: map[StreamKey]BindingRecord{}}
}

// Len returns the number of entries, including expired ones.
func (b *Bindings) Len() int {
	return len(b.records)
}

// Add adds a record unless one of the same stream is known that holds in place of it. It reports false if there is no room for it.
func (b *Bindings) Add(now time.Time, r BindingRecord) bool {
	known, exists := b.records[r.Key]
	switch {
	case exists && now.Before(known.ExpiresAt):
		b.records[r.Key] = known.with(r)
		return true
	case !exists && len(b.records) >= maxBindings && !b.makeRoom(now):
		return false
	}
	b.records[r.Key] = r
	return true
}

// with returns the record that holds of two of the same stream.
func (r BindingRecord) with(other BindingRecord) BindingRecord {
	holds, yields := other, r
	if r.Settled != other.Settled && r.Settled || r.Settled == other.Settled && r.Order > other.Order {
		holds, yields = r, other
	}
	if holds.Binding == yields.Binding && yields.ExpiresAt.After(holds.ExpiresAt) {
		// A caller that has taken the stream up may do so again.
		holds.ExpiresAt = yields.ExpiresAt
	}
	return holds
}

// Settle marks the record of a stream as settled, and returns it.
func (b *Bindings) Settle(now time.Time, key StreamKey) (BindingRecord, bool) {
	r, ok := b.Find(now, key)
	if ok {
		r.Settled = true
		b.records[key] = r
	}
	return r, ok
}

// makeRoom drops expired records, and reports whether there is room then. Looking through all of them takes milliseconds.
func (b *Bindings) makeRoom(now time.Time) bool {
	if now.Sub(b.sweptAt) < fullSweepInterval {
		return false
	}
	b.sweptAt = now
	b.Sweep(now)
	return len(b.records) < maxBindings
}

// Find returns the record of a stream.
func (b *Bindings) Find(now time.Time, key StreamKey) (BindingRecord, bool) {
	r, ok := b.records[key]
	if !ok || !now.Before(r.ExpiresAt) {
		return BindingRecord{}, false
	}
	return r, true
}

// Sweep drops expired records.
func (b *Bindings) Sweep(now time.Time) {
	for key, r := range b.records {
		if !now.Before(r.ExpiresAt) {
			delete(b.records, key)
		}
	}
}
