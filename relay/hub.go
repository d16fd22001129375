package relay

import (
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// batcherSet holds the batchers of this node: one for each region of each pool that makes pieces.
type batcherSet struct {
	relay *Relay
	// regions lists the regions in the settings. Each pool has a batcher in each region, so that pieces are only
	// sent to nodes in regions that their request may be served in. With fewer than two regions in the settings,
	// it holds just the empty name, and each pool has one batcher.
	regions []string
	mu      sync.Mutex
	// byQueue holds the batchers by the names of their queues.
	byQueue map[string]*batcher
}

func newBatcherSet(r *Relay) *batcherSet {
	s := &batcherSet{relay: r, byQueue: map[string]*batcher{}}
	for _, region := range r.options.Regions {
		if !slices.Contains(s.regions, region) {
			s.regions = append(s.regions, region)
		}
	}
	if len(s.regions) < 2 {
		s.regions = []string{""}
	}
	return s
}

// queueName returns the name of the queue of a pool's pieces in a region.
func (s *batcherSet) queueName(pool, region string) string {
	if len(s.regions) < 2 {
		return pool
	}
	return pool + "@" + region
}

// queueNameOf returns the name of the queue whose workers made a result.
func (s *batcherSet) queueNameOf(made kernel.ResultRef) string {
	return s.queueName(made.Pool, s.relay.options.Regions[made.Domain])
}

// applyRouting creates and updates the batchers of the pools in a routing table.
func (s *batcherSet) applyRouting(table *kernel.RouteTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, pool := range table.Pools() {
		if pool.Pieces == nil {
			continue
		}
		for _, region := range s.regions {
			s.applyPool(s.queueName(name, region), region, pool, table.CapacityShare(name))
		}
	}
}

// applyPool creates or updates the batcher of a queue. share, from 0 to 1, is the share of the cold limits that its
// calls may use.
func (s *batcherSet) applyPool(name, region string, pool model.Pool, share float64) {
	b := s.byQueue[name]
	if b == nil {
		b = &batcher{
			relay: s.relay, queueName: name, pool: pool.Name, region: region,
			queue: kernel.NewBatchQueue(*pool.Pieces), waiters: map[uint64]chan kernel.GroupOutcome{},
		}
		b.queue.SetPolicy(s.relay.options.Policy)
		b.timer = time.AfterFunc(time.Hour, b.startCalls)
		s.byQueue[name] = b
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.traits = *pool.Pieces
	b.queue.SetTraits(*pool.Pieces)
	b.queue.SetColdShare(s.relay.options.ColdLimits.FractionalShare(share, pool.ColdRate).ForSingleSender())
}

// setEndpoints passes the endpoints to all batchers.
func (s *batcherSet) setEndpoints(registry kernel.Registry) {
	for _, b := range s.all() {
		b.setEndpoints(registry)
	}
}

// updateEndpoints passes the endpoints of the pools that have changed to their batchers.
func (s *batcherSet) updateEndpoints(before, registry kernel.Registry) {
	for _, b := range s.all() {
		if !registry.SamePool(before, b.pool) {
			b.setEndpoints(registry)
		}
	}
}

// setPoolEndpoints passes the endpoints of a pool to its batchers.
func (s *batcherSet) setPoolEndpoints(pool string, registry kernel.Registry) {
	for _, b := range s.all() {
		if b.pool == pool {
			b.setEndpoints(registry)
		}
	}
}

// updateRateCaps passes the rate caps of the workers to all batchers.
func (s *batcherSet) updateRateCaps() {
	for _, b := range s.all() {
		b.updateRateCaps()
	}
}

// leavePool ends the batching for a pool that this node does not reach.
func (s *batcherSet) leavePool(pool string) {
	for _, b := range s.all() {
		if b.pool == pool {
			b.abandon()
		}
	}
}

// endStale ends the groups with inputs that were lost with an earlier incarnation of their worker.
func (s *batcherSet) endStale() {
	for _, b := range s.all() {
		b.mu.Lock()
		ended := b.queue.EndStale(s.relay.Registry().Superseded)
		b.mu.Unlock()
		b.deliverOutcomes(ended)
	}
}

func (s *batcherSet) all() []*batcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*batcher, 0, len(s.byQueue))
	for _, b := range s.byQueue {
		out = append(out, b)
	}
	return out
}

func (s *batcherSet) find(queue string) *batcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byQueue[queue]
}

// poolTraits returns estimates that hold just the traits of the pools of several stages.
func (s *batcherSet) poolTraits(stages []model.StageNode) []kernel.PoolEstimate {
	out := make([]kernel.PoolEstimate, len(stages))
	for i, stage := range stages {
		if b := s.find(s.queueName(stage.Pool, s.regions[0])); b != nil {
			b.mu.Lock()
			out[i].Traits = b.traits
			b.mu.Unlock()
		}
	}
	return out
}

// lastEstimate returns the newest estimate for a queue, regardless of its age.
func (s *batcherSet) lastEstimate(queue string) kernel.PoolEstimate {
	b := s.find(queue)
	if b == nil {
		return kernel.PoolEstimate{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return kernel.PoolEstimate{Traits: b.traits, Wait: b.report.wait, RoomTaken: b.report.roomTaken, Shares: b.report.shares}
}

func (s *batcherSet) expireGroups() {
	for _, b := range s.all() {
		b.expireGroups()
	}
}
