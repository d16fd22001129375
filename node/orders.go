package node

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"basilstall.example/basilstall/engine"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

// orderInterval is how often the demand for adapters is compared with what the engines report.
const orderInterval = 500 * time.Millisecond

type (
	// orderController sends orders to the engines of the pools whose leases this node holds, and reports the demand for
	// adapters of other pools to the holders of their leases. An order tells an engine to load or evict an adapter. A
	// pool without demand causes no lease and no reads of the table.
	orderController struct {
		mu sync.Mutex
		// pools holds the pools with demand, by name.
		pools  map[string]*poolOrders
		client *engine.Client
	}

	// poolOrders is the state of one pool with demand for adapters.
	poolOrders struct {
		// lease is what this node knows of the lease of the pool. Its holder alone sends orders to the pool's engines.
		lease kernel.LeaseView
		// planner collects the demand that is reported to this node, and plans orders while this node holds the lease.
		planner *kernel.OrderPlanner
		// unsentDemands holds the demand of this node's requests that was not yet sent to the holder, by adapter.
		unsentDemands map[string]kernel.Demand
		// lastDemandAt is when a request of this node last used an adapter, or another node last reported demand.
		lastDemandAt time.Time
	}
)

func newOrderController() *orderController {
	return &orderController{pools: map[string]*poolOrders{}, client: engine.NewClient()}
}

// addUnsentDemand records the demand of a request for an adapter of a pool, to be sent to the lease holder. It keeps
// the earliest deadline among the requests that wait for the adapter.
func (o *orderController) addUnsentDemand(pool string, demand kernel.Demand, loadInterval time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pool(pool, loadInterval)
	p.lastDemandAt = demand.Used
	known, ok := p.unsentDemands[demand.Adapter]
	if ok && !known.Deadline.IsZero() && known.Deadline.Before(demand.Deadline) {
		demand.Deadline = known.Deadline
	}
	p.unsentDemands[demand.Adapter] = demand
}

// pool returns the state of a pool, and creates it if there is none. The caller holds mu.
func (o *orderController) pool(name string, loadInterval time.Duration) *poolOrders {
	p := o.pools[name]
	if p == nil {
		p = &poolOrders{planner: kernel.NewOrderPlanner(loadInterval), unsentDemands: map[string]kernel.Demand{}}
		o.pools[name] = p
	}
	return p
}

