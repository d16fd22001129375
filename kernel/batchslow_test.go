package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// startOverdueCall starts a call for a group of two pieces at one of two workers, and advances the time until it is
// overdue.
func startOverdueCall(t *testing.T, slack time.Duration) (q *kernel.BatchQueue, call kernel.PieceBatch, now time.Time) {
	t.Helper()
	now = time.Unix(1000, 0)
	q = newBatchQueue(2)
	ok, _ := q.Add(now, newPieceGroup(1, 2, 8000, now.Add(slack)))
	must.True(t, ok)
	call, ok = q.Next(now)
	must.True(t, ok)
	now = now.Add(q.OverdueAfter(call))
	return q, call, now
}

func TestOverduePiecesAreMadeOnAnotherWorker(t *testing.T) {
	q, first, now := startOverdueCall(t, 2*time.Second)
	must.EqOp(t, 2, q.RequeueOverdue(now, first))
	must.EqOp(t, 0, q.RequeueOverdue(now, first), must.Sprint("they are already waiting"))
	second, ok := q.Next(now)
	must.True(t, ok)
	must.Len(t, 2, second.Pieces)
	must.NotEq(t, first.Endpoint.Name, second.Endpoint.Name)
	ended, unwanted := q.Done(now.Add(250*time.Millisecond), second, resultsFor(second))
	must.Len(t, 1, ended)
	must.EqOp(t, model.PieceFault(""), ended[0].Fault)
	must.SliceEmpty(t, unwanted)
	ended, unwanted = q.Done(now.Add(400*time.Millisecond), first, resultsFor(first))
	must.SliceEmpty(t, ended, must.Sprint("a group ends once"))
	must.Len(t, 2, unwanted)
}

func TestFirstResultOfDuplicatePieceIsUsed(t *testing.T) {
	q, first, now := startOverdueCall(t, 2*time.Second)
	q.RequeueOverdue(now, first)
	second, _ := q.Next(now)
	ended, _ := q.Done(now.Add(50*time.Millisecond), first, resultsFor(first))
	must.Len(t, 1, ended)
	must.Len(t, 2, ended[0].Made)
	_, unwanted := q.Done(now.Add(250*time.Millisecond), second, resultsFor(second))
	must.Len(t, 2, unwanted)
}

// While a duplicate call is running, the failure of the first neither ends the group nor requeues its pieces.
func TestFailureOfCallWithDuplicate(t *testing.T) {
	q, first, now := startOverdueCall(t, 2*time.Second)
	q.RequeueOverdue(now, first)
	second, _ := q.Next(now)
	must.SliceEmpty(t, q.Failed(now.Add(50*time.Millisecond), first))
	pieces, calls := q.Pending()
	must.EqOp(t, 0, pieces)
	must.EqOp(t, 1, calls)
	ended, _ := q.Done(now.Add(250*time.Millisecond), second, resultsFor(second))
	must.Len(t, 1, ended)
}

// A group that would be late on any worker is not requeued: a second call would take a worker from other groups.
func TestLatePiecesAreNotMadeTwice(t *testing.T) {
	q, first, now := startOverdueCall(t, 500*time.Millisecond)
	must.EqOp(t, 0, q.RequeueOverdue(now, first))
}

// A slow worker gets the groups that it can make on time and those that would be late anyway. Otherwise it gets one
// piece a second as a probe.
func TestSlowWorkerGetsGroupsItMakesOnTime(t *testing.T) {
	q, first, now := startOverdueCall(t, 2*time.Second)
	q.RequeueOverdue(now, first)
	second, _ := q.Next(now)
	q.Done(now.Add(242*time.Millisecond), second, resultsFor(second))
	now = now.Add(600 * time.Millisecond)
	q.Done(now, first, resultsFor(first))
	slow, healthy := first.Endpoint.Name, second.Endpoint.Name

	q.Add(now, newPieceGroup(2, 8, 8000, now.Add(1100*time.Millisecond)))
	q.Add(now, newPieceGroup(3, 8, 8000, now.Add(1100*time.Millisecond)))
	call, ok := q.Next(now)
	must.True(t, ok)
	must.EqOp(t, healthy, call.Endpoint.Name)
	probe, ok := q.Next(now)
	must.True(t, ok)
	must.EqOp(t, slow, probe.Endpoint.Name)
	must.Len(t, 1, probe.Pieces)
	q.Done(now.Add(800*time.Millisecond), probe, resultsFor(probe))
	_, ok = q.Next(now.Add(810 * time.Millisecond))
	must.False(t, ok, must.Sprint("one probe a second"))

	q.Add(now, newPieceGroup(4, 3, 8000, now.Add(5*time.Second)))
	call, ok = q.Next(now.Add(820 * time.Millisecond))
	must.True(t, ok)
	must.EqOp(t, slow, call.Endpoint.Name, must.Sprint("it makes this group on time"))
	must.EqOp(t, "request-4", call.Pieces[0].Request)
}

// Only an answer may change the slowdown of a worker. If an overdue call raised it by the time waited so far,
// each call to a worker that never answers would be waited for longer than the previous one, without bound: at
// calls of some milliseconds, 250 times the stated duration after four calls.
func TestExpectedDurationOfUnansweringWorkerStays(t *testing.T) {
	q, call, now := startOverdueCall(t, 2*time.Second)
	unanswering := call.Endpoint.Name
	expected := q.Expected(call)
	for round := range 6 {
		q.RequeueOverdue(now, call)
		must.EqOp(t, expected, q.Expected(call), must.Sprint("round ", round))
		q.Failed(now.Add(time.Second), call)
		now = now.Add(10 * time.Second)
		for id := range uint64(4) {
			q.Add(now, newPieceGroup(uint64(100*(round+1))+id, 8, 8000, now.Add(2*time.Second)))
		}
		healthy, ok := q.Next(now)
		must.True(t, ok)
		must.NotEq(t, unanswering, healthy.Endpoint.Name)
		call, ok = q.Next(now)
		must.True(t, ok, must.Sprint("round ", round, ": the worker is probed"))
		must.EqOp(t, unanswering, call.Endpoint.Name)
		must.Len(t, 1, call.Pieces, must.Sprint("a single piece, until it has answered"))
		expected = q.Expected(call)
		q.Done(now.Add(300*time.Millisecond), healthy, resultsFor(healthy))
		must.Less(t, 300*time.Millisecond, expected)
		q.Expire(now.Add(5 * time.Second))
	}
}
