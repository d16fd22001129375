package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// quarantineHarness is a quarantine whose node keeps all pools, and its clock.
type quarantineHarness struct {
	*kernel.Quarantine
	now time.Time
}

func newQuarantineHarness() *quarantineHarness {
	return &quarantineHarness{Quarantine: kernel.NewQuarantine(), now: time.Unix(1000, 0)}
}

func coordinatesAll(string) bool { return true }

// end lets an endpoint end under requests, each reported a little later than the one before.
func (w *quarantineHarness) crash(incarnation string, digests ...model.Digest) {
	at := w.now
	for _, d := range digests {
		w.now = w.now.Add(10 * time.Millisecond)
		w.RecordCrash(w.now, d, "pool", kernel.Crash{Incarnation: incarnation, At: at})
	}
	w.now = w.now.Add(time.Second)
}

// judge judges the cases and learns what comes of it, as the coordinator does.
func (w *quarantineHarness) evaluate() kernel.QuarantineChange {
	change := w.Evaluate(w.now, coordinatesAll)
	for _, h := range change.Hold {
		w.ApplyHold(w.now, h)
	}
	for _, d := range change.Lift {
		w.Clear(d)
	}
	return change
}

func (w *quarantineHarness) holdState(d model.Digest) kernel.HoldState {
	passage, _, _ := w.Check(w.now, d)
	return passage
}

func (w *quarantineHarness) startTrial(d model.Digest) bool {
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
			w := newQuarantineHarness()
			for i, digests := range tc.ends {
				w.crash(fmt.Sprint("incarnation-", i), digests...)
			}
			w.evaluate()
			for d, want := range tc.want {
				must.EqOp(t, want, w.holdState(d), must.Sprint(d))
			}
			// A second look finds nothing new, and nobody is told again.
			again := w.evaluate()
			must.SliceEmpty(t, again.Hold)
			must.SliceEmpty(t, again.Lift)
		})
	}
}

func TestReportsOnOneEndCountOnce(t *testing.T) {
	w := newQuarantineHarness()
	for range 5 {
		w.RecordCrash(w.now, "a", "pool", kernel.Crash{Incarnation: "l", At: w.now})
		w.now = w.now.Add(50 * time.Millisecond)
	}
	w.now = w.now.Add(time.Second)
	w.evaluate()
	must.EqOp(t, kernel.NotHeld, w.holdState("a"))
	// A process that does not say when it started bears the same name after each start.
	for range 2 {
		w.now = w.now.Add(5 * time.Second)
		w.RecordCrash(w.now, "a", "pool", kernel.Crash{Incarnation: "l", At: w.now})
	}
	w.now = w.now.Add(time.Second)
	w.evaluate()
	must.EqOp(t, kernel.Held, w.holdState("a"))
}

func TestACaseWaitsForTheReportsOnTheSameEnd(t *testing.T) {
	w := newQuarantineHarness()
	w.crash("1", "a", "b")
	w.crash("2", "a", "b")
	w.RecordCrash(w.now, "b", "pool", kernel.Crash{Incarnation: "3", At: w.now})
	w.now = w.now.Add(kernel.EvaluationDelay / 2)
	must.SliceEmpty(t, w.evaluate().Hold)
	w.RecordCrash(w.now, "a", "pool", kernel.Crash{Incarnation: "3", At: w.now})
	w.now = w.now.Add(kernel.EvaluationDelay * 2 / 3)
	must.SliceEmpty(t, w.evaluate().Hold, must.Sprint("the last report is too young"))
	w.now = w.now.Add(kernel.EvaluationDelay)
	must.SliceLen(t, 2, w.evaluate().Hold)
}

// tied is a quarantine in which two requests were under way at all the same ends.
func newAmbiguousHarness() *quarantineHarness {
	w := newQuarantineHarness()
	for i := range kernel.CrashThreshold {
		w.crash(fmt.Sprint(i), "bad", "good")
	}
	w.evaluate()
	return w
}

func TestATrialTellsTheCauseFromWhatRanBeside(t *testing.T) {
	w := newAmbiguousHarness()
	must.True(t, w.startTrial("bad"))
	must.False(t, w.startTrial("good"), must.Sprint("one at a time"))
	w.crash("last", "bad")
	must.False(t, w.startTrial("bad"), must.Sprint("it has shown what it does"))
	change := w.evaluate()
	must.SliceLen(t, 1, change.Hold)
	must.True(t, change.Hold[0].Firm)
	must.EqOp(t, kernel.Held, w.holdState("bad"))
	must.EqOp(t, kernel.TrialOnly, w.holdState("good"), must.Sprint("it may be a cause as well"))
	must.True(t, w.startTrial("good"), must.Sprint("which its next run tells, at once"))
	w.RecordAnswer(w.now, "good")
	w.Trust(w.now, "good")
	must.EqOp(t, kernel.NotHeld, w.holdState("good"))
}