// activePools returns the names of the pools with recent demand, and removes the others.
func (o *orderController) activePools(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name, p := range o.pools {
		if now.Sub(p.lastDemandAt) > 2*kernel.AdapterIdleTimeout {
			delete(o.pools, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// recordAdapterUse records that a request uses an adapter. If waiting is true, no engine has the adapter loaded.
func (n *Node) recordAdapterUse(pool, adapter string, deadline time.Time, waiting bool) {
	demand := kernel.Demand{Adapter: adapter, Used: time.Now()}
	if waiting {
		demand.Deadline = deadline
	}
	n.orderController.addUnsentDemand(pool, demand, n.Settings().Fleet.WeightLoadEvery)
}

// maintainAdapters maintains the leases of the pools with demand and sends orders to their engines, until the node
// stops.
func (n *Node) maintainAdapters() {
	n.runPeriodically(orderInterval, func(ctx context.Context) {
		for _, pool := range n.orderController.activePools(time.Now()) {
			n.maintainPool(ctx, pool)
		}
	})
}

// maintainPool maintains the lease of a pool, reports the demand of this node's requests, and sends orders if this node
// holds the lease.
func (n *Node) maintainPool(ctx context.Context, pool string) {
	if n.draining.Load() {
		return
	}
	n.readLease(ctx, pool)
	n.renewOrAcquireLease(ctx, pool)
	n.sendDemands(ctx, pool)
	n.planOrders(ctx, pool)
}

func (n *Node) leaseView(pool string) kernel.LeaseView {
	n.orderController.mu.Lock()
	defer n.orderController.mu.Unlock()
	if p := n.orderController.pools[pool]; p != nil {
		return p.lease
	}
	return kernel.LeaseView{}
}

func (n *Node) setLeaseView(pool string, view kernel.LeaseView) {
	n.orderController.mu.Lock()
	defer n.orderController.mu.Unlock()
	if p := n.orderController.pools[pool]; p != nil {
		p.lease = view
	}
}

// readLease reads the lease row of a pool, unless this node holds the lease.
func (n *Node) readLease(ctx context.Context, pool string) {
	view := n.leaseView(pool)
	if view.MayOrder(time.Now()) {
		return
	}
	lease, version, err := n.store.Lease(ctx, pool)
	n.recordTableResult(err)
	if err == nil {
		n.setLeaseView(pool, view.WithRead(time.Now(), lease, version))
	}
}

// renewOrAcquireLease renews the lease of a pool if this node holds it, or acquires it if it has expired and this node
// is a candidate.
func (n *Node) renewOrAcquireLease(ctx context.Context, pool string) {
	alive, _ := n.fleet.alive()
	rank, candidate := kernel.LeaseRank(pool, n.member, alive)
	view := n.leaseView(pool)
	now := time.Now()
	next := kernel.Lease{Holder: n.member, Number: view.Lease.Number, Writer: uuid.NewString()}
	switch {
	case view.ShouldRenew(now):
	case candidate && view.MayAcquire(now, rank):
		next.Number++
	default:
		return
	}
	sent := time.Now()
	version, err := n.store.CompareAndSwapLease(ctx, pool, view.Version, next)
	n.recordTableResult(err)
	if err != nil {
		return
	}
	n.setLeaseView(pool, view.WithWrite(time.Now(), sent, next, version))
	if next.Number != view.Lease.Number {
		n.metrics.CountEvent("LeaseTaken")
		n.log.Info().Str("Pool", pool).Uint64("Fencing", next.Number).Msg("lease acquired")
	}
}

// sendDemands passes the unsent demand of a pool to the planner of the lease holder, which may be this node. If the
// call fails, this demand is not sent again.
func (n *Node) sendDemands(ctx context.Context, pool string) {
	n.orderController.mu.Lock()
	p := n.orderController.pools[pool]
	if p == nil || len(p.unsentDemands) == 0 || p.lease.Lease.Number == 0 {
		n.orderController.mu.Unlock()
		return
	}
	demands := make([]kernel.Demand, 0, len(p.unsentDemands))
	for _, d := range p.unsentDemands {
		demands = append(demands, d)
	}
	clear(p.unsentDemands)
	holder := p.lease.Lease.Holder
	n.orderController.mu.Unlock()
	if holder.ID() == n.member.ID() {
		n.addPlannerDemands(pool, demands)
		return
	}
	var reply peer.Empty
	if err := n.peers.Call(ctx, holder.Address, peer.KindDemand, peer.Demand{Pool: pool, Wanted: demands}, &reply); err != nil {
		n.metrics.CountEvent("DemandFailed")
	}
}

// addPlannerDemands adds the demand that this or another node reports to the planner of a pool.
func (n *Node) addPlannerDemands(pool string, demands []kernel.Demand) {
	now := time.Now()
	n.orderController.mu.Lock()
	defer n.orderController.mu.Unlock()
	p := n.orderController.pool(pool, n.Settings().Fleet.WeightLoadEvery)
	p.lastDemandAt = now
	for _, d := range demands {
		p.planner.AddDemand(now, d)
	}
}

func (n *Node) handleDemand(_ context.Context, body []byte) (any, error) {
	var message peer.Demand
	if err := peer.DecodeBody(body, &message); err != nil {
		return nil, err
	}
	n.addPlannerDemands(message.Pool, message.Wanted)
	return peer.Empty{}, nil
}

// planOrders compares the demand with what the engines report, and sends the resulting orders if this node holds the
// lease.
func (n *Node) planOrders(ctx context.Context, pool string) {
	if !n.leaseView(pool).MayOrder(time.Now()) {
		return
	}
	endpoints := n.dispatcher.Endpoints(pool)
	views := n.engineViews(ctx, endpoints)
	n.orderController.mu.Lock()
	p := n.orderController.pools[pool]
	if p == nil {
		n.orderController.mu.Unlock()
		return
	}
	p.planner.LoadInterval = n.Settings().Fleet.WeightLoadEvery
	orders := p.planner.Plan(time.Now(), views)
	n.orderController.mu.Unlock()
	for _, order := range orders {
		go n.sendOrder(ctx, pool, order, endpoints)
	}
}

// engineViews asks all endpoints concurrently for their states. Endpoints that do not answer with a state are left out and counted.
func (n *Node) engineViews(ctx context.Context, endpoints []model.Endpoint) []kernel.EngineView {
	reported := make([]kernel.EngineView, len(endpoints))
	var wg sync.WaitGroup
	for i, e := range endpoints {
		wg.Add(1)
		go func() {
			defer wg.Done()
			state, err := n.orderController.client.State(ctx, e.Address)
			if err != nil {
				n.metrics.CountEvent("EngineStateFailed")
				return
			}
			reported[i] = kernel.EngineView{Name: e.Name, Adapters: state.Adapters, MaxAdapters: state.Most}
		}()
	}
	wg.Wait()
	var views []kernel.EngineView
	for _, v := range reported {
		if v.Name != "" {
			views = append(views, v)
		}
	}
	return views
}

// sendOrder sends an order to its engine, unless the lease has expired. The lease is checked on the monotonic clock
// just before the order is sent.
func (n *Node) sendOrder(ctx context.Context, pool string, order kernel.Order, endpoints []model.Endpoint) {
	defer func() {
		n.orderController.mu.Lock()
		defer n.orderController.mu.Unlock()
		if p := n.orderController.pools[pool]; p != nil {
			p.planner.OrderEnded(order)
		}
	}()
	for _, e := range endpoints {
		if e.Name != order.Engine {
			continue
		}
		view := n.leaseView(pool)
		if !view.MayOrder(time.Now()) {
			n.metrics.CountEvent("OrderHeldBack")
			return
		}
		n.metrics.CountEvent("OrderSent")
		if err := n.orderController.client.Order(ctx, e.Address, order, view.Lease.Number); err != nil {
			n.metrics.CountEvent("OrderFailed")
		}
	}
}
