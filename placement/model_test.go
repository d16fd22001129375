package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/placement"
)

const (
	// modelTick is the time step of the model, modelWarmUp the time from the start whose prompts are not counted.
	modelTick   = time.Millisecond
	modelWarmUp = 5 * time.Second
	// chunkTokens is how many tokens of prompts an engine reads in a step, decodeStep what its running streams add to the
	// duration of a step.
	chunkTokens = 4096
	decodeStep  = 6 * time.Millisecond
	// modelKVCapacity is the size of an engine's cache in tokens, modelSlots how many requests it runs.
	modelKVCapacity = 250_000
	modelSlots      = 96
	// reportDelay is how old a load is when an engine states it, and how long nodes keep reports on average.
	loadAge     = 200 * time.Millisecond
	reportDelay = 60 * time.Millisecond
	// contentionDwell is how often the contention of an engine changes.
	contentionDwell = 600 * time.Millisecond
)

type (
	// modelPrompt is a prompt on its way through the model.
	modelPrompt struct {
		id         placement.RequestID
		prompt     model.Prompt
		parts      []placement.Part
		arrivedAt  time.Time
		due        time.Time
		engine     *modelEngine
		unread     int
		reread     int
		steps      int
		firstEvent time.Time
	}

	// modelEngine reads prompts in the order of their arrival, in chunks, together with the steps of its streams.
	modelEngine struct {
		endpoint model.Endpoint
		// perMilli is how many tokens it reads in a millisecond without contention, slowShare the share of the time with
		// high contention, slowdown a factor on all its times.
		perMilli, slowShare, slowdown float64
		contention                    float64
		contentionUntil               time.Time
		// past holds the contention of each tick.
		past      []float64
		queue     []*modelPrompt
		running   []*modelPrompt
		busyUntil time.Time
		reading   []*modelPrompt
		cached    map[uint64]int
		order     []placement.Part
		used      int
		times     []time.Duration
	}

	// placingModel is a pool of engines with arrivals that do not depend on the choices.
	placingModel struct {
		now       time.Time
		began     time.Time
		random    *rand.Rand
		engines   []*modelEngine
		nodes     int
		perSecond float64
		// popular is the share of the prompts that have only one shared part, the same for all of them.
		popular float64
		// everSeen holds the parts that any engine has read.
		everSeen map[uint64]bool
		arrivals float64
		number   uint64
		prompts  []*modelPrompt
		// place chooses the engine for a prompt, report is called later with what its node has learned.
		place  func(p *modelPrompt) *modelEngine
		report func(r placement.Report, p *modelPrompt)
		due    []delayedReport
	}

	delayedReport struct {
		at time.Time
		placement.Report
		prompt *modelPrompt
	}

	// modelResult is what came of the prompts: quantiles of the time to the first event, the late share, the mean of the
	// shared tokens of a prompt that were read again, and the 10th and 90th percentile of the engines' median times.
	modelResult struct {
		median, p95, p99 time.Duration
		late             float64
		reread           float64
		low, high        time.Duration
	}
)

func (r modelResult) String() string {
	return fmt.Sprintf("first event %d/%d/%d ms, late %.4f, shared tokens read again %.0f, engines' medians %d to %d ms", r.median.Milliseconds(),
		r.p95.Milliseconds(), r.p99.Milliseconds(), r.late, r.reread, r.low.Milliseconds(), r.high.Milliseconds())
}

// newPlacingModel returns a model in which a third of the engines have high contention most of the time.
func newPlacingModel(seed uint64, engines, nodes int, perSecond float64) *placingModel {
	m := &placingModel{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), nodes: nodes, perSecond: perSecond, everSeen: map[uint64]bool{},
	}
	m.began = m.now
	for i := range engines {
		e := &modelEngine{
			endpoint: model.Endpoint{Name: fmt.Sprint("engine-", i), Pool: "p", State: model.Live, Slots: modelSlots, Started: m.now},
			perMilli: 32 + 12*m.random.Float64(), slowShare: 0.1, slowdown: 1, cached: map[uint64]int{},
		}
		if i%3 == 0 {
			e.slowShare = 0.85
		}
		m.engines = append(m.engines, e)
	}
	return m
}

// endpoints returns the engines as a registry lists them.
func (m *placingModel) endpoints() []model.Endpoint {
	var out []model.Endpoint
	for _, e := range m.engines {
		out = append(out, e.endpoint)
	}
	return out
}

