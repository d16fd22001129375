package table

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
)

const leasePrefix = "leases/"

// Lease returns a pool's lease and the row's version; zero values if there is none yet.
func (s *Store) Lease(ctx context.Context, pool string) (kernel.Lease, uint64, error) {
	var lease kernel.Lease
	row, err := s.Get(ctx, leasePrefix+pool)
	if errors.Is(err, ErrNotFound) {
		return lease, 0, nil
	}
	if err != nil {
		return lease, 0, err
	}
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		return lease, 0, errors.Wrap(err, "table: unable to decode a lease")
	}
	return lease, row.Version, nil
}

// CompareAndSwapLease writes a lease if the row still has the version that was read. A lost answer is
// resolved by the writer's number.
func (s *Store) CompareAndSwapLease(ctx context.Context, pool string, version uint64, next kernel.Lease) (uint64, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "table: unable to encode a lease")
	}
	committed, err := s.Commit(ctx, Transaction{
		Conditions: []Condition{{Key: leasePrefix + pool, Version: version}},
		Writes:     []Write{{Key: leasePrefix + pool, Value: value}},
	})
	if !errors.Is(err, ErrUnknown) {
		return committed, err
	}
	lease, seen, readErr := s.Lease(ctx, pool)
	if readErr == nil && lease.Writer == next.Writer {
		return seen, nil
	}
	return 0, err
}
