package relay

import (
	"context"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// minPolledRoom is from which room on, in bytes, endpoints are asked how much is free: they
	// answer in whole megabytes. The room of others is learnt from what they refuse.
	minPolledRoom = 8_000_000
	// roomPollInterval is how often they are asked: their answers are some 200 ms old.
	roomPollInterval = 400 * time.Millisecond
)

// free gives results up at their workers. Their room is given out again only once the worker has
// confirmed: a call that overtakes the word would find no room.
func (b *batcher) freeResults(made []kernel.ResultRef) {
	byWorker := map[string][]kernel.ResultRef{}
	for _, m := range made {
		byWorker[m.Worker] = append(byWorker[m.Worker], m)
	}
	for name, made := range byWorker {
		b.mu.Lock()
		worker, ok := b.queue.Worker(name)
		b.mu.Unlock()
		// What gets nothing more, or only so much, drops results by itself after a while, and so does the account.
		if ok && b.allowsExtraCalls(worker) {
			go b.freeResultsAt(worker, made)
		}
	}
}

// freeFetchedInputs gives up the inputs that calls have fetched. Beside another batcher it does not: where
// two of them call the same worker, one call waits there for the other, and fetches later than reckoned.
func (b *batcher) freeFetchedInputs() {
	b.mu.Lock()
	alone := b.active && !b.relay.Leaving()
	b.mu.Unlock()
	if !alone {
		return
	}
	b.mu.Lock()
	fetched := b.queue.TakeFetchedInputs(b.relay.now())
	b.mu.Unlock()
	byQueue := map[string][]kernel.ResultRef{}
	for _, m := range fetched {
		queue := b.relay.batchers.queueNameOf(m)
		byQueue[queue] = append(byQueue[queue], m)
	}
	for _, made := range byQueue {
		b.relay.releaseResults(made)
	}
}

func (b *batcher) freeResultsAt(worker model.Endpoint, made []kernel.ResultRef) {
	ctx, cancel := context.WithTimeout(b.relay.ctx, freeTimeout)
	defer cancel()
	if err := b.relay.deps.FreeResults(ctx, worker, resultHandles(made)); err != nil {
		// The worker drops them by itself after a while, and so does the account.
		b.relay.metrics.Event("FreeFailed")
		return
	}
	b.mu.Lock()
	for _, m := range made {
		b.queue.Release(b.relay.now(), m)
	}
	b.mu.Unlock()
	b.startCalls()
}

// pollFreeRoom asks the workers for their room until no result of another batcher can be left: those
// lapse one after the other, and room that is not known to be free is lost to requests.
func (b *batcher) pollFreeRoom() {
	for {
		for _, worker := range b.workers(b.relay.Registry()) {
			if b.allowsExtraCalls(worker) {
				go b.fetchFreeRoom(worker)
			}
		}
		if !clock.Sleep(b.relay.ctx, roomPollInterval) || !b.mayHoldForeignResults() {
			return
		}
	}
}

// allowsExtraCalls tells whether a worker may get what is no call for pieces.
func (b *batcher) allowsExtraCalls(worker model.Endpoint) bool {
	r := b.relay
	traits, _ := r.View().Table.Pool(b.pool)
	bearsLittle := traits.ColdRate > 0 && kernel.IsCold(r.now(), worker)
	return worker.State != model.Evacuated && !bearsLittle && !r.rateCaps.HasCap(worker.Incarnation())
}

func (b *batcher) mayHoldForeignResults() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.MayHoldForeignResults(b.relay.now())
}

func (b *batcher) fetchFreeRoom(worker model.Endpoint) {
	ctx, cancel := context.WithTimeout(b.relay.ctx, freeTimeout)
	defer cancel()
	free, err := b.relay.deps.FreeRoom(ctx, worker)
	if err != nil {
		b.relay.metrics.Event("RoomUnknown")
		return
	}
	b.mu.Lock()
	b.queue.SetFreeRoom(b.relay.now(), worker.Incarnation(), free)
	b.mu.Unlock()
}

func resultHandles(made []kernel.ResultRef) []string {
	handles := make([]string, 0, len(made))
	for _, m := range made {
		handles = append(handles, m.Handle)
	}
	return handles
}
