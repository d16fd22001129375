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
	// maxSettingsAttempts bounds the attempts of an operation that conflicts with a change of another document at the
	// same time.
	maxSettingsAttempts = 8
	resolveRetryPause   = 150 * time.Millisecond
	// The pause after a conflict begins at twice conflictPauseUnit and doubles with each attempt: the change of another
	// document is over at once, but reads may be stale for seconds.
	conflictPauseUnit = 10 * time.Millisecond
)

// head is the row that holds the newest revision of the settings.
type head struct {
	Revision uint64
}

// ChangeOutcome is the outcome of a change of settings.
type ChangeOutcome string

// The outcomes of a change.
const (
	Applied    ChangeOutcome = "Applied"
	NotApplied ChangeOutcome = "NotApplied"
	// Unknown means that the change may have been applied. Repeating it with the same operation number shows whether it
	// was.
	Unknown ChangeOutcome = "Unknown"
)

// Head returns the newest revision of the settings, or zero if nothing was ever set.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	h, _, err := s.head(ctx)
	return h.Revision, err
}

// Snapshot returns all documents, as of a revision that was the newest both before and after they were read.
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

// Document returns the document at a path, or the zero document if there is none.
func (s *Store) Document(ctx context.Context, path string) (model.Document, error) {
	doc, _, err := s.document(ctx, path)
	return doc, err
}

// History returns the changes of the document at a path, oldest first, or all changes if the path is empty.
func (s *Store) History(ctx context.Context, path string) ([]model.Document, error) {
	all, err := s.documents(ctx, historyPrefix)
	if err != nil || path == "" {
		return all, err
	}
	var changes []model.Document
	for _, d := range all {
		if d.Path == path {
			changes = append(changes, d)
		}
	}
	return changes, nil
}

// SetDocument changes a document if its revision is still base. It writes the document, the head and the history in one
// transaction. If the outcome is NotApplied and the error nil, current is the document as another change left it. The
// operation number makes the change idempotent.
func (s *Store) SetDocument(ctx context.Context, doc model.Document, base uint64) (outcome ChangeOutcome, current model.Document, err error) {
	for attempt := range maxSettingsAttempts {
		if attempt > 0 && !clock.Sleep(ctx, conflictPauseUnit<<attempt) {
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

// resolveNewerDocument resolves a change whose document is newer than its base. If the history contains the operation,
// the change was applied earlier; otherwise another change came first.
func (s *Store) resolveNewerDocument(ctx context.Context, doc, current model.Document) (ChangeOutcome, model.Document, error) {
	found, ok, err := s.FindOperation(ctx, doc.Operation)
	if err != nil {
		return Unknown, current, err
	}
	if ok {
		return Applied, found, nil
	}
	return NotApplied, current, nil
}

// resolveUnknownCommit resolves a change whose reply was lost. If the history row that it writes exists, that row shows
// which operation wrote it. If not, a transaction that requires its absence writes the head anew; the lost transaction,
// which requires the old version of the head, can then no longer take effect.
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

// FindOperation returns the change with an operation number, if there is one.
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

// SeedTransaction returns a transaction that writes a document unconditionally, for the simulated platform of package
// standin.
func SeedTransaction(doc model.Document) Transaction {
	tx := settingsTransaction(doc, 0, 0)
	tx.Conditions = nil
	return tx
}
