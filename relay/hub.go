package relay

import (
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// hub holds this node's batchers, one for each pool that carries out pieces, and what other nodes'
// batchers reported of their queues.
type hub struct {
	relay *Relay
	// regions are those that the settings tell apart; each pool has a batcher in each of them, so that pieces reach
	// no node outside the regions that their request may be served in.
	regions []string
	mu      sync.Mutex
	// pools holds the batchers by the names of their queues.
	pools map[string]*batcher
}

func newHub(r *Relay) *hub {
	h := &hub{relay: r, pools: map[string]*batcher{}}
	for _, region := range r.options.Regions {
		if !slices.Contains(h.regions, region) {
			h.regions = append(h.regions, region)
		}
	}
	if len(h.regions) < 2 {
		h.regions = []string{""}
	}
	return h
}

// queue names the queue of a pool's pieces in a region.
func (h *hub) queue(pool, region string) string {
	if len(h.regions) < 2 {
		return pool
	}
	return pool + "@" + region
}

// queueOf names the queue that results were made from.
func (h *hub) queueOf(made kernel.ResultRef) string {
	return h.queue(made.Pool, h.relay.options.Regions[made.Domain])
}

// setTraits brings the batchers in line with the routing.
func (h *hub) setTraits(table *kernel.RouteTable) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, pool := range table.Pools() {
		if pool.Pieces == nil {
			continue
		}
		for _, region := range h.regions {
			h.setPool(h.queue(name, region), region, pool, table.CapacityShare(name))
		}
	}
}

// setPool brings the batcher of a queue in line with what the routing says of its pool, whose pieces may use a part of what
// cold endpoints bear.
func (h *hub) setPool(queue, region string, pool model.Pool, part float64) {
	g := h.pools[queue]
	if g == nil {
		g = &batcher{
			relay: h.relay, name: queue, pool: pool.Name, region: region,
			g: kernel.NewBatchQueue(*pool.Pieces), waiters: map[uint64]chan kernel.GroupOutcome{},
		}
		g.g.SetPolicy(h.relay.options.Policy)
		g.timer = time.AfterFunc(time.Hour, g.pump)
		h.pools[queue] = g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.traits = *pool.Pieces
	g.g.SetTraits(*pool.Pieces)
	g.g.SetColdShare(h.relay.options.Cold.FractionalShare(part, pool.ColdRate).ForSingleSender())
}

func (h *hub) setEndpoints(registry kernel.Registry) {
	for _, g := range h.all() {
		g.mu.Lock()
		g.g.SetEndpoints(g.workers(registry))
		g.mu.Unlock()
		g.setRateCaps()
	}
}

// setRateCaps tells all batchers what workers say of the calls that they take.
func (h *hub) setRateCaps() {
	for _, g := range h.all() {
		g.setRateCaps()
	}
}

// endStale ends the groups whose inputs went with an incarnation of their worker.
func (h *hub) endStale() {
	for _, g := range h.all() {
		g.mu.Lock()
		ended := g.g.EndStale(h.relay.Registry().Superseded)
		g.mu.Unlock()
		g.finish(ended)
	}
}

func (h *hub) all() []*batcher {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*batcher, 0, len(h.pools))
	for _, g := range h.pools {
		out = append(out, g)
	}
	return out
}

func (h *hub) find(queue string) *batcher {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pools[queue]
}

// traitsOf returns what the routing says of the pools of several stages.
func (h *hub) traitsOf(stages []model.StageNode) []kernel.PoolEstimate {
	out := make([]kernel.PoolEstimate, len(stages))
	for i, s := range stages {
		if g := h.find(h.queue(s.Pool, h.regions[0])); g != nil {
			g.mu.Lock()
			out[i].Traits = g.traits
			g.mu.Unlock()
		}
	}
	return out
}

// lastEstimate returns the newest estimate for a queue, however old it is.
func (h *hub) lastEstimate(queue string) kernel.PoolEstimate {
	g := h.find(queue)
	if g == nil {
		return kernel.PoolEstimate{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return kernel.PoolEstimate{Traits: g.traits, Wait: g.report.wait, RoomTaken: g.report.roomTaken}
}

func (h *hub) expire() {
	for _, g := range h.all() {
		g.expire()
	}
}
