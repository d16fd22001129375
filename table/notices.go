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
	// maxNoticesAttempts bounds the attempts of a change that conflicts with other changes.
	maxNoticesAttempts = 8
)

// Notices is the state that all nodes have to know. It is a single row, so that one version number tells which nodes
// have read the newest state.
type Notices struct {
	// Held are the held requests, the newest last, at most as many as a node keeps.
	Held []kernel.HeldRequest
	// RateCaps are the rate caps that endpoints state, by the incarnation of the endpoint.
	RateCaps map[string]model.RateCap
}

// Notices returns the notices and the version of their row, or zero values if there is no row yet.
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

// ChangeHeld applies a change of the held requests.
func (s *Store) ChangeHeld(ctx context.Context, change kernel.QuarantineChange) error {
	return s.updateNotices(ctx, func(n Notices) Notices {
		n.Held = change.Apply(n.Held)
		return n
	})
}

// ChangeRateCap sets the rate cap that an endpoint states, or removes it if the endpoint states none.
func (s *Store) ChangeRateCap(ctx context.Context, incarnation string, rateCap model.RateCap) error {
	return s.updateNotices(ctx, func(n Notices) Notices {
		n.RateCaps = maps.Clone(n.RateCaps)
		if n.RateCaps == nil {
			n.RateCaps = map[string]model.RateCap{}
		}
		delete(n.RateCaps, incarnation)
		if rateCap.Stated {
			n.RateCaps[incarnation] = rateCap
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
	return errors.New("table: unable to change the notices: too many conflicting changes")
}

// DiffRateCaps returns the rate caps that differ between two reads of the notices, by the incarnation of the endpoint.
// A removed one is zero.
func DiffRateCaps(before, after map[string]model.RateCap) map[string]model.RateCap {
	change := map[string]model.RateCap{}
	for incarnation, rateCap := range after {
		if before[incarnation] != rateCap {
			change[incarnation] = rateCap
		}
	}
	for incarnation := range before {
		if _, ok := after[incarnation]; !ok {
			change[incarnation] = model.RateCap{}
		}
	}
	return change
}

// DiffHeld returns the change of the held requests between two reads of the notices.
func DiffHeld(before, after []kernel.HeldRequest) kernel.QuarantineChange {
	var change kernel.QuarantineChange
	indexOf := func(held []kernel.HeldRequest, digest model.Digest) int {
		return slices.IndexFunc(held, func(h kernel.HeldRequest) bool { return h.Digest == digest })
	}
	for _, h := range after {
		if i := indexOf(before, h.Digest); i < 0 || !before[i].Equal(h) {
			change.Hold = append(change.Hold, h)
		}
	}
	for _, h := range before {
		if indexOf(after, h.Digest) < 0 {
			change.Lift = append(change.Lift, h.Digest)
		}
	}
	return change
}
