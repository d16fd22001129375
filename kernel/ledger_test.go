package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

var testStart = time.UnixMilli(1_700_000_000_000)

func timedKey(id string, at time.Time) kernel.Key {
	return kernel.Key{ID: id, Issued: at}
}

func newRefusal(v model.Verdict) *model.Refusal {
	return model.NewRefusal(v, model.Overloaded, time.Second, "")
}

func TestLedgerRemembersAnswersAndRefusals(t *testing.T) {
	key := timedKey("c/k", testStart)
	cases := []struct {
		name    string
		end     func(*kernel.Ledger)
		attempt int
		action  kernel.LedgerAction
		verdict model.Verdict
	}{
		{"a running request is joined", func(*kernel.Ledger) {}, 2, kernel.LedgerJoin, ""},
		{"a stored answer is repeated", func(l *kernel.Ledger) { l.Finish(key, model.Answer{Output: "x"}) }, 2, kernel.LedgerAnswer, ""},
		{"NotRun closes the key for the same attempt", func(l *kernel.Ledger) { l.Refuse(key, newRefusal(model.NotRun), false) }, 1, kernel.LedgerRefuse, model.NotRun},
		{"NotRun lets a higher attempt run", func(l *kernel.Ledger) { l.Refuse(key, newRefusal(model.NotRun), false) }, 2, kernel.LedgerRun, ""},
		{"a failure before the call was sent lets the same attempt run", func(l *kernel.Ledger) { l.Refuse(key, newRefusal(model.MayHaveRun), false) }, 1, kernel.LedgerRun, ""},
		{"a call that was sent closes the key permanently", func(l *kernel.Ledger) { l.Refuse(key, newRefusal(model.MayHaveRun), true) }, 9, kernel.LedgerRefuse, model.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := kernel.NewLedger(time.Time{})
			must.EqOp(t, kernel.LedgerRun, l.Admit(key, 1, 1).Action)
			c.end(l)
			d := l.Admit(key, 1, c.attempt)
			must.EqOp(t, c.action, d.Action)
			if c.verdict != "" {
				must.EqOp(t, c.verdict, d.Refusal.Verdict)
			}
		})
	}
}

func TestLedgerRefusesOtherRequestUnderSameKey(t *testing.T) {
	l := kernel.NewLedger(time.Time{})
	key := timedKey("c/k", testStart)
	l.Admit(key, 1, 0)
	l.Finish(key, model.Answer{})
	d := l.Admit(key, 2, 0)
	must.EqOp(t, kernel.LedgerRefuse, d.Action)
	must.EqOp(t, model.KeyMismatch, d.Refusal.Reason)
}

func TestLedgerNeverRunsExpiredKey(t *testing.T) {
	l := kernel.NewLedger(time.Time{})
	key := timedKey("c/k", testStart)
	l.Admit(key, 1, 0)
	l.Finish(key, model.Answer{})
	l.Expire(testStart.Add(time.Hour), time.Minute)
	must.EqOp(t, 0, l.Len())
	// The cutoff does not go back with the clock.
	l.Expire(testStart, time.Minute)
	d := l.Admit(key, 1, 0)
	must.EqOp(t, model.KeyTooOld, d.Refusal.Reason)
	must.EqOp(t, model.MayHaveRun, d.Refusal.Verdict)
}

// Under more load than capacity, a caller could be told NotRun of a request that an endpoint had received: the node
// that the caller asked does not learn from the owner of the key how the request ended, and sends it again. The first
// run ended after its first stage, so the owner runs the request again and now refuses it at admission.
func TestNotRunExcludesAttemptsThatReachedEndpoint(t *testing.T) {
	l := kernel.NewLedger(time.Time{})
	key := timedKey("c/k", testStart)
	must.EqOp(t, kernel.LedgerRun, l.Admit(key, 1, 1).Action)
	must.EqOp(t, model.MayHaveRun, l.Refuse(key, newRefusal(model.MayHaveRun), false).Verdict)

	must.EqOp(t, kernel.LedgerRun, l.Admit(key, 1, 1).Action, must.Sprint("the same attempt is sent again"))
	must.EqOp(t, model.MayHaveRun, l.Refuse(key, newRefusal(model.NotRun), false).Verdict)

	must.EqOp(t, kernel.LedgerRun, l.Admit(key, 1, 2).Action, must.Sprint("a new attempt"))
	must.EqOp(t, model.NotRun, l.Refuse(key, newRefusal(model.NotRun), false).Verdict)

	late := l.Admit(key, 1, 1)
	must.EqOp(t, kernel.LedgerRefuse, late.Action, must.Sprint("the first attempt arrives late"))
	must.EqOp(t, model.MayHaveRun, late.Refusal.Verdict)
}

