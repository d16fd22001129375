package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/placement"
)

// Placers serve the same arrivals sooner than nodes that choose by their own requests, with at most half the late first
// events, and engines differ by little more than their contention does. Guards against engines that get as much work as
// others although their machines are slower, and against long prompts that meet at one engine. Shared tokens are read
// again about as often: prompts that would be late at the engine with their parts go to another one.
func TestPlacersAgainstNodes(t *testing.T) {
	for _, tc := range []struct {
		name           string
		engines, nodes int
		perSecond      float64
		length         time.Duration
		// popular is the share of the prompts that have the same shared part.
		popular float64
		// maxReread is the greatest number of shared tokens read again for a prompt, maxSpread the greatest ratio of the
		// 90th to the 10th percentile of the engines' medians. The times of the slower third are 2.5 times as long most of
		// the time. With 790 engines, each has only a dozen prompts.
		maxReread, maxSpread float64
	}{
		{"popular part", 60, 61, 150, 30 * time.Second, 0.25, 250, 3},
		{"60 engines", 60, 61, 150, 90 * time.Second, 0, 750, 2.25},
		{"790 engines in groups", 790, 400, 1975, 5 * time.Second, 0, 150, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			run := func(prepare func(m *placingModel)) modelResult {
				m := newPlacingModel(1, tc.engines, tc.nodes, tc.perSecond)
				m.popular = tc.popular
				prepare(m)
				m.run(modelWarmUp + tc.length)
				return m.result(m.began.Add(modelWarmUp))
			}
			byNodes := run((*placingModel).placeByNodes)
			byPlacers := run(func(m *placingModel) { m.placeByTables() })
			t.Log("nodes:  ", byNodes)
			t.Log("placers:", byPlacers)
			must.Less(t, byNodes.p95, byPlacers.p95)
			must.Less(t, byNodes.p99, byPlacers.p99)
			must.LessEq(t, byNodes.late/2, byPlacers.late)
			must.LessEq(t, tc.maxReread, byPlacers.reread)
			must.LessEq(t, tc.maxSpread*byPlacers.low.Seconds(), byPlacers.high.Seconds())
			t.Run("target of the spread", func(t *testing.T) {
				must.LessEq(t, 2*byPlacers.low.Seconds(), byPlacers.high.Seconds())
			})
			t.Run("target of shared tokens read again", func(t *testing.T) {
				must.LessEq(t, byNodes.reread, byPlacers.reread)
			})
		})
	}
}

// A new incarnation starts with the median speed of the pool, whatever its predecessor's was. Guards against a replaced
// machine that is avoided, or preferred, because of what the former one did.
func TestNewIncarnationStartsAtMedian(t *testing.T) {
	m := newPlacingModel(2, 20, 20, 60)
	m.engines[1].slowdown = 3
	table := m.placeByTables()[0]
	m.run(10 * time.Second)
	former := m.engines[1].endpoint.Incarnation()
	must.Greater(t, 1.8, table.Speed(former))
	m.engines[1].endpoint.Started = m.now
	table.SetEngines(m.endpoints(), model.EngineTraits{})
	must.EqOp(t, 0, table.Speed(former))
	must.EqOp(t, 1, table.Speed(m.engines[1].endpoint.Incarnation()))
}

// An engine that becomes twice as slow without stating so is known to be slow within two seconds, and to be faster again
// after that. Guards against an engine that gets prompts by a former speed.
func TestSpeedChangeIsLearned(t *testing.T) {
	const engines = 20
	learned := 0
	for changed := range engines {
		m := newPlacingModel(3, engines, engines, 60)
		table := m.placeByTables()[0]
		m.run(10 * time.Second)
		incarnation := m.engines[changed].endpoint.Incarnation()
		before := table.Speed(incarnation)
		m.engines[changed].slowdown = 2
		m.run(2 * time.Second)
		slow := table.Speed(incarnation) / before
		m.engines[changed].slowdown = 1
		m.run(4 * time.Second)
		after := table.Speed(incarnation) / before
		if slow > 1.2 && after < slow {
			learned++
		}
	}
	t.Logf("%d of %d changes were learned", learned, engines)
	// Some engines have no three first events in that time.
	must.GreaterEq(t, engines*3/4, learned)
}

