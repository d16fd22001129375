package share_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/share"
)

const (
	gateObjective = 400 * time.Millisecond
	gateWork      = 80 * time.Millisecond
	gateSlots     = 2
	// endDelay is how long the message about an end takes: half of the interval of batches, and the way.
	endDelay = 20 * time.Millisecond
)

type (
	// gateTrial runs a Gate on a made-up clock before four endpoints of two slots, which do 100 requests of 80 ms a second.
	gateTrial struct {
		t         *testing.T
		gate      *share.Gate
		startedAt time.Time
		now       time.Time
		last      uint64
		endpoints map[string]*trialEndpoint
		asked     map[share.GateKey]*trialRequest
		// ends holds the ends that are on their way, by the time at which they arrive.
		ends map[time.Time][]share.GateEnd
		// loseEnd decides whether a message about an end is lost; nil for never.
		loseEnd func() bool
		// work is the estimate for requests of node-1.
		work time.Duration
		// foreign is how many requests that the gate has not admitted each endpoint reports.
		foreign int
		// idle is the time during which a slot was idle although a request waited.
		idle                time.Duration
		served, late, total map[string]int
	}

	trialEndpoint struct {
		queue []*trialRequest
	}

	trialRequest struct {
		key      share.GateKey
		customer string
		due      time.Time
		left     time.Duration
		endpoint string
		refused  bool
		decided  bool
		retry    time.Duration
	}

	// trialLoad is a customer that sends perSecond requests with rank, through the nodes in turn, with random or equal gaps.
	trialLoad struct {
		customer  string
		perSecond float64
		equalGaps bool
		rank      int
		nodes     []string
		from, to  time.Duration
	}
)

func newGateTrial(t *testing.T) *gateTrial {
	now := time.Unix(1000, 0)
	trial := &gateTrial{
		t: t, gate: share.NewGate(), startedAt: now, now: now, endpoints: map[string]*trialEndpoint{}, asked: map[share.GateKey]*trialRequest{},
		work: gateWork, ends: map[time.Time][]share.GateEnd{}, served: map[string]int{}, late: map[string]int{}, total: map[string]int{},
	}
	var listed []share.GateEndpoint
	for i := range 4 {
		name := fmt.Sprint("endpoint-", i)
		trial.endpoints[name] = &trialEndpoint{}
		listed = append(listed, share.GateEndpoint{Incarnation: name, Slots: gateSlots})
	}
	trial.gate.SetEndpoints(listed)
	return trial
}

// ask asks the gate for a request with a given rank.
func (s *gateTrial) ask(customer, node string, rank int) *trialRequest {
	s.last++
	r := &trialRequest{key: share.GateKey{Node: node, Number: s.last}, customer: customer, due: s.now.Add(gateObjective), left: gateWork}
	s.asked[r.key] = r
	s.total[customer]++
	work := gateWork
	if node == "node-1" {
		work = s.work
	}
	s.apply(s.gate.Ask(s.now, share.GateAsk{
		Key: r.key, Customer: customer, Rank: rank, Due: r.due, Deadline: s.now.Add(5 * gateObjective), Work: work, Spread: float64(s.last%10) / 10,
	}))
	return r
}

func (s *gateTrial) apply(d share.GateDecision) {
	r := s.asked[d.Key]
	switch d.State {
	case share.GateAdmitted:
		must.False(s.t, r.decided, must.Sprint("a request is decided once"))
		r.decided, r.endpoint = true, d.Incarnation
		e := s.endpoints[d.Incarnation]
		e.queue = append(e.queue, r)
	case share.GateRefused:
		must.False(s.t, r.decided)
		r.decided, r.refused, r.retry = true, true, d.RetryAfter
	}
}

