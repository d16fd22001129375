package kernel

import (
	"slices"
	"time"
)

const (
	// adapterCopies is on how many engines an adapter is kept that is in use.
	adapterCopies = 2
	// AdapterIdle is how long an adapter stays loaded that nobody uses.
	AdapterIdle = time.Minute
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
		Most int
	}

	// Order tells an engine to load or evict an adapter.
	Order struct {
		Engine  string
		Adapter string
		Evict   bool
	}

	// Orders is the level-triggered planner of one pool: it compares what is wanted with
	// what the engines report. It changes in place.
	Orders struct {
		demands map[string]Demand
		// sent has the orders under way and until when they are not repeated.
		sent map[Order]time.Time
		// loads is when the weight store next gives a load.
		nextLoad time.Time
		// LoadEvery is the weight store's rate.
		LoadEvery time.Duration
	}
)

// NewOrders returns a planner that keeps to the weight store's rate.
func NewOrders(loadEvery time.Duration) *Orders {
	return &Orders{demands: map[string]Demand{}, sent: map[Order]time.Time{}, LoadEvery: loadEvery}
}

// Want takes a demand in.
func (o *Orders) Want(now time.Time, d Demand) {
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
func (o *Orders) Ended(order Order) {
	delete(o.sent, order)
}

// Plan returns the orders to send now, the most urgent first. An order under way is not
// repeated before it has had its time.
func (o *Orders) Plan(now time.Time, engines []EngineView) []Order {
	o.forgetIdle(now)
	loads := o.loadsUnderWay(now)
	var plan []Order
	for _, d := range o.byUrgency() {
		for copies := o.copies(d.Adapter, engines, loads); copies < min(adapterCopies, len(engines)); copies++ {
			if now.Before(o.nextLoad) {
				break
			}
			engine, evict := o.place(d.Adapter, engines, loads)
			if engine < 0 {
				break
			}
			if evict != "" {
				plan = o.send(now, plan, Order{Engine: engines[engine].Name, Adapter: evict, Evict: true})
			}
			plan = o.send(now, plan, Order{Engine: engines[engine].Name, Adapter: d.Adapter})
			loads[engines[engine].Name] = append(loads[engines[engine].Name], d.Adapter)
			o.nextLoad = now.Add(o.LoadEvery)
		}
	}
	return o.evictIdle(now, plan, engines)
}

func (o *Orders) send(now time.Time, plan []Order, order Order) []Order {
	if until, underWay := o.sent[order]; underWay && now.Before(until) {
		return plan
	}
	o.sent[order] = now.Add(LongestOrder)
	return append(plan, order)
}

func (o *Orders) forgetIdle(now time.Time) {
	for adapter, d := range o.demands {
		if now.Sub(d.Used) > AdapterIdle {
			delete(o.demands, adapter)
		}
	}
}

// loadsUnderWay returns by engine the adapters that orders under way will load.
func (o *Orders) loadsUnderWay(now time.Time) map[string][]string {
	loads := map[string][]string{}
	for order, until := range o.sent {
		if !now.Before(until) {
			delete(o.sent, order)
			continue
		}
		if !order.Evict {
			loads[order.Engine] = append(loads[order.Engine], order.Adapter)
		}
	}
	return loads
}

func (o *Orders) byUrgency() []Demand {
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

func (o *Orders) copies(adapter string, engines []EngineView, loads map[string][]string) int {
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
func (o *Orders) place(adapter string, engines []EngineView, loads map[string][]string) (engine int, evict string) {
	engine = -1
	for i, e := range engines {
		if slices.Contains(e.Adapters, adapter) || slices.Contains(loads[e.Name], adapter) {
			continue
		}
		if engine < 0 || held(e, loads) < held(engines[engine], loads) {
			engine = i
		}
	}
	if engine < 0 || held(engines[engine], loads) < engines[engine].Most {
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

func held(e EngineView, loads map[string][]string) int {
	return len(e.Adapters) + len(loads[e.Name])
}

// evictIdle adds orders for what engines hold and nobody has wanted for long.
func (o *Orders) evictIdle(now time.Time, plan []Order, engines []EngineView) []Order {
	for _, e := range engines {
		for _, adapter := range e.Adapters {
			if _, wanted := o.demands[adapter]; !wanted {
				plan = o.send(now, plan, Order{Engine: e.Name, Adapter: adapter, Evict: true})
			}
		}
	}
	return plan
}
