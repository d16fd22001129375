package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// coordinatorBed is a quarantine whose node keeps all pools, and its clock.
type coordinatorBed struct {
	*kernel.Quarantine
	now time.Time
}

func newCoordinatorBed() *coordinatorBed {
	return &coordinatorBed{Quarantine: kernel.NewQuarantine(), now: time.Unix(1000, 0)}
}

func keepsAll(string) bool { return true }

// end lets an endpoint end under requests, each reported a little later than the one before.
func (w *coordinatorBed) end(incarnation string, digests ...model.Digest) {
	at := w.now
	for _, d := range digests {
		w.now = w.now.Add(10 * time.Millisecond)
		w.RecordCrash(w.now, d, "pool", kernel.Crash{Incarnation: incarnation, At: at})
	}
	w.now = w.now.Add(time.Second)
}

// judge judges the cases and learns what comes of it, as the coordinator does.
func (w *coordinatorBed) judge() kernel.QuarantineChange {
	change := w.Evaluate(w.now, keepsAll)
	for _, h := range change.Hold {
		w.ApplyHold(w.now, h)
	}
	for _, d := range change.Lift {
		w.Clear(d)
	}
	return change
}

func (w *coordinatorBed) passage(d model.Digest) kernel.HoldState {
	passage, _, _ := w.Check(w.now, d)
	return passage
}

func (w *coordinatorBed) trial(d model.Digest) bool {
	permitted, _ := w.StartTrial(w.now, d)
	return permitted
}

func TestWhichRequestIsHeldBack(t *testing.T) {
	for _, tc := range []struct {
		name string
		ends [][]model.Digest
		want map[model.Digest]kernel.HoldState
	}{
		{"two ends are too few", [][]model.Digest{{"a"}, {"a"}}, map[model.Digest]kernel.HoldState{"a": kernel.NotHeld}},
		{"three are enough", [][]model.Digest{{"a"}, {"a"}, {"a"}}, map[model.Digest]kernel.HoldState{"a": kernel.Held}},
		{
			"what ran beside is free",
			[][]model.Digest{{"b", "a"}, {"b", "a"}, {"c", "a"}},
			map[model.Digest]kernel.HoldState{"a": kernel.Held, "b": kernel.NotHeld, "c": kernel.NotHeld},
		},
		{
			"what ran beside at three of four may be a cause, too",
			[][]model.Digest{{"a"}, {"b", "a"}, {"b", "a"}, {"b", "a"}},
			map[model.Digest]kernel.HoldState{"a": kernel.Held, "b": kernel.TrialOnly},
		},
		{
			"two at all the same ends are to be told apart",
			[][]model.Digest{{"a", "b"}, {"b", "a"}, {"a", "b"}},
			map[model.Digest]kernel.HoldState{"a": kernel.TrialOnly, "b": kernel.TrialOnly},
		},
		{
			"two causes at other ends are both found",
			[][]model.Digest{{"a", "c"}, {"b", "c"}, {"a"}, {"b"}, {"a", "c"}, {"b"}},
			map[model.Digest]kernel.HoldState{"a": kernel.Held, "b": kernel.Held, "c": kernel.TrialOnly},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newCoordinatorBed()
			for i, digests := range tc.ends {
				w.end(fmt.Sprint("incarnation-", i), digests...)
			}
			w.judge()
			for d, want := range tc.want {
				must.EqOp(t, want, w.passage(d), must.Sprint(d))
			}
			// A second look finds nothing new, and nobody is told again.
			again := w.judge()
			must.SliceEmpty(t, again.Hold)
			must.SliceEmpty(t, again.Lift)
		})
	}
}

func TestReportsOnOneEndCountOnce(t *testing.T) {
	w := newCoordinatorBed()
	for range 5 {
		w.RecordCrash(w.now, "a", "pool", kernel.Crash{Incarnation: "l", At: w.now})
		w.now = w.now.Add(50 * time.Millisecond)
	}
	w.now = w.now.Add(time.Second)
	w.judge()
	must.EqOp(t, kernel.NotHeld, w.passage("a"))
	// A process that does not say when it started bears the same name after each start.
	for range 2 {
		w.now = w.now.Add(5 * time.Second)
		w.RecordCrash(w.now, "a", "pool", kernel.Crash{Incarnation: "l", At: w.now})
	}
	w.now = w.now.Add(time.Second)
	w.judge()
	must.EqOp(t, kernel.Held, w.passage("a"))
}

func TestACaseWaitsForTheReportsOnTheSameEnd(t *testing.T) {
	w := newCoordinatorBed()
	w.end("1", "a", "b")
	w.end("2", "a", "b")
	w.RecordCrash(w.now, "b", "pool", kernel.Crash{Incarnation: "3", At: w.now})
	w.now = w.now.Add(kernel.EvaluationDelay / 2)
	must.SliceEmpty(t, w.judge().Hold)
	w.RecordCrash(w.now, "a", "pool", kernel.Crash{Incarnation: "3", At: w.now})
	w.now = w.now.Add(kernel.EvaluationDelay * 2 / 3)
	must.SliceEmpty(t, w.judge().Hold, must.Sprint("the last report is too young"))
	w.now = w.now.Add(kernel.EvaluationDelay)
	must.SliceLen(t, 2, w.judge().Hold)
}

// tied is a quarantine in which two requests were under way at all the same ends.
func tied() *coordinatorBed {
	w := newCoordinatorBed()
	for i := range kernel.CrashThreshold {
		w.end(fmt.Sprint(i), "bad", "good")
	}
	w.judge()
	return w
}

