package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// overdueCall starts a call for a group of two pieces at the first of two workers, and lets it become overdue.
func overdueCall(t *testing.T, slack time.Duration) (q *kernel.BatchQueue, call kernel.PieceBatch, now time.Time) {
	t.Helper()
	now = time.Unix(1000, 0)
	q = newBatchQueue(2)
	ok, _ := q.Add(now, pieceGroup(1, 2, 8000, now.Add(slack)))
	must.True(t, ok)
	call, ok = q.Next(now)
	must.True(t, ok)
	now = now.Add(q.OverdueAfter(call))
	return q, call, now
}

func TestOverduePiecesAreMadeOnAnotherWorker(t *testing.T) {
	q, first, now := overdueCall(t, 2*time.Second)
	must.EqOp(t, 2, q.Overdue(now, first))
	must.EqOp(t, 0, q.Overdue(now, first), must.Sprint("they wait already"))
	second, ok := q.Next(now)
	must.True(t, ok)
	must.Len(t, 2, second.Pieces)
	must.NotEq(t, first.Endpoint.Name, second.Endpoint.Name)
	ended, unwanted := q.Done(now.Add(250*time.Millisecond), second, madeAll(second))
	must.Len(t, 1, ended)
	must.EqOp(t, model.PieceFault(""), ended[0].Fault)
	must.SliceEmpty(t, unwanted)
	ended, unwanted = q.Done(now.Add(400*time.Millisecond), first, madeAll(first))
	must.SliceEmpty(t, ended, must.Sprint("a group ends once"))
	must.Len(t, 2, unwanted)
}

func TestFirstResultOfDuplicatePieceIsUsed(t *testing.T) {
	q, first, now := overdueCall(t, 2*time.Second)
	q.Overdue(now, first)
	second, _ := q.Next(now)
	ended, _ := q.Done(now.Add(50*time.Millisecond), first, madeAll(first))
	must.Len(t, 1, ended)
	must.Len(t, 2, ended[0].Made)
	_, unwanted := q.Done(now.Add(250*time.Millisecond), second, madeAll(second))
	must.Len(t, 2, unwanted)
}

// While a second call is under way, the end of the first in vain ends nothing and asks for nothing a third time.
func TestFailureOfCallWithDuplicate(t *testing.T) {
	q, first, now := overdueCall(t, 2*time.Second)
	q.Overdue(now, first)
	second, _ := q.Next(now)
	must.SliceEmpty(t, q.Failed(now.Add(50*time.Millisecond), first))
	pieces, calls := q.Pending()
	must.EqOp(t, 0, pieces)
	must.EqOp(t, 1, calls)
	ended, _ := q.Done(now.Add(250*time.Millisecond), second, madeAll(second))
	must.Len(t, 1, ended)
}

// What is late whoever makes it stays where it is: a second call would take an endpoint from others.
func TestLateWorkIsNotMadeTwice(t *testing.T) {
	q, first, now := overdueCall(t, 500*time.Millisecond)
	must.EqOp(t, 0, q.Overdue(now, first))
}

// An endpoint that turned slow gets what it makes in time and what is late anyway, and one piece a second else.
func TestSlowWorkerGetsWorkItMakesOnTime(t *testing.T) {
	q, first, now := overdueCall(t, 2*time.Second)
	q.Overdue(now, first)
	second, _ := q.Next(now)
	q.Done(now.Add(242*time.Millisecond), second, madeAll(second))
	now = now.Add(600 * time.Millisecond)
	q.Done(now, first, madeAll(first))
	slow, healthy := first.Endpoint.Name, second.Endpoint.Name

	q.Add(now, pieceGroup(2, 8, 8000, now.Add(1100*time.Millisecond)))
	q.Add(now, pieceGroup(3, 8, 8000, now.Add(1100*time.Millisecond)))
	call, ok := q.Next(now)
	must.True(t, ok)
	must.EqOp(t, healthy, call.Endpoint.Name)
	probe, ok := q.Next(now)
	must.True(t, ok)
	must.EqOp(t, slow, probe.Endpoint.Name)
	must.Len(t, 1, probe.Pieces)
	q.Done(now.Add(800*time.Millisecond), probe, madeAll(probe))
	_, ok = q.Next(now.Add(810 * time.Millisecond))
	must.False(t, ok, must.Sprint("one a second"))

	q.Add(now, pieceGroup(4, 3, 8000, now.Add(5*time.Second)))
	call, ok = q.Next(now.Add(820 * time.Millisecond))
	must.True(t, ok)
	must.EqOp(t, slow, call.Endpoint.Name, must.Sprint("in time all the same"))
	must.EqOp(t, "request-4", call.Pieces[0].Request)
}

// Seen while a failed soak was traced: an endpoint that answered nothing counted as slower with each call, without
// bound, and the slower it counted the longer its next call was waited for: at calls of some milliseconds 250 times
// what is stated after four of them. How: a call that was overdue set the slowdown by how long it had taken, and the next
// one was overdue later by as much. Only an answer tells a slowdown.
func TestExpectedDurationOfUnansweringWorkerStays(t *testing.T) {
	q, call, now := overdueCall(t, 2*time.Second)
	unanswering := call.Endpoint.Name
	expected := q.Expected(call)
	for round := range 6 {
		q.Overdue(now, call)
		must.EqOp(t, expected, q.Expected(call), must.Sprint("round ", round))
		q.Failed(now.Add(time.Second), call)
		now = now.Add(10 * time.Second)
		for id := range uint64(4) {
			q.Add(now, pieceGroup(uint64(100*(round+1))+id, 8, 8000, now.Add(2*time.Second)))
		}
		healthy, ok := q.Next(now)
		must.True(t, ok)
		must.NotEq(t, unanswering, healthy.Endpoint.Name)
		call, ok = q.Next(now)
		must.True(t, ok, must.Sprint("round ", round, ": the endpoint is asked again"))
		must.EqOp(t, unanswering, call.Endpoint.Name)
		must.Len(t, 1, call.Pieces, must.Sprint("a single piece, until it has answered"))
		expected = q.Expected(call)
		q.Done(now.Add(300*time.Millisecond), healthy, madeAll(healthy))
		must.Less(t, 300*time.Millisecond, expected)
		q.Expire(now.Add(5 * time.Second))
	}
}
