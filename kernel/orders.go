package kernel

import (
	"slices"
	"time"
)

const (
	// adapterCopies is on how many engines an adapter in use is kept loaded.
	adapterCopies = 2
	// AdapterIdleTimeout is how long an adapter without demand stays loaded.
	AdapterIdleTimeout = time.Minute
)

type (
	// Demand is the demand of requests for an adapter.
	Demand struct {
		Adapter string
		// Deadline is the earliest deadline of the requests that wait for the adapter; zero if none waits.
		Deadline time.Time
		// Used is when a request last needed the adapter.
		Used time.Time
	}

	// EngineView is the state that an engine reported.
	EngineView struct {
		Name     string
		Adapters []string
		// MaxAdapters is how many adapters the engine has room for.
		MaxAdapters int
	}

	// Order tells an engine to load or evict an adapter.
	Order struct {
		Engine  string
		Adapter string
		Evict   bool
	}

	// OrderPlanner plans the orders to the engines of one pool. It is level-triggered: it compares the demand with
	// what the engines report. It changes in place.
	OrderPlanner struct {
		demands map[string]Demand
		// inFlight holds the orders in flight and the time until which each of them is not repeated.
		inFlight map[Order]time.Time
		// nextLoad is when the weight store allows the next load.
		nextLoad time.Time
		// LoadInterval is the least time between two loads from the weight store.
		LoadInterval time.Duration
	}
)

// NewOrderPlanner returns a planner that keeps loadInterval between two loads from the weight store.
func NewOrderPlanner(loadInterval time.Duration) *OrderPlanner {
	return &OrderPlanner{demands: map[string]Demand{}, inFlight: map[Order]time.Time{}, LoadInterval: loadInterval}
}

// AddDemand merges a demand with the known demand for the same adapter.
func (o *OrderPlanner) AddDemand(now time.Time, d Demand) {
	known, ok := o.demands[d.Adapter]
	if !ok || known.Used.Before(d.Used) {
		known.Used = d.Used
	}
	if known.Deadline.Before(now) || (!d.Deadline.IsZero() && d.Deadline.Before(known.Deadline)) {
		known.Deadline = d.Deadline
	}
	known.Adapter = d.Adapter
	o.demands[d.Adapter] = known
}

// OrderEnded records that the outcome of an order is known: the engine executed it, or it was refused or failed. An
// executed order shows in the report of the engine; any other may be sent again.
func (o *OrderPlanner) OrderEnded(order Order) {
	delete(o.inFlight, order)
}

// Plan returns the orders to send now, the most urgent first. An order in flight is not repeated before OrderTimeout
// has passed.
func (o *OrderPlanner) Plan(now time.Time, engines []EngineView) []Order {
	o.dropIdleDemands(now)
	loads := o.loadsInFlight(now)
	var plan []Order
	for _, d := range o.demandsByUrgency() {
		for copies := o.countCopies(d.Adapter, engines, loads); copies < min(adapterCopies, len(engines)); copies++ {
			if now.Before(o.nextLoad) {
				break
			}
			engine, evict := o.chooseEngine(d.Adapter, engines, loads)
			if engine < 0 {
				break
			}
			if evict != "" {
				plan = o.addOrder(now, plan, Order{Engine: engines[engine].Name, Adapter: evict, Evict: true})
			}
			plan = o.addOrder(now, plan, Order{Engine: engines[engine].Name, Adapter: d.Adapter})
			loads[engines[engine].Name] = append(loads[engines[engine].Name], d.Adapter)
			o.nextLoad = now.Add(o.LoadInterval)
		}
	}
	return o.evictIdle(now, plan, engines)
}

func (o *OrderPlanner) addOrder(now time.Time, plan []Order, order Order) []Order {
	if until, isInFlight := o.inFlight[order]; isInFlight && now.Before(until) {
		return plan
	}
	o.inFlight[order] = now.Add(OrderTimeout)
	return append(plan, order)
}

func (o *OrderPlanner) dropIdleDemands(now time.Time) {
	for adapter, d := range o.demands {
		if now.Sub(d.Used) > AdapterIdleTimeout {
			delete(o.demands, adapter)
		}
	}
}

// loadsInFlight returns, by engine, the adapters that orders in flight will load. Orders whose time has passed are
// dropped.
func (o *OrderPlanner) loadsInFlight(now time.Time) map[string][]string {
	loads := map[string][]string{}
	for order, until := range o.inFlight {
		if !now.Before(until) {
			delete(o.inFlight, order)
			continue
		}
		if !order.Evict {
			loads[order.Engine] = append(loads[order.Engine], order.Adapter)
		}
	}
	return loads
}

func (o *OrderPlanner) demandsByUrgency() []Demand {
	sorted := make([]Demand, 0, len(o.demands))
	for _, d := range o.demands {
		sorted = append(sorted, d)
	}
	slices.SortFunc(sorted, func(a, b Demand) int {
		switch {
		case a.Deadline.IsZero() != b.Deadline.IsZero():
			if a.Deadline.IsZero() {
				return 1
			}
			return -1
		case !a.Deadline.Equal(b.Deadline):
			return a.Deadline.Compare(b.Deadline)
		case a.Adapter < b.Adapter:
			return -1
		default:
			return 1
		}
	})
	return sorted
}

func (o *OrderPlanner) countCopies(adapter string, engines []EngineView, loads map[string][]string) int {
	n := 0
	for _, e := range engines {
		if slices.Contains(e.Adapters, adapter) || slices.Contains(loads[e.Name], adapter) {
			n++
		}
	}
	return n
}

// chooseEngine returns the index of the engine with the fewest adapters that lacks this one, or -1, and which adapter
// the engine must evict for it: one without demand, or else the least recently used.
func (o *OrderPlanner) chooseEngine(adapter string, engines []EngineView, loads map[string][]string) (engine int, evict string) {
	engine = -1
	for i, e := range engines {
		if slices.Contains(e.Adapters, adapter) || slices.Contains(loads[e.Name], adapter) {
			continue
		}
		if engine < 0 || adapterCount(e, loads) < adapterCount(engines[engine], loads) {
			engine = i
		}
	}
	if engine < 0 || adapterCount(engines[engine], loads) < engines[engine].MaxAdapters {
		return engine, ""
	}
	e := engines[engine]
	for _, loaded := range e.Adapters {
		if evict == "" || o.demands[loaded].Used.Before(o.demands[evict].Used) {
			evict = loaded
		}
	}
	return engine, evict
}

func adapterCount(e EngineView, loads map[string][]string) int {
	return len(e.Adapters) + len(loads[e.Name])
}

// evictIdle adds orders to evict the loaded adapters that have had no demand for AdapterIdleTimeout.
func (o *OrderPlanner) evictIdle(now time.Time, plan []Order, engines []EngineView) []Order {
	for _, e := range engines {
		for _, adapter := range e.Adapters {
			if _, inDemand := o.demands[adapter]; !inDemand {
				plan = o.addOrder(now, plan, Order{Engine: e.Name, Adapter: adapter, Evict: true})
			}
		}
	}
	return plan
}
