package kernel

import "time"

const (
	// ejectionThreshold is the number of consecutive failures after which an endpoint is ejected.
	ejectionThreshold = 3
	minEjection       = time.Second
	maxEjection       = 30 * time.Second
	// minUsableShare is the share of a pool that stays in use however unhealthy its endpoints look: when most of a
	// pool fails, the fault is probably on this node or in the network.
	minUsableShare = 0.5
)

// Health is the health of an endpoint as seen by one node's own calls.
type Health struct {
	// Failures counts consecutive failures.
	Failures int
	// EjectedUntil is zero while the endpoint is in use.
	EjectedUntil time.Time
	// Ejections counts consecutive ejections. Each lasts twice as long as the one before, up to maxEjection.
	Ejections int
	// Probing is true while one call probes an endpoint whose ejection has ended.
	Probing bool
}

// WithFailure returns the health after a failed call.
func (h Health) WithFailure(now time.Time) Health {
	h.Failures++
	if h.Failures < ejectionThreshold && !h.Probing {
		return h
	}
	h.Probing = false
	ejection := minEjection << min(h.Ejections, 10)
	h.EjectedUntil = now.Add(min(ejection, maxEjection))
	h.Ejections++
	return h
}

// WithDecisiveFailure returns the health after a failure that the next call would most likely repeat, such as a connection
// that could not be opened, or bytes that are no answer. The endpoint is ejected at once, and for at least the given time.
func (h Health) WithDecisiveFailure(now time.Time, atLeast time.Duration) Health {
	h.Failures = max(h.Failures, ejectionThreshold-1)
	h = h.WithFailure(now)
	if until := now.Add(min(atLeast, maxEjection)); until.After(h.EjectedUntil) {
		h.EjectedUntil = until
	}
	return h
}

// WithSuccess returns the health after a successful call.
func (h Health) WithSuccess() Health {
	return Health{}
}

// WithProbe returns the health with a probe under way.
func (h Health) WithProbe() Health {
	h.Probing = true
	return h
}

// Usable reports whether the endpoint may get a call: it is not ejected, or its ejection has ended and no other call
// probes it.
func (h Health) Usable(now time.Time) bool {
	if h.EjectedUntil.IsZero() {
		return true
	}
	return !now.Before(h.EjectedUntil) && !h.Probing
}

// Ejected reports whether the endpoint was ejected and no call to it has succeeded since.
func (h Health) Ejected() bool {
	return !h.EjectedUntil.IsZero()
}