// newPrompt returns a prompt with an early part that a quarter of the requests share, a later one that one in 188 to 1,100
// shares, and one of its own.
func (m *placingModel) newPrompt() *modelPrompt {
	m.number++
	early := m.random.IntN(4)
	later := int(500 * math.Pow(m.random.Float64(), 1.2))
	own := int(min(33_000, 300+1300*math.Exp(1.1*m.random.NormFloat64())))
	p := &modelPrompt{id: placement.RequestID{Node: fmt.Sprint("node-", m.random.IntN(m.nodes)), Number: m.number}, arrivedAt: m.now, steps: 50 + m.random.IntN(200)}
	p.prompt.Parts = []model.PromptPart{
		{ID: fmt.Sprint("early-", early), Tokens: 1500 + 400*early}, {ID: fmt.Sprint("later-", early, "-", later), Tokens: 2000 + (later*37)%4400}, {ID: fmt.Sprint("own-", m.number), Tokens: own},
	}
	if m.popular > 0 && m.random.Float64() < m.popular {
		p.prompt.Parts = []model.PromptPart{{ID: "popular", Tokens: 6000}, p.prompt.Parts[2]}
	}
	for _, part := range p.prompt.Parts {
		p.prompt.TokensIn += part.Tokens
	}
	p.parts = placement.NewParts(p.prompt)
	p.due = m.now.Add(400*time.Millisecond + time.Duration(m.random.Float64()*1200)*time.Millisecond)
	return p
}

// run runs the model for a time.
func (m *placingModel) run(length time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(modelTick) {
		m.arrivals += m.perSecond * modelTick.Seconds()
		for ; m.arrivals >= 1; m.arrivals -= m.random.ExpFloat64() {
			p := m.newPrompt()
			m.prompts = append(m.prompts, p)
			p.engine = m.place(p)
			p.engine.queue = append(p.engine.queue, p)
			p.unread = -1
		}
		for _, e := range m.engines {
			m.step(e)
		}
		for len(m.due) > 0 && !m.due[0].at.After(m.now) {
			m.report(m.due[0].Report, m.due[0].prompt)
			m.due = m.due[1:]
		}
	}
}

// step advances an engine by one tick.
func (m *placingModel) step(e *modelEngine) {
	if !m.now.Before(e.contentionUntil) {
		e.contentionUntil = m.now.Add(time.Duration(float64(contentionDwell) * (0.5 + m.random.Float64())))
		e.contention = 0.7
		switch draw := m.random.Float64(); {
		case draw < 0.01:
			e.contention = 4.2
		case m.random.Float64() < e.slowShare:
			e.contention = 1.75
		}
	}
	e.past = append(e.past, e.contention)
	if m.now.Before(e.busyUntil) {
		return
	}
	m.finishStep(e)
	tokens := 0
	for len(e.queue) > 0 && tokens < chunkTokens && len(e.running)+len(e.reading) < modelSlots {
		p := e.queue[0]
		if p.unread < 0 {
			m.beginReading(e, p)
		}
		read := min(p.unread, chunkTokens-tokens)
		tokens += read
		p.unread -= read
		if p.unread == 0 {
			e.reading = append(e.reading, p)
			e.queue = e.queue[1:]
		}
	}
	if tokens+len(e.running) == 0 {
		return
	}
	milliseconds := float64(tokens)/e.perMilli + float64(decodeStep.Milliseconds())
	e.busyUntil = m.now.Add(time.Duration(milliseconds * e.contention * e.slowdown * float64(time.Millisecond)))
}

// finishStep sends the events of the step that has ended.
func (m *placingModel) finishStep(e *modelEngine) {
	e.running = slices.DeleteFunc(e.running, func(p *modelPrompt) bool {
		p.steps--
		if p.steps <= 0 {
			m.send(p, placement.Ended)
		}
		return p.steps <= 0
	})
	for _, p := range e.reading {
		p.firstEvent = m.now
		e.times = append(e.times, m.now.Sub(p.arrivedAt))
		m.send(p, placement.FirstEvent)
	}
	e.running = append(e.running, e.reading...)
	e.reading = e.reading[:0]
}

// beginReading sets what an engine has to read of a prompt, and caches its parts.
func (m *placingModel) beginReading(e *modelEngine, p *modelPrompt) {
	p.unread = p.prompt.TokensIn
	cached := true
	for _, part := range p.parts {
		if cached = cached && e.cached[part.Key] > 0; cached {
			p.unread -= part.Tokens
		} else if m.everSeen[part.Key] {
			p.reread += part.Tokens
		}
		m.everSeen[part.Key] = true
	}
	for i := len(p.parts) - 1; i >= 0; i-- {
		part := p.parts[i]
		if e.cached[part.Key] == 0 {
			e.used += part.Tokens
		}
		e.cached[part.Key]++
		e.order = append(e.order, part)
	}
	// A part leaves the cache with its last use.
	for e.used > modelKVCapacity {
		oldest := e.order[0]
		e.order = e.order[1:]
		if e.cached[oldest.Key]--; e.cached[oldest.Key] == 0 {
			e.used -= oldest.Tokens
		}
	}
	p.unread = max(1, p.unread)
}

