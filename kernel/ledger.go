package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// KeyState is what an owner knows of a key.
type KeyState int

// The states of a key.
const (
	// KeyRunning: a request with this key is in flight here.
	KeyRunning KeyState = iota + 1
	// KeyDone: it ran and its answer is kept.
	KeyDone
	// KeyRetryable: it ended without an answer and its non-idempotent call was never sent, so
	// that an attempt above those that were told NotRun may run.
	KeyRetryable
	// KeyOutcomeUnknown: the non-idempotent call was sent; it is never sent again.
	KeyOutcomeUnknown
)

// noAttempt is below every attempt's number.
const noAttempt = -1

// LedgerAction is what the owner does with a keyed request.
type LedgerAction int

// The actions.
const (
	LedgerRun LedgerAction = iota + 1
	LedgerJoin
	LedgerAnswer
	LedgerRefuse
)

type (
	// LedgerEntry is what is remembered of one key.
	LedgerEntry struct {
		State       KeyState
		Fingerprint uint64
		// Attempt is the highest attempt that was seen.
		Attempt int
		// RefusedAttempt is the highest attempt that was told NotRun, or -1. It never falls:
		// a held-up attempt up to it may still arrive and must not run.
		RefusedAttempt int
		// ReachedAttempt is the highest attempt of a request that ended without an answer after an endpoint had
		// got it, or -1. NotRun is not said of attempts up to it: a node that did not hear how one
		// ended asks again, and what then refuses it at the door knows nothing of the stages made before.
		ReachedAttempt int
		// LowestRunning is the lowest attempt that waits for the running request.
		LowestRunning int
		Issued        time.Time
		Answer        model.Answer
		// Refusal is set in the states KeyRetryable and KeyOutcomeUnknown.
		Refusal *model.Refusal
		// Pending names the member that left and still runs the key; it alone may tell how
		// the key ended.
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

	// Ledger is an owner's memory of keys. The caller guards it with a mutex.
	Ledger struct {
		entries map[string]LedgerEntry
		// cutoff only moves forward: keys issued before it are forgotten and never run.
		cutoff time.Time
	}
)

// NewLedger returns an empty ledger that accepts keys issued at or after the cutoff.
func NewLedger(cutoff time.Time) *Ledger {
	return &Ledger{entries: map[string]LedgerEntry{}, cutoff: cutoff}
}

// Admit decides on a keyed request at its owner. LedgerRun marks the key as running: the
// caller must end it with Finish, Refuse or Fail.
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

// Refuse records how a running key ended without an answer. Sent tells whether its
// non-idempotent call may have reached the service: then the key is closed for good. A NotRun
// closes it for all attempts seen so far, since one that was held up may still arrive. It returns what those
// who wait are to be told: not NotRun where an endpoint had got one of their attempts before.
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

// refusalVerdict returns what may be said of an attempt that is refused before anything runs.
func (e LedgerEntry) refusalVerdict(attempt int) model.Verdict {
	if attempt <= e.ReachedAttempt {
		return model.MayHaveRun
	}
	return model.NotRun
}

// Expire forgets keys issued before now less the retention, and refuses them from then on.
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

// Len returns how many keys are remembered.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// Cutoff returns the oldest time of issue that is still accepted.
func (l *Ledger) Cutoff() time.Time {
	return l.cutoff
}

// Entry returns what is remembered of a key.
func (l *Ledger) Entry(id string) (LedgerEntry, bool) {
	e, ok := l.entries[id]
	return e, ok
}

// Export returns all entries for the member that takes them over. Keys that still run here
// are pending there until ExportEnded tells how they ended.
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

// ExportEnded returns the entries with the given IDs that no longer run.
func (l *Ledger) ExportEnded(ids []string) map[string]LedgerEntry {
	out := map[string]LedgerEntry{}
	for _, id := range ids {
		if entry, ok := l.entries[id]; ok && entry.State != KeyRunning {
			out[id] = entry
		}
	}
	return out
}

// Running returns the IDs of the keys that run.
func (l *Ledger) Running() []string {
	var out []string
	for id, entry := range l.entries {
		if entry.State == KeyRunning {
			out = append(out, id)
		}
	}
	return out
}

// Import adds the entries of a member that left. An entry that is known here stays, unless
// it is pending at just that member.
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

// withPending returns the entry as a successor holds it while the member that leaves still
// runs it.
func (e LedgerEntry) withPending(by string) LedgerEntry {
	e.State = KeyOutcomeUnknown
	e.Refusal = unknownOutcome()
	e.Pending = by
	return e
}
