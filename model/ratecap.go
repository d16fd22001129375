package model

// RateCap is how many requests a second an endpoint states that it takes of all nodes together. The zero value stands for
// no cap.
type RateCap struct {
	Stated bool
	// PerSecond is not negative.
	PerSecond float64
}

// NewRateCap returns a cap; one that is no rate states none.
func NewRateCap(perSecond float64) RateCap {
	if !(perSecond >= 0) {
		return RateCap{}
	}
	return RateCap{Stated: true, PerSecond: perSecond}
}

// WithPart returns the cap of who may use only a part of it, from 0 to 1.
func (c RateCap) WithPart(fraction float64) RateCap {
	c.PerSecond *= fraction
	return c
}

// Stricter returns the cap that allows less.
func (c RateCap) Stricter(other RateCap) RateCap {
	if !c.Stated || other.Stated && other.PerSecond < c.PerSecond {
		return other
	}
	return c
}
