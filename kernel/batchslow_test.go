package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// overdueCall starts a call for a group of two pieces at the first of two workers, and lets it become overdue.
func overdueCall(t *testing.T, slack time.Duration) (g *kernel.BatchQueue, call kernel.PieceBatch, now time.Time) {
	t.Helper()
	now = time.Unix(1000, 0)
	g = newBatchQueue(2)
	ok, _ := g.Add(now, pieceGroup(1, 2, 8000, now.Add(slack)))
	must.True(t, ok)
	call, ok = g.Next(now)
	must.True(t, ok)
	now = now.Add(g.OverdueAfter(call))
	return g, call, now
}

func TestWhatACallHoldsUpIsMadeElsewhereToo(t *testing.T) {
	g, first, now := overdueCall(t, 2*time.Second)
	must.EqOp(t, 2, g.Overdue(now, first))
	must.EqOp(t, 0, g.Overdue(now, first), must.Sprint("they wait already"))
	second, ok := g.Next(now)
	must.True(t, ok)
	must.Len(t, 2, second.Pieces)
	must.NotEq(t, first.Endpoint.Name, second.Endpoint.Name)
	ended, unwanted := g.Done(now.Add(250*time.Millisecond), second, madeAll(second))
	must.Len(t, 1, ended)
	must.EqOp(t, model.PieceFault(""), ended[0].Fault)
	must.SliceEmpty(t, unwanted)
	ended, unwanted = g.Done(now.Add(400*time.Millisecond), first, madeAll(first))
	must.SliceEmpty(t, ended, must.Sprint("a group ends once"))
	must.Len(t, 2, unwanted)
}

func TestTheFirstResultCounts(t *testing.T) {
	g, first, now := overdueCall(t, 2*time.Second)
	g.Overdue(now, first)
	second, _ := g.Next(now)
	ended, _ := g.Done(now.Add(50*time.Millisecond), first, madeAll(first))
	must.Len(t, 1, ended)
	must.Len(t, 2, ended[0].Made)
	_, unwanted := g.Done(now.Add(250*time.Millisecond), second, madeAll(second))
	must.Len(t, 2, unwanted)
}

// While a second call is under way, the end of the first in vain ends nothing and asks for nothing a third time.
func TestTheFailureOfACallWithASecondBesideIt(t *testing.T) {
	g, first, now := overdueCall(t, 2*time.Second)
	g.Overdue(now, first)
	second, _ := g.Next(now)
	must.SliceEmpty(t, g.Failed(now.Add(50*time.Millisecond), first))
	pieces, calls := g.Pending()
	must.EqOp(t, 0, pieces)
	must.EqOp(t, 1, calls)
	ended, _ := g.Done(now.Add(250*time.Millisecond), second, madeAll(second))
	must.Len(t, 1, ended)
}

// What is late whoever makes it stays where it is: a second call would take an endpoint from others.
func TestLateWorkIsNotMadeTwice(t *testing.T) {
	g, first, now := overdueCall(t, 500*time.Millisecond)
	must.EqOp(t, 0, g.Overdue(now, first))
}

// An endpoint that turned slow gets what it makes in time and what is late anyway, and one piece a second else.
func TestASlowEndpointGetsWhatItMakesInTime(t *testing.T) {
	g, first, now := overdueCall(t, 2*time.Second)
	g.Overdue(now, first)
	second, _ := g.Next(now)
	g.Done(now.Add(242*time.Millisecond), second, madeAll(second))
	now = now.Add(600 * time.Millisecond)
	g.Done(now, first, madeAll(first))
	slow, sound := first.Endpoint.Name, second.Endpoint.Name

	g.Add(now, pieceGroup(2, 8, 8000, now.Add(1100*time.Millisecond)))
	g.Add(now, pieceGroup(3, 8, 8000, now.Add(1100*time.Millisecond)))
	call, ok := g.Next(now)
	must.True(t, ok)
	must.EqOp(t, sound, call.Endpoint.Name)
	probe, ok := g.Next(now)
	must.True(t, ok)
	must.EqOp(t, slow, probe.Endpoint.Name)
	must.Len(t, 1, probe.Pieces)
	g.Done(now.Add(800*time.Millisecond), probe, madeAll(probe))
	_, ok = g.Next(now.Add(810 * time.Millisecond))
	must.False(t, ok, must.Sprint("one a second"))

	g.Add(now, pieceGroup(4, 3, 8000, now.Add(5*time.Second)))
	call, ok = g.Next(now.Add(820 * time.Millisecond))
	must.True(t, ok)
	must.EqOp(t, slow, call.Endpoint.Name, must.Sprint("in time all the same"))
	must.EqOp(t, "request-4", call.Pieces[0].Request)
}

// Seen while a failed soak was traced: an endpoint that answered nothing counted as slower with each call, without
// bound, and the slower it counted the longer its next call was waited for: at calls of some milliseconds 250 times
// what is stated after four of them. How: a call that was overdue set the slowdown by how long it had taken, and the next
// one was overdue later by as much. Only an answer tells a slowdown.
func TestAnEndpointThatAnswersNothingIsNotWaitedForLonger(t *testing.T) {
	g, call, now := overdueCall(t, 2*time.Second)
	dead := call.Endpoint.Name
	expected := g.Expected(call)
	for round := range 6 {
		g.Overdue(now, call)
		must.EqOp(t, expected, g.Expected(call), must.Sprint("round ", round))
		g.Failed(now.Add(time.Second), call)
		now = now.Add(10 * time.Second)
		for id := range uint64(4) {
			g.Add(now, pieceGroup(uint64(100*(round+1))+id, 8, 8000, now.Add(2*time.Second)))
		}
		sound, ok := g.Next(now)
		must.True(t, ok)
		must.NotEq(t, dead, sound.Endpoint.Name)
		call, ok = g.Next(now)
		must.True(t, ok, must.Sprint("round ", round, ": the endpoint is asked again"))
		must.EqOp(t, dead, call.Endpoint.Name)
		must.Len(t, 1, call.Pieces, must.Sprint("a single piece, until it has answered"))
		expected = g.Expected(call)
		g.Done(now.Add(300*time.Millisecond), sound, madeAll(sound))
		must.Less(t, 300*time.Millisecond, expected)
		g.Expire(now.Add(5 * time.Second))
	}
}
