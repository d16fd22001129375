package kernel

import (
	"slices"
	"time"
)

const (
	// LeaseDuration is how long a lease is valid after its write was sent.
	LeaseDuration = 6 * time.Second
	// OrderTimeout bounds how long an order to an engine may be in flight.
	OrderTimeout = 2 * time.Second
	// leaseMargin is how long before the end of its lease a holder stops sending orders.
	leaseMargin = 500 * time.Millisecond
	// leaseCandidates is how many members, by rank, may take over the lease of a pool.
	leaseCandidates = 3
)

type (
	// Lease is the table row that names the member that sends orders to the engines of a pool.
	Lease struct {
		Holder Member
		// Number is the fencing number; it grows with each new holder.
		Number uint64
		// Writer is unique to the write.
		Writer string
	}

	// LeaseView is what a node knows of a lease. All its times are of the monotonic clock of the node.
	LeaseView struct {
		Lease Lease
		// Version is the version of the row; it changes with each renewal.
		Version uint64
		// FirstSeen is when the node first saw this version.
		FirstSeen time.Time
		// HeldUntil is set while this node holds the lease: when its last write was sent, plus LeaseDuration.
		HeldUntil time.Time
	}
)

// WithRead returns the view after the row was read.
func (v LeaseView) WithRead(now time.Time, lease Lease, version uint64) LeaseView {
	if version == v.Version && !v.FirstSeen.IsZero() {
		return v
	}
	if lease.Number != v.Lease.Number || lease.Holder != v.Lease.Holder {
		v.HeldUntil = time.Time{}
	}
	v.Lease = lease
	v.Version = version
	v.FirstSeen = now
	return v
}

// WithWrite returns the view after a write by this node took effect. The lease counts from when the write was sent,
// not from when the reply arrived.
func (v LeaseView) WithWrite(now, sent time.Time, lease Lease, version uint64) LeaseView {
	v.Lease = lease
	v.Version = version
	v.FirstSeen = now
	v.HeldUntil = sent.Add(LeaseDuration)
	return v
}

// MayOrder reports whether this node may send an order now. It must be called just before each order.
func (v LeaseView) MayOrder(now time.Time) bool {
	return !v.HeldUntil.IsZero() && now.Before(v.HeldUntil.Add(-leaseMargin))
}

// ShouldRenew reports whether the holder should write the row again to renew the lease: once a third of LeaseDuration
// has passed.
func (v LeaseView) ShouldRenew(now time.Time) bool {
	return v.MayOrder(now) && now.After(v.HeldUntil.Add(-LeaseDuration*2/3))
}

// MayAcquire reports whether the candidate with the given rank may take over the lease: the row has not changed for
// LeaseDuration plus OrderTimeout, so that no order of the previous holder is in flight any more, even if the engines
// ignore fencing numbers. Each further rank waits another LeaseDuration. A pool that never had a lease needs only the
// wait of the rank.
func (v LeaseView) MayAcquire(now time.Time, rank int) bool {
	if v.FirstSeen.IsZero() || v.MayOrder(now) {
		return false
	}
	wait := time.Duration(rank) * LeaseDuration
	if v.Lease.Number > 0 {
		wait += LeaseDuration + OrderTimeout
	}
	return now.Sub(v.FirstSeen) >= wait
}

// LeaseRank returns the rank of a member among the candidates for the lease of a pool. It returns false for all other
// members, which need not read the row.
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