// A placer that takes over with an empty table places as well as its predecessor after a second. Guards against a table
// that needs the history of its predecessor.
func TestTableOfNextPlacerFills(t *testing.T) {
	run := func(lost bool) (next, later modelResult) {
		m := newPlacingModel(4, 60, 61, 150)
		m.placeByTables()
		m.run(20 * time.Second)
		lostAt := m.now
		if lost {
			former := m.prompts[len(m.prompts)-61*32:]
			m.placeByTables()
			for i, p := range former {
				at := m.now.Add(time.Duration(i) * time.Second / time.Duration(len(former)))
				m.due = append(m.due, delayedReport{at: at, Report: placement.Report{Kind: placement.Held, Incarnation: p.engine.endpoint.Incarnation(), Parts: p.parts}, prompt: p})
			}
			slices.SortStableFunc(m.due, func(a, b delayedReport) int { return a.at.Compare(b.at) })
		}
		m.run(3 * time.Second)
		next = m.result(lostAt.Add(time.Second))
		m.run(7 * time.Second)
		return next, m.result(lostAt.Add(time.Second))
	}
	next, later := run(false)
	lostNext, lostLater := run(true)
	t.Log("kept:", next, "later:", later)
	t.Log("lost:", lostNext, "later:", lostLater)
	must.LessEq(t, 3*next.p95/2, lostNext.p95)
	must.LessEq(t, 3*later.p95/2, lostLater.p95)
	must.LessEq(t, later.late+0.015, lostLater.late)
}

// testTable returns a table of equal engines.
func testTable(engines int) (*placement.Table, []model.Endpoint) {
	var listed []model.Endpoint
	for i := range engines {
		listed = append(listed, model.Endpoint{Name: fmt.Sprint("engine-", i), State: model.Live, Slots: 4, Version: fmt.Sprint("v", i%2), Region: fmt.Sprint("r", i/2)})
	}
	table := placement.NewTable()
	table.SetEngines(listed, model.EngineTraits{KVCapacity: 100_000})
	return table, listed
}

// testRequest returns a request for a prompt of a shared part and one of its own.
func testRequest(now time.Time, number uint64, shared string, tokens int) placement.Request {
	prompt := model.Prompt{Parts: []model.PromptPart{{ID: shared, Tokens: 5000}, {ID: fmt.Sprint("own-", number), Tokens: tokens}}}
	return placement.Request{
		ID: placement.RequestID{Node: "n", Number: number}, Tokens: 5000 + tokens, Parts: placement.NewParts(prompt),
		Due: now.Add(2 * time.Second), Deadline: now.Add(10 * time.Second),
	}
}

// Only engines that the request allows are named. Guards against streams that change their version or leave their region,
// and against attempts at an engine that has failed.
func TestExcludedEnginesAreNotNamed(t *testing.T) {
	now := time.Unix(1000, 0)
	table, listed := testTable(4)
	for name, tc := range map[string]struct {
		change func(r *placement.Request)
		want   int
	}{
		"all allowed": {func(*placement.Request) {}, 3},
		"excluded":    {func(r *placement.Request) { r.Excluded = []string{"engine-0", "engine-1"} }, 2},
		"version":     {func(r *placement.Request) { r.Versions = []string{"v1"} }, 2},
		"region":      {func(r *placement.Request) { r.Regions, r.Versions = []string{"r1"}, []string{"v0"} }, 1},
		"none":        {func(r *placement.Request) { r.Regions = []string{"r7"} }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			request := testRequest(now, 1, "shared", 1000)
			tc.change(&request)
			placed, ok := table.Place(now, request)
			must.EqOp(t, tc.want > 0, ok)
			must.SliceLen(t, tc.want, placed.Choices)
			for _, c := range placed.Choices {
				must.SliceNotContains(t, request.Excluded, c.Incarnation)
			}
		})
	}
	listed[0].State = model.Leaving
	table.SetEngines(listed[:1], model.EngineTraits{})
	_, ok := table.Place(now, testRequest(now, 2, "shared", 1000))
	must.False(t, ok, must.Sprint("only a leaving engine is left"))
}

