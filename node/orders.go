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

// orderInterval is how often wanted and reported states are compared.
const orderInterval = 500 * time.Millisecond

type (
	// orderer gives orders to the engines of the pools whose leases this node holds, and
	// tells the holders of other pools what is wanted. A pool that nobody wants an adapter
	// of costs nothing: no lease, no reads.
	orderController struct {
		mu     sync.Mutex
		pools  map[string]*poolOrders
		client *engine.Client
	}

	poolOrders struct {
		lease   kernel.LeaseView
		planner *kernel.OrderPlanner
		// wanted is what this node's requests want, until it was told to the holder.
		unsentDemands map[string]kernel.Demand
		// lastDemandAt is when any adapter was last wanted or reported here.
		lastDemandAt time.Time
	}
)

func newOrderController() *orderController {
	return &orderController{pools: map[string]*poolOrders{}, client: engine.NewClient()}
}

// want notes that a request wants an adapter of a pool.
func (o *orderController) addUnsentDemand(pool string, demand kernel.Demand, rate time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pool(pool, rate)
	p.lastDemandAt = demand.Used
	known, ok := p.unsentDemands[demand.Adapter]
	if ok && !known.Deadline.IsZero() && known.Deadline.Before(demand.Deadline) {
		demand.Deadline = known.Deadline
	}
	p.unsentDemands[demand.Adapter] = demand
}

func (o *orderController) pool(name string, rate time.Duration) *poolOrders {
	p := o.pools[name]
	if p == nil {
		p = &poolOrders{planner: kernel.NewOrderPlanner(rate), unsentDemands: map[string]kernel.Demand{}}
		o.pools[name] = p
	}
	return p
}

// active returns the pools that anything is wanted of, and forgets the others.
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

// recordAdapterUse takes in that a request uses an adapter; waiting tells that no engine has it.
func (n *Node) recordAdapterUse(pool, adapter string, deadline time.Time, waiting bool) {
	demand := kernel.Demand{Adapter: adapter, Used: time.Now()}
	if waiting {
		demand.Deadline = deadline
	}
	n.orderController.addUnsentDemand(pool, demand, n.Settings().Fleet.WeightLoadEvery)
}

// maintainAdapters keeps the leases and gives the orders until the node stops.
func (n *Node) maintainAdapters() {
	n.runPeriodically(orderInterval, func(ctx context.Context) {
		for _, name := range n.orderController.activePools(time.Now()) {
			n.maintainPool(ctx, name)
		}
	})
}

func (n *Node) maintainPool(ctx context.Context, name string) {
	if n.draining.Load() {
		return
	}
	n.readLease(ctx, name)
	n.renewOrAcquireLease(ctx, name)
	n.sendDemands(ctx, name)
	n.planOrders(ctx, name)
}

func (n *Node) leaseView(name string) kernel.LeaseView {
	n.orderController.mu.Lock()
	defer n.orderController.mu.Unlock()
	if p := n.orderController.pools[name]; p != nil {
		return p.lease
	}
	return kernel.LeaseView{}
}

func (n *Node) setLeaseView(name string, watch kernel.LeaseView) {
	n.orderController.mu.Lock()
	defer n.orderController.mu.Unlock()
	if p := n.orderController.pools[name]; p != nil {
		p.lease = watch
	}
}

// readLease reads the row unless this node holds the lease.
func (n *Node) readLease(ctx context.Context, name string) {
	watch := n.leaseView(name)
	if watch.MayOrder(time.Now()) {
		return
	}
	lease, version, err := n.store.Lease(ctx, name)
	n.recordTableResult(err)
	if err == nil {
		n.setLeaseView(name, watch.WithRead(time.Now(), lease, version))
	}
}

// renewOrAcquireLease renews a lease that is held, or takes one that has lapsed.
func (n *Node) renewOrAcquireLease(ctx context.Context, name string) {
	alive, _ := n.fleet.alive()
	rank, standsBy := kernel.LeaseRank(name, n.member, alive)
	watch := n.leaseView(name)
	now := time.Now()
	next := kernel.Lease{Holder: n.member, Number: watch.Lease.Number, Writer: uuid.NewString()}
	switch {
	case watch.ShouldRenew(now):
	case standsBy && watch.MayAcquire(now, rank):
		next.Number++
	default:
		return
	}
	sent := time.Now()
	version, err := n.store.CompareAndSwapLease(ctx, name, watch.Version, next)
	n.recordTableResult(err)
	if err != nil {
		return
	}
	n.setLeaseView(name, watch.WithWrite(time.Now(), sent, next, version))
	if next.Number != watch.Lease.Number {
		n.metrics.CountEvent("LeaseTaken")
		n.log.Info().Str("Pool", name).Uint64("Fencing", next.Number).Msg("lease taken")
	}
}

