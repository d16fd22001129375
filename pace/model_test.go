package pace_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/pace"
)

const (
	serviceTime = 80 * time.Millisecond
	// objective is the time within which a response counts as on time.
	objective = 400 * time.Millisecond
	slots     = 2
	slowdown  = 3
)

var epoch = time.Unix(1_700_000_000, 0)

type (
	// poolModel is a pool of endpoints with two slots on a made-up clock, and the nodes that send to it.
	poolModel struct {
		rng       *rand.Rand
		now       time.Time
		events    eventQueue
		endpoints []*modelEndpoint
		nodes     []*modelNode
		// uses is false if nodes choose by load only.
		uses bool
		// changeEvery is how often other endpoints are slow; 0 if it is always the first ones.
		changeEvery time.Duration
		slowShare   float64
		// states is true if the endpoints state their contention; otherwise they state 1 and their speed differs.
		states               bool
		sent, late, sentSlow int
	}

	modelEndpoint struct {
		factor  float64
		running int
		queue   []*modelCall
	}

	modelNode struct {
		candidates []kernel.Candidate
		book       *pace.Book
	}

	modelCall struct {
		node     *modelNode
		endpoint int
		sentAt   time.Time
	}

	event struct {
		at  time.Time
		run func()
	}

	eventQueue []event
)

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newPoolModel(nodes, endpoints int, slowShare float64, uses bool) *poolModel {
	m := &poolModel{rng: rand.New(rand.NewPCG(7, 11)), now: epoch, uses: uses, slowShare: slowShare}
	var candidates []kernel.Candidate
	for i := range endpoints {
		m.endpoints = append(m.endpoints, &modelEndpoint{factor: 1})
		name := fmt.Sprint("endpoint-", i)
		domain := fmt.Sprint("domain-", i%3)
		candidates = append(candidates, kernel.Candidate{Endpoint: model.Endpoint{Name: name, FailureDomain: domain, State: model.Live}})
	}
	for range nodes {
		m.nodes = append(m.nodes, &modelNode{candidates: append([]kernel.Candidate{}, candidates...), book: pace.NewBook()})
	}
	return m
}

func (m *poolModel) after(d time.Duration, run func()) {
	heap.Push(&m.events, event{m.now.Add(d), run})
}

// change makes a share of the endpoints slow.
func (m *poolModel) change() {
	slow := int(m.slowShare * float64(len(m.endpoints)))
	order := make([]int, len(m.endpoints))
	for i := range order {
		order[i] = i
	}
	if m.changeEvery > 0 {
		m.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		m.after(m.changeEvery, m.change)
	}
	for i, e := range order {
		m.endpoints[e].factor = 1
		if i < slow {
			m.endpoints[e].factor = slowdown
		}
	}
}

func (m *poolModel) arrive(interval time.Duration) {
	n := m.nodes[m.rng.IntN(len(m.nodes))]
	for i := range n.candidates {
		n.candidates[i].Slowness = 0
		if m.uses {
			n.candidates[i].Slowness = n.book.Estimate(m.now, n.candidates[i].Endpoint.Name).Slowness()
		}
	}
	i := kernel.PickTwoChoices(m.now, n.candidates, n.domain(m), m.rng.Float64(), m.rng.Float64())
	n.candidates[i].InFlight++
	e := m.endpoints[i]
	m.sent++
	if e.factor > 1 {
		m.sentSlow++
	}
	e.queue = append(e.queue, &modelCall{node: n, endpoint: i, sentAt: m.now})
	m.start(e)
	m.after(time.Duration(m.rng.ExpFloat64()*float64(interval)), func() { m.arrive(interval) })
}

func (n *modelNode) domain(m *poolModel) string {
	for i := range m.nodes {
		if m.nodes[i] == n {
			return fmt.Sprint("domain-", i%3)
		}
	}
	return ""
}

