package held_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/held"
)

var (
	start  = time.Unix(1000, 0)
	limits = held.Limits{Total: 100, Answers: 100, PerConn: 60, Admission: 80, Expected: 400, StallTimeout: 5 * time.Second, MinStall: 250 * time.Millisecond}
)

// Guards against bounds that are exceeded, or that leave no room for the answers of requests that may have run.
func TestReservationsStayWithinBounds(t *testing.T) {
	for name, tc := range map[string]struct {
		own, others, n int64
		use            held.Use
		want           held.Result
	}{
		"body below the bound":           {0, 60, 20, held.ForRequest, held.Reserved},
		"body above the admission bound": {0, 60, 21, held.ForRequest, held.Full},
		"answer above that":              {0, 60, 21, held.ForAnswer, held.Reserved},
		"answer up to the total":         {0, 60, 40, held.ForAnswer, held.Reserved},
		"answer above the total":         {0, 60, 41, held.ForAnswer, held.Full},
		"answer up to the connection's":  {40, 0, 20, held.ForAnswer, held.Reserved},
		"answer above the connection's":  {40, 0, 21, held.ForAnswer, held.ConnFull},
		"body above the connection's":    {40, 0, 21, held.ForRequest, held.ConnFull},
	} {
		t.Run(name, func(t *testing.T) {
			l := held.NewLedger(limits)
			own, other := l.Open(), l.Open()
			must.EqOp(t, held.Reserved, l.Reserve(own, tc.own, held.ForAnswer))
			must.EqOp(t, held.Reserved, l.Reserve(other, tc.others, held.ForAnswer))
			must.EqOp(t, tc.want, l.Reserve(own, tc.n, tc.use))
			l.Close(own)
			must.EqOp(t, tc.others, l.Total())
			l.Close(other)
			must.EqOp(t, 0, l.Total())
		})
	}
}

// Guards against disconnecting a caller that still takes bytes, and against a caller that is kept because the node goes on
// to write, or because it had taken bytes before.
func TestOnlyCallersThatTakeNoByteAreStalled(t *testing.T) {
	type step struct {
		at      time.Duration
		sending held.Sending
	}
	full := held.Sending{Written: 50, Queued: 50, Writing: true}
	for name, tc := range map[string]struct {
		steps   []step
		at      time.Duration
		stalled bool
	}{
		"just below the bound": {[]step{{0, full}}, 4999 * time.Millisecond, false},
		"at the bound":         {[]step{{0, full}}, 5 * time.Second, true},
		"a byte in between":    {[]step{{0, full}, {4 * time.Second, held.Sending{Written: 50, Queued: 49}}}, 8 * time.Second, false},
		"none after it":        {[]step{{0, full}, {4 * time.Second, held.Sending{Written: 50, Queued: 49}}}, 9 * time.Second, true},
		"further writes":       {[]step{{0, full}, {4 * time.Second, held.Sending{Written: 60, Queued: 60}}}, 5 * time.Second, true},
		"as much taken as new": {[]step{{0, full}, {4 * time.Second, held.Sending{Written: 60, Queued: 50}}}, 8 * time.Second, false},
		"all taken":            {[]step{{0, full}, {time.Second, held.Sending{Written: 50}}}, time.Hour, false},
		"a later answer":       {[]step{{0, held.Sending{Written: 50}}, {time.Minute, held.Sending{Written: 99, Queued: 49}}}, 61 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := held.NewLedger(limits)
			id := l.Open()
			for _, s := range tc.steps {
				l.ObserveSending(start.Add(s.at), id, s.sending)
			}
			must.EqOp(t, tc.stalled, len(l.Stalled(start.Add(tc.at))) == 1)
		})
	}
}

// Guards against making room at the cost of a connection that is faster than another one, of one that is only waiting for an
// endpoint, or of one whose end frees nothing.
func TestSlowestConnectionMakesRoom(t *testing.T) {
	l := held.NewLedger(limits)
	waiting, empty, fast, slow, slower := l.Open(), l.Open(), l.Open(), l.Open(), l.Open()
	for _, id := range []held.ID{waiting, fast, slow, slower} {
		must.EqOp(t, held.Reserved, l.Reserve(id, 10, held.ForAnswer))
	}
	l.ObserveSending(start, empty, held.Sending{Writing: true})
	l.ObserveReceiving(start, slower, true)
	l.ObserveSending(start.Add(time.Second), slow, held.Sending{Written: 5, Queued: 5})
	l.ObserveSending(start, fast, held.Sending{Written: 5, Queued: 5})
	l.ObserveSending(start.Add(1900*time.Millisecond), fast, held.Sending{Written: 9, Queued: 5})
	now := start.Add(2 * time.Second)
	for _, want := range []held.ID{slower, slow} {
		id, ok := l.Slowest(now)
		must.True(t, ok)
		must.EqOp(t, want, id)
		_, ok = l.MarkClosing(id)
		must.True(t, ok)
		_, ok = l.MarkClosing(id)
		must.False(t, ok)
		must.EqOp(t, held.ConnFull, l.Reserve(id, 1, held.ForAnswer))
	}
	_, ok := l.Slowest(now)
	must.False(t, ok)
	id, ok := l.Slowest(start.Add(2150 * time.Millisecond))
	must.True(t, ok)
	must.EqOp(t, fast, id)
}

