package currency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/currency"
)

const limit = 1750 * time.Millisecond

var now = time.Unix(1000, 0)

func TestJudge(t *testing.T) {
	attempts := func(ages ...time.Duration) currency.Attempts {
		var a currency.Attempts
		for i, age := range ages {
			a = a.With(fmt.Sprint("node-", i), now.Add(-age))
		}
		return a
	}
	const young, old, older = 100 * time.Millisecond, 2 * time.Second, 3 * time.Second
	for _, tc := range []struct {
		name     string
		limit    time.Duration
		age      time.Duration
		attempts currency.Attempts
		nodes    int
		want     currency.Verdict
	}{
		{"young", limit, young, attempts(), 8, currency.Current},
		{"no bound", 0, older, attempts(), 8, currency.Current},
		{"old, nothing known", limit, old, attempts(), 8, currency.Behind},
		{"only the two readers are lost", limit, old, attempts(young, young), 8, currency.Behind},
		{"three nodes have asked in vain", limit, old, attempts(young, young, young), 8, currency.Outage},
		{"they asked before the proof", limit, old, attempts(young, young, older), 8, currency.Behind},
		{"no word of them for longer than the bound", limit, older, attempts(old, old, old), 8, currency.Behind},
		{"both of two nodes have", limit, old, attempts(young, young), 2, currency.Outage},
		{"a single node has", limit, old, attempts(young), 1, currency.Outage},
		{"one of an unknown number has", limit, old, attempts(young), 0, currency.Outage},
	} {
		t.Run(tc.name, func(t *testing.T) {
			evidence := currency.Evidence{ProvenAt: now.Add(-tc.age), Attempts: tc.attempts, Nodes: tc.nodes}
			must.Eq(t, tc.want, currency.Judge(now, tc.limit, evidence))
		})
	}
}

// Attempts pass from node to node with their ages, as the clocks of nodes differ, and do not pile up.
func TestAttemptsArePassedOn(t *testing.T) {
	var first, second currency.Attempts
	for i := range 20 {
		first = first.With(fmt.Sprint("node-", i), now.Add(time.Duration(i)*time.Millisecond))
	}
	provenAt := now.Add(15 * time.Millisecond)
	ages := first.Ages(now.Add(time.Second), provenAt)
	must.MapLen(t, 4, ages)
	must.MapEmpty(t, first.Ages(now, now.Add(time.Second)))
	// The other node's clock is an hour ahead.
	received := now.Add(time.Hour + time.Second)
	second = second.WithAges(received, ages).WithAges(received, ages)
	must.Eq(t, ages, second.Ages(received, provenAt.Add(time.Hour)))
	must.Eq(t, second, second.With("node-19", now), must.Sprint("an older attempt of a node changes nothing"))
	must.MapLen(t, 8, first.Ages(now, time.Time{}))
}
