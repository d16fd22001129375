package kernel

import (
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

// Learn takes in that a request is held back. False means that it was answered whole here after endpoints had ended
// under it, so that it is not at fault: its coordinators are to be told.
func (q *Quarantine) ApplyHold(now time.Time, h HeldRequest) bool {
	if q.answered.answeredAfter(now.Add(-h.Since), h.Digest) || now.Before(q.trustedUntil[h.Digest]) {
		q.Trust(now, h.Digest)
		return false
	}
	before := q.held[h.Digest]
	q.held[h.Digest] = &heldRequest{HeldRequest: h, learnedAt: now}
	if before != nil && before.Firm == h.Firm {
		q.held[h.Digest].trials = before.trials
	}
	for _, incarnation := range h.Incarnations {
		if h.Firm {
			q.attribute(now, h.Digest, incarnation)
		}
	}
	q.mergeCrashes(now, h)
	for len(q.held) > maxHeld {
		q.Clear(q.oldestHeld())
	}
	return true
}

// seed takes over the ends that another coordinator found: one that has just started goes on from there.
func (q *Quarantine) mergeCrashes(now time.Time, h HeldRequest) {
	c := q.suspects[h.Digest]
	if c == nil {
		q.evictSuspect()
		c = &suspect{pool: h.Pool, updatedAt: now}
		q.suspects[h.Digest] = c
	}
	for _, incarnation := range h.Incarnations {
		known := slices.ContainsFunc(c.crashes, func(crash Crash) bool { return crash.Incarnation == incarnation })
		if !known && len(c.crashes) < maxCrashes {
			c.crashes = append(c.crashes, Crash{Incarnation: incarnation, At: now.Add(-h.Since)})
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

// explain takes an end off the other requests that were under way there: its cause is known. Those that have as many
// ends as it takes keep them: they may be a cause as well, which a trial tells.
func (q *Quarantine) attribute(now time.Time, digest model.Digest, incarnation string) {
	q.attributed[incarnation] = attribution{digest: digest, until: now.Add(attributionTTL)}
	for other, c := range q.suspects {
		if other == digest || len(c.crashes) >= CrashThreshold {
			continue
		}
		c.crashes = slices.DeleteFunc(c.crashes, func(known Crash) bool { return known.Incarnation == incarnation })
	}
}
