package table

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	noticesKey = "notices/row"
	// maxNoticesAttempts bounds how often a change is tried again that met another one.
	maxNoticesAttempts = 8
)

// Notices is what nodes tell each other that is to be known to all. It is one row, so that one number tells who has read
// the newest.
type Notices struct {
	// Held are the requests that are held back, the newest last; never more than a node remembers.
	Held []kernel.HeldRequest
	// RateCaps are the endpoints that bound the calls that they take, by their incarnations.
	RateCaps map[string]model.RateCap
}

// Notices returns what is to be known to all, and the version of its row; nothing if there is no row yet.
func (s *Store) Notices(ctx context.Context) (Notices, uint64, error) {
	row, err := s.Get(ctx, noticesKey)
	if errors.Is(err, ErrNotFound) {
		return Notices{}, 0, nil
	}
	if err != nil {
		return Notices{}, 0, err
	}
	var notices Notices
	if err := json.Unmarshal(row.Value, &notices); err != nil {
		return Notices{}, 0, errors.Wrap(err, "table: unable to decode the notices")
	}
	return notices, row.Version, nil
}

// ChangeHeld changes which requests are held back.
func (s *Store) ChangeHeld(ctx context.Context, change kernel.QuarantineChange) error {
	return s.updateNotices(ctx, func(n Notices) Notices {
		n.Held = change.Apply(n.Held)
		return n
	})
}

// ChangeRateCap changes what an endpoint is known to state.
func (s *Store) ChangeRateCap(ctx context.Context, incarnation string, stated model.RateCap) error {
	return s.updateNotices(ctx, func(n Notices) Notices {
		n.RateCaps = maps.Clone(n.RateCaps)
		if n.RateCaps == nil {
			n.RateCaps = map[string]model.RateCap{}
		}
		delete(n.RateCaps, incarnation)
		if stated.Stated {
			n.RateCaps[incarnation] = stated
		}
		return n
	})
}

func (s *Store) updateNotices(ctx context.Context, change func(Notices) Notices) error {
	for range maxNoticesAttempts {
		notices, version, err := s.Notices(ctx)
		if err != nil {
			return err
		}
		value, err := json.Marshal(change(notices))
		if err != nil {
			return errors.Wrap(err, "table: unable to encode the notices")
		}
		_, err = s.Commit(ctx, Transaction{
			Conditions: []Condition{{Key: noticesKey, Version: version}},
			Writes:     []Write{{Key: noticesKey, Value: value}},
		})
		var conflict *Conflict
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return errors.New("table: the notices change too often")
}

// DiffRateCaps returns what has changed between two readings of the row, by the incarnations of endpoints.
func DiffRateCaps(before, after map[string]model.RateCap) map[string]model.RateCap {
	change := map[string]model.RateCap{}
	for incarnation, stated := range after {
		if before[incarnation] != stated {
			change[incarnation] = stated
		}
	}
	for incarnation := range before {
		if _, still := after[incarnation]; !still {
			change[incarnation] = model.RateCap{}
		}
	}
	return change
}

// DiffHeld returns what has changed between two readings of the row.
func DiffHeld(before, after []kernel.HeldRequest) kernel.QuarantineChange {
	var change kernel.QuarantineChange
	find := func(list []kernel.HeldRequest, digest model.Digest) int {
		return slices.IndexFunc(list, func(h kernel.HeldRequest) bool { return h.Digest == digest })
	}
	for _, h := range after {
		if i := find(before, h.Digest); i < 0 || !before[i].Equal(h) {
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
