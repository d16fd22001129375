package table

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

const keyPrefix = "keys/"

// KeyRow records which member runs a durable key. The row that is inserted first is never replaced.
type KeyRow struct {
	Key string
	// Member is the ID of the member that runs the key: its node and incarnation.
	Member string
	// Writer is unique to the insert, so that an insert whose reply was lost can be recognised by reading the row.
	Writer string
	// Fingerprint identifies the contents of the request, so that another request with the same key is detected.
	Fingerprint uint64
	// At is the time of the insert.
	At time.Time
}

// InsertKeys inserts the rows whose keys do not exist yet. It takes one transaction, unless others insert the same keys
// at the same time. The result holds the stored row of each key: the given one, with its own writer, or an earlier one.
// After an error, none of the keys may be run, since it is unknown which member runs them.
func (s *Store) InsertKeys(ctx context.Context, rows []KeyRow) ([]KeyRow, error) {
	result := make([]KeyRow, len(rows))
	copy(result, rows)
	pending := make([]int, 0, len(rows))
	for i := range rows {
		pending = append(pending, i)
	}
	for len(pending) > 0 {
		existing, err := s.tryInsert(ctx, rows, pending)
		if errors.Is(err, ErrUnknown) {
			return result, s.readBack(ctx, result, pending)
		}
		if err != nil {
			return result, err
		}
		if len(existing) == 0 {
			return result, nil
		}
		if pending, err = s.resolveExisting(ctx, result, pending, existing); err != nil {
			return result, err
		}
	}
	return result, nil
}

// tryInsert inserts the pending rows in one transaction. If keys exist already, it inserts none of the rows and returns
// the keys of the existing ones.
func (s *Store) tryInsert(ctx context.Context, rows []KeyRow, pending []int) ([]string, error) {
	var tx Transaction
	for _, i := range pending {
		value, err := json.Marshal(rows[i])
		if err != nil {
			return nil, errors.Wrap(err, "table: unable to encode a key")
		}
		tx.Conditions = append(tx.Conditions, Condition{Key: keyPrefix + rows[i].Key})
		tx.Writes = append(tx.Writes, Write{Key: keyPrefix + rows[i].Key, Value: value})
	}
	_, err := s.Commit(ctx, tx)
	var conflict *Conflict
	if errors.As(err, &conflict) {
		return conflict.Keys, nil
	}
	return nil, err
}

// resolveExisting reads the existing rows into the result and returns the indices of the rows that are still to be
// inserted.
func (s *Store) resolveExisting(ctx context.Context, result []KeyRow, pending []int, existing []string) ([]int, error) {
	exists := map[string]bool{}
	for _, key := range existing {
		exists[key] = true
	}
	var remaining []int
	for _, i := range pending {
		if !exists[keyPrefix+result[i].Key] {
			remaining = append(remaining, i)
			continue
		}
		row, err := s.readKey(ctx, result[i].Key)
		if err != nil {
			return nil, err
		}
		result[i] = row
	}
	return remaining, nil
}

// readBack resolves an insert whose reply was lost by reading the rows. A row that is found is final. If one is not
// found, its insert may still take effect, and the error is ErrUnknown.
func (s *Store) readBack(ctx context.Context, result []KeyRow, pending []int) error {
	for _, i := range pending {
		row, err := s.readKey(ctx, result[i].Key)
		if err != nil {
			return ErrUnknown
		}
		result[i] = row
	}
	return nil
}

func (s *Store) readKey(ctx context.Context, key string) (KeyRow, error) {
	var row KeyRow
	stored, err := s.Get(ctx, keyPrefix+key)
	if err != nil {
		return row, err
	}
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return row, errors.Wrap(err, "table: unable to decode a key")
	}
	return row, nil
}
