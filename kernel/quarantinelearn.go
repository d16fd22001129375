package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

// ApplyHold records that a request is held back. It returns false if the request was answered completely here after
// the first of its crashes, or is trusted: it is then not at fault, and its coordinators must be informed.
func (q *Quarantine) ApplyHold(now time.Time, h HeldRequest) bool {
	if q.answeredAfter(now.Add(-h.Since), h.Digest) || now.Before(q.trustedUntil[h.Digest]) {
		q.Trust(now, h.Digest)
		return false
	}
	before := q.held[h.Digest]
	q.held[h.Digest] = &heldRequest{HeldRequest: h, learnedAt: now}
	if before != nil && before.Firm == h.Firm {
		q.held[h.Digest].trials = before.trials
	}
	q.held[h.Digest].trials = max(q.held[h.Digest].trials, h.Trials)
	for _, incarnation := range h.Incarnations {
		if h.Firm {
			q.attribute(now, h.Digest, incarnation)
		}
	}
	if !h.Digest.IsPart() {
		q.mergeCrashes(now, h)
	}
	for len(q.held) > maxHeld {
		q.Clear(now, q.oldestHeld())
	}
	return true
}

// answeredAfter reports whether a request, or one with a part, was answered here after t. One with a part was also sent
// after t.
func (q *Quarantine) answeredAfter(t time.Time, digest model.Digest) bool {
	if digest.IsPart() {
		return q.answeredParts.of(digest).LastSentAt.After(t)
	}
	return q.answered.answeredAfter(t, digest)
}

// mergeCrashes adds the crashes that another coordinator recorded, so that a coordinator that has just started
// continues from them.
func (q *Quarantine) mergeCrashes(now time.Time, h HeldRequest) {
	s := q.suspects[h.Digest]
	if s == nil {
		q.evictSuspect()
		s = &suspect{pool: h.Pool, updatedAt: now}
		q.suspects[h.Digest] = s
	}
	for _, incarnation := range h.Incarnations {
		known := slices.ContainsFunc(s.crashes, func(crash Crash) bool { return crash.Incarnation == incarnation })
		if !known && len(s.crashes) < maxCrashes {
			s.crashes = append(s.crashes, Crash{Incarnation: incarnation, At: now.Add(-h.Since)})
		}
	}
}

func (q *Quarantine) oldestHeld() model.Digest {
	var oldest model.Digest
	for digest, h := range q.held {
		if oldest == "" || h.learnedAt.Before(q.held[oldest].learnedAt) {
			oldest = digest
		}
	}
	return oldest
}

// attribute marks a process's crash as caused by a request and removes it from the other suspects. Suspects with at
// least CrashThreshold crashes keep it: they may be a cause as well, which a trial shows.
func (q *Quarantine) attribute(now time.Time, digest model.Digest, incarnation string) {
	q.attributed[incarnation] = attribution{digest: digest, until: now.Add(attributionTTL)}
	for other, s := range q.suspects {
		if other == digest || len(s.crashes) >= CrashThreshold {
			continue
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(known Crash) bool { return known.Incarnation == incarnation })
	}
}