// send reports what became of a prompt. The first event comes with the engine's load of a while ago.
func (m *placingModel) send(p *modelPrompt, kind placement.ReportKind) {
	e := p.engine
	index := max(0, len(e.past)-1-int(loadAge/modelTick))
	load := model.Load{Running: len(e.running), Queued: len(e.queue), Slots: modelSlots, Contention: e.past[index]}
	report := placement.Report{ID: p.id, Kind: kind, Incarnation: e.endpoint.Incarnation()}
	if kind == placement.FirstEvent {
		report.Elapsed, report.Load, report.LoadAgo = m.now.Sub(p.arrivedAt), &load, reportDelay
	}
	m.due = append(m.due, delayedReport{at: m.now.Add(reportDelay), Report: report, prompt: p})
}

// placeByTables makes the model use placers, one for each group.
func (m *placingModel) placeByTables() []*placement.Table {
	groups := placement.Groups(len(m.engines))
	byIncarnation := map[string]*modelEngine{}
	members := make([][]model.Endpoint, groups)
	sizes := make([]int, groups)
	for _, e := range m.engines {
		byIncarnation[e.endpoint.Incarnation()] = e
		group := placement.GroupOf(e.endpoint.Incarnation(), groups)
		members[group] = append(members[group], e.endpoint)
		sizes[group]++
	}
	tables := make([]*placement.Table, groups)
	for group := range tables {
		tables[group] = placement.NewTable()
		tables[group].SetEngines(members[group], model.EngineTraits{Slots: modelSlots, KVCapacity: modelKVCapacity})
	}
	groupOf := func(p *modelPrompt) int { return placement.GroupFor(kernel.AffinityKey(p.prompt), sizes) }
	m.place = func(p *modelPrompt) *modelEngine {
		placed, _ := tables[groupOf(p)].Place(m.now, placement.Request{ID: p.id, Tokens: p.prompt.TokensIn, Parts: p.parts, Due: p.due, Deadline: m.now.Add(20 * time.Second)})
		return byIncarnation[placed.Choices[0].Incarnation]
	}
	m.report = func(r placement.Report, p *modelPrompt) { tables[groupOf(p)].Apply(m.now, r) }
	return tables
}

// placeByNodes makes each node choose by what it knows of its own requests, as for pools without a placer.
func (m *placingModel) placeByNodes() {
	known := map[string]map[string]*kernel.Candidate{}
	state := func(node string, e *modelEngine) *kernel.Candidate {
		if known[node] == nil {
			known[node] = map[string]*kernel.Candidate{}
		}
		if known[node][e.endpoint.Name] == nil {
			known[node][e.endpoint.Name] = &kernel.Candidate{Endpoint: e.endpoint}
		}
		return known[node][e.endpoint.Name]
	}
	candidates := make([]kernel.Candidate, len(m.engines))
	m.place = func(p *modelPrompt) *modelEngine {
		for i, e := range m.engines {
			candidates[i] = *state(p.id.Node, e)
		}
		e := m.engines[kernel.PickEngine(m.now, candidates, kernel.AffinityKey(p.prompt))]
		c := state(p.id.Node, e)
		c.InFlight++
		c.PendingPrefillTokens += p.prompt.TokensIn
		return e
	}
	m.report = func(r placement.Report, p *modelPrompt) {
		c := state(p.id.Node, p.engine)
		if r.Kind == placement.FirstEvent {
			c.Load, c.LoadAt = *r.Load, m.now
			c.PendingPrefillTokens -= p.prompt.TokensIn
		} else {
			c.InFlight--
		}
	}
}

// result returns what came of the prompts that arrived from a time on and had been due when the run ended.
func (m *placingModel) result(from time.Time) modelResult {
	var times, medians []time.Duration
	late, reread, counted := 0, 0, 0
	byEngine := map[*modelEngine][]time.Duration{}
	for _, p := range m.prompts {
		if p.arrivedAt.Before(from) || p.due.After(m.now) {
			continue
		}
		counted++
		reread += p.reread
		if p.firstEvent.IsZero() || p.firstEvent.After(p.due) {
			late++
		}
		elapsed := m.now.Sub(p.arrivedAt)
		if !p.firstEvent.IsZero() {
			elapsed = p.firstEvent.Sub(p.arrivedAt)
		}
		times = append(times, elapsed)
		byEngine[p.engine] = append(byEngine[p.engine], elapsed)
	}
	for _, t := range byEngine {
		medians = append(medians, quantile(t, 0.5))
	}
	return modelResult{
		median: quantile(times, 0.5), p95: quantile(times, 0.95), p99: quantile(times, 0.99),
		late: float64(late) / float64(counted), reread: float64(reread) / float64(counted),
		low: quantile(medians, 0.1), high: quantile(medians, 0.9),
	}
}

func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}
