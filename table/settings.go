package table

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/model"
)

const (
	headKey          = "settings/head"
	documentPrefix   = "settings/documents/"
	historyPrefix    = "settings/history/"
	historyKeyFormat = historyPrefix + "%012d"
	// maxSettingsAttempts bounds how often a change is tried again because another document
	// changed at the same moment.
	maxSettingsAttempts = 8
	resolveRetryPause   = 150 * time.Millisecond
	// conflictPauseUnit doubles with each try: another document's change is over at once, but
	// reads may be stale for seconds.
	conflictPauseUnit = 10 * time.Millisecond
)

type head struct {
	Revision uint64
}

// ChangeOutcome says what became of a change of settings.
type ChangeOutcome string

// The outcomes of a change.
const (
	Applied    ChangeOutcome = "Applied"
	NotApplied ChangeOutcome = "NotApplied"
	// Unknown: ask again by the operation's number.
	Unknown ChangeOutcome = "Unknown"
)

// Head returns the fleet's head revision; zero if nothing was ever set.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	h, _, err := s.head(ctx)
	return h.Revision, err
}

// Snapshot returns all documents, at a head revision that was the same before and after
// they were read.
func (s *Store) Snapshot(ctx context.Context) (model.Snapshot, error) {
	for range maxSettingsAttempts {
		before, err := s.Head(ctx)
		if err != nil {
			return model.Snapshot{}, err
		}
		documents, err := s.documents(ctx, documentPrefix)
		if err != nil {
			return model.Snapshot{}, err
		}
		after, err := s.Head(ctx)
		if err != nil {
			return model.Snapshot{}, err
		}
		if before == after && newestRevision(documents) == after {
			return model.Snapshot{Revision: after, Documents: documents}, nil
		}
	}
	return model.Snapshot{}, errors.Wrap(ErrUnavailable, "the settings kept changing or the reads were stale")
}

// Document returns the document at a path; the zero document if there is none.
func (s *Store) Document(ctx context.Context, path string) (model.Document, error) {
	doc, _, err := s.document(ctx, path)
	return doc, err
}

// History returns the changes of a path, oldest first; all changes for an empty path.
func (s *Store) History(ctx context.Context, path string) ([]model.Document, error) {
	all, err := s.documents(ctx, historyPrefix)
	if err != nil || path == "" {
		return all, err
	}
	var out []model.Document
	for _, d := range all {
		if d.Path == path {
			out = append(out, d)
		}
	}
	return out, nil
}

// SetDocument makes a change if the document still has the base revision. The document, the
// head and the history change in one transaction. On NotApplied with a nil error, current is
// the document that won the race. The operation's number makes the change idempotent.
func (s *Store) SetDocument(ctx context.Context, doc model.Document, base uint64) (outcome ChangeOutcome, current model.Document, err error) {
	for try := range maxSettingsAttempts {
		if try > 0 && !clock.Sleep(ctx, conflictPauseUnit<<try) {
			break
		}
		old, oldVersion, err := s.document(ctx, doc.Path)
		if err != nil {
			return NotApplied, old, err
		}
		if old.Operation == doc.Operation {
			return Applied, old, nil
		}
		if old.Revision < base {
			// The read was stale: the caller has seen a newer document.
			continue
		}
		if old.Revision > base {
			return s.resolveNewerDocument(ctx, doc, old)
		}
		h, headVersion, err := s.head(ctx)
		if err != nil {
			return NotApplied, old, err
		}
		doc.Revision = h.Revision + 1
		_, err = s.Commit(ctx, settingsTransaction(doc, oldVersion, headVersion))
		var conflict *Conflict
		switch {
		case err == nil:
			return Applied, doc, nil
		case errors.As(err, &conflict):
			continue
		case errors.Is(err, ErrUnknown):
			return s.resolveUnknownCommit(ctx, doc, headVersion)
		default:
			return NotApplied, old, err
		}
	}
	return NotApplied, model.Document{}, errors.Wrap(ErrUnavailable, "the settings kept changing or the reads were stale")
}

// resolveNewerDocument tells an operation that was applied earlier from one that lost to another change.
func (s *Store) resolveNewerDocument(ctx context.Context, doc, winner model.Document) (ChangeOutcome, model.Document, error) {
	found, ok, err := s.FindOperation(ctx, doc.Operation)
	if err != nil {
		return Unknown, winner, err
	}
	if ok {
		return Applied, found, nil
	}
	return NotApplied, winner, nil
}

