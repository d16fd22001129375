package standby_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/standby"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBarred(t *testing.T) {
	sound := standby.Request{Repeatable: true, MayHaveRun: true, Begun: true, Position: true, Attempts: 1, MaxAttempts: 2}
	for _, tc := range []struct {
		name   string
		change func(r *standby.Request)
		want   standby.Bar
	}{
		{"may begin", func(*standby.Request) {}, ""},
		{"has not run", func(r *standby.Request) { r.MayHaveRun, r.Repeatable, r.Trial = false, false, true }, ""},
		{"no event yet", func(r *standby.Request) { r.Begun, r.Position = false, false }, ""},
		{"may run once", func(r *standby.Request) { r.Repeatable = false }, standby.ByRoute},
		{"on trial", func(r *standby.Request) { r.Trial = true }, standby.ByTrial},
		{"inputs gone", func(r *standby.Request) { r.InputsGone = true }, standby.ByInputs},
		{"no position", func(r *standby.Request) { r.Position = false }, standby.ByPosition},
		{"no attempt left", func(r *standby.Request) { r.Attempts = 2 }, standby.ByAttempts},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := sound
			tc.change(&r)
			must.EqOp(t, tc.want, r.Barred())
		})
	}
}

// A race is one of attempts that bring nothing: the first to bring something goes on. Guards against two attempts of which the caller
// gets parts, and against one that is dropped for its silence.
func TestRace(t *testing.T) {
	r := standby.Race{}.WithBegun(start, 1)
	must.EqOp(t, standby.SilentAfter, r.DueIn(start, standby.SilentAfter))
	r, overtaken := r.WithHeard(start.Add(time.Second), 1)
	must.SliceEmpty(t, overtaken)
	must.EqOp(t, standby.SilentAfter, r.DueIn(start.Add(time.Second), standby.SilentAfter))
	silent := start.Add(time.Second + standby.SilentAfter)
	must.EqOp(t, 0, r.DueIn(silent, standby.SilentAfter))
	must.EqOp(t, 1, r.WithConsidered(silent).Running())
	both := r.WithBegun(silent, 2).WithBegun(silent, 3)
	must.EqOp(t, 3, both.Running())
	for number, want := range map[int][]int{1: {2, 3}, 2: {1, 3}, 3: {1, 2}} {
		race, overtaken := both.WithHeard(silent, number)
		must.Eq(t, want, overtaken)
		must.EqOp(t, 1, race.Running())
	}
	must.EqOp(t, 2, both.WithEnded(2).Running())
	must.EqOp(t, 3, both.Running(), must.Sprint("immutable"))
}
