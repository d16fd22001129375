package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// pumpAgain is when a gatherer looks again for a free endpoint while pieces wait and no call
	// is about to end: a part of the time that a piece waits for its own failure domain.
	pumpAgain = 40 * time.Millisecond
	// callPatience is how many times its expected time a call for pieces may take before it is
	// given up and its pieces are asked for elsewhere, and callGrace what is added to that.
	callPatience = 2.5
	callGrace    = 300 * time.Millisecond
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// outlookMemory is how long a gatherer's word on its queue counts.
	outlookMemory = 400 * time.Millisecond
)

type (
	// hub holds this node's gatherers, one for each pool that carries out pieces, and what other
	// nodes' gatherers told of their queues.
	hub struct {
		relay *Relay
		mu    sync.Mutex
		pools map[string]*gatherer
	}

	// gatherer drives a kernel.Gathering.
	gatherer struct {
		relay *Relay
		name  string

		mu      sync.Mutex
		traits  model.PieceTraits
		g       *kernel.Gathering
		waiters map[uint64]chan kernel.GroupOutcome
		timer   *time.Timer
		// wait is what the pool's gatherer last told of its queue, at waitAt.
		wait   time.Duration
		waitAt time.Time
	}
)

func newHub(r *Relay) *hub {
	return &hub{relay: r, pools: map[string]*gatherer{}}
}

// setTraits brings the gatherers in line with the routing.
func (h *hub) setTraits(table *kernel.RouteTable) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, pool := range table.Pools() {
		if pool.Pieces == nil {
			continue
		}
		g := h.pools[name]
		if g == nil {
			g = &gatherer{relay: h.relay, name: name, g: kernel.NewGathering(*pool.Pieces), waiters: map[uint64]chan kernel.GroupOutcome{}}
			g.timer = time.AfterFunc(time.Hour, g.pump)
			h.pools[name] = g
		}
		g.mu.Lock()
		g.traits = *pool.Pieces
		g.g.SetTraits(*pool.Pieces)
		g.mu.Unlock()
	}
}

func (h *hub) setEndpoints(roster kernel.Roster) {
	for _, g := range h.all() {
		g.mu.Lock()
		g.g.SetEndpoints(roster.Endpoints(g.name))
		g.mu.Unlock()
		g.pump()
	}
}

func (h *hub) all() []*gatherer {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*gatherer, 0, len(h.pools))
	for _, g := range h.pools {
		out = append(out, g)
	}
	return out
}

func (h *hub) find(pool string) *gatherer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pools[pool]
}

func (h *hub) expire() {
	for _, g := range h.all() {
		g.expire()
	}
}

// outlook returns what is expected of several pools.
func (h *hub) outlook(pools []string) map[string]kernel.PoolOutlook {
	out := make(map[string]kernel.PoolOutlook, len(pools))
	for _, name := range pools {
		if g := h.find(name); g != nil {
			out[name] = g.outlook()
		}
	}
	return out
}

func (g *gatherer) outlook() kernel.PoolOutlook {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := kernel.PoolOutlook{Traits: g.traits}
	if g.relay.now().Sub(g.waitAt) < outlookMemory {
		o.Wait = g.wait
	}
	return o
}

func (g *gatherer) noteWait(wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wait = wait
	g.waitAt = g.relay.now()
}

// gather takes a group of this or another node in and waits for its end.
func (g *gatherer) gather(ctx context.Context, group kernel.PieceGroup) gatherResult {
	now := g.relay.now()
	done := make(chan kernel.GroupOutcome, 1)
	g.mu.Lock()
	wait := g.g.Wait(group.Due, len(group.Pieces), group.ResultBytes)
	accepted, retry := g.g.Add(now, group)
	if accepted {
		g.waiters[group.ID] = done
	}
	g.mu.Unlock()
	if !accepted {
		g.relay.metrics.Event("PiecesRefused")
		return gatherResult{refused: true, retryAfter: retry, wait: wait}
	}
	g.pump()
	select {
	case outcome := <-done:
		return gatherResult{outcome: outcome, wait: wait}
	case <-ctx.Done():
	}
	g.cancel(group.ID)
	select {
	case outcome := <-done:
		// It ended at the same moment: what was made is of no use.
		g.free(handlesOf(outcome.Made))
	default:
	}
	return gatherResult{outcome: kernel.GroupOutcome{Fault: model.PieceLate}, wait: wait}
}

