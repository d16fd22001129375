package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/share"
)

// ledgerStep is the interval at which the tests record requests.
const ledgerStep = 10 * time.Millisecond

// record has flows request work at constant rates for a time, and be served at others. It returns the time afterwards.
func record(l *share.Ledger, now time.Time, length time.Duration, capacity float64, requested, served map[share.Flow]float64) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(ledgerStep) {
		for f, rate := range requested {
			l.Request(now, f, 1, rate*ledgerStep.Seconds())
		}
		for f, rate := range served {
			l.Serve(now, f, rate*ledgerStep.Seconds())
		}
		l.Update(now, capacity)
	}
	return now
}

// Guards against low ranks that starve, high ranks that wait for them, and customers that pay for the flood of another one.
func TestLedgerDividesByCustomerThenRank(t *testing.T) {
	flood, high, low, small := share.Flow{Customer: "flood", Rank: 10}, share.Flow{Customer: "mixed", Rank: 10}, share.Flow{Customer: "mixed", Rank: 12}, share.Flow{Customer: "small", Rank: 12}
	for _, tc := range []struct {
		name      string
		requested map[share.Flow]float64
		// want has the rate of each flow that is limited. The ledger is exact to its interval, 5 % of its window.
		want map[share.Flow]float64
	}{
		{"enough", map[share.Flow]float64{flood: 3, high: 3, low: 3}, nil},
		{"flood", map[share.Flow]float64{flood: 30, high: 1, low: 1, small: 1}, map[share.Flow]float64{flood: 7}},
		{"rank", map[share.Flow]float64{high: 8, low: 8}, map[share.Flow]float64{low: 2}},
		{"a quarter of the low rank", map[share.Flow]float64{high: 12, low: 8}, map[share.Flow]float64{high: 8, low: 2}},
		{"little for each", map[share.Flow]float64{high: 40, low: 40}, map[share.Flow]float64{high: 6.25, low: 3.75}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := share.NewLedger()
			record(l, time.Unix(1000, 0), 8*time.Second, 10, tc.requested, nil)
			for f, rate := range tc.requested {
				standing := l.Standing(f)
				want, limited := tc.want[f]
				must.EqOp(t, limited, standing.Limited, must.Sprint(f))
				if !limited {
					want = rate
				}
				must.InDelta(t, want, standing.Rate, max(0.25, 0.04*want), must.Sprint(f))
			}
		})
	}
}

// Guards against a flow that has more than its rate, or less, in the long run: it may be served while it has credit.
func TestLedgerCreditKeepsRate(t *testing.T) {
	for _, group := range []float64{0.06, 0.5, 3} {
		t.Run(fmt.Sprint(group), func(t *testing.T) {
			l := share.NewLedger()
			now := time.Unix(1000, 0)
			flows := []share.Flow{{Customer: "a"}, {Customer: "b"}}
			served := 0.0
			for step := range 6100 {
				for _, f := range flows {
					l.Request(now, f, 1, 20*ledgerStep.Seconds())
				}
				l.Update(now, 10)
				// In the first second, the flow is not known to request more than its share.
				if step >= 100 && l.Standing(flows[0]).Credit > 0 {
					l.Serve(now, flows[0], group)
					served += group
				}
				now = now.Add(ledgerStep)
			}
			must.InDelta(t, 5*60, served, 9)
		})
	}
}

// Guards against a customer that waits for its share after it was idle, or for longer than a second after another one left.
func TestLedgerFollowsDemand(t *testing.T) {
	l := share.NewLedger()
	first, second := share.Flow{Customer: "first", Rank: 0}, share.Flow{Customer: "second", Rank: 0}
	now := record(l, time.Unix(1000, 0), 5*time.Second, 10, map[share.Flow]float64{first: 30}, map[share.Flow]float64{first: 10})
	must.InDelta(t, 10, l.Standing(first).Rate, 0.01)
	must.False(t, l.Standing(second).Limited)
	now = record(l, now, time.Second, 10, map[share.Flow]float64{first: 30, second: 30}, nil)
	must.InDelta(t, 5, l.Standing(second).Rate, 0.01)
	record(l, now, 3*time.Second, 10, map[share.Flow]float64{first: 30}, nil)
	must.Greater(t, 8, l.Standing(first).Rate)
}

// Guards against memory that is held for idle customers.
func TestLedgerDropsIdleCustomers(t *testing.T) {
	l := share.NewLedger()
	now := time.Unix(1000, 0)
	for i := range 740 {
		l.Request(now, share.Flow{Customer: fmt.Sprint("customer-", i), Rank: 10 + i%3}, 1, 0.1)
	}
	l.Update(now, 10)
	must.EqOp(t, 740, l.Customers())
	l.Update(now.Add(15*time.Second), 10)
	must.EqOp(t, 0, l.Customers())
	must.EqOp(t, 0, l.Promised())
}

// BenchmarkLedgerUpdate measures the division of a pool among 740 customers with three ranks each.
func BenchmarkLedgerUpdate(b *testing.B) {
	l := share.NewLedger()
	now := time.Unix(1000, 0)
	for b.Loop() {
		for i := range 740 {
			l.Request(now, share.Flow{Customer: fmt.Sprint("customer-", i), Rank: 10 + i%3}, 1, 0.1)
		}
		now = now.Add(time.Second)
		l.Update(now, 10)
	}
}

// A short burst of a high rank takes the share of a low one, which keeps a quarter of its demand when it lasts. Guards
// against urgent requests that are refused beside less urgent ones, and against a kind of request that starves.
func TestLedgerKeepsQuarterOverTime(t *testing.T) {
	high, low := share.Flow{Customer: "c", Rank: 10}, share.Flow{Customer: "c", Rank: 12}
	calm := map[share.Flow]float64{high: 3, low: 5}
	burst := map[share.Flow]float64{high: 15, low: 5}
	l := share.NewLedger()
	now := record(l, time.Unix(1000, 0), 20*time.Second, 10, calm, calm)
	for second := range 40 {
		rates := map[share.Flow]float64{high: min(15, l.Standing(high).Rate), low: min(5, l.Standing(low).Rate)}
		now = record(l, now, time.Second, 10, burst, rates)
		if second == 3 {
			must.InDelta(t, 0, l.Standing(low).Rate, 0.1)
			must.InDelta(t, 10, l.Standing(high).Rate, 0.1)
		}
	}
	served, seconds := 0.0, 20
	for range seconds {
		rates := map[share.Flow]float64{high: min(15, l.Standing(high).Rate), low: min(5, l.Standing(low).Rate)}
		served += rates[low]
		now = record(l, now, time.Second, 10, burst, rates)
	}
	must.GreaterEq(t, 0.2*5*float64(seconds), served)
}
