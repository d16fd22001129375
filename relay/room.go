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
func (g *batcher) freeResults(made []kernel.ResultRef) {
	byWorker := map[string][]kernel.ResultRef{}
	for _, m := range made {
		byWorker[m.Worker] = append(byWorker[m.Worker], m)
	}
	for name, made := range byWorker {
		g.mu.Lock()
		worker, ok := g.queue.Worker(name)
		g.mu.Unlock()
		// What gets nothing more, or only so much, drops results by itself after a while, and so does the account.
		if ok && g.allowsExtraCalls(worker) {
			go g.freeResultsAt(worker, made)
		}
	}
}

// freeFetchedInputs gives up the inputs that calls have fetched. Beside another batcher it does not: where
// two of them call the same worker, one call waits there for the other, and fetches later than reckoned.
func (g *batcher) freeFetchedInputs() {
	g.mu.Lock()
	alone := g.active && !g.relay.Leaving()
	g.mu.Unlock()
	if !alone {
		return
	}
	g.mu.Lock()
	fetched := g.queue.TakeFetchedInputs(g.relay.now())
	g.mu.Unlock()
	byQueue := map[string][]kernel.ResultRef{}
	for _, m := range fetched {
		queue := g.relay.batchers.queueNameOf(m)
		byQueue[queue] = append(byQueue[queue], m)
	}
	for _, made := range byQueue {
		g.relay.releaseResults(made)
	}
}

func (g *batcher) freeResultsAt(worker model.Endpoint, made []kernel.ResultRef) {
	ctx, cancel := context.WithTimeout(g.relay.ctx, freeTimeout)
	defer cancel()
	if err := g.relay.deps.FreeResults(ctx, worker, resultHandles(made)); err != nil {
		// The worker drops them by itself after a while, and so does the account.
		g.relay.metrics.Event("FreeFailed")
		return
	}
	g.mu.Lock()
	for _, m := range made {
		g.queue.Release(g.relay.now(), m)
	}
	g.mu.Unlock()
	g.startCalls()
}

// pollFreeRoom asks the workers for their room until no result of another batcher can be left: those
// lapse one after the other, and room that is not known to be free is lost to requests.
func (g *batcher) pollFreeRoom() {
	for {
		for _, worker := range g.workers(g.relay.Registry()) {
			if g.allowsExtraCalls(worker) {
				go g.fetchFreeRoom(worker)
			}
		}
		if !clock.Sleep(g.relay.ctx, roomPollInterval) || !g.mayHoldForeignResults() {
			return
		}
	}
}

// allowsExtraCalls tells whether a worker may get what is no call for pieces.
func (g *batcher) allowsExtraCalls(worker model.Endpoint) bool {
	r := g.relay
	traits, _ := r.View().Table.Pool(g.pool)
	bearsLittle := traits.ColdRate > 0 && kernel.IsCold(r.now(), worker)
	return worker.State != model.Evacuated && !bearsLittle && !r.rateCaps.HasCap(worker.Incarnation())
}

func (g *batcher) mayHoldForeignResults() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.MayHoldForeignResults(g.relay.now())
}

func (g *batcher) fetchFreeRoom(worker model.Endpoint) {
	ctx, cancel := context.WithTimeout(g.relay.ctx, freeTimeout)
	defer cancel()
	free, err := g.relay.deps.FreeRoom(ctx, worker)
	if err != nil {
		g.relay.metrics.Event("RoomUnknown")
		return
	}
	g.mu.Lock()
	g.queue.SetFreeRoom(g.relay.now(), worker.Incarnation(), free)
	g.mu.Unlock()
}

func resultHandles(made []kernel.ResultRef) []string {
	handles := make([]string, 0, len(made))
	for _, m := range made {
		handles = append(handles, m.Handle)
	}
	return handles
}
