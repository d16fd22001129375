package kernel

import "time"

const (
	// ejectionThreshold is how many failures in a row put an endpoint aside.
	ejectionThreshold = 3
	minEjection       = time.Second
	maxEjection       = 30 * time.Second
	// minUsableShare is the share of a pool that is used however bad its health looks: when
	// most of a pool fails, the fault is likely ours or the network's.
	minUsableShare = 0.5
)

// Health is what a node's own calls tell of an endpoint.
type Health struct {
	// Failures counts failures in a row.
	Failures int
	// EjectedUntil is zero while the endpoint is in use.
	EjectedUntil time.Time
	// Ejections counts ejections in a row; each lasts twice as long as the one before.
	Ejections int
	// Probing is true while one call tries an endpoint whose ejection ended.
	Probing bool
}

// WithFailure returns the health after a failed call.
func (h Health) WithFailure(now time.Time) Health {
	h.Failures++
	if h.Failures < ejectionThreshold && !h.Probing {
		return h
	}
	h.Probing = false
	d := minEjection << min(h.Ejections, 10)
	h.EjectedUntil = now.Add(min(d, maxEjection))
	h.Ejections++
	return h
}

// WithUnreachable returns the health after a connection could not be opened: whatever the reason,
// the next call would only wait as long for its failure, so the endpoint is put aside at once.
func (h Health) WithUnreachable(now time.Time) Health {
	h.Failures = max(h.Failures, ejectionThreshold-1)
	return h.WithFailure(now)
}

// WithSuccess returns the health after a good call.
func (h Health) WithSuccess() Health {
	return Health{}
}

// WithProbe returns the health with a probe under way.
func (h Health) WithProbe() Health {
	h.Probing = true
	return h
}

// Usable tells whether the endpoint may get a call: it is in use, or its ejection ended and
// no other call tries it.
func (h Health) Usable(now time.Time) bool {
	if h.EjectedUntil.IsZero() {
		return true
	}
	return !now.Before(h.EjectedUntil) && !h.Probing
}

// Ejected tells whether the endpoint was put aside and has not answered well since.
func (h Health) Ejected() bool {
	return !h.EjectedUntil.IsZero()
}
