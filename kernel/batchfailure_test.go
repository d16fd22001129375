package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
)

func TestRefusedCallIsRetriedOnAnotherWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(2)
	q.Add(now, newPieceGroup(1, 3, 0, now.Add(5*time.Second)))
	first, _ := q.Next(now)
	must.SliceEmpty(t, q.Refused(now, first))
	second, ok := q.Next(now)
	must.True(t, ok)
	must.NotEq(t, first.Endpoint.Name, second.Endpoint.Name, must.Sprint("the worker that refused gets no call for a while"))
	must.Len(t, 3, second.Pieces)
}

func TestUnreachableWorkerIsEjectedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(2)
	for id := uint64(1); id <= 2; id++ {
		q.Add(now, newPieceGroup(id, 1, 0, now.Add(5*time.Second)))
	}
	first, _ := q.Next(now)
	must.SliceEmpty(t, q.Unreachable(now, first))
	second, ok := q.Next(now)
	must.True(t, ok)
	must.NotEq(t, first.Endpoint.Name, second.Endpoint.Name)
	must.Len(t, 2, second.Pieces)
	q.Add(now, newPieceGroup(3, 1, 0, now.Add(5*time.Second)))
	_, ok = q.Next(now.Add(500 * time.Millisecond))
	must.False(t, ok)
	_, ok = q.Next(now.Add(1100 * time.Millisecond))
	must.True(t, ok, must.Sprint("a single call probes it after its ejection"))
}

func TestLostInputEndsGroup(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	q.Add(now, newPieceGroup(1, 2, 0, now.Add(5*time.Second)))
	batch, _ := q.Next(now)
	ended, _ := q.Done(now, batch, []model.PieceResult{{Handle: "h"}, {Fault: model.PieceInputGone}})
	must.Len(t, 1, ended)
	must.Eq(t, model.PieceInputGone, ended[0].Fault)
	must.Len(t, 1, ended[0].Made, must.Sprint("results made so far are returned, to be freed"))
}

func TestResultsOfCancelledGroupAreUnwanted(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	q.Add(now, newPieceGroup(1, 2, 0, now.Add(5*time.Second)))
	batch, _ := q.Next(now)
	must.SliceEmpty(t, q.Cancel(1))
	ended, unwanted := q.Done(now, batch, resultsFor(batch))
	must.SliceEmpty(t, ended)
	must.Len(t, 2, unwanted)
}
