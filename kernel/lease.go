package kernel

import (
	"slices"
	"time"
)

const (
	// LeaseDuration is how long a lease holds after the moment its write was sent.
	LeaseDuration = 6 * time.Second
	// OrderTimeout bounds how long an order may be under way to an engine.
	OrderTimeout = 2 * time.Second
	// leaseMargin is what a holder keeps clear of the end of its lease.
	leaseMargin = 500 * time.Millisecond
	// leaseCandidates is how many members stand by for a pool's lease.
	leaseCandidates = 3
)

type (
	// Lease is the row that says who gives orders to a pool's engines.
	Lease struct {
		Holder Member
		// Number is the fencing number; it grows with each new holder.
		Number uint64
		// Writer is unique to the write.
		Writer string
	}

	// LeaseView is what a node knows of a lease, by its own monotonic clock alone.
	LeaseView struct {
		Lease Lease
		// Version is the row's; it changes with each renewal.
		Version uint64
		// Since is when this version was first seen.
		FirstSeen time.Time
		// HeldUntil is set while this node holds the lease: the moment its last write was
		// sent plus the length of a lease.
		HeldUntil time.Time
	}
)

// WithRead returns the watch after the row was read.
func (w LeaseView) WithRead(now time.Time, lease Lease, version uint64) LeaseView {
	if version == w.Version && !w.FirstSeen.IsZero() {
		return w
	}
	if lease.Number != w.Lease.Number || lease.Holder != w.Lease.Holder {
		w.HeldUntil = time.Time{}
	}
	w.Lease = lease
	w.Version = version
	w.FirstSeen = now
	return w
}

// WithWrite returns the watch after this node's write took effect. What counts is when it
// was sent, not when the answer came.
func (w LeaseView) WithWrite(now, sent time.Time, lease Lease, version uint64) LeaseView {
	w.Lease = lease
	w.Version = version
	w.FirstSeen = now
	w.HeldUntil = sent.Add(LeaseDuration)
	return w
}

// MayOrder tells whether this node may send an order now. It is asked just before each order.
func (w LeaseView) MayOrder(now time.Time) bool {
	return !w.HeldUntil.IsZero() && now.Before(w.HeldUntil.Add(-leaseMargin))
}

// ShouldRenew tells whether the holder should write the row again.
func (w LeaseView) ShouldRenew(now time.Time) bool {
	return w.MayOrder(now) && now.After(w.HeldUntil.Add(-LeaseDuration*2/3))
}

// MayAcquire tells whether a node that stands by at a rank may take the lease: the row has not
// changed for a lease and the longest order, so that whatever the old holder sent is over,
// even if its engines ignore fencing numbers.
func (w LeaseView) MayAcquire(now time.Time, rank int) bool {
	if w.FirstSeen.IsZero() || w.MayOrder(now) {
		return false
	}
	wait := time.Duration(rank) * LeaseDuration
	if w.Lease.Number > 0 {
		wait += LeaseDuration + OrderTimeout
	}
	return now.Sub(w.FirstSeen) >= wait
}

// LeaseRank returns a member's place among those that stand by for a pool's lease; false for
// all others, who need not read the row.
func LeaseRank(pool string, self Member, alive []Member) (int, bool) {
	ranked := slices.Clone(alive)
	slices.SortFunc(ranked, func(a, b Member) int {
		if rendezvousScore(pool, a.ID()) > rendezvousScore(pool, b.ID()) {
			return -1
		}
		return 1
	})
	rank := slices.IndexFunc(ranked, func(m Member) bool { return m.ID() == self.ID() })
	return rank, rank >= 0 && rank < leaseCandidates
}
