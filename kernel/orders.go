package kernel

import (
	"slices"
	"time"
)

const (
	// adapterCopies is on how many engines an adapter is kept that is in use.
	adapterCopies = 2
	// AdapterIdleTimeout is how long an adapter stays loaded that nobody uses.
	AdapterIdleTimeout = time.Minute
)

type (
	// Demand is what requests want of an adapter.
	Demand struct {
		Adapter string
		// Deadline is the earliest of the requests that wait for it; zero if none waits.
		Deadline time.Time
		// Used is when it was last wanted.
		Used time.Time
	}

	// EngineView is what an engine reported of itself.
	EngineView struct {
		Name     string
		Adapters []string
		// Most is how many adapters it has room for.
		MaxAdapters int
	}

	// Order tells an engine to load or evict an adapter.
	Order struct {
		Engine  string
		Adapter string
		Evict   bool
	}

	// Orders is the level-triggered planner of one pool: it compares what is wanted with
	// what the engines report. It changes in place.
	OrderPlanner struct {
		demands map[string]Demand
		// sent has the orders under way and until when they are not repeated.
		inFlight map[Order]time.Time
		// loads is when the weight store next gives a load.
		nextLoad time.Time
		// LoadInterval is the weight store's rate.
		LoadInterval time.Duration
	}
)

// NewOrderPlanner returns a planner that keeps to the weight store's rate.
func NewOrderPlanner(loadEvery time.Duration) *OrderPlanner {
	return &OrderPlanner{demands: map[string]Demand{}, inFlight: map[Order]time.Time{}, LoadInterval: loadEvery}
}

// Want takes a demand in.
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

// Ended notes that an order's outcome is known: it was obeyed, refused or failed. What was
// obeyed shows in the engine's report; the rest may be ordered again.
func (o *OrderPlanner) OrderEnded(order Order) {
	delete(o.inFlight, order)
}

// Plan returns the orders to send now, the most urgent first. An order under way is not
// repeated before it has had its time.
func (o *OrderPlanner) Plan(now time.Time, engines []EngineView) []Order {
	o.dropIdleDemands(now)
	loads := o.loadsInFlight(now)
	var plan []Order
	for _, d := range o.byUrgency() {
		for copies := o.copies(d.Adapter, engines, loads); copies < min(adapterCopies, len(engines)); copies++ {
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
	if until, underWay := o.inFlight[order]; underWay && now.Before(until) {
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

// loadsInFlight returns by engine the adapters that orders under way will load.
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

func (o *OrderPlanner) byUrgency() []Demand {
	out := make([]Demand, 0, len(o.demands))
	for _, d := range o.demands {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Demand) int {
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
	return out
}

func (o *OrderPlanner) copies(adapter string, engines []EngineView, loads map[string][]string) int {
	n := 0
	for _, e := range engines {
		if slices.Contains(e.Adapters, adapter) || slices.Contains(loads[e.Name], adapter) {
			n++
		}
	}
	return n
}

// place returns the engine with the fewest adapters that lacks this one, and what it must
// evict for it: an adapter that nobody wants, or the one that was used longest ago.
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

// evictIdle adds orders for what engines hold and nobody has wanted for long.
func (o *OrderPlanner) evictIdle(now time.Time, plan []Order, engines []EngineView) []Order {
	for _, e := range engines {
		for _, adapter := range e.Adapters {
			if _, wanted := o.demands[adapter]; !wanted {
				plan = o.addOrder(now, plan, Order{Engine: e.Name, Adapter: adapter, Evict: true})
			}
		}
	}
	return plan
}
