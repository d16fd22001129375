package model

// RateCap is the number of requests a second that an endpoint states to accept from all nodes together. The zero value
// means that no cap is stated.
type RateCap struct {
	Stated bool
	// PerSecond is not negative.
	PerSecond float64
}

// NewRateCap returns a cap of perSecond requests a second. If that is negative or NaN, no cap is stated.
func NewRateCap(perSecond float64) RateCap {
	if !(perSecond >= 0) {
		return RateCap{}
	}
	return RateCap{Stated: true, PerSecond: perSecond}
}

// WithFraction returns the cap of a node that may use only a fraction of it, from 0 to 1.
func (c RateCap) WithFraction(fraction float64) RateCap {
	c.PerSecond *= fraction
	return c
}

// Stricter returns the cap that allows fewer requests; a stated cap is stricter than none.
func (c RateCap) Stricter(other RateCap) RateCap {
	if !c.Stated || other.Stated && other.PerSecond < c.PerSecond {
		return other
	}
	return c
}
