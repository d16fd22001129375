package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// KeyState is what the owner of a key knows about the run of its request.
type KeyState int

// The states of a key.
const (
	// KeyRunning: a request with this key is in flight at this owner.
	KeyRunning KeyState = iota + 1
	// KeyDone: the request ran and its answer is kept.
	KeyDone
	// KeyRetryable: the request ended without an answer and its non-idempotent call was never sent. An attempt
	// above RefusedAttempt may run.
	KeyRetryable
	// KeyOutcomeUnknown: the non-idempotent call was sent, or may have been, and its outcome
	// is not known; it is never sent again.
	KeyOutcomeUnknown
)

// noAttempt is lower than any attempt number.
const noAttempt = -1

// LedgerAction is what the owner of a key does with a request that carries it.
type LedgerAction int

// The actions.
const (
	// LedgerRun: run the request.
	LedgerRun LedgerAction = iota + 1
	// LedgerJoin: wait for the outcome of the running request with the same key.
	LedgerJoin
	// LedgerAnswer: return the stored answer.
	LedgerAnswer
	// LedgerRefuse: refuse the request.
	LedgerRefuse
)

type (
	// LedgerEntry is the record of one key.
	LedgerEntry struct {
		State       KeyState
		Fingerprint uint64
		// Attempt is the highest attempt that was received.
		Attempt int
		// RefusedAttempt is the highest attempt that was answered with NotRun, or -1. It never decreases: a delayed
		// attempt up to it may still arrive and must not run.
		RefusedAttempt int
		// ReachedAttempt is the highest attempt of a request that ended without an answer after it had reached an
		// endpoint, or -1. Attempts up to it are not answered with NotRun: a node that does not learn how such an
		// attempt ended sends it again, and the admission check that may then refuse it does not know which stages
		// ran before.
		ReachedAttempt int
		// LowestRunning is the lowest attempt that waits for the running request.
		LowestRunning int
		Issued        time.Time
		Answer        model.Answer
		// Refusal is set in the states KeyRetryable and KeyOutcomeUnknown.
		Refusal *model.Refusal
		// Pending is the ID of the member that left and still runs the key; only that member can report how it ended.
		Pending string
	}

	// LedgerDecision is the outcome of Admit.
	LedgerDecision struct {
		Action LedgerAction
		// Answer is set for LedgerAnswer.
		Answer model.Answer
		// Refusal is set for LedgerRefuse.
		Refusal *model.Refusal
	}

	// Ledger holds the keys that an owner has admitted, and how their requests ended. The caller guards it with a
	// mutex.
	Ledger struct {
		entries map[string]LedgerEntry
		// cutoff only moves forward: keys issued before it are no longer remembered and never run.
		cutoff time.Time
	}
)

// NewLedger returns an empty ledger that accepts keys issued at or after the cutoff.
func NewLedger(cutoff time.Time) *Ledger {
	return &Ledger{entries: map[string]LedgerEntry{}, cutoff: cutoff}
}

// Admit decides on a request with a key at the owner of the key. LedgerRun marks the key as running; the caller must
// end the run with Finish or Refuse.
func (l *Ledger) Admit(key Key, fingerprint uint64, attempt int) LedgerDecision {
	if key.Timed() && key.Issued.Before(l.cutoff) {
		return refuseKey(model.NewRefusal(model.MayHaveRun, model.KeyTooOld, 0,
			"the key was issued longer ago than keys are remembered"))
	}
	entry, known := l.entries[key.ID]
	if !known {
		l.entries[key.ID] = LedgerEntry{
			State: KeyRunning, Fingerprint: fingerprint, Attempt: attempt,
			RefusedAttempt: noAttempt, ReachedAttempt: noAttempt, LowestRunning: attempt, Issued: key.Issued,
		}
		return LedgerDecision{Action: LedgerRun}
	}
	if entry.Fingerprint != fingerprint {
		return refuseKey(model.NewRefusal(model.NotRun, model.KeyMismatch, 0,
			"the key was used for another request; send this one with a new key"))
	}
	switch entry.State {
	case KeyRunning:
		entry.Attempt = max(entry.Attempt, attempt)
		entry.LowestRunning = min(entry.LowestRunning, attempt)
		l.entries[key.ID] = entry
		return LedgerDecision{Action: LedgerJoin}
	case KeyDone:
		answer := entry.Answer
		answer.Repeated = true
		return LedgerDecision{Action: LedgerAnswer, Answer: answer}
	case KeyRetryable:
		if attempt <= entry.RefusedAttempt {
			return refuseKey(model.NewRefusal(entry.refusalVerdict(attempt), model.KeyClosed, entry.Refusal.RetryAfter,
				"the key was refused before ("+string(entry.Refusal.Reason)+"); send a new key or a higher Basilstall-Attempt"))
		}
		entry.State = KeyRunning
		entry.Attempt = max(entry.Attempt, attempt)
		entry.LowestRunning = attempt
		entry.Refusal = nil
		l.entries[key.ID] = entry
		return LedgerDecision{Action: LedgerRun}
	default:
		return refuseKey(entry.Refusal)
	}
}

