package relay

import (
	"context"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// freeTimeout bounds a call that frees results or asks for free room.
	freeTimeout = time.Second
	// minPolledRoom is the least room of a worker, in bytes, from which on workers are asked for their free room:
	// they report it in whole megabytes. Whether smaller ones have room shows in the pieces that they refuse.
	minPolledRoom = 8_000_000
	// roomPollInterval is how often workers are asked for their free room: their replies are about 200 ms old.
	roomPollInterval = 400 * time.Millisecond
)

// freeResults frees results at their workers. Their room is used again only after the worker has confirmed: a call
// that arrives before the confirmation would find no room.
func (b *batcher) freeResults(made []kernel.ResultRef) {
	byWorker := map[string][]kernel.ResultRef{}
	for _, m := range made {
		byWorker[m.Worker] = append(byWorker[m.Worker], m)
	}
	for name, made := range byWorker {
		b.mu.Lock()
		worker, ok := b.queue.Worker(name)
		b.mu.Unlock()
		if !ok {
			continue
		}
		if pause := worker.PausedUntil.Sub(b.relay.now()); worker.TakesWork() && pause > 0 {
			time.AfterFunc(pause, func() { b.freeResults(made) })
			continue
		}
		// Other workers drop the results after the pool's ResultTTL, and the queue then counts their room as free.
		if b.allowsExtraCalls(worker) {
			go b.freeResultsAt(worker, made)
		}
	}
}

// freeFetchedInputs frees the inputs that calls have fetched. It does nothing while another node may batch too: if
// two batchers call the same worker, one call waits for the other and fetches its inputs later than expected.
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
		name := b.relay.batchers.queueNameOf(m)
		byQueue[name] = append(byQueue[name], m)
	}
	for _, made := range byQueue {
		b.relay.releaseResults(made)
	}
}

func (b *batcher) freeResultsAt(worker model.Endpoint, made []kernel.ResultRef) {
	ctx, cancel := context.WithTimeout(b.relay.ctx, freeTimeout)
	defer cancel()
	if err := b.relay.freeResultsAt(ctx, worker, made); err != nil {
		// The worker drops them after the pool's ResultTTL, and the queue then counts their room as free.
		b.relay.metrics.CountEvent("FreeFailed")
		return
	}
	b.mu.Lock()
	for _, m := range made {
		b.queue.Release(b.relay.now(), m)
	}
	b.mu.Unlock()
	b.startCalls()
}

// pollFreeRoom asks the workers for their free room until no results of another batcher can be left: those expire
// one by one, and room that is not known to be free is not used.
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

// allowsExtraCalls reports whether a worker may get calls other than those for pieces. Workers that accept no work
// now get none, and workers that are cold or state a rate cap accept only few calls.
func (b *batcher) allowsExtraCalls(worker model.Endpoint) bool {
	r := b.relay
	traits, _ := r.View().Table.Pool(b.pool)
	limited := traits.ColdRate > 0 && kernel.IsCold(r.now(), worker)
	return worker.Accepts(r.now()) && !limited && !r.rateCaps.HasCap(worker.Incarnation())
}

func (b *batcher) mayHoldForeignResults() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.MayHoldForeignResults(b.relay.now())
}

func (b *batcher) fetchFreeRoom(worker model.Endpoint) {
	ctx, cancel := context.WithTimeout(b.relay.ctx, freeTimeout)
	defer cancel()
	free, err := b.relay.freeRoom(ctx, worker)
	if err != nil {
		b.relay.metrics.CountEvent("RoomUnknown")
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