// step advances the clock by a millisecond.
func (s *gateTrial) step() {
	s.now = s.now.Add(time.Millisecond)
	for name, e := range s.endpoints {
		for _, r := range slices.Clone(e.queue[:min(gateSlots, len(e.queue))]) {
			if r.left -= time.Millisecond; r.left > 0 {
				continue
			}
			e.queue = slices.DeleteFunc(e.queue, func(other *trialRequest) bool { return other == r })
			s.served[r.customer]++
			if s.now.After(r.due) {
				s.late[r.customer]++
			}
			if s.loseEnd == nil || !s.loseEnd() {
				at := s.now.Add(endDelay)
				s.ends[at] = append(s.ends[at], share.GateEnd{Key: r.key, Incarnation: name, Load: len(e.queue) + 1 + s.foreign})
			}
		}
	}
	for _, end := range s.ends[s.now] {
		s.gate.End(s.now, end)
	}
	delete(s.ends, s.now)
	for _, d := range s.gate.Advance(s.now) {
		s.apply(d)
	}
	running := 0
	for name, e := range s.endpoints {
		must.LessEq(s.t, gateSlots+1, len(e.queue), must.Sprint(name, " has more than its slots and one"))
		running += min(gateSlots, len(e.queue))
	}
	must.LessEq(s.t, len(s.endpoints)*(gateSlots+1), s.gate.Running())
	if s.gate.Waiting() > 0 {
		s.idle += time.Duration(len(s.endpoints)*gateSlots-running) * time.Millisecond
	}
}

// run runs loads with random gaps for a time.
func (s *gateTrial) run(length time.Duration, loads ...trialLoad) {
	random := rand.New(rand.NewPCG(1, 2))
	next := make([]time.Time, len(loads))
	began := s.now
	for i, load := range loads {
		next[i] = began.Add(load.from + load.gap(random))
	}
	for n := 0; s.now.Sub(began) < length; s.step() {
		for i, load := range loads {
			for ; !next[i].After(s.now) && (load.to == 0 || s.now.Sub(began) < load.to); n++ {
				s.ask(load.customer, load.nodes[n%len(load.nodes)], load.rank)
				next[i] = next[i].Add(load.gap(random))
			}
		}
		for _, node := range []string{"node-0", "node-1", "node-2"} {
			s.gate.Hear(s.now, node)
		}
	}
}

// gap returns the time until the next request.
func (l trialLoad) gap(random *rand.Rand) time.Duration {
	gaps := 1.0
	if !l.equalGaps {
		gaps = random.ExpFloat64()
	}
	return time.Duration(gaps / l.perSecond * float64(time.Second))
}

func (s *gateTrial) servedTotal() int {
	sum := 0
	for _, n := range s.served {
		sum += n
	}
	return sum
}

// Guards against a flood that takes the slots from customers that stay within their shares, through whichever nodes it
// comes, and against idle slots while requests wait.
func TestGateServesSmallCustomersDuringFlood(t *testing.T) {
	all := []string{"node-0", "node-1", "node-2"}
	const length = 12 * time.Second
	for name, flood := range map[string][]trialLoad{
		"through one node":  {{customer: "flood", perSecond: 300, nodes: all[:1]}},
		"through all nodes": {{customer: "flood", perSecond: 300, nodes: all}},
		"moving": {
			{customer: "flood", perSecond: 300, nodes: all[:1], to: 4 * time.Second},
			{customer: "flood", perSecond: 300, nodes: all[1:2], from: 4 * time.Second, to: 8 * time.Second},
			{customer: "flood", perSecond: 300, nodes: all[2:], from: 8 * time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newGateTrial(t)
			loads := flood
			for i := range 4 {
				loads = append(loads, trialLoad{customer: fmt.Sprint("small-", i), perSecond: 3, nodes: all})
			}
			s.run(length, loads...)
			served, total := 0, 0
			for i := range 4 {
				customer := fmt.Sprint("small-", i)
				served += s.served[customer] - s.late[customer]
				total += s.total[customer]
			}
			t.Logf("small: %d of %d on time; all: %d of %d; late %d of flood; idle %s", served, total, s.servedTotal(), 100*int(length/time.Second), s.late["flood"], s.idle)
			must.GreaterEq(t, 0.95, float64(served)/float64(total))
			must.GreaterEq(t, 0.95*100*length.Seconds(), float64(s.servedTotal()))
			must.LessEq(t, s.served["flood"]/20, s.late["flood"])
		})
	}
}

// Guards against estimates and an order by name that refuse a customer that seldom asks beside many that flood.
func TestGateServesRareCustomerBesideManyFloods(t *testing.T) {
	for _, floods := range []int{40, 80} {
		t.Run(fmt.Sprint(floods), func(t *testing.T) {
			s := newGateTrial(t)
			loads := []trialLoad{{customer: "zz", perSecond: 0.5, equalGaps: true, nodes: []string{"node-0"}}}
			for i := range floods {
				loads = append(loads, trialLoad{customer: fmt.Sprint("flood-", i), perSecond: 500 / float64(floods), nodes: []string{"node-1", "node-2"}})
			}
			s.run(27*time.Second, loads...)
			t.Logf("zz: %d of %d served, %d late; all: %d", s.served["zz"], s.total["zz"], s.late["zz"], s.servedTotal())
			must.Eq(t, 13, s.total["zz"])
			must.GreaterEq(t, 12, s.served["zz"]-s.late["zz"])
		})
	}
}

