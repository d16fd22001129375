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
type batcherSet struct {
	relay *Relay
	// regions are those that the settings tell apart; each pool has a batcher in each of them, so that pieces reach
	// no node outside the regions that their request may be served in.
	regions []string
	mu      sync.Mutex
	// pools holds the batchers by the names of their queues.
	byQueue map[string]*batcher
}

func newBatcherSet(r *Relay) *batcherSet {
	h := &batcherSet{relay: r, byQueue: map[string]*batcher{}}
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
func (h *batcherSet) queueName(pool, region string) string {
	if len(h.regions) < 2 {
		return pool
	}
	return pool + "@" + region
}

// queueNameOf names the queue that results were made from.
func (h *batcherSet) queueNameOf(made kernel.ResultRef) string {
	return h.queueName(made.Pool, h.relay.options.Regions[made.Domain])
}

// applyRouting brings the batchers in line with the routing.
func (h *batcherSet) applyRouting(table *kernel.RouteTable) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, pool := range table.Pools() {
		if pool.Pieces == nil {
			continue
		}
		for _, region := range h.regions {
			h.applyPool(h.queueName(name, region), region, pool, table.CapacityShare(name))
		}
	}
}

// applyPool brings the batcher of a queue in line with what the routing says of its pool, whose pieces may use a part of what
// cold endpoints bear.
func (h *batcherSet) applyPool(queue, region string, pool model.Pool, part float64) {
	g := h.byQueue[queue]
	if g == nil {
		g = &batcher{
			relay: h.relay, queueName: queue, pool: pool.Name, region: region,
			queue: kernel.NewBatchQueue(*pool.Pieces), waiters: map[uint64]chan kernel.GroupOutcome{},
		}
		g.queue.SetPolicy(h.relay.options.Policy)
		g.timer = time.AfterFunc(time.Hour, g.startCalls)
		h.byQueue[queue] = g
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.traits = *pool.Pieces
	g.queue.SetTraits(*pool.Pieces)
	g.queue.SetColdShare(h.relay.options.ColdLimits.FractionalShare(part, pool.ColdRate).ForSingleSender())
}

func (h *batcherSet) setEndpoints(registry kernel.Registry) {
	for _, g := range h.all() {
		g.mu.Lock()
		g.queue.SetEndpoints(g.workers(registry))
		g.mu.Unlock()
		g.updateRateCaps()
	}
}

// updateRateCaps tells all batchers what workers say of the calls that they take.
func (h *batcherSet) updateRateCaps() {
	for _, g := range h.all() {
		g.updateRateCaps()
	}
}

// endStale ends the groups whose inputs went with an incarnation of their worker.
func (h *batcherSet) endStale() {
	for _, g := range h.all() {
		g.mu.Lock()
		ended := g.queue.EndStale(h.relay.Registry().Superseded)
		g.mu.Unlock()
		g.deliverOutcomes(ended)
	}
}

func (h *batcherSet) all() []*batcher {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*batcher, 0, len(h.byQueue))
	for _, g := range h.byQueue {
		out = append(out, g)
	}
	return out
}

func (h *batcherSet) find(queue string) *batcher {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byQueue[queue]
}

// poolTraits returns what the routing says of the pools of several stages.
func (h *batcherSet) poolTraits(stages []model.StageNode) []kernel.PoolEstimate {
	out := make([]kernel.PoolEstimate, len(stages))
	for i, s := range stages {
		if g := h.find(h.queueName(s.Pool, h.regions[0])); g != nil {
			g.mu.Lock()
			out[i].Traits = g.traits
			g.mu.Unlock()
		}
	}
	return out
}

// lastEstimate returns the newest estimate for a queue, however old it is.
func (h *batcherSet) lastEstimate(queue string) kernel.PoolEstimate {
	g := h.find(queue)
	if g == nil {
		return kernel.PoolEstimate{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return kernel.PoolEstimate{Traits: g.traits, Wait: g.report.wait, RoomTaken: g.report.roomTaken}
}

func (h *batcherSet) expireGroups() {
	for _, g := range h.all() {
		g.expireGroups()
	}
}