// sendDemands hands what is wanted to the planner, here or at the holder.
func (n *Node) sendDemands(ctx context.Context, name string) {
	n.orderController.mu.Lock()
	p := n.orderController.pools[name]
	if p == nil || len(p.unsentDemands) == 0 || p.lease.Lease.Number == 0 {
		n.orderController.mu.Unlock()
		return
	}
	wanted := make([]kernel.Demand, 0, len(p.unsentDemands))
	for _, d := range p.unsentDemands {
		wanted = append(wanted, d)
	}
	clear(p.unsentDemands)
	holder := p.lease.Lease.Holder
	n.orderController.mu.Unlock()
	if holder.ID() == n.member.ID() {
		n.addPlannerDemands(name, wanted)
		return
	}
	var reply peer.Empty
	if err := n.peers.Call(ctx, holder.Address, peer.KindDemand, peer.Demand{Pool: name, Wanted: wanted}, &reply); err != nil {
		n.metrics.CountEvent("DemandFailed")
	}
}

func (n *Node) addPlannerDemands(name string, wanted []kernel.Demand) {
	now := time.Now()
	n.orderController.mu.Lock()
	defer n.orderController.mu.Unlock()
	p := n.orderController.pool(name, n.Settings().Fleet.WeightLoadEvery)
	p.lastDemandAt = now
	for _, d := range wanted {
		p.planner.AddDemand(now, d)
	}
}

func (n *Node) handleDemand(_ context.Context, body []byte) (any, error) {
	var d peer.Demand
	if err := peer.DecodeBody(body, &d); err != nil {
		return nil, err
	}
	n.addPlannerDemands(d.Pool, d.Wanted)
	return peer.Empty{}, nil
}

// plan compares what is wanted with what the engines report, and sends the orders.
func (n *Node) planOrders(ctx context.Context, name string) {
	if !n.leaseView(name).MayOrder(time.Now()) {
		return
	}
	endpoints := n.dispatcher.Endpoints(name)
	views := n.engineViews(ctx, endpoints)
	n.orderController.mu.Lock()
	p := n.orderController.pools[name]
	if p == nil {
		n.orderController.mu.Unlock()
		return
	}
	p.planner.LoadInterval = n.Settings().Fleet.WeightLoadEvery
	orders := p.planner.Plan(time.Now(), views)
	n.orderController.mu.Unlock()
	for _, order := range orders {
		go n.sendOrder(ctx, name, order, endpoints)
	}
}

func (n *Node) engineViews(ctx context.Context, endpoints []model.Endpoint) []kernel.EngineView {
	states := make([]kernel.EngineView, len(endpoints))
	var wg sync.WaitGroup
	for i, e := range endpoints {
		wg.Add(1)
		go func() {
			defer wg.Done()
			state, err := n.orderController.client.State(ctx, e.Address)
			if err == nil {
				states[i] = kernel.EngineView{Name: e.Name, Adapters: state.Adapters, MaxAdapters: state.Most}
			}
		}()
	}
	wg.Wait()
	var views []kernel.EngineView
	for _, v := range states {
		if v.Name != "" {
			views = append(views, v)
		}
	}
	return views
}

// sendOrder checks the lease by the monotonic clock just before it sends.
func (n *Node) sendOrder(ctx context.Context, name string, order kernel.Order, endpoints []model.Endpoint) {
	defer func() {
		n.orderController.mu.Lock()
		defer n.orderController.mu.Unlock()
		if p := n.orderController.pools[name]; p != nil {
			p.planner.OrderEnded(order)
		}
	}()
	for _, e := range endpoints {
		if e.Name != order.Engine {
			continue
		}
		watch := n.leaseView(name)
		if !watch.MayOrder(time.Now()) {
			n.metrics.CountEvent("OrderHeldBack")
			return
		}
		n.metrics.CountEvent("OrderSent")
		if err := n.orderController.client.Order(ctx, e.Address, order, watch.Lease.Number); err != nil {
			n.metrics.CountEvent("OrderFailed")
		}
	}
}