// Finish records the answer of a running key.
func (l *Ledger) Finish(key Key, answer model.Answer) {
	entry := l.entries[key.ID]
	entry.State = KeyDone
	entry.Answer = answer
	l.entries[key.ID] = entry
}

// Refuse records that the run of a key ended without an answer. Sent tells whether its non-idempotent call may have
// reached the service; the key is then closed permanently. A NotRun closes the key for all attempts received so far,
// since a delayed one may still arrive. Refuse returns the refusal for the attempts that wait for the run: its
// verdict is not NotRun if an endpoint had received one of them before.
func (l *Ledger) Refuse(key Key, refusal *model.Refusal, sent bool) *model.Refusal {
	entry := l.entries[key.ID]
	if refusal.Verdict == model.NotRun {
		refusal = refusal.WithVerdict(entry.refusalVerdict(entry.LowestRunning))
	}
	entry.Refusal = refusal
	entry.State = KeyRetryable
	if sent {
		entry.State = KeyOutcomeUnknown
	}
	if refusal.Verdict == model.NotRun {
		entry.RefusedAttempt = max(entry.RefusedAttempt, entry.Attempt)
	} else {
		entry.ReachedAttempt = max(entry.ReachedAttempt, entry.Attempt)
	}
	l.entries[key.ID] = entry
	return refusal
}

// refusalVerdict returns the verdict for an attempt that is refused before anything runs: MayHaveRun if the attempt
// may have reached an endpoint earlier.
func (e LedgerEntry) refusalVerdict(attempt int) model.Verdict {
	if attempt <= e.ReachedAttempt {
		return model.MayHaveRun
	}
	return model.NotRun
}

// Expire removes the keys issued before now less the retention, except running ones, and refuses keys issued before
// that time from then on.
func (l *Ledger) Expire(now time.Time, retention time.Duration) {
	cutoff := now.Add(-retention)
	if !cutoff.After(l.cutoff) {
		return
	}
	l.cutoff = cutoff
	for id, entry := range l.entries {
		if entry.State != KeyRunning && entry.Issued.Before(cutoff) {
			delete(l.entries, id)
		}
	}
}

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// Cutoff returns the earliest time of issue that is accepted.
func (l *Ledger) Cutoff() time.Time {
	return l.cutoff
}

// Entry returns the record of a key.
func (l *Ledger) Entry(id string) (LedgerEntry, bool) {
	e, ok := l.entries[id]
	return e, ok
}

// Export returns all entries for the member that takes over the keys. Keys that still run here are marked as pending
// at self; ExportEnded returns how they ended.
func (l *Ledger) Export(self string) map[string]LedgerEntry {
	out := make(map[string]LedgerEntry, len(l.entries))
	for id, entry := range l.entries {
		if entry.State == KeyRunning {
			entry = entry.withPending(self)
		}
		out[id] = entry
	}
	return out
}

// ExportEnded returns the entries with the given IDs that are no longer running.
func (l *Ledger) ExportEnded(ids []string) map[string]LedgerEntry {
	out := map[string]LedgerEntry{}
	for _, id := range ids {
		if entry, ok := l.entries[id]; ok && entry.State != KeyRunning {
			out[id] = entry
		}
	}
	return out
}

// Running returns the IDs of the running keys.
func (l *Ledger) Running() []string {
	var out []string
	for id, entry := range l.entries {
		if entry.State == KeyRunning {
			out = append(out, id)
		}
	}
	return out
}

// Import adds the entries of a member that left and moves the cutoff forward to that of the member. An existing entry
// is kept unless it is pending at that member.
func (l *Ledger) Import(from string, entries map[string]LedgerEntry, cutoff time.Time) {
	for id, entry := range entries {
		if known, ok := l.entries[id]; !ok || known.Pending == from {
			l.entries[id] = entry
		}
	}
	if cutoff.After(l.cutoff) {
		l.cutoff = cutoff
	}
}

func refuseKey(r *model.Refusal) LedgerDecision {
	return LedgerDecision{Action: LedgerRefuse, Refusal: r}
}

func unknownOutcome() *model.Refusal {
	return model.NewRefusal(model.MayHaveRun, model.OutcomeUnknown, 0,
		"the key's request may have run; it will not run again")
}

// withPending returns the entry as the successor stores it while the leaving member still runs the key.
func (e LedgerEntry) withPending(member string) LedgerEntry {
	e.State = KeyOutcomeUnknown
	e.Refusal = unknownOutcome()
	e.Pending = member
	return e
}