func TestATrialThatIsAnsweredClears(t *testing.T) {
	w := newAmbiguousHarness()
	must.True(t, w.startTrial("good"))
	suspected, pool := w.RecordAnswer(w.now, "good")
	must.True(t, suspected)
	must.EqOp(t, "pool", pool)
	w.Clear("good")
	must.EqOp(t, kernel.NotHeld, w.holdState("good"))
	// With the other one cleared, it must be this one.
	w.evaluate()
	must.EqOp(t, kernel.Held, w.holdState("bad"))
}

func TestTrialsAreFew(t *testing.T) {
	w := newAmbiguousHarness()
	permitted := 0
	for range 100 {
		w.now = w.now.Add(5 * time.Second)
		if w.startTrial("bad") {
			permitted++
		}
	}
	must.EqOp(t, 2, permitted)
	w = newAmbiguousHarness()
	w.startTrial("bad")
	_, retry := w.StartTrial(w.now, "good")
	must.EqOp(t, time.Second, retry, must.Sprint("another trial is under way"))
	for range 2 {
		w.now = w.now.Add(time.Minute)
		w.startTrial("bad")
	}
	_, retry = w.StartTrial(w.now, "bad")
	must.EqOp(t, kernel.HoldTime-2*time.Minute, retry, must.Sprint("a time to come back that is of use"))
	w = newAmbiguousHarness()
	for range 10 {
		must.True(t, w.startTrial("good"), must.Sprint("what was not sent does not count"))
		w.CancelTrial("good")
	}
}

func TestAHeldRequestIsTriedAgainAfterLong(t *testing.T) {
	w := newQuarantineHarness()
	for i := range kernel.CrashThreshold {
		w.crash(fmt.Sprint(i), "a")
	}
	w.evaluate()
	must.False(t, w.startTrial("a"))
	w.now = w.now.Add(kernel.HoldTime)
	must.EqOp(t, kernel.TrialOnly, w.holdState("a"))
	must.True(t, w.startTrial("a"))
	w.crash("later", "a")
	w.evaluate()
	must.EqOp(t, kernel.Held, w.holdState("a"), must.Sprint("one more end is enough then"))
}

func TestWhatWasAnsweredSinceIsNotAtFault(t *testing.T) {
	held := kernel.HeldRequest{Digest: "a", Pool: "pool", Firm: true, Incarnations: []string{"1", "2", "3"}, Since: time.Minute}
	w := newQuarantineHarness()
	w.RecordAnswer(w.now.Add(-30*time.Second), "a")
	must.False(t, w.ApplyHold(w.now, held))
	must.EqOp(t, kernel.NotHeld, w.holdState("a"))
	w = newQuarantineHarness()
	w.RecordAnswer(w.now.Add(-2*time.Minute), "a")
	must.True(t, w.ApplyHold(w.now, held), must.Sprint("an answer before the first end says nothing"))
	must.EqOp(t, kernel.Held, w.holdState("a"))
}

func TestAnotherCoordinatorGoesOn(t *testing.T) {
	first := newAmbiguousHarness()
	_, held, _ := first.Check(first.now, "bad")
	w := newQuarantineHarness()
	must.True(t, w.ApplyHold(w.now, held))
	must.True(t, w.startTrial("bad"))
	w.crash("last", "bad")
	w.evaluate()
	must.EqOp(t, kernel.Held, w.holdState("bad"))
}

func TestLateReportsOnAnExplainedEndSayNothing(t *testing.T) {
	w := newQuarantineHarness()
	for i := range kernel.CrashThreshold {
		w.crash(fmt.Sprint(i), "bad")
	}
	w.evaluate()
	for i := range kernel.CrashThreshold {
		w.crash(fmt.Sprint(i), "good")
	}
	w.evaluate()
	must.EqOp(t, kernel.NotHeld, w.holdState("good"))
}

func TestTheQuarantineIsBounded(t *testing.T) {
	w := newQuarantineHarness()
	for n := range 1000 {
		w.ApplyHold(w.now, kernel.HeldRequest{Digest: model.Digest(fmt.Sprint(n)), Pool: "pool", Firm: true, Incarnations: []string{fmt.Sprint(n)}})
		w.now = w.now.Add(time.Millisecond)
	}
	must.EqOp(t, 256, w.Len())
	must.EqOp(t, kernel.Held, w.holdState("999"), must.Sprint("the oldest yield"))
	w = newQuarantineHarness()
	for n := range 6000 {
		w.RecordCrash(w.now, model.Digest(fmt.Sprint(n)), "pool", kernel.Crash{Incarnation: "l", At: w.now})
		w.now = w.now.Add(time.Millisecond)
	}
	must.EqOp(t, 4096, w.Suspects())
	w.now = w.now.Add(time.Hour)
	w.evaluate()
	must.EqOp(t, 0, w.Suspects())
}