// Guards against shares that depend on the number of customers: each of 740 customers that ask for more than the pool
// has together is served about as often as any other, and none floods the rest.
func TestGateDividesAmongManyCustomers(t *testing.T) {
	const customers, length = 740, 60 * time.Second
	s := newGateTrial(t)
	loads := []trialLoad{{customer: "flood", perSecond: 100, nodes: []string{"node-0"}}}
	for i := range customers {
		loads = append(loads, trialLoad{customer: fmt.Sprint("customer-", i), perSecond: 0.1, nodes: []string{"node-1", "node-2"}})
	}
	s.run(length, loads...)
	served, total := s.servedTotal()-s.served["flood"], 0
	for i := range customers {
		total += s.total[fmt.Sprint("customer-", i)]
	}
	t.Logf("small: %d of %d served; all: %d of %d", served, total, s.servedTotal(), 100*int(length/time.Second))
	must.GreaterEq(t, 0.95, float64(served)/float64(total))
	must.GreaterEq(t, 0.95*100*length.Seconds(), float64(s.servedTotal()))
}

// Guards against a customer that finds the pool taken when it asks after a quiet time: it is on time at once, also after
// it has used the whole pool itself.
func TestGateServesQuietCustomerAtOnce(t *testing.T) {
	for _, first := range []string{"flood", "quiet"} {
		s := newGateTrial(t)
		node := []string{"node-0"}
		s.run(5*time.Second, trialLoad{customer: first, perSecond: 300, nodes: node})
		s.run(5*time.Second, trialLoad{customer: "flood", perSecond: 300, nodes: node})
		before, late := s.served["quiet"], s.late["quiet"]
		s.run(time.Second, trialLoad{customer: "flood", perSecond: 300, nodes: node}, trialLoad{customer: "quiet", perSecond: 20, nodes: node})
		s.run(time.Second, trialLoad{customer: "flood", perSecond: 300, nodes: node})
		must.GreaterEq(t, 15, s.served["quiet"]-s.late["quiet"]-before+late, must.Sprint(first))
	}
}

// Guards against estimates of work that are too high, as of a node that saw only full endpoints, and that have requests
// refused although their customer is within its share.
func TestGateServesWithinShareDespiteEstimates(t *testing.T) {
	s := newGateTrial(t)
	s.work = 5 * gateWork
	flood := trialLoad{customer: "flood", perSecond: 300, nodes: []string{"node-0"}}
	s.run(5*time.Second, flood, trialLoad{customer: "small", perSecond: 3, nodes: []string{"node-1"}})
	must.GreaterEq(t, 95*s.total["small"]/100, s.served["small"])
}

// Guards against slots that are never freed: because the messages about ends are lost, until the node reports what it
// has open, because the node is gone, or because nothing at all is heard before the deadline.
func TestGateFreesSlotsWithoutEndMessages(t *testing.T) {
	for name, tc := range map[string]struct {
		within time.Duration
		report func(s *gateTrial)
	}{
		"reported open":  {10 * time.Millisecond, func(s *gateTrial) { s.gate.Reconcile(s.now, "node-0", s.last, nil) }},
		"node is silent": {1650 * time.Millisecond, func(*gateTrial) {}},
		"deadline":       {5*gateObjective + 150*time.Millisecond, func(s *gateTrial) { s.gate.Hear(s.now, "node-0") }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newGateTrial(t)
			s.loseEnd = func() bool { return true }
			for range 4 * (gateSlots + 1) {
				s.ask("customer", "node-0", 0)
			}
			must.Eq(t, 4*(gateSlots+1), s.gate.Running())
			for began := s.now; s.now.Sub(began) < tc.within; s.step() {
				tc.report(s)
			}
			must.Eq(t, 0, s.gate.Running())
		})
	}
}

