package kernel_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Workers may state a rate cap. These tests guard against a batcher that ignores it and calls such a worker as fast
// as it answers.

type (
	// cappedQueue simulates a queue that gets more pieces than its capped workers accept.
	cappedQueue struct {
		queue   *kernel.BatchQueue
		running []cappedCall
		lastID  uint64
		// calls holds the start times of the calls to the first worker.
		calls []time.Time
		// made is the number of pieces made, refused the number of groups refused with a retry delay.
		made, refused int
	}

	cappedCall struct {
		batch kernel.PieceBatch
		end   time.Time
	}
)

// run simulates the queue for a time, with a new group every 100 ms.
func (q *cappedQueue) run(duration time.Duration) {
	start := time.Unix(1000, 0)
	for elapsed := time.Duration(0); elapsed < duration; elapsed += 10 * time.Millisecond {
		now := start.Add(elapsed)
		q.endCalls(now)
		if elapsed%(100*time.Millisecond) == 0 {
			q.addGroup(now)
		}
		q.queue.Expire(now)
		q.startCalls(now)
	}
}

func (q *cappedQueue) endCalls(now time.Time) {
	q.running = slices.DeleteFunc(q.running, func(c cappedCall) bool {
		if now.Before(c.end) {
			return false
		}
		ended, _ := q.queue.Done(now, c.batch, resultsFor(c.batch))
		for _, o := range ended {
			q.made += len(o.Made)
			for _, ref := range o.Made {
				q.queue.Release(now, ref)
			}
		}
		return true
	})
}

func (q *cappedQueue) addGroup(now time.Time) {
	q.lastID++
	ok, retry := q.queue.Add(now, newPieceGroup(q.lastID, 4, 8000, now.Add(time.Second)))
	if !ok && retry > 0 {
		q.refused++
	}
}

func (q *cappedQueue) startCalls(now time.Time) {
	for {
		batch, ok := q.queue.Next(now)
		if !ok {
			return
		}
		if batch.Endpoint.Name == "worker-0" {
			q.calls = append(q.calls, now)
		}
		q.running = append(q.running, cappedCall{batch: batch, end: now.Add(q.queue.Expected(batch))})
	}
}

// A worker with a rate cap gets no more calls than the cap allows, even from two batchers, and the other workers
// make the rest.
func TestRateCapLimitsCallsToWorker(t *testing.T) {
	t.Parallel()
	for _, perSecond := range []float64{0, 0.1, 1, 1.4, 3} {
		var calls []time.Time
		for range 2 {
			q := cappedQueue{queue: newBatchQueue(4)}
			q.queue.SetRateCap("worker-0", model.NewRateCap(perSecond))
			q.run(30 * time.Second)
			calls = append(calls, q.calls...)
			must.EqOp(t, 0, q.refused)
			must.GreaterEq(t, 1100, q.made)
		}
		must.LessEq(t, int(1.5*perSecond*4+5), maxCountWithin(calls, 4*time.Second))
	}
}

// If all workers have rate caps, pieces beyond the caps are refused at once with a time to retry, and the others
// are made.
func TestPiecesBeyondAllRateCapsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	q := cappedQueue{queue: newBatchQueue(2)}
	for _, w := range workerEndpoints(2) {
		q.queue.SetRateCap(w.Incarnation(), model.NewRateCap(1))
	}
	q.run(30 * time.Second)
	must.Between(t, 15, len(q.calls), 20)
	must.Positive(t, q.refused)
	must.GreaterEq(t, 200, q.made)
}

// A new batcher does not know which workers the previous one called last. It pauses before it calls workers with
// rate caps as if each had been called at the takeover.
func TestTakeoverDelaysCallsToCappedWorkers(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	stated := model.NewRateCap(1)
	q := newBatchQueue(1)
	q.SetRateCap("worker-0", stated)
	q.TakeOver(now)
	q.Add(now, newPieceGroup(1, 1, 10, now.Add(time.Minute)))
	_, called := q.Next(now.Add(kernel.CapBatcherInterval(stated) - time.Millisecond))
	must.False(t, called)
	_, called = q.Next(now.Add(kernel.CapBatcherInterval(stated)))
	must.True(t, called)
}

// The pause between calls to a worker with a rate cap also holds if the worker is missing from one listing. The
// time of its last call must not be dropped with the entry.
func TestRateCapPauseSurvivesMissingListing(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	stated := model.NewRateCap(1)
	pause := kernel.CapBatcherInterval(stated)
	q := newBatchQueue(1)
	q.SetRateCap("worker-0", stated)
	q.Add(now, newPieceGroup(1, 1, 10, now.Add(time.Minute)))
	batch, called := q.Next(now)
	must.True(t, called)
	q.Done(now, batch, resultsFor(batch))

	q.SetEndpoints(nil)
	q.Expire(now.Add(pause / 2))
	q.SetEndpoints(workerEndpoints(1))
	q.SetRateCap("worker-0", stated)
	q.Add(now, newPieceGroup(2, 1, 10, now.Add(time.Minute)))
	_, called = q.Next(now.Add(pause - time.Millisecond))
	must.False(t, called)
	_, called = q.Next(now.Add(pause))
	must.True(t, called)
}
