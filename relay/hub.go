package relay

import (
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// hub holds this node's gatherers, one for each pool that carries out pieces, and what other nodes'
// gatherers told of their queues.
type hub struct {
	relay *Relay
	mu    sync.Mutex
	pools map[string]*gatherer
}

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
			g.g.SetPolicy(h.relay.options.Policy)
			g.timer = time.AfterFunc(time.Hour, g.pump)
			h.pools[name] = g
		}
		g.mu.Lock()
		g.traits = *pool.Pieces
		g.g.SetTraits(*pool.Pieces)
		g.g.SetCold(h.relay.options.Cold.Share(pool.ColdRate).Single())
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

// endStale ends the groups whose inputs went with a life of their maker.
func (h *hub) endStale() {
	for _, g := range h.all() {
		g.mu.Lock()
		ended := g.g.EndStale(h.relay.Roster().Superseded)
		g.mu.Unlock()
		g.finish(ended)
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

// traitsOf returns what the routing says of the pools of several stages.
func (h *hub) traitsOf(stages []model.StageNode) []kernel.PoolOutlook {
	out := make([]kernel.PoolOutlook, len(stages))
	for i, s := range stages {
		if g := h.find(s.Pool); g != nil {
			g.mu.Lock()
			out[i].Traits = g.traits
			g.mu.Unlock()
		}
	}
	return out
}

// lastOutlook returns what a pool's gatherer last told, however long ago.
func (h *hub) lastOutlook(pool string) kernel.PoolOutlook {
	g := h.find(pool)
	if g == nil {
		return kernel.PoolOutlook{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return kernel.PoolOutlook{Traits: g.traits, Wait: g.told.wait, RoomTaken: g.told.roomTaken}
}

func (h *hub) expire() {
	for _, g := range h.all() {
		g.expire()
	}
}