// Guards against a report that was written before the last requests and frees their slots.
func TestGateKeepsRequestsThatAreNewerThanReport(t *testing.T) {
	s := newGateTrial(t)
	old, open, later := s.ask("customer", "node-0", 0), s.ask("customer", "node-0", 0), s.ask("customer", "node-0", 0)
	s.gate.Reconcile(s.now, "node-0", open.key.Number, []uint64{open.key.Number})
	must.Eq(t, 2, s.gate.Running())
	s.gate.End(s.now, share.GateEnd{Key: old.key})
	must.Eq(t, 2, s.gate.Running())
	s.gate.End(s.now, share.GateEnd{Key: later.key})
	must.Eq(t, 1, s.gate.Running())
}

// Guards against a lower rank that takes what a higher one needs, and against one that starves.
func TestGateOrdersRanksOfOneCustomer(t *testing.T) {
	s := newGateTrial(t)
	total := map[int]int{}
	for n := range 10000 {
		s.step()
		s.gate.Hear(s.now, "node-0")
		if n%5 > 0 {
			continue
		}
		rank := 10
		if n%3 > 0 {
			rank = 11
		}
		total[rank]++
		r := s.ask("customer", "node-0", rank)
		r.customer = fmt.Sprint("rank-", rank)
	}
	high, low := s.served["rank-10"], s.served["rank-11"]
	t.Logf("rank 10: %d of %d, rank 11: %d of %d", high, total[10], low, total[11])
	must.GreaterEq(t, 0.95*float64(total[10]), float64(high))
	must.GreaterEq(t, 0.2*float64(total[11]), float64(low))
}

// Guards against requests sent to endpoints that refuse what they have no slot for, and to those that do not answer.
func TestGateLearnsFromRefusalsAndFaults(t *testing.T) {
	for result, want := range map[share.GateResult]int{share.GateServed: 3, share.GateNoRoom: 2, share.GateUnreachable: 0} {
		s := newGateTrial(t)
		first := s.ask("customer", "node-0", 0)
		s.gate.End(s.now, share.GateEnd{Key: first.key, Result: result, Incarnation: first.endpoint, Slots: gateSlots})
		count := 0
		for range 20 {
			if s.ask("customer", "node-0", 0).endpoint == first.endpoint {
				count++
			}
		}
		must.Eq(t, want, count)
	}
}

// Guards against a gate that fills up endpoints that other senders use too, and that goes on to leave them room.
func TestGateLeavesRoomForOtherSenders(t *testing.T) {
	s := newGateTrial(t)
	flood := trialLoad{customer: "flood", perSecond: 300, nodes: []string{"node-0"}}
	s.foreign = 2
	s.run(3*time.Second, flood)
	must.Eq(t, 4, s.gate.Running())
	s.foreign = 0
	s.run(time.Second, flood)
	must.Eq(t, 12, s.gate.Running())
}

// listEndpoints returns endpoints of gateSlots slots.
func listEndpoints(names ...string) []share.GateEndpoint {
	var out []share.GateEndpoint
	for _, name := range names {
		out = append(out, share.GateEndpoint{Incarnation: name, Slots: gateSlots})
	}
	return out
}

// askMany asks for count requests, with numbers from first, and returns how many were admitted at each endpoint.
func askMany(g *share.Gate, now time.Time, first uint64, count int) map[string]int {
	admitted := map[string]int{}
	for i := range count {
		d := g.Ask(now, share.GateAsk{
			Key: share.GateKey{Node: "node-0", Number: first + uint64(i)}, Customer: "customer", Due: now.Add(gateObjective), Deadline: now.Add(5 * gateObjective), Work: gateWork,
		})
		if d.State == share.GateAdmitted {
			admitted[d.Incarnation]++
		}
	}
	return admitted
}

// Guards against requests of removed endpoints that take the places of others, and against an endpoint that gets more than its
// places when it returns while its requests still run.
func TestGateFollowsEndpointsThatLeaveAndReturn(t *testing.T) {
	const places = gateSlots + 1
	for name, tc := range map[string]struct {
		lists [][]string
		// ended is how many of the requests at a end after the changes.
		ended int
		// want is how many requests are admitted at each endpoint then.
		want map[string]int
	}{
		"a leaves and b joins":           {[][]string{{"b"}}, 0, map[string]int{"b": places}},
		"a returns":                      {[][]string{{"b"}, {"a", "b"}}, 0, map[string]int{"b": places}},
		"a returns after two changes":    {[][]string{{"b"}, {"c"}, {"a", "b"}}, 0, map[string]int{"b": places}},
		"a returns and a request ends":   {[][]string{{"b"}, {"a", "b"}}, 1, map[string]int{"a": 1, "b": places}},
		"a returns and all requests end": {[][]string{{"b"}, {"a", "b"}}, places, map[string]int{"a": places, "b": places}},
		"another incarnation takes over": {[][]string{{"b"}, {"a2", "b"}}, 0, map[string]int{"a2": places, "b": places}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			g := share.NewGate()
			g.SetEndpoints(listEndpoints("a"))
			must.Eq(t, map[string]int{"a": places}, askMany(g, now, 1, places))
			for _, names := range tc.lists {
				g.SetEndpoints(listEndpoints(names...))
			}
			for n := range tc.ended {
				g.End(now, share.GateEnd{Key: share.GateKey{Node: "node-0", Number: uint64(n) + 1}})
			}
			must.Eq(t, tc.want, askMany(g, now, 100, 4*places))
		})
	}
}

