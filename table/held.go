package table

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	heldKey = "quarantine/row"
	// heldTries bounds how often a change is tried again that met another one.
	heldTries = 8
)

// Held returns the requests that are held back, and the version of their row; none if there is no row yet.
func (s *Store) Held(ctx context.Context) ([]kernel.HeldRequest, uint64, error) {
	row, err := s.Get(ctx, heldKey)
	if errors.Is(err, ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var held []kernel.HeldRequest
	if err := json.Unmarshal(row.Value, &held); err != nil {
		return nil, 0, errors.Wrap(err, "table: unable to decode the held requests")
	}
	return held, row.Version, nil
}

// ChangeHeld changes which requests are held back. All are in one row, so that there are never more than a node
// remembers, and the newest come last.
func (s *Store) ChangeHeld(ctx context.Context, change kernel.QuarantineChange) error {
	for range heldTries {
		held, version, err := s.Held(ctx)
		if err != nil {
			return err
		}
		value, err := json.Marshal(change.Apply(held))
		if err != nil {
			return errors.Wrap(err, "table: unable to encode the held requests")
		}
		_, err = s.Commit(ctx, Transaction{
			Conditions: []Condition{{Key: heldKey, Version: version}},
			Writes:     []Write{{Key: heldKey, Value: value}},
		})
		var conflict *Conflict
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return errors.New("table: the held requests change too often")
}

// HeldDifference returns what has changed between two readings of the row.
func HeldDifference(before, after []kernel.HeldRequest) kernel.QuarantineChange {
	var change kernel.QuarantineChange
	find := func(list []kernel.HeldRequest, digest model.Digest) int {
		return slices.IndexFunc(list, func(h kernel.HeldRequest) bool { return h.Digest == digest })
	}
	for _, h := range after {
		if i := find(before, h.Digest); i < 0 || !before[i].Same(h) {
			change.Hold = append(change.Hold, h)
		}
	}
	for _, h := range before {
		if find(after, h.Digest) < 0 {
			change.Lift = append(change.Lift, h.Digest)
		}
	}
	return change
}
