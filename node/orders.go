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

// ordersEvery is how often wanted and reported states are compared.
const ordersEvery = 500 * time.Millisecond

type (
	// orderer gives orders to the engines of the pools whose leases this node holds, and
	// tells the holders of other pools what is wanted. A pool that nobody wants an adapter
	// of costs nothing: no lease, no reads.
	orderer struct {
		mu     sync.Mutex
		pools  map[string]*orderedPool
		client *engine.Client
	}

	orderedPool struct {
		watch  kernel.LeaseView
		orders *kernel.OrderPlanner
		// wanted is what this node's requests want, until it was told to the holder.
		wanted map[string]kernel.Demand
		// lastWanted is when any adapter was last wanted or reported here.
		lastWanted time.Time
	}
)

func newOrderer() *orderer {
	return &orderer{pools: map[string]*orderedPool{}, client: engine.NewClient()}
}

// want notes that a request wants an adapter of a pool.
func (o *orderer) want(pool string, demand kernel.Demand, rate time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pool(pool, rate)
	p.lastWanted = demand.Used
	known, ok := p.wanted[demand.Adapter]
	if ok && !known.Deadline.IsZero() && known.Deadline.Before(demand.Deadline) {
		demand.Deadline = known.Deadline
	}
	p.wanted[demand.Adapter] = demand
}

func (o *orderer) pool(name string, rate time.Duration) *orderedPool {
	p := o.pools[name]
	if p == nil {
		p = &orderedPool{orders: kernel.NewOrderPlanner(rate), wanted: map[string]kernel.Demand{}}
		o.pools[name] = p
	}
	return p
}

// active returns the pools that anything is wanted of, and forgets the others.
func (o *orderer) active(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for name, p := range o.pools {
		if now.Sub(p.lastWanted) > 2*kernel.AdapterIdleTimeout {
			delete(o.pools, name)
			continue
		}
		names = append(names, name)
	}
	return names
}

// noteAdapter takes in that a request uses an adapter; waiting tells that no engine has it.
func (n *Node) noteAdapter(pool, adapter string, deadline time.Time, waiting bool) {
	demand := kernel.Demand{Adapter: adapter, Used: time.Now()}
	if waiting {
		demand.Deadline = deadline
	}
	n.orderer.want(pool, demand, n.Settings().Fleet.WeightLoadEvery)
}

// giveOrders keeps the leases and gives the orders until the node stops.
func (n *Node) giveOrders() {
	n.every(ordersEvery, func(ctx context.Context) {
		for _, name := range n.orderer.active(time.Now()) {
			n.ordersFor(ctx, name)
		}
	})
}

func (n *Node) ordersFor(ctx context.Context, name string) {
	if n.draining.Load() {
		return
	}
	n.readLease(ctx, name)
	n.takeLease(ctx, name)
	n.tellDemand(ctx, name)
	n.plan(ctx, name)
}

func (n *Node) watchOf(name string) kernel.LeaseView {
	n.orderer.mu.Lock()
	defer n.orderer.mu.Unlock()
	if p := n.orderer.pools[name]; p != nil {
		return p.watch
	}
	return kernel.LeaseView{}
}

func (n *Node) setWatch(name string, watch kernel.LeaseView) {
	n.orderer.mu.Lock()
	defer n.orderer.mu.Unlock()
	if p := n.orderer.pools[name]; p != nil {
		p.watch = watch
	}
}

// readLease reads the row unless this node holds the lease.
func (n *Node) readLease(ctx context.Context, name string) {
	watch := n.watchOf(name)
	if watch.MayOrder(time.Now()) {
		return
	}
	lease, version, err := n.store.Lease(ctx, name)
	n.noteTable(err)
	if err == nil {
		n.setWatch(name, watch.WithRead(time.Now(), lease, version))
	}
}

// takeLease renews a lease that is held, or takes one that has lapsed.
func (n *Node) takeLease(ctx context.Context, name string) {
	alive, _ := n.fleet.alive()
	rank, standsBy := kernel.LeaseRank(name, n.member, alive)
	watch := n.watchOf(name)
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
	n.noteTable(err)
	if err != nil {
		return
	}
	n.setWatch(name, watch.WithWrite(time.Now(), sent, next, version))
	if next.Number != watch.Lease.Number {
		n.metrics.CountEvent("LeaseTaken")
		n.log.Info().Str("Pool", name).Uint64("Fencing", next.Number).Msg("lease taken")
	}
}

// tellDemand hands what is wanted to the planner, here or at the holder.
func (n *Node) tellDemand(ctx context.Context, name string) {
	n.orderer.mu.Lock()
	p := n.orderer.pools[name]
	if p == nil || len(p.wanted) == 0 || p.watch.Lease.Number == 0 {
		n.orderer.mu.Unlock()
		return
	}
	wanted := make([]kernel.Demand, 0, len(p.wanted))
	for _, d := range p.wanted {
		wanted = append(wanted, d)
	}
	clear(p.wanted)
	holder := p.watch.Lease.Holder
	n.orderer.mu.Unlock()
	if holder.ID() == n.member.ID() {
		n.takeDemand(name, wanted)
		return
	}
	var reply peer.Empty
	if err := n.peers.Call(ctx, holder.Address, peer.KindDemand, peer.Demand{Pool: name, Wanted: wanted}, &reply); err != nil {
		n.metrics.CountEvent("DemandFailed")
	}
}

func (n *Node) takeDemand(name string, wanted []kernel.Demand) {
	now := time.Now()
	n.orderer.mu.Lock()
	defer n.orderer.mu.Unlock()
	p := n.orderer.pool(name, n.Settings().Fleet.WeightLoadEvery)
	p.lastWanted = now
	for _, d := range wanted {
		p.orders.AddDemand(now, d)
	}
}

func (n *Node) answerDemand(_ context.Context, body []byte) (any, error) {
	var d peer.Demand
	if err := peer.DecodeBody(body, &d); err != nil {
		return nil, err
	}
	n.takeDemand(d.Pool, d.Wanted)
	return peer.Empty{}, nil
}

// plan compares what is wanted with what the engines report, and sends the orders.
func (n *Node) plan(ctx context.Context, name string) {
	if !n.watchOf(name).MayOrder(time.Now()) {
		return
	}
	endpoints := n.dispatcher.Endpoints(name)
	views := n.engineViews(ctx, endpoints)
	n.orderer.mu.Lock()
	p := n.orderer.pools[name]
	if p == nil {
		n.orderer.mu.Unlock()
		return
	}
	p.orders.LoadInterval = n.Settings().Fleet.WeightLoadEvery
	orders := p.orders.Plan(time.Now(), views)
	n.orderer.mu.Unlock()
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
			state, err := n.orderer.client.State(ctx, e.Address)
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
		n.orderer.mu.Lock()
		defer n.orderer.mu.Unlock()
		if p := n.orderer.pools[name]; p != nil {
			p.orders.OrderEnded(order)
		}
	}()
	for _, e := range endpoints {
		if e.Name != order.Engine {
			continue
		}
		watch := n.watchOf(name)
		if !watch.MayOrder(time.Now()) {
			n.metrics.CountEvent("OrderHeldBack")
			return
		}
		n.metrics.CountEvent("OrderSent")
		if err := n.orderer.client.Order(ctx, e.Address, order, watch.Lease.Number); err != nil {
			n.metrics.CountEvent("OrderFailed")
		}
	}
}