// Guards against a repeated question that takes a second slot, or replaces the request of which the end then frees none.
func TestGateRefusesKeyInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	g := share.NewGate()
	g.SetEndpoints(listEndpoints("a"))
	ask := func(number uint64) share.GateState {
		key := share.GateKey{Node: "node-0", Number: number}
		return g.Ask(now, share.GateAsk{Key: key, Customer: "customer", Due: now.Add(gateObjective), Deadline: now.Add(5 * gateObjective), Work: gateWork}).State
	}
	for number := range uint64(gateSlots + 1) {
		must.Eq(t, share.GateAdmitted, ask(number))
	}
	must.Eq(t, share.GateQueued, ask(100))
	must.Eq(t, share.GateRefused, ask(0))
	must.Eq(t, share.GateRefused, ask(100))
	must.Eq(t, gateSlots+1, g.Running())
	must.Eq(t, 1, g.Waiting())
	g.End(now, share.GateEnd{Key: share.GateKey{Node: "node-0", Number: 0}})
	must.Eq(t, gateSlots, g.Running())
}

// Guards against weights that make the order of all customers meaningless: each one counts as 1, so two such customers are
// served alike.
func TestGateTakesUnusableWeightAsOne(t *testing.T) {
	for _, weight := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0} {
		now := time.Unix(1000, 0)
		g := share.NewGate()
		g.SetEndpoints(listEndpoints("a"))
		for number := range uint64(9) {
			customer, w := "usual", 1.0
			if number%2 > 0 {
				customer, w = "unusual", weight
			}
			key := share.GateKey{Node: customer, Number: number}
			g.Ask(now, share.GateAsk{Key: key, Customer: customer, Weight: w, Due: now.Add(time.Minute), Deadline: now.Add(time.Hour), Work: gateWork})
		}
		for number := range uint64(gateSlots + 1) {
			g.End(now, share.GateEnd{Key: share.GateKey{Node: "usual", Number: number}})
			g.End(now, share.GateEnd{Key: share.GateKey{Node: "unusual", Number: number}})
		}
		served := map[string]int{}
		for range 2 {
			for _, d := range g.Advance(now) {
				must.Eq(t, share.GateAdmitted, d.State)
				served[d.Key.Node]++
			}
		}
		must.Eq(t, 3, served["usual"]+served["unusual"], must.Sprint(weight))
		must.GreaterEq(t, 1, min(served["usual"], served["unusual"]), must.Sprint(weight))
	}
}

// Guards against retries that all come at the same time, and against refusals that do not say whose fault they are.
func TestGateRefusalsSayWhenAndWhy(t *testing.T) {
	s := newGateTrial(t)
	s.run(3*time.Second, trialLoad{customer: "flood", perSecond: 300, nodes: []string{"node-0"}})
	times := map[time.Duration]bool{}
	for range 100 {
		if r := s.ask("flood", "node-0", 0); r.refused {
			times[r.retry] = true
			must.GreaterEq(t, 150*time.Millisecond, r.retry)
		}
	}
	must.GreaterEq(t, 10, len(times))
	d := s.gate.Ask(s.now, share.GateAsk{Key: share.GateKey{Node: "node-0", Number: 1 << 40}, Customer: "flood", Due: s.now, Deadline: s.now.Add(time.Second)})
	must.Eq(t, share.GateRefused, d.State)
	must.True(t, d.Over)
	must.Greater(t, 0, d.Use)
	must.Eq(t, share.GateQuiet, s.gate.OverloadedFor(s.now))
	must.Eq(t, 0, s.gate.OverloadedFor(s.now.Add(share.GateQuiet)))
}
