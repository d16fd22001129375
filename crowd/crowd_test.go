package crowd_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/crowd"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func TestLimits(t *testing.T) {
	must.EqOp(t, 100, crowd.NewLimits(144e6, 400).Conns)
	must.EqOp(t, 1025, crowd.NewLimits(284e6, 4100).Conns)
	must.EqOp(t, 1025, crowd.NewLimits(144e6, 4100).Conns)
	must.EqOp(t, 549, crowd.NewLimits(72e6, 4100).Conns)
	must.EqOp(t, 9_000_000, crowd.NewLimits(144e6, 400).HeadBytes)
	must.Positive(t, crowd.NewLimits(0, 0).Conns)
}

// Guards against a crowd of connections that bring nothing and shut out those that bring requests.
func TestConnectionsThatBringNothingYield(t *testing.T) {
	l := crowd.NewLedger(crowd.Limits{Conns: 4, HeadBytes: 1 << 20})
	for id := range 4 {
		_, evicts, admitted := l.Admit(at(id), crowd.ID(id))
		must.False(t, evicts)
		must.True(t, admitted)
	}
	// 0 is served, 1 is idle after an answer, 2 sends its second request, 3 never sent anything.
	for _, id := range []crowd.ID{0, 1, 2} {
		l.Head(at(5), id, 100, 3)
		l.Received(at(5), id)
	}
	l.Answered(at(6), 1)
	l.Answered(at(7), 2)
	l.Head(at(8), 2, 100, 3)
	for i, want := range []crowd.ID{3, 1, 2} {
		id := crowd.ID(10 + i)
		evicted, evicts, admitted := l.Admit(at(10+i), id)
		must.True(t, evicts)
		must.True(t, admitted)
		must.EqOp(t, want, evicted)
		l.Head(at(10+i), id, 100, 3)
		l.Received(at(10+i), id)
	}
	_, evicts, admitted := l.Admit(at(20), 20)
	must.False(t, evicts)
	must.False(t, admitted, must.Sprint("all others are served"))
}

// Guards against heads that fill the memory, and against usual ones that are closed for them.
func TestLargestHeadYields(t *testing.T) {
	l := crowd.NewLedger(crowd.Limits{Conns: 100, HeadBytes: 3 << 20})
	for id := range 10 {
		l.Admit(at(0), crowd.ID(id))
	}
	_, _, kept := l.Head(at(1), 0, 64<<10, 9000)
	must.True(t, kept, must.Sprint("a single large head is served"))
	_, _, kept = l.Head(at(1), 1, 64<<10, 9000)
	must.False(t, kept, must.Sprint("the newer of two that are as large yields"))
	l.Close(1)
	evicted, evicts, kept := l.Head(at(1), 2, 64<<10, 4000)
	must.True(t, kept)
	must.True(t, evicts)
	must.EqOp(t, 0, evicted)
	for id := 3; id < 10; id++ {
		_, evicts, kept = l.Head(at(2), crowd.ID(id), 2000, 20)
		must.True(t, kept)
		must.False(t, evicts, must.Sprint("usual heads are not counted"))
	}
	l.Received(at(3), 2)
	l.Answered(at(4), 2)
	must.EqOp(t, 0, l.HeadBytes())
}
