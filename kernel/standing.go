package kernel

import (
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// maxPause bounds the pauses that are granted: after that, a request shows whether the endpoint still wants none.
	maxPause = 10 * time.Minute
	// StandingRetention is how long the standing of an incarnation is kept after its entry left the list: an entry that
	// is missing for longer than an outage of the list does not come back.
	StandingRetention = 10 * time.Minute
)

// Standing is what one node believes of an incarnation of an endpoint by the endpoint's own answers to this node. It
// does not depend on the list, which may be older or out of reach. A Standing is immutable.
type Standing struct {
	// LeavingSince is when the endpoint first stated that it is leaving; zero if it never has.
	LeavingSince time.Time
	// PausedUntil is when the last pause ends that the endpoint has asked this node for; zero if none, or if the endpoint
	// has accepted a request after it.
	PausedUntil time.Time
}

// With returns the standing after an answer to a request that was sent at sentAt. Answers may arrive out of order: one
// that does not state a leaving or a pause ends neither.
func (s Standing) With(sentAt, now time.Time, stated model.Statement) Standing {
	if stated.Whole && stated.PauseFor == 0 && !sentAt.Before(s.PausedUntil) {
		s.PausedUntil = time.Time{}
	}
	if stated.Leaving && s.LeavingSince.IsZero() {
		s.LeavingSince = now
	}
	if until := now.Add(min(stated.PauseFor, maxPause)); stated.PauseFor > 0 && until.After(s.PausedUntil) {
		s.PausedUntil = until
	}
	return s
}

// Leaving reports whether the endpoint has stated that it is leaving.
func (s Standing) Leaving() bool {
	return !s.LeavingSince.IsZero()
}

// WithoutOldLeaving returns the standing without a leaving that was stated more than StandingRetention ago. It is used
// where the list does not tell the incarnations of an endpoint apart.
func (s Standing) WithoutOldLeaving(now time.Time) Standing {
	if s.Leaving() && now.Sub(s.LeavingSince) >= StandingRetention {
		s.LeavingSince = time.Time{}
	}
	return s
}

// Paused reports whether the endpoint wants no requests from this node now.
func (s Standing) Paused(now time.Time) bool {
	return now.Before(s.PausedUntil)
}
