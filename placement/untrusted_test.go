package placement_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/placement"
)

// Guards against callers who state sizes that no engine takes: three prompts of a billion tokens that were read at once made
// all estimates useless, and one pending made the others refuse everything for hours.
func TestStatedSizesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := placement.NewTable()
	table.SetEngines([]model.Endpoint{{Name: "a", Pool: "p", State: model.Live}}, model.EngineTraits{Slots: 8, KVCapacity: 100_000})
	usual := placement.Request{Tokens: 3000, Due: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	before, _ := table.Estimate(now, usual)
	for i, tokens := range []int{1_000_000_000, math.MaxInt, -5} {
		id := placement.RequestID{Node: "n", Number: uint64(i)}
		parts := make([]placement.Part, 5000)
		for k := range parts {
			parts[k] = placement.Part{Key: uint64(k), Tokens: math.MaxInt}
		}
		_, ok := table.Place(now, placement.Request{ID: id, Tokens: tokens, Parts: parts, Due: now, Deadline: now.Add(time.Hour)})
		must.True(t, ok)
		pending, _ := table.Estimate(now, usual)
		must.Less(t, 20*time.Second, pending.Choices[0].Expected)
		table.Apply(now, placement.Report{ID: id, Kind: placement.FirstEvent, Incarnation: "a", Elapsed: 50 * time.Millisecond})
		table.Apply(now, placement.Report{ID: id, Kind: placement.Ended, Incarnation: "a"})
	}
	later := now.Add(2 * time.Second)
	after, _ := table.Estimate(later, placement.Request{Tokens: 3000, Due: later.Add(time.Second), Deadline: later.Add(time.Minute)})
	must.Between(t, before.Choices[0].Expected/3, after.Choices[0].Expected, 3*before.Choices[0].Expected)
}

// Guards against loads that no engine has, passed on by another node, which made estimates not a number.
func TestImplausibleLoadsAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, report := range map[string]placement.Report{
		"not a number": {Load: &model.Load{Slots: 8, Contention: math.NaN()}},
		"infinite":     {Load: &model.Load{Slots: 8, Contention: math.Inf(1)}},
		"negative":     {Load: &model.Load{Running: -1 << 40, Slots: 8, Contention: 1}},
		"from later":   {Load: &model.Load{Slots: 8, Contention: 1}, LoadAgo: -time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			table := placement.NewTable()
			table.SetEngines([]model.Endpoint{{Name: "a", Pool: "p", State: model.Live}}, model.EngineTraits{Slots: 8})
			r := placement.Request{Tokens: 3000, Due: now.Add(time.Second), Deadline: now.Add(time.Minute)}
			before, _ := table.Estimate(now, r)
			report.Incarnation = "a"
			table.Apply(now, report)
			after, _ := table.Estimate(now, r)
			must.EqOp(t, before.Choices[0].Expected, after.Choices[0].Expected)
		})
	}
}