func (g *gatherer) cancel(id uint64) {
	g.mu.Lock()
	made := g.g.Cancel(id)
	delete(g.waiters, id)
	g.mu.Unlock()
	g.free(handlesOf(made))
}

// pump makes all calls that can be made now.
func (g *gatherer) pump() {
	if g.relay.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		batch, ok := g.g.Next(g.relay.now())
		if !ok {
			break
		}
		go g.call(batch, g.g.Expected(batch))
	}
	if pieces, _ := g.g.Waiting(); pieces > 0 {
		g.timer.Reset(pumpAgain)
	}
}

func (g *gatherer) call(batch kernel.PieceBatch, expected time.Duration) {
	r := g.relay
	timeout := time.Duration(callPatience*float64(expected)) + callGrace
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	reply, err := r.wire.RunPieces(ctx, batch.Endpoint, batch.Pieces)
	now := r.now()
	var ended []kernel.GroupOutcome
	var unwanted []string
	g.mu.Lock()
	switch {
	case err != nil && asFault(err).Verdict != model.NotRun:
		ended = g.g.Failed(now, batch)
	case err != nil:
		ended = g.g.Failed(now, batch)
	case reply.NotRun:
		ended = g.g.Refused(now, batch)
	default:
		ended, unwanted = g.g.Done(now, batch, reply.Results)
	}
	g.mu.Unlock()
	g.logCall(batch, reply, err)
	g.finish(ended)
	g.free(unwanted)
	g.pump()
}

func (g *gatherer) logCall(batch kernel.PieceBatch, reply PieceReply, err error) {
	r := g.relay
	r.metrics.Event("PieceCalls")
	for _, res := range reply.Results {
		if res.Fault != "" {
			r.metrics.Event("PieceFault" + string(res.Fault))
		}
	}
	switch {
	case err != nil:
		r.metrics.Event("PieceCallFailed")
		r.log.Info().Str("Pool", g.name).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Err(err).Msg("call for pieces failed")
	case reply.NotRun:
		r.metrics.Event("PieceCallRefused")
		r.log.Info().Str("Pool", g.name).Str("Endpoint", batch.Endpoint.Name).Int("Pieces", len(batch.Pieces)).
			Str("Request", batch.Pieces[0].Request).Msg("call for pieces refused")
	}
}

// finish hands the outcomes of groups to those who wait for them.
func (g *gatherer) finish(ended []kernel.GroupOutcome) {
	for _, o := range ended {
		g.mu.Lock()
		waiting := g.waiters[o.Group]
		delete(g.waiters, o.Group)
		g.mu.Unlock()
		if waiting != nil {
			waiting <- o
		} else {
			g.free(handlesOf(o.Made))
		}
	}
}

func (g *gatherer) expire() {
	now := g.relay.now()
	g.mu.Lock()
	ended := g.g.Expire(now)
	g.mu.Unlock()
	g.finish(ended)
}

// free gives results up at their makers.
func (g *gatherer) free(handles []string) {
	if len(handles) == 0 {
		return
	}
	byMaker := map[string][]string{}
	makers := map[string]model.Endpoint{}
	g.mu.Lock()
	for _, handle := range handles {
		maker, ok := g.g.Release(handle)
		if !ok {
			continue
		}
		makers[maker.Name] = maker
		byMaker[maker.Name] = append(byMaker[maker.Name], handle)
	}
	g.mu.Unlock()
	for name, handles := range byMaker {
		go func() {
			ctx, cancel := context.WithTimeout(g.relay.ctx, freeTimeout)
			defer cancel()
			err := g.relay.wire.Free(ctx, makers[name], handles)
			if err != nil && !errors.Is(err, context.Canceled) {
				g.relay.metrics.Event("FreeFailed")
			}
			g.pump()
		}()
	}
}

func handlesOf(made []kernel.MadePiece) []string {
	out := make([]string, 0, len(made))
	for _, m := range made {
		out = append(out, m.Handle)
	}
	return out
}
