package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// roomTraits are those of a pool whose results are many and small beside its room of 3 MB, which its
// workers do not tell: 28 pieces of 60 kB a call, five workers, calls of 444 ms.
var roomTraits = model.PieceTraits{
	Slots: 1, Batch: 28, CallTime: 240 * time.Millisecond, PieceTime: 7300 * time.Microsecond,
	Room: 3_000_000, Keep: 4 * time.Second, Link: 1_250_000_000,
}

const roomResult = 60_000

// lostBatcher plays the pattern "the batcher is lost with all that it knew": the workers are full of
// results that nobody frees. They lapse one after the other, as they were made over the last second,
// Keep after each was made. Requests of four pieces come at three quarters of what the calls can carry.
type lostBatcher struct {
	g       *kernel.BatchQueue
	lapses  map[string][]time.Time
	running []kernel.PieceBatch
	held    map[string][]kernel.ResultRef
	made    int
	wasted  int
}

func newLostBatcher(start time.Time, policy kernel.Policy) *lostBatcher {
	l := &lostBatcher{g: kernel.NewBatchQueue(roomTraits), lapses: map[string][]time.Time{}, held: map[string][]kernel.ResultRef{}}
	l.g.SetPolicy(policy)
	l.g.SetEndpoints(workers(5))
	l.g.TakeOver(start)
	// The loss was 1.5 s ago: nodes need that to come back.
	lost := start.Add(-1500 * time.Millisecond)
	for _, m := range workers(5) {
		for i := range 50 {
			l.lapses[m.Name] = append(l.lapses[m.Name], lost.Add(roomTraits.Keep-time.Duration(i)*20*time.Millisecond))
		}
	}
	return l
}

// foreign is how many results of the lost batcher a worker holds.
func (l *lostBatcher) foreign(now time.Time, worker string) int {
	n := 0
	for _, at := range l.lapses[worker] {
		if now.Before(at) {
			n++
		}
	}
	return n
}

// end ends a call as its worker does: pieces find room or are not made. Results are given up at once, as
// if their consumers had fetched them.
func (l *lostBatcher) end(now time.Time, batch kernel.PieceBatch) {
	room := int(roomTraits.Room/roomResult) - l.foreign(batch.StartedAt(), batch.Endpoint.Name)
	results := madeAll(batch)
	for i := range results {
		if i >= room {
			results[i] = model.PieceResult{Fault: model.PieceNoRoom}
			l.wasted++
		}
	}
	ended, _ := l.g.Done(now, batch, results)
	for _, o := range ended {
		if o.Fault == "" {
			l.made++
		}
		for _, m := range o.Made {
			l.g.Release(now, m)
		}
	}
}

// play returns how many requests were made by the end of each second.
func (l *lostBatcher) play(start time.Time, seconds int) []int {
	var done []int
	id := uint64(0)
	for step := range seconds * 200 {
		now := start.Add(time.Duration(step) * 5 * time.Millisecond)
		for len(l.running) > 0 && !now.Before(l.running[0].StartedAt().Add(444*time.Millisecond)) {
			batch := l.running[0]
			l.running = l.running[1:]
			l.end(now, batch)
		}
		l.g.Expire(now)
		// 60 requests a second; the calls carry 79.
		if step%10 < 3 {
			id++
			l.g.Add(now, pieceGroup(id, 4, roomResult, now.Add(2500*time.Millisecond)))
		}
		for {
			batch, ok := l.g.Next(now)
			if !ok {
				break
			}
			l.running = append(l.running, batch)
		}
		if step%200 == 199 {
			done = append(done, l.made)
		}
	}
	return done
}

// What workers refuse tells how much room the lost batcher's results take, and pieces that found none
// are asked for again for as long as they can be on time. With workers put aside whole after a refusal, and
// three tries a piece, less was served in the seconds in which those results lapse.
func TestRoomLeftByALostBatcherIsLearnt(t *testing.T) {
	start := time.Unix(1000, 0)
	learnt := newLostBatcher(start, kernel.Policy{})
	with := learnt.play(start, 6)
	aside := newLostBatcher(start, kernel.Policy{}.Without(kernel.LearnRoomFromRefusals))
	without := aside.play(start, 6)
	t.Logf("requests made by second: learnt %v (%d pieces without room), put aside %v (%d)", with, learnt.wasted, without, aside.wasted)
	must.GreaterEq(t, without[2], with[2])
	must.GreaterEq(t, 60*3*9/10, with[5]-with[2], must.Sprint("what comes is served once the results have lapsed"))
}

func TestAWorkerThatReportsItsRoomIsTakenAtItsWord(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newBatchQueue(1)
	g.TakeOver(now)
	must.True(t, g.MayHoldForeignResults(now))
	g.SetFreeRoom(now, "worker-0", 0)
	must.EqOp(t, 1, g.RoomTaken(now))
	g.SetFreeRoom(now.Add(time.Second), "worker-0", batchTraits.Room)
	must.EqOp(t, 0, g.RoomTaken(now.Add(time.Second)))
	must.False(t, g.MayHoldForeignResults(now.Add(2*batchTraits.Keep)))
}