// resolveUnknownCommit settles a write whose answer was lost. Either the history row that it would
// have written is there and tells whose it is; or it is absent and the head row is written
// anew in the same transaction, so that the lost write, which demands the head's old
// version, can never take effect any more.
func (s *Store) resolveUnknownCommit(ctx context.Context, doc model.Document, headVersion uint64) (ChangeOutcome, model.Document, error) {
	key := fmt.Sprintf(historyKeyFormat, doc.Revision)
	headValue, _ := json.Marshal(head{Revision: doc.Revision - 1})
	fence := Transaction{
		Conditions: []Condition{{Key: key}, {Key: headKey, Version: headVersion}},
		Writes:     []Write{{Key: headKey, Value: headValue}},
	}
	for range maxSettingsAttempts {
		_, err := s.Commit(ctx, fence)
		var conflict *Conflict
		if err == nil {
			return NotApplied, doc, ErrUnavailable
		}
		if !errors.As(err, &conflict) {
			if !clock.Sleep(ctx, resolveRetryPause) {
				break
			}
			continue
		}
		if !slices.Contains(conflict.Keys, key) {
			return NotApplied, doc, ErrUnavailable
		}
		row, err := s.Get(ctx, key)
		if err != nil {
			continue
		}
		var written model.Document
		if err := json.Unmarshal(row.Value, &written); err != nil {
			return Unknown, doc, errors.Wrap(err, "table: unable to decode the history")
		}
		if written.Operation == doc.Operation {
			return Applied, written, nil
		}
		return NotApplied, written, nil
	}
	return Unknown, doc, ErrUnknown
}

// Operation returns the change with an operation number, if there is one.
func (s *Store) FindOperation(ctx context.Context, operation string) (model.Document, bool, error) {
	all, err := s.History(ctx, "")
	if err != nil {
		return model.Document{}, false, err
	}
	for _, d := range all {
		if d.Operation == operation {
			return d, true, nil
		}
	}
	return model.Document{}, false, nil
}

func settingsTransaction(doc model.Document, oldVersion, headVersion uint64) Transaction {
	value, _ := json.Marshal(doc)
	headValue, _ := json.Marshal(head{Revision: doc.Revision})
	return Transaction{
		Conditions: []Condition{
			{Key: documentPrefix + doc.Path, Version: oldVersion},
			{Key: headKey, Version: headVersion},
		},
		Writes: []Write{
			{Key: documentPrefix + doc.Path, Value: value},
			{Key: headKey, Value: headValue},
			{Key: fmt.Sprintf(historyKeyFormat, doc.Revision), Value: value},
		},
	}
}

func (s *Store) head(ctx context.Context) (head, uint64, error) {
	var h head
	row, err := s.Get(ctx, headKey)
	if errors.Is(err, ErrNotFound) {
		return h, 0, nil
	}
	if err != nil {
		return h, 0, err
	}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, 0, errors.Wrap(err, "table: unable to decode the head")
	}
	return h, row.Version, nil
}

func (s *Store) document(ctx context.Context, path string) (model.Document, uint64, error) {
	var doc model.Document
	row, err := s.Get(ctx, documentPrefix+path)
	if errors.Is(err, ErrNotFound) {
		return doc, 0, nil
	}
	if err != nil {
		return doc, 0, err
	}
	if err := json.Unmarshal(row.Value, &doc); err != nil {
		return doc, 0, errors.Wrapf(err, "table: unable to decode %s", path)
	}
	return doc, row.Version, nil
}

func (s *Store) documents(ctx context.Context, prefix string) ([]model.Document, error) {
	rows, err := s.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	documents := make([]model.Document, 0, len(rows))
	for _, row := range rows {
		var doc model.Document
		if err := json.Unmarshal(row.Value, &doc); err != nil {
			return nil, errors.Wrapf(err, "table: unable to decode %s", strings.TrimPrefix(row.Key, prefix))
		}
		documents = append(documents, doc)
	}
	return documents, nil
}

func newestRevision(documents []model.Document) uint64 {
	var newest uint64
	for _, d := range documents {
		newest = max(newest, d.Revision)
	}
	return newest
}

// SeedTransaction writes a document whatever the table holds, for stand-ins.
func SeedTransaction(doc model.Document) Transaction {
	tx := settingsTransaction(doc, 0, 0)
	tx.Conditions = nil
	return tx
}
