package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// StartTrial permits one run of a request that may run only on trial. Only one trial runs in each pool at a time, so
// that a crash can be attributed to it. If the run is not permitted, StartTrial returns the time after which the
// caller may retry. digest is that of the request, or of the part of its prompt that is held back.
func (q *Quarantine) StartTrial(now time.Time, digest, request model.Digest) (permitted bool, retryAfter time.Duration) {
	state, _, retry := q.Check(now, digest)
	if state != TrialOnly {
		return state == NotHeld, retry
	}
	h := q.held[digest]
	if now.Sub(h.learnedAt) > HoldTime && !digest.IsPart() {
		h.learnedAt, h.trials, h.Firm = now, 0, false
	}
	running, busy := q.trials[h.Pool]
	if busy && now.Before(running.until) {
		return false, trialRetryAfter
	}
	if other := q.held[running.digest]; busy && other != nil && running.digest.IsPart() {
		// The trial ended without a crash, and without an answer.
		other.trials--
		delete(q.trials, h.Pool)
	}
	if h.trials >= maxTrials {
		return false, max(h.learnedAt.Add(HoldTime).Sub(now), trialRetryAfter)
	}
	h.trials++
	q.trials[h.Pool] = trial{digest: digest, request: request, until: now.Add(TrialTimeout)}
	return true, 0
}

// CancelTrial undoes StartTrial for a request that was not sent after all: the trial does not count.
func (q *Quarantine) CancelTrial(digest model.Digest) {
	if h := q.held[digest]; h != nil && q.endTrial(digest) {
		h.trials--
	}
}

// endTrial removes the running trial of a request and reports whether there was one.
func (q *Quarantine) endTrial(digest model.Digest) bool {
	for pool, t := range q.trials {
		if t.digest == digest {
			delete(q.trials, pool)
			return true
		}
	}
	return false
}
