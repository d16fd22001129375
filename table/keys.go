package table

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

const keyPrefix = "keys/"

// KeyRow says who runs a durable key. The first writer wins for ever.
type KeyRow struct {
	Key string
	// Member is the node and incarnation that runs the key.
	Member string
	// Writer is unique to the insert, so that a lost answer can be resolved by reading.
	Writer      string
	Fingerprint uint64
	At          time.Time
}

// InsertKeys inserts those of the rows whose keys are not there yet, in one transaction
// unless others insert the same keys at the same moment. The result holds for each row who
// runs its key: the row's own writer, or an earlier one. An error leaves all of them open:
// none of them may be run.
func (s *Store) InsertKeys(ctx context.Context, rows []KeyRow) ([]KeyRow, error) {
	result := make([]KeyRow, len(rows))
	copy(result, rows)
	pending := make([]int, 0, len(rows))
	for i := range rows {
		pending = append(pending, i)
	}
	for len(pending) > 0 {
		taken, err := s.tryInsert(ctx, rows, pending)
		if errors.Is(err, ErrUnknown) {
			return result, s.readBack(ctx, result, pending)
		}
		if err != nil {
			return result, err
		}
		if len(taken) == 0 {
			return result, nil
		}
		if pending, err = s.resolveExisting(ctx, result, pending, taken); err != nil {
			return result, err
		}
	}
	return result, nil
}

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

// resolveExisting notes the earlier writers of taken keys and returns what is still to insert.
func (s *Store) resolveExisting(ctx context.Context, result []KeyRow, pending []int, taken []string) ([]int, error) {
	isTaken := map[string]bool{}
	for _, key := range taken {
		isTaken[key] = true
	}
	var left []int
	for _, i := range pending {
		if !isTaken[keyPrefix+result[i].Key] {
			left = append(left, i)
			continue
		}
		row, err := s.readKey(ctx, result[i].Key)
		if err != nil {
			return nil, err
		}
		result[i] = row
	}
	return left, nil
}

// readBack resolves a lost answer: what is seen in the table is certain, what is not seen
// stays open.
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
