package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
)

// TestOrdersOfTwoHoldersNeverOverlap runs two nodes with arbitrary pauses, slow and lost replies, and engines that ignore
// fencing numbers. No order of an earlier holder arrives after the first order of a later one.
func TestOrdersOfTwoHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leaseModel{now: testStart, nodes: members(2)}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			},
			"read":  func(t *rapid.T) { m.read(rapid.IntRange(0, 1).Draw(t, "node")) },
			"write": m.write,
			"order": m.order,
		})
	})
}

// TestPausedHolderWithLapsedLeaseOrdersNothing steps through the most critical interleaving: a holder is
// paused while its lease expires, and another node takes over.
func TestPausedHolderWithLapsedLeaseOrdersNothing(t *testing.T) {
	at := func(s int) time.Time { return testStart.Add(time.Duration(s) * time.Second) }
	lease := kernel.Lease{Holder: members(2)[0], Number: 1}
	holder := kernel.LeaseView{}.WithRead(at(0), kernel.Lease{}, 0).WithWrite(at(3), at(1), lease, 1)
	must.True(t, holder.MayOrder(at(3)))
	must.True(t, holder.MayOrder(at(6)))
	must.False(t, holder.MayOrder(at(7)), must.Sprint("a lease counts from when its write was sent"))
	candidate := kernel.LeaseView{}.WithRead(at(2), lease, 1)
	must.False(t, candidate.MayAcquire(at(9), 0), must.Sprint("the last order may still be in flight"))
	must.True(t, candidate.MayAcquire(at(10), 0))
	must.False(t, candidate.MayAcquire(at(10), 1), must.Sprint("the next rank waits longer"))
}

// leaseModel simulates a lease row and two nodes that read it, write it and send orders under it.
type leaseModel struct {
	now     time.Time
	nodes   []kernel.Member
	row     kernel.Lease
	version uint64
	views   [2]kernel.LeaseView
	// latest is the latest possible arrival of an order, and first is when the first order was sent, by fencing
	// number.
	latestArrival map[uint64]time.Time
	firstSent     map[uint64]time.Time
}

func (m *leaseModel) read(i int) {
	m.views[i] = m.views[i].WithRead(m.now, m.row, m.version)
}

func (m *leaseModel) write(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "node")
	w := m.views[i]
	next := kernel.Lease{Holder: m.nodes[i], Number: w.Lease.Number}
	switch {
	case w.ShouldRenew(m.now):
	case w.MayAcquire(m.now, i):
		next.Number++
	default:
		t.Skip("may not write")
	}
	if w.Version != m.version {
		t.Skip("conflict")
	}
	sent := m.now
	m.version++
	m.row = next
	if rapid.Bool().Draw(t, "answer lost") {
		return
	}
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "answer ms")) * time.Millisecond)
	m.views[i] = w.WithWrite(m.now, sent, next, m.version)
}

func (m *leaseModel) order(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "node")
	w := m.views[i]
	if !w.MayOrder(m.now) {
		t.Skip("no lease")
	}
	if m.latestArrival == nil {
		m.latestArrival, m.firstSent = map[uint64]time.Time{}, map[uint64]time.Time{}
	}
	number := w.Lease.Number
	arrival := m.now.Add(kernel.OrderTimeout)
	if _, known := m.firstSent[number]; !known {
		m.firstSent[number] = m.now
	}
	m.latestArrival[number] = arrival
	for other, last := range m.latestArrival {
		if other < number {
			must.False(t, last.After(m.firstSent[number]), must.Sprintf("an order with fencing number %d arrives after one with %d", other, number))
		}
		if other > number {
			must.False(t, arrival.After(m.firstSent[other]), must.Sprintf("an order with fencing number %d arrives after one with %d", number, other))
		}
	}
}

func TestOrdersReachWantedStateWithoutRepeats(t *testing.T) {
	o := kernel.NewOrderPlanner(100 * time.Millisecond)
	engines := []kernel.EngineView{{Name: "e1", MaxAdapters: 2}, {Name: "e2", MaxAdapters: 2}, {Name: "e3", MaxAdapters: 2}}
	sent := map[kernel.Order]int{}
	now := testStart
	for i := range 60 {
		now = now.Add(100 * time.Millisecond)
		o.AddDemand(now, kernel.Demand{Adapter: "a", Used: now})
		o.AddDemand(now, kernel.Demand{Adapter: "b", Used: now, Deadline: now.Add(time.Second)})
		loads := 0
		for _, order := range o.Plan(now, engines) {
			sent[order]++
			loads++
			// The engine executes the order, but every third order is lost.
			if (i+loads)%3 != 0 {
				executeOrder(engines, order)
				o.OrderEnded(order)
			}
		}
		must.LessEq(t, 1, loads, must.Sprint("more loads than the weight store allows"))
	}
	must.EqOp(t, 2, copiesOf(engines, "a"))
	must.EqOp(t, 2, copiesOf(engines, "b"))
	total := 0
	for _, n := range sent {
		total += n
	}
	must.LessEq(t, 8, total, must.Sprint(sent))
	must.Len(t, 0, o.Plan(now.Add(time.Second), engines))
}

func TestOrdersLoadMostUrgentAndEvictIdle(t *testing.T) {
	o := kernel.NewOrderPlanner(time.Second)
	now := testStart
	for i, name := range []string{"late", "soon", "calm"} {
		d := kernel.Demand{Adapter: name, Used: now}
		if name != "calm" {
			d.Deadline = now.Add(time.Duration(5-i) * time.Second)
		}
		o.AddDemand(now, d)
	}
	engines := []kernel.EngineView{{Name: "e1", MaxAdapters: 1, Adapters: []string{"old"}}}
	plan := o.Plan(now, engines)
	must.Eq(t, []kernel.Order{
		{Engine: "e1", Adapter: "old", Evict: true},
		{Engine: "e1", Adapter: "soon"},
	}, plan)
	idle := o.Plan(now.Add(2*kernel.AdapterIdleTimeout), []kernel.EngineView{{Name: "e1", MaxAdapters: 1, Adapters: []string{"soon"}}})
	must.Eq(t, []kernel.Order{{Engine: "e1", Adapter: "soon", Evict: true}}, idle)
}

func executeOrder(engines []kernel.EngineView, order kernel.Order) {
	for i, e := range engines {
		if e.Name != order.Engine {
			continue
		}
		kept := []string{}
		for _, a := range e.Adapters {
			if a != order.Adapter {
				kept = append(kept, a)
			}
		}
		if !order.Evict {
			kept = append(kept, order.Adapter)
		}
		engines[i].Adapters = kept
	}
}

func copiesOf(engines []kernel.EngineView, adapter string) int {
	n := 0
	for _, e := range engines {
		for _, a := range e.Adapters {
			if a == adapter {
				n++
			}
		}
	}
	return n
}

func ExampleLeaseRank() {
	rank, candidate := kernel.LeaseRank("runners", members(1)[0], members(1))
	fmt.Println(rank, candidate)
	// Output: 0 true
}