func TestATrialTellsTheCauseFromWhatRanBeside(t *testing.T) {
	w := tied()
	must.True(t, w.trial("bad"))
	must.False(t, w.trial("good"), must.Sprint("one at a time"))
	w.end("last", "bad")
	must.False(t, w.trial("bad"), must.Sprint("it has shown what it does"))
	change := w.judge()
	must.SliceLen(t, 1, change.Hold)
	must.True(t, change.Hold[0].Firm)
	must.EqOp(t, kernel.Held, w.passage("bad"))
	must.EqOp(t, kernel.TrialOnly, w.passage("good"), must.Sprint("it may be a cause as well"))
	must.True(t, w.trial("good"), must.Sprint("which its next run tells, at once"))
	w.RecordAnswer(w.now, "good")
	w.Trust(w.now, "good")
	must.EqOp(t, kernel.NotHeld, w.passage("good"))
}

func TestATrialThatIsAnsweredClears(t *testing.T) {
	w := tied()
	must.True(t, w.trial("good"))
	suspected, pool := w.RecordAnswer(w.now, "good")
	must.True(t, suspected)
	must.EqOp(t, "pool", pool)
	w.Clear("good")
	must.EqOp(t, kernel.NotHeld, w.passage("good"))
	// With the other one cleared, it must be this one.
	w.judge()
	must.EqOp(t, kernel.Held, w.passage("bad"))
}

func TestTrialsAreFew(t *testing.T) {
	w := tied()
	permitted := 0
	for range 100 {
		w.now = w.now.Add(5 * time.Second)
		if w.trial("bad") {
			permitted++
		}
	}
	must.EqOp(t, 2, permitted)
	w = tied()
	w.trial("bad")
	_, retry := w.StartTrial(w.now, "good")
	must.EqOp(t, time.Second, retry, must.Sprint("another trial is under way"))
	for range 2 {
		w.now = w.now.Add(time.Minute)
		w.trial("bad")
	}
	_, retry = w.StartTrial(w.now, "bad")
	must.EqOp(t, kernel.HoldTime-2*time.Minute, retry, must.Sprint("a time to come back that is of use"))
	w = tied()
	for range 10 {
		must.True(t, w.trial("good"), must.Sprint("what was not sent does not count"))
		w.CancelTrial("good")
	}
}

func TestAHeldRequestIsTriedAgainAfterLong(t *testing.T) {
	w := newCoordinatorBed()
	for i := range kernel.CrashThreshold {
		w.end(fmt.Sprint(i), "a")
	}
	w.judge()
	must.False(t, w.trial("a"))
	w.now = w.now.Add(kernel.HoldTime)
	must.EqOp(t, kernel.TrialOnly, w.passage("a"))
	must.True(t, w.trial("a"))
	w.end("later", "a")
	w.judge()
	must.EqOp(t, kernel.Held, w.passage("a"), must.Sprint("one more end is enough then"))
}

func TestWhatWasAnsweredSinceIsNotAtFault(t *testing.T) {
	held := kernel.HeldRequest{Digest: "a", Pool: "pool", Firm: true, Incarnations: []string{"1", "2", "3"}, Since: time.Minute}
	w := newCoordinatorBed()
	w.RecordAnswer(w.now.Add(-30*time.Second), "a")
	must.False(t, w.ApplyHold(w.now, held))
	must.EqOp(t, kernel.NotHeld, w.passage("a"))
	w = newCoordinatorBed()
	w.RecordAnswer(w.now.Add(-2*time.Minute), "a")
	must.True(t, w.ApplyHold(w.now, held), must.Sprint("an answer before the first end says nothing"))
	must.EqOp(t, kernel.Held, w.passage("a"))
}

func TestAnotherCoordinatorGoesOn(t *testing.T) {
	first := tied()
	_, held, _ := first.Check(first.now, "bad")
	w := newCoordinatorBed()
	must.True(t, w.ApplyHold(w.now, held))
	must.True(t, w.trial("bad"))
	w.end("last", "bad")
	w.judge()
	must.EqOp(t, kernel.Held, w.passage("bad"))
}

func TestLateReportsOnAnExplainedEndSayNothing(t *testing.T) {
	w := newCoordinatorBed()
	for i := range kernel.CrashThreshold {
		w.end(fmt.Sprint(i), "bad")
	}
	w.judge()
	for i := range kernel.CrashThreshold {
		w.end(fmt.Sprint(i), "good")
	}
	w.judge()
	must.EqOp(t, kernel.NotHeld, w.passage("good"))
}

func TestTheQuarantineIsBounded(t *testing.T) {
	w := newCoordinatorBed()
	for n := range 1000 {
		w.ApplyHold(w.now, kernel.HeldRequest{Digest: model.Digest(fmt.Sprint(n)), Pool: "pool", Firm: true, Incarnations: []string{fmt.Sprint(n)}})
		w.now = w.now.Add(time.Millisecond)
	}
	must.EqOp(t, 256, w.Len())
	must.EqOp(t, kernel.Held, w.passage("999"), must.Sprint("the oldest yield"))
	w = newCoordinatorBed()
	for n := range 6000 {
		w.RecordCrash(w.now, model.Digest(fmt.Sprint(n)), "pool", kernel.Crash{Incarnation: "l", At: w.now})
		w.now = w.now.Add(time.Millisecond)
	}
	must.EqOp(t, 4096, w.Suspects())
	w.now = w.now.Add(time.Hour)
	w.judge()
	must.EqOp(t, 0, w.Suspects())
}
