package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

// StartTrial permits a request that may only run on trial to be sent once: one in each pool at a time, so that what
// it shows is its own doing. Where it does not, it tells when the caller may come back.
func (q *Quarantine) StartTrial(now time.Time, digest model.Digest) (permitted bool, retryAfter time.Duration) {
	passage, _, retry := q.Check(now, digest)
	if passage != TrialOnly {
		return passage == NotHeld, retry
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

// CancelTrial takes back the trial of a request that was not sent after all.
func (q *Quarantine) CancelTrial(digest model.Digest) {
	if h := q.held[digest]; h != nil && q.endTrial(digest) {
		h.trials--
	}
}

func (q *Quarantine) endTrial(digest model.Digest) bool {
	for pool, t := range q.trials {
		if t.digest == digest {
			delete(q.trials, pool)
			return true
		}
	}
	return false
}
