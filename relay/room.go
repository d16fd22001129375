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
	// roomWorthAsking is from which room on, in bytes, endpoints are asked how much is free: they
	// answer in whole megabytes. The room of others is learnt from what they refuse.
	roomWorthAsking = 8_000_000
	// askRoomEvery is how often they are asked: their answers are some 200 ms old.
	askRoomEvery = 400 * time.Millisecond
)

// free gives results up at their makers. Their room is given out again only once the maker has
// confirmed: a call that overtakes the word would find no room.
func (g *batcher) free(made []kernel.MadePiece) {
	byMaker := map[string][]kernel.MadePiece{}
	for _, m := range made {
		byMaker[m.Maker] = append(byMaker[m.Maker], m)
	}
	for name, made := range byMaker {
		g.mu.Lock()
		maker, ok := g.g.Maker(name)
		g.mu.Unlock()
		// An evacuated endpoint gets nothing more; it drops results by itself after a while, and so does the account.
		if ok && maker.State != model.Evacuated {
			go g.freeAt(maker, made)
		}
	}
}

// freeFetched gives up the inputs that calls have fetched. Beside another batcher it does not: where
// two of them call the same maker, one call waits there for the other, and fetches later than reckoned.
func (g *batcher) freeFetched() {
	g.mu.Lock()
	alone := g.active && !g.relay.Leaving()
	g.mu.Unlock()
	if !alone {
		return
	}
	g.mu.Lock()
	fetched := g.g.Fetched(g.relay.now())
	g.mu.Unlock()
	byQueue := map[string][]kernel.MadePiece{}
	for _, m := range fetched {
		queue := g.relay.hub.queueOf(m)
		byQueue[queue] = append(byQueue[queue], m)
	}
	for _, made := range byQueue {
		g.relay.release(made)
	}
}

func (g *batcher) freeAt(maker model.Endpoint, made []kernel.MadePiece) {
	ctx, cancel := context.WithTimeout(g.relay.ctx, freeTimeout)
	defer cancel()
	if err := g.relay.wire.Free(ctx, maker, handlesOf(made)); err != nil {
		// The maker drops them by itself after a while, and so does the account.
		g.relay.metrics.Event("FreeFailed")
		return
	}
	g.mu.Lock()
	for _, m := range made {
		g.g.Release(g.relay.now(), m)
	}
	g.mu.Unlock()
	g.pump()
}

// askRooms asks the makers for their room until no result of another batcher can be left: those
// lapse one after the other, and room that is not known to be free is lost to requests.
func (g *batcher) askRooms() {
	for {
		for _, maker := range g.makers(g.relay.Roster()) {
			if maker.State != model.Evacuated {
				go g.askRoom(maker)
			}
		}
		if !clock.Sleep(g.relay.ctx, askRoomEvery) || !g.inherits() {
			return
		}
	}
}

func (g *batcher) inherits() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.g.Inherits(g.relay.now())
}

func (g *batcher) askRoom(maker model.Endpoint) {
	ctx, cancel := context.WithTimeout(g.relay.ctx, freeTimeout)
	defer cancel()
	free, err := g.relay.wire.Room(ctx, maker)
	if err != nil {
		g.relay.metrics.Event("RoomUnknown")
		return
	}
	g.mu.Lock()
	g.g.NoteRoom(g.relay.now(), maker.Life(), free)
	g.mu.Unlock()
}

func handlesOf(made []kernel.MadePiece) []string {
	handles := make([]string, 0, len(made))
	for _, m := range made {
		handles = append(handles, m.Handle)
	}
	return handles
}
