package share

import (
	"cmp"
	"slices"
)

// Demand is what one customer asks of a capacity.
type Demand struct {
	// Amount is the requested part of the capacity, in its unit.
	Amount float64
	// Weight is the customer's weight relative to others; below 1 it counts as 1.
	Weight float64
}

// Divide divides a capacity among demands by weighted max-min and returns the part of each, in the order of the
// demands. No part exceeds its demand, and all of the room is given out while any demand is unmet. The parts do not
// depend on the order of the demands.
func Divide(room float64, demands []Demand) []float64 {
	parts := make([]float64, len(demands))
	order := make([]int, len(demands))
	weights := 0.0
	for i := range demands {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return compareDemands(demands[a], demands[b]) })
	for _, i := range order {
		weights += demands[i].weight()
	}
	room = max(0, room)
	met := 0
	for _, i := range order {
		d := demands[i]
		if d.Amount > room/weights*d.weight() {
			break
		}
		parts[i] = max(0, d.Amount)
		room = max(0, room-parts[i])
		weights -= d.weight()
		met++
	}
	// The demands are in the order in which a rising level meets them, so the first one that is not met has the level of
	// all others that are left.
	for _, i := range order[met:] {
		parts[i] = min(demands[i].Amount, room/weights*demands[i].weight())
	}
	return parts
}

// compareDemands orders demands by the level at which they are met. Ties are broken by value, so that rounding does
// not depend on the order of the demands.
func compareDemands(a, b Demand) int {
	if c := cmp.Compare(a.Amount/a.weight(), b.Amount/b.weight()); c != 0 {
		return c
	}
	return cmp.Compare(a.weight(), b.weight())
}

func (d Demand) weight() float64 {
	return max(1, d.Weight)
}
