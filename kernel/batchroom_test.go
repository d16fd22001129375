package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// roomTraits are the traits of a pool with many results that are small compared with its room of 3 MB, and with
// workers that do not report their room: 28 pieces of 60 kB a call, five workers, calls of 444 ms.
var roomTraits = model.PieceTraits{
	Slots: 1, MaxBatch: 28, CallTime: 240 * time.Millisecond, PieceTime: 7300 * time.Microsecond,
	Room: 3_000_000, ResultTTL: 4 * time.Second, LinkBandwidth: 1_250_000_000,
}

const roomResultBytes = 60_000

// batcherLossSim simulates the loss of a batcher with all its state: the workers are full of results that are never
// freed. These were made over the second before the loss, and each expires Keep after it was made. Requests of four
// pieces arrive at three quarters of the calls' capacity.
type batcherLossSim struct {
	queue *kernel.BatchQueue
	// expiries holds, by worker, the times at which the results of the lost batcher expire.
	expiries map[string][]time.Time
	running  []kernel.PieceBatch
	held     map[string][]kernel.ResultRef
	// completed is the number of requests completed, withoutRoom the number of pieces that were not made for lack of
	// room.
	completed   int
	withoutRoom int
}

func newBatcherLossSim(start time.Time, policy kernel.Policy) *batcherLossSim {
	s := &batcherLossSim{queue: kernel.NewBatchQueue(roomTraits), expiries: map[string][]time.Time{}, held: map[string][]kernel.ResultRef{}}
	s.queue.SetPolicy(policy)
	s.queue.SetEndpoints(workerEndpoints(5))
	s.queue.TakeOver(start)
	// The batcher was lost 1.5 s ago, which is how long nodes need to replace it.
	lost := start.Add(-1500 * time.Millisecond)
	for _, w := range workerEndpoints(5) {
		for i := range 50 {
			s.expiries[w.Name] = append(s.expiries[w.Name], lost.Add(roomTraits.ResultTTL-time.Duration(i)*20*time.Millisecond))
		}
	}
	return s
}

// foreignResults returns how many results of the lost batcher a worker still holds.
func (s *batcherLossSim) foreignResults(now time.Time, worker string) int {
	n := 0
	for _, at := range s.expiries[worker] {
		if now.Before(at) {
			n++
		}
	}
	return n
}

// endCall completes a call as its worker would: pieces without room are not made. Results are freed at once, as if
// they had been fetched.
func (s *batcherLossSim) endCall(now time.Time, batch kernel.PieceBatch) {
	room := int(roomTraits.Room/roomResultBytes) - s.foreignResults(batch.StartedAt(), batch.Endpoint.Name)
	results := resultsFor(batch)
	for i := range results {
		if i >= room {
			results[i] = model.PieceResult{Fault: model.PieceNoRoom}
			s.withoutRoom++
		}
	}
	ended, _ := s.queue.Done(now, batch, results)
	for _, o := range ended {
		if o.Fault == "" {
			s.completed++
		}
		for _, ref := range o.Made {
			s.queue.Release(now, ref)
		}
	}
}

// run runs the simulation and returns the cumulative number of completed requests at the end of each second.
func (s *batcherLossSim) run(start time.Time, seconds int) []int {
	var done []int
	id := uint64(0)
	for step := range seconds * 200 {
		now := start.Add(time.Duration(step) * 5 * time.Millisecond)
		for len(s.running) > 0 && !now.Before(s.running[0].StartedAt().Add(444*time.Millisecond)) {
			batch := s.running[0]
			s.running = s.running[1:]
			s.endCall(now, batch)
		}
		s.queue.Expire(now)
		// 60 requests arrive each second; the calls can carry 79.
		if step%10 < 3 {
			id++
			s.queue.Add(now, newPieceGroup(id, 4, roomResultBytes, now.Add(2500*time.Millisecond)))
		}
		for {
			batch, ok := s.queue.Next(now)
			if !ok {
				break
			}
			s.running = append(s.running, batch)
		}
		if step%200 == 199 {
			done = append(done, s.completed)
		}
	}
	return done
}

// Refusals for lack of room show how much room the lost batcher's results take, and pieces that found none are
// retried for as long as they can be on time. Without this a refusal stops all calls to a worker, a piece fails
// after three attempts, and fewer requests are served while those results expire.
func TestRoomTakenByLostBatcherIsEstimated(t *testing.T) {
	start := time.Unix(1000, 0)
	simWith := newBatcherLossSim(start, kernel.Policy{})
	completedWith := simWith.run(start, 6)
	simWithout := newBatcherLossSim(start, kernel.Policy{}.Without(kernel.LearnRoomFromRefusals))
	completedWithout := simWithout.run(start, 6)
	t.Logf("requests completed by second: %v (%d pieces without room), without LearnRoomFromRefusals %v (%d)", completedWith, simWith.withoutRoom, completedWithout, simWithout.withoutRoom)
	must.GreaterEq(t, completedWithout[2], completedWith[2])
	must.GreaterEq(t, 60*3*9/10, completedWith[5]-completedWith[2], must.Sprint("new requests are served once the results have expired"))
}

func TestReportedRoomReplacesEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newBatchQueue(1)
	q.TakeOver(now)
	must.True(t, q.MayHoldForeignResults(now))
	q.SetFreeRoom(now, "worker-0", 0)
	must.EqOp(t, 1, q.RoomTaken(now))
	q.SetFreeRoom(now.Add(time.Second), "worker-0", batchTraits.Room)
	must.EqOp(t, 0, q.RoomTaken(now.Add(time.Second)))
	must.False(t, q.MayHoldForeignResults(now.Add(2*batchTraits.ResultTTL)))
}