func (m *poolModel) start(e *modelEndpoint) {
	for e.running < slots && len(e.queue) > 0 {
		call := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		work := time.Duration((0.8 + 0.4*m.rng.Float64()) * e.factor * float64(serviceTime))
		m.after(work, func() { m.end(e, call) })
	}
}

func (m *poolModel) end(e *modelEndpoint, call *modelCall) {
	load := model.Load{Running: e.running, Queued: len(e.queue), Slots: slots, Contention: 1}
	if m.states {
		load.Contention = e.factor
	}
	e.running--
	m.start(e)
	elapsed := m.now.Sub(call.sentAt)
	if elapsed > objective {
		m.late++
	}
	c := &call.node.candidates[call.endpoint]
	c.InFlight--
	c.Load, c.LoadAt = load, m.now
	call.node.book.RecordResponse(m.now, c.Endpoint.Name, pace.Response{Kind: "call", Elapsed: elapsed, Waited: true, Load: load})
}

// run sends requests at a share of the pool's capacity, and returns the shares of the requests that were on time and
// that went to endpoints that were slow, after a first second that does not count.
func (m *poolModel) run(load float64, d time.Duration) (onTime, slow float64) {
	m.change()
	capacity := float64(len(m.endpoints)) * (1 - m.slowShare + m.slowShare/slowdown) * slots / serviceTime.Seconds()
	interval := time.Duration(float64(time.Second) / (load * capacity))
	m.after(interval, func() { m.arrive(interval) })
	m.after(time.Second, func() { m.sent, m.late, m.sentSlow = 0, 0, 0 })
	for end := m.now.Add(time.Second + d); m.now.Before(end); {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
	return 1 - float64(m.late)/float64(m.sent), float64(m.sentSlow) / float64(m.sent)
}

// Guards against requests that go to slow endpoints beyond what these can serve, in a small fleet, where nodes hear often
// from each endpoint, and a large one, where a node sends an endpoint about one request in half a minute.
func TestSlowEndpointsGetTheirProportion(t *testing.T) {
	t.Parallel()
	const third, quarter = 1.0 / 3, 0.25
	for name, tc := range map[string]struct {
		nodes, endpoints int
		slowShare        float64
		changeEvery      time.Duration
		states           bool
		load             float64
		duration         time.Duration
		minOnTime        float64
		maxSlow          float64
	}{
		"3 nodes, third slow":                       {3, 12, third, 0, false, 0.7, 30 * time.Second, 0.97, 0.14},
		"3 nodes, third slow, stated":               {3, 12, third, 0, true, 0.7, 30 * time.Second, 0.97, 0.14},
		"3 nodes, quarter slow, changing, stated":   {3, 12, quarter, 600 * time.Millisecond, true, 0.7, 30 * time.Second, 0.97, 0.10},
		"3 nodes, third slow, nearly saturated":     {3, 12, third, 0, false, 0.95, 30 * time.Second, 0.90, 0.14},
		"400 nodes, third slow":                     {400, 790, third, 0, false, 0.7, 3 * time.Second, 0.97, 0.14},
		"400 nodes, third slow, stated":             {400, 790, third, 0, true, 0.7, 3 * time.Second, 0.97, 0.14},
		"400 nodes, quarter slow, changing, stated": {400, 790, quarter, 600 * time.Millisecond, true, 0.7, 3 * time.Second, 0.97, 0.10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := func(uses bool) (onTime, slow float64) {
				m := newPoolModel(tc.nodes, tc.endpoints, tc.slowShare, uses)
				m.changeEvery, m.states = tc.changeEvery, tc.states
				return m.run(tc.load, tc.duration)
			}
			onTimeBefore, slowBefore := run(false)
			onTime, slow := run(true)
			t.Logf("%s: on time %.3f, to slow endpoints %.3f (by load only: %.3f, %.3f)", name, onTime, slow, onTimeBefore, slowBefore)
			must.GreaterEq(t, tc.minOnTime, onTime)
			must.Greater(t, onTimeBefore, onTime)
			must.LessEq(t, tc.maxSlow, slow)
		})
	}
}
