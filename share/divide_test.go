package share_test

import (
	"math"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstall.example/basilstall/share"
)

func drawDemands(t *rapid.T) []share.Demand {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) share.Demand {
		return share.Demand{Amount: rapid.Float64Range(0, 100).Draw(t, "amount"), Weight: float64(rapid.IntRange(0, 5).Draw(t, "weight"))}
	}), 0, 40).Draw(t, "demands")
}

func sum(parts []float64) float64 {
	total := 0.0
	for _, p := range parts {
		total += p
	}
	return total
}

func requested(demands []share.Demand) float64 {
	total := 0.0
	for _, d := range demands {
		total += d.Amount
	}
	return total
}

// Guards against parts that exceed the room or a demand, room that is left while anyone asks, and a customer that gets less
// than another one of its weight although it asks for more.
func TestDivideGivesOutAllRoomFairly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.Float64Range(0, 1000).Draw(t, "room")
		demands := drawDemands(t)
		parts := share.Divide(room, demands)
		if total, want := sum(parts), min(room, requested(demands)); math.Abs(total-want) > 1e-9*max(1, want) {
			t.Fatalf("%v of %v given out", total, want)
		}
		for i, p := range parts {
			if p < 0 || p > demands[i].Amount {
				t.Fatalf("part %v of demand %v", p, demands[i].Amount)
			}
			for j, other := range parts {
				weight, otherWeight := max(1, demands[i].Weight), max(1, demands[j].Weight)
				if p < demands[i].Amount*(1-1e-9) && other/otherWeight > p/weight*(1+1e-9)+1e-9 {
					t.Fatalf("demand %v is not met, with %v, while %v gets %v", demands[i], p, demands[j], other)
				}
			}
		}
	})
}

// Guards against parts that depend on the order of a map, which would differ between nodes and runs.
func TestDivideDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.Float64Range(0, 1000).Draw(t, "room")
		demands := drawDemands(t)
		parts := share.Divide(room, demands)
		slices.Reverse(demands)
		slices.Reverse(parts)
		if !slices.Equal(parts, share.Divide(room, demands)) {
			t.Fatalf("parts differ in the reverse order")
		}
	})
}

// Guards against a customer that gets less by asking for more, or more room that gives someone less.
func TestDivideIsMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.Float64Range(0, 1000).Draw(t, "room")
		demands := append(drawDemands(t), share.Demand{Amount: rapid.Float64Range(0, 100).Draw(t, "own"), Weight: 1})
		before := share.Divide(room, demands)
		own := len(demands) - 1
		demands[own].Amount += rapid.Float64Range(0, 100).Draw(t, "more")
		after := share.Divide(room, demands)
		for i := range demands {
			if i == own && after[i] < before[i]-1e-9 || i != own && after[i] > before[i]+1e-9 {
				t.Fatalf("part %d: %v, %v after demand %d rose", i, before[i], after[i], own)
			}
		}
		for i, p := range share.Divide(room+10, demands) {
			if p < after[i]-1e-9 {
				t.Fatalf("part %d fell with more room", i)
			}
		}
	})
}

// Guards against wrong levels in the cases that the properties do not state.
func TestDivide(t *testing.T) {
	for _, tc := range []struct {
		name    string
		room    float64
		demands []share.Demand
		want    []float64
	}{
		{"none", 1, nil, []float64{}},
		{"enough for all", 10, []share.Demand{{Amount: 1}, {Amount: 2}}, []float64{1, 2}},
		{"a flood", 100, []share.Demand{{Amount: 300}, {Amount: 3}, {Amount: 3}}, []float64{94, 3, 3}},
		{"weights", 12, []share.Demand{{Amount: 100, Weight: 1}, {Amount: 100, Weight: 2}, {Amount: 3, Weight: 9}}, []float64{3, 6, 3}},
		{"no room", -1, []share.Demand{{Amount: 1}}, []float64{0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			must.Eq(t, tc.want, share.Divide(tc.room, tc.demands))
		})
	}
}