// Guards against refusing new requests over bytes that are about to be freed, and against counting them as free twice.
func TestConnectionsBeingClosedDoNotCount(t *testing.T) {
	l := held.NewLedger(limits)
	a, b := l.Open(), l.Open()
	must.EqOp(t, held.Reserved, l.Reserve(a, 50, held.ForAnswer))
	must.EqOp(t, held.Reserved, l.Reserve(b, 40, held.ForAnswer))
	must.False(t, l.Admits())
	bytes, ok := l.MarkClosing(a)
	must.True(t, ok)
	must.EqOp(t, 50, bytes)
	must.True(t, l.Admits())
	must.EqOp(t, 90, l.Total())
	must.EqOp(t, held.Freeing, l.Reserve(b, 20, held.ForAnswer))
	l.Add(a, -20, held.ForAnswer)
	l.Close(a)
	must.EqOp(t, 40, l.Total())
	must.EqOp(t, 90, l.Peak())
	must.EqOp(t, held.Reserved, l.Reserve(b, 20, held.ForAnswer))
	must.EqOp(t, held.Full, l.Reserve(l.Open(), 41, held.ForAnswer))
	must.False(t, l.Add(b, 41, held.ForAnswer))
	must.True(t, l.Add(b, -41, held.ForAnswer))
}

// Guards against bounds that do not fit the memory of the smallest nodes.
func TestLimitsFollowMemoryLimit(t *testing.T) {
	for _, tc := range []struct{ memory, total int64 }{{144e6, 28_800_000}, {536e6, 107_200_000}, {0, 128 << 20}} {
		l := held.NewLimits(tc.memory)
		must.EqOp(t, tc.total, l.Total)
		must.Less(t, l.Total, l.Answers)
		must.Less(t, l.Answers, l.Admission)
		// The largest body and the largest answer.
		must.GreaterEq(t, 12<<20, l.PerConn)
	}
}

// Guards against a bound that the kernel's buffers exceed as an answer is written.
func TestSendQueueIsCountedInAdvance(t *testing.T) {
	counted := limits
	counted.MaxQueued = 10
	l := held.NewLedger(counted)
	id := l.Open()
	must.EqOp(t, held.Reserved, l.Reserve(id, 4, held.ForAnswer))
	must.EqOp(t, 8, l.Total())
	must.EqOp(t, held.Reserved, l.Reserve(id, 46, held.ForAnswer))
	must.EqOp(t, 60, l.Total())
	must.EqOp(t, held.ConnFull, l.Reserve(id, 1, held.ForAnswer))
	for _, queued := range []int64{0, 10} {
		l.ObserveSending(start, id, held.Sending{Written: queued, Queued: queued})
		must.EqOp(t, 60, l.Total())
	}
	l.Add(id, -50, held.ForAnswer)
	must.EqOp(t, 10, l.Total())
	l.ObserveSending(start, id, held.Sending{Written: 10})
	must.EqOp(t, 0, l.Total())
	must.EqOp(t, held.Reserved, l.Reserve(id, 20, held.ForRequest))
	must.EqOp(t, 20, l.Total())
	l.Add(id, -20, held.ForRequest)
	must.EqOp(t, 0, l.Total())
}

// Guards against taking on more requests than their answers find room for, which are then lost although they ran.
func TestExpectedAnswersAreBounded(t *testing.T) {
	l := held.NewLedger(limits)
	for range 100 {
		must.True(t, l.Expect())
	}
	l.Answered(50)
	must.False(t, l.Expect())
	for range 90 {
		l.Answered(50)
	}
	must.False(t, l.Expect())
	l.Answered(50)
	must.True(t, l.Expect())
	must.False(t, l.Expect())
	l.Unanswered()
	must.True(t, l.Expect())
	must.EqOp(t, 50, l.MeanAnswer())
	l.Answered(34)
	must.EqOp(t, 49, l.MeanAnswer())
	must.True(t, l.Expect())
}