// An attempt that reached an endpoint joins the run of a higher one. Both get the same verdict, which must not be
// NotRun.
func TestJoinedAttemptsGetSameVerdict(t *testing.T) {
	l := kernel.NewLedger(time.Time{})
	key := timedKey("c/k", testStart)
	l.Admit(key, 1, 1)
	l.Refuse(key, newRefusal(model.MayHaveRun), false)
	must.EqOp(t, kernel.LedgerRun, l.Admit(key, 1, 2).Action)
	must.EqOp(t, kernel.LedgerJoin, l.Admit(key, 1, 1).Action)
	must.EqOp(t, model.MayHaveRun, l.Refuse(key, newRefusal(model.NotRun), false).Verdict)
}

// ledgerModel is the reference model that the state machine compares a ledger with.
type ledgerModel struct {
	ledger          *kernel.Ledger
	running         map[string]bool
	sent            map[string]bool
	highestNotRun   map[string]int
	highestAdmitted map[string]int
	// lowest and reached are, by key, the lowest attempt that waits and the highest that reached an endpoint.
	lowestWaiting  map[string]int
	highestReached map[string]int
}

// TestLedgerInvariantsInRandomInterleavings checks the invariants of a ledger: a key whose call was sent never runs again,
// a running key is not started a second time, an attempt that was answered with NotRun never runs, and an attempt
// that reached an endpoint is not answered with NotRun.
func TestLedgerInvariantsInRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ledgerModel{
			ledger: kernel.NewLedger(time.Time{}), running: map[string]bool{}, sent: map[string]bool{},
			highestNotRun: map[string]int{}, highestAdmitted: map[string]int{},
			lowestWaiting: map[string]int{}, highestReached: map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit":  m.admit,
			"finish": func(t *rapid.T) { m.end(t, true, "") },
			"lost":   func(t *rapid.T) { m.end(t, true, model.MayHaveRun) },
			"unsent": func(t *rapid.T) { m.end(t, false, model.MayHaveRun) },
			"refuse": func(t *rapid.T) { m.end(t, false, model.NotRun) },
		})
	})
}

func (m *ledgerModel) admit(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key"))
	attempt := rapid.IntRange(0, 4).Draw(t, "attempt")
	d := m.ledger.Admit(timedKey(id, testStart), 1, attempt)
	refusedAttempt, wasRefused := m.highestNotRun[id]
	switch d.Action {
	case kernel.LedgerRun:
		must.False(t, m.running[id])
		must.False(t, m.sent[id])
		must.True(t, !wasRefused || attempt > refusedAttempt)
		m.running[id] = true
	case kernel.LedgerJoin:
		must.True(t, m.running[id])
	case kernel.LedgerRefuse:
		must.False(t, m.running[id])
		if d.Refusal.Verdict == model.NotRun {
			must.False(t, m.sent[id])
			if reached, ok := m.highestReached[id]; ok {
				must.Greater(t, reached, attempt)
			}
		}
	default:
		must.True(t, m.sent[id])
	}
	if d.Action == kernel.LedgerRun {
		m.lowestWaiting[id] = attempt
	}
	if d.Action == kernel.LedgerRun || d.Action == kernel.LedgerJoin {
		m.lowestWaiting[id] = min(m.lowestWaiting[id], attempt)
		m.highestAdmitted[id] = max(m.highestAdmitted[id], attempt)
	}
}

func (m *ledgerModel) end(t *rapid.T, sent bool, verdict model.Verdict) {
	id := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key"))
	if !m.running[id] {
		t.Skip("not running")
	}
	key := timedKey(id, testStart)
	if verdict == "" {
		m.ledger.Finish(key, model.Answer{})
	} else {
		verdict = m.ledger.Refuse(key, newRefusal(verdict), sent).Verdict
	}
	if reached, ok := m.highestReached[id]; ok && verdict == model.NotRun {
		must.Greater(t, reached, m.lowestWaiting[id])
	}
	if verdict == model.MayHaveRun {
		m.highestReached[id] = max(m.highestReached[id], m.highestAdmitted[id])
	}
	if verdict == model.NotRun {
		m.highestNotRun[id] = max(m.highestNotRun[id], m.highestAdmitted[id])
	}
	m.running[id] = false
	m.sent[id] = m.sent[id] || sent
}