// Prompts of one shared part go to one engine while they are on time there, and to a second one when they would not be.
// Long prompts that arrive together go to different engines. Guards against parts that every engine reads, and against
// prompts that wait although engines are idle.
func TestSharedPartsStayTogetherUntilLate(t *testing.T) {
	now := time.Unix(1000, 0)
	table, _ := testTable(4)
	counts := map[string]int{}
	place := func(number uint64, shared string, tokens int) {
		placed, ok := table.Place(now, testRequest(now, number, shared, tokens))
		must.True(t, ok)
		counts[placed.Choices[0].Incarnation]++
	}
	for number := range uint64(3) {
		place(number, "shared", 500)
	}
	must.MapLen(t, 1, counts)
	place(10, "shared", 60_000)
	place(11, "shared", 500)
	must.MapLen(t, 2, counts, must.Sprint("the part is read by a second engine"))
	clear(counts)
	table, _ = testTable(4)
	for number := range uint64(4) {
		place(number, fmt.Sprint("part-", number), 60_000)
	}
	must.MapLen(t, 4, counts)
}

// A placed prompt counts as pending at its engine until its first event or end is reported, or its deadline has passed, and
// at the engine that its node has sent it to instead. Guards against reservations that stay, and that are held at the wrong
// engine.
func TestReservationsEnd(t *testing.T) {
	for name, end := range map[string]func(table *placement.Table, now time.Time, r placement.Report) time.Time{
		"first event": func(table *placement.Table, now time.Time, r placement.Report) time.Time {
			r.Kind = placement.FirstEvent
			table.Apply(now, r)
			return now
		},
		"failed": func(table *placement.Table, now time.Time, r placement.Report) time.Time {
			r.Kind = placement.Failed
			table.Apply(now, r)
			return now
		},
		"sent elsewhere": func(table *placement.Table, now time.Time, r placement.Report) time.Time {
			r.Kind, r.Incarnation = placement.Sent, ""
			table.Apply(now, r)
			return now
		},
		"deadline": func(_ *placement.Table, now time.Time, _ placement.Report) time.Time {
			return now.Add(11 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			table, _ := testTable(1)
			expected := func(now time.Time, number uint64) time.Duration {
				placed, ok := table.Place(now, testRequest(now, number, "shared", 500))
				must.True(t, ok)
				table.Apply(now, placement.Report{ID: placement.RequestID{Node: "n", Number: number}, Kind: placement.Failed})
				return placed.Choices[0].Expected
			}
			idle := expected(now, 1)
			request := testRequest(now, 2, "shared", 60_000)
			_, ok := table.Place(now, request)
			must.True(t, ok)
			must.Greater(t, idle+time.Second, expected(now, 3))
			now = end(table, now, placement.Report{ID: request.ID, Incarnation: "engine-0"})
			must.LessEq(t, idle, expected(now, 4))
		})
	}
}

// BenchmarkPlace measures one choice among 790 engines. It allocates the same whatever their number is.
func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{64, 790} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table, _ := testTable(engines)
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				request := testRequest(now, uint64(i), fmt.Sprint("part-", i%500), 500)
				_, _ = table.Place(now, request)
				table.Apply(now, placement.Report{ID: request.ID, Kind: placement.FirstEvent, Incarnation: "engine-0", Elapsed: 20 * time.Millisecond})
				table.Apply(now, placement.Report{ID: request.ID, Kind: placement.Ended})
			}
		})
	}
}
