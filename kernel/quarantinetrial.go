package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// StartTrial permits one run of a request that may run only on trial. Only one trial runs in each pool at a time, so
// that a crash can be attributed to it. If the run is not permitted, StartTrial returns the time after which the
// caller may retry.
func (q *Quarantine) StartTrial(now time.Time, digest model.Digest) (permitted bool, retryAfter time.Duration) {
	state, _, retry := q.Check(now, digest)
	if state != TrialOnly {
		return state == NotHeld, retry
	}
	h := q.held[digest]
	if now.Sub(h.learnedAt) > HoldTime {
		h.learnedAt, h.trials, h.Firm = now, 0, false
	}
	if h.trials >= maxTrials {
		return false, h.learnedAt.Add(HoldTime).Sub(now)
	}
	if running, busy := q.trials[h.Pool]; busy && now.Before(running.until) {
		return false, trialRetryAfter
	}
	h.trials++
	q.trials[h.Pool] = trial{digest: digest, until: now.Add(trialTimeout)}
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
