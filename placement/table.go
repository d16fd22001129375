package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilstall.example/basilstall/model"
)

const (
	// MaxChoices is the number of engines that a placement names: the chosen one, and the next ones for a node whose own
	// rules exclude it.
	MaxChoices = 3
	// othersWeight is the weight of the time in which an engine reads uncached tokens, as a cost to the other requests
	// there: half of the prompts find another one pending at the engine at the usual load.
	othersWeight = 0.5
	// rereadWeight is the weight of the time in which an engine reads shared parts that another engine has cached. The copy
	// also displaces other parts, which have to be read again. With a weight of 5, a tenth more tokens were read again in
	// the model of the tests; greater ones than this made no difference.
	rereadWeight = 12.0
	// runningCost is the cost of each running request of an engine, in nanoseconds. It is a small part of a decode step,
	// so that it decides only between engines that are otherwise equal.
	runningCost = float64(200 * time.Microsecond)
	// maxSlotShare is the share of an engine's slots in use from which other engines are preferred. Nodes that choose
	// themselves use the same share.
	maxSlotShare = 0.9
	// loadTTL is how long a load report counts towards the running requests.
	loadTTL = 2 * time.Second
	// defaultStreamTime is the assumed duration of a stream while none has ended.
	defaultStreamTime = 2 * time.Second
	// streamTimeGain is the weight of a stream that ended in the mean duration.
	streamTimeGain = 0.02
	// sweepInterval is how often entries past their deadline are dropped and speeds are normalized.
	sweepInterval = 200 * time.Millisecond
	// overdueGrace is how long after its expected time a first event may be reported: reports are sent in batches every
	// 100 ms. Later, the engine counts as slower than known, at most by maxOverdue.
	overdueGrace = 150 * time.Millisecond
	maxOverdue   = 8.0
	// abandonGrace is how much longer than four times its expected time, or than maxAbandonTime, a prompt without a first
	// event counts as pending. Its node may have stopped without a report, and its size is what its caller states.
	abandonGrace   = time.Second
	abandonFactor  = 4
	maxAbandonTime = 10 * time.Second
	// maxDeadline is the longest time for which a request counts without a report on its end.
	maxDeadline = time.Minute
)

type (
	// RequestID identifies an attempt at a stream: the number is unique at the node that asks.
	RequestID struct {
		Node   string
		Number uint64
	}

	// Request asks for an engine for an attempt at a stream.
	Request struct {
		ID     RequestID
		Tokens int
		Parts  []Part
		// Due is when the first event is due, Deadline when the attempt has ended at the latest.
		Due      time.Time
		Deadline time.Time
		// Excluded lists incarnations that must not be chosen.
		Excluded []string
		// Versions and Regions list those that are allowed; nil for any.
		Versions []string
		Regions  []string
	}

	// Choice is an engine with its failure domain and the expected time to the first event.
	Choice struct {
		Incarnation string
		Domain      string
		Expected    time.Duration
	}

	// Placement holds the best engines for a prompt, in order.
	Placement struct {
		Choices []Choice
	}

	// Table holds what a placer knows of the engines of a pool or group, and chooses engines for prompts. The methods
	// change it in place and must not be called concurrently.
	Table struct {
		engines []*engine
		// byIncarnation finds the engines.
		byIncarnation map[string]*engine
		entries       map[RequestID]*entry
		reading       readingModel
		streamTime    time.Duration
		// capacity is the KV cache of an engine in tokens, the size of the largest prompt that one takes.
		capacity int
		// holders counts, by key, the engines that have a part cached.
		holders map[uint64]int
		sweptAt time.Time
		// first is the index of the engine at which the next search begins, so that equal engines get equal shares.
		first int
	}

	// engine is what is known of one incarnation.
	engine struct {
		endpoint    model.Endpoint
		incarnation string
		hash        uint64
		slots       int
		// pending are the placed prompts without a first event, in the order of placement. active is the number of all
		// placed requests that have not ended.
		pending []*entry
		active  int
		// backlog is the number of tokens to read at backlogAt.
		backlog   float64
		backlogAt time.Time
		load      model.Load
		loadAt    time.Time
		contention
		speed engineSpeed
		cache partCache
	}

	// entry is a placed request that has not ended.
	entry struct {
		engine *engine
		tokens int
		parts  []Part
		// added are the keys of the parts that were not cached at the engine before.
		added []uint64
		// uncached is the number of tokens that the engine reads for the prompt, ahead those it reads before and for it.
		uncached float64
		ahead    float64
		// waits is true if all slots of the engine were taken.
		waits bool
		// contention is the estimate at placedAt.
		contention float64
		expected   time.Duration
		placedAt   time.Time
		deadline   time.Time
	}

	// candidate is an engine as Place compares it; times are in nanoseconds.
	candidate struct {
		engine   *engine
		expected float64
		cost     float64
		// late is true if the first event would be late, or if the engine is nearly full.
		late bool
	}
)

// NewTable returns a table without engines.
func NewTable() *Table {
	return &Table{
		byIncarnation: map[string]*engine{}, entries: map[RequestID]*entry{}, reading: newReadingModel(), streamTime: defaultStreamTime, capacity: defaultKVCapacity,
		holders: map[uint64]int{},
	}
}

// SetEngines sets the engines and their traits; zero traits are unknown. What is known of incarnations that are no
// longer listed is dropped.
func (t *Table) SetEngines(listed []model.Endpoint, traits model.EngineTraits) {
	if traits.KVCapacity > 0 {
		t.capacity = traits.KVCapacity
	}
	former := t.byIncarnation
	t.byIncarnation = make(map[string]*engine, len(listed))
	t.engines = t.engines[:0]
	for _, endpoint := range listed {
		incarnation := endpoint.Incarnation()
		e := former[incarnation]
		if e == nil {
			e = &engine{incarnation: incarnation, hash: xxhash.Sum64String(incarnation), cache: newPartCache(t.holders)}
		}
		e.endpoint = endpoint
		e.slots = endpoint.Slots
		if e.slots == 0 {
			e.slots = traits.Slots
		}
		e.cache.capacity = t.capacity
		t.byIncarnation[incarnation] = e
		t.engines = append(t.engines, e)
	}
	for incarnation, e := range former {
		if t.byIncarnation[incarnation] == nil {
			e.cache.clear()
		}
	}
	for id, entry := range t.entries {
		if t.byIncarnation[entry.engine.incarnation] == nil {
			delete(t.entries, id)
		}
	}
}

// Place chooses engines for a prompt and counts the prompt as pending at the first of them. It returns false if no
// engine may get it.
func (t *Table) Place(now time.Time, r Request) (Placement, bool) {
	r = t.bounded(now, r)
	p, ok := t.Estimate(now, r)
	if ok {
		t.remove(r.ID)
		t.add(now, r, t.byIncarnation[p.Choices[0].Incarnation])
	}
	return p, ok
}

// Estimate returns the placement that a prompt would get now. It returns false if no engine may get it.
func (t *Table) Estimate(now time.Time, r Request) (Placement, bool) {
	r = t.bounded(now, r)
	t.sweep(now)
	best, found := t.search(now, r)
	if found == 0 {
		return Placement{}, false
	}
	p := Placement{Choices: make([]Choice, 0, found)}
	for _, c := range best[:found] {
		p.Choices = append(p.Choices, Choice{Incarnation: c.engine.incarnation, Domain: c.engine.endpoint.FailureDomain, Expected: time.Duration(c.expected)})
	}
	return p, true
}

// bounded returns a request whose size and deadline are within what the table counts with.
func (t *Table) bounded(now time.Time, r Request) Request {
	r.Tokens, r.Parts = bounded(r.Tokens, r.Parts, t.capacity)
	if latest := now.Add(maxDeadline); r.Deadline.After(latest) {
		r.Deadline = latest
	}
	return r
}

// search returns the best engines for a prompt in order, and their number.
func (t *Table) search(now time.Time, r Request) (best [MaxChoices]candidate, found int) {
	timeLeft := float64(r.Due.Sub(now))
	home := t.home(now, r)
	t.first++
	for i := range t.engines {
		e := t.engines[(t.first+i)%len(t.engines)]
		if !e.allows(r) {
			continue
		}
		c := t.evaluate(now, e, r, timeLeft, e == home)
		position := found
		for position > 0 && c.before(best[position-1]) {
			position--
		}
		if position == MaxChoices {
			continue
		}
		found = min(found+1, MaxChoices)
		copy(best[position+1:found], best[position:found-1])
		best[position] = c
	}
	return best, found
}

// allows reports whether an engine may get a prompt.
func (e *engine) allows(r Request) bool {
	return e.endpoint.TakesWork() && !slices.Contains(r.Excluded, e.incarnation) &&
		(r.Versions == nil || slices.Contains(r.Versions, e.endpoint.Version)) &&
		(r.Regions == nil || slices.Contains(r.Regions, e.endpoint.Region))
}

// evaluate returns an engine as a candidate for a prompt that has timeLeft, in nanoseconds, until it is due. isHome is true
// if it is the home of the prompt's shared parts.
func (t *Table) evaluate(now time.Time, e *engine, r Request, timeLeft float64, isHome bool) candidate {
	slowness := e.slowness(now)
	uncached := e.uncachedTokens(r)
	running := e.running(now)
	expected := t.reading.expected(t.backlogOf(now, e, slowness)+uncached, slowness) + t.slotWait(e, running)
	nearlyFull := e.slotCount() > 0 && running >= maxSlotShare*float64(e.slotCount())
	reread := 0.0
	if len(r.Parts) > 1 && !isHome {
		reread = max(0, uncached-float64(r.Parts[len(r.Parts)-1].Tokens))
	}
	return candidate{
		engine:   e,
		expected: expected,
		cost:     expected + (othersWeight*slowness*uncached+rereadWeight*reread)*t.reading.perToken + runningCost*running,
		late:     expected > timeLeft || nearlyFull,
	}
}

// home returns the engine that is preferred for a prompt whose shared parts no engine has cached; nil if one has. It is
// chosen by rendezvous hashing, weighted by the mean speed of the engines and by the time for which they keep parts.
// Otherwise new parts would gather where the parts before them are cached, and displace each other.
func (t *Table) home(now time.Time, r Request) *engine {
	last := max(0, len(r.Parts)-2)
	if len(r.Parts) == 0 || t.holders[r.Parts[last].Key] > 0 {
		return nil
	}
	var home *engine
	best := math.Inf(-1)
	for _, e := range t.engines {
		if !e.allows(r) {
			continue
		}
		score := math.Log(uniform(mixed(e.hash, r.Parts[last].Key))) * e.meanSlowness() / e.cache.unusedTime(now).Seconds()
		if score > best {
			home, best = e, score
		}
	}
	return home
}

// before reports whether a candidate is better than another one. Engines that would be on time go before others, and
// are compared by cost; the others are compared by time.
func (c candidate) before(other candidate) bool {
	switch {
	case c.late != other.late:
		return other.late
	case c.late:
		return c.expected < other.expected
	default:
		return c.cost < other.cost
	}
}

// uncachedTokens returns how many tokens of a prompt the engine has to read: at least one.
func (e *engine) uncachedTokens(r Request) float64 {
	return float64(max(1, r.Tokens-e.cache.cachedTokens(r.Parts)))
}

// slowness returns how much longer than usual the engine takes: by its speed, its contention, and a first event that is
// overdue.
func (e *engine) slowness(now time.Time) float64 {
	slowness := e.speed.slowness() * e.contention.estimate(now)
	if len(e.pending) == 0 {
		return slowness
	}
	oldest := e.pending[0]
	overdue := float64(now.Sub(oldest.placedAt)-overdueGrace) / float64(max(oldest.expected, overdueGrace))
	return slowness * min(max(overdue, 1), maxOverdue)
}

// meanSlowness returns the mean slowness over some seconds.
func (e *engine) meanSlowness() float64 {
	if e.contention.lastAt.IsZero() {
		return e.speed.slowness()
	}
	return e.speed.slowness() * e.contention.mean
}

// backlogOf returns how many tokens an engine still has to read of the prompts placed there.
func (t *Table) backlogOf(now time.Time, e *engine, slowness float64) float64 {
	read := float64(now.Sub(e.backlogAt)) / (t.reading.perToken * slowness)
	return max(0, e.backlog-read)
}

// running returns the number of requests at the engine: those placed and not ended, or those reported lately if these
// are more.
func (e *engine) running(now time.Time) float64 {
	age := now.Sub(e.loadAt)
	if e.loadAt.IsZero() || age >= loadTTL {
		return float64(e.active)
	}
	fresh := 1 - float64(age)/float64(loadTTL)
	return max(float64(e.active), fresh*float64(e.load.Running+e.load.Queued))
}

// slotCount returns how many requests the engine runs at a time, by its last report or else its entry or the routing; 0 if
// that is not known.
func (e *engine) slotCount() int {
	if e.load.Slots > 0 {
		return e.load.Slots
	}
	return e.slots
}

// slotWait returns how long, in nanoseconds, a prompt waits for a slot of an engine.
func (t *Table) slotWait(e *engine, running float64) float64 {
	slots := e.slotCount()
	if slots == 0 || running < float64(slots) {
		return 0
	}
	return float64(t.streamTime) / float64(slots) * (running - float64(slots) + 1)
}

// add counts a request as pending at an engine.
func (t *Table) add(now time.Time, r Request, e *engine) {
	slowness := e.slowness(now)
	uncached := e.uncachedTokens(r)
	slotWait := t.slotWait(e, e.running(now))
	e.backlog = t.backlogOf(now, e, slowness) + uncached
	e.backlogAt = now
	placed := &entry{
		engine: e, tokens: r.Tokens, parts: r.Parts, uncached: uncached, ahead: e.backlog,
		waits: slotWait > 0, contention: e.contention.estimate(now),
		expected: time.Duration(t.reading.expected(e.backlog, slowness) + slotWait),
		placedAt: now, deadline: r.Deadline,
	}
	placed.added = e.cache.use(now, r.Parts)
	e.pending = append(e.pending, placed)
	e.active++
	t.entries[r.ID] = placed
}

// remove drops the entry of a request, if there is one.
func (t *Table) remove(id RequestID) {
	placed := t.entries[id]
	if placed == nil {
		return
	}
	delete(t.entries, id)
	placed.engine.active--
	placed.engine.withdraw(placed)
}

// withdraw drops a prompt from those pending. Its tokens still count as read if it is not among them.
func (e *engine) withdraw(placed *entry) {
	i := slices.Index(e.pending, placed)
	if i < 0 {
		return
	}
	e.pending = slices.Delete(e.pending, i, i+1)
	e.backlog = min(e.backlog, e.pendingTokens(0))
}

// pendingTokens returns the uncached tokens of the pending prompts from an index on.
func (e *engine) pendingTokens(from int) float64 {
	tokens := 0.0
	for _, p := range e.pending[from:] {
		tokens += p.uncached
	}
	return tokens
}

// sweep drops entries that are past their deadline, ends the wait for first events that will not be reported, and
// normalizes the speeds.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for id, placed := range t.entries {
		if now.After(placed.deadline) {
			t.remove(id)
		}
	}
	logs := make([]float64, 0, len(t.engines))
	for _, e := range t.engines {
		for len(e.pending) > 0 && now.Sub(e.pending[0].placedAt) > min(abandonFactor*e.pending[0].expected, maxAbandonTime)+abandonGrace {
			e.withdraw(e.pending[0])
		}
		logs = append(logs, e.speed.log)
	}
	t.normalize(medianLog(logs))
}

// normalize makes the median of the speeds 1. The reading model changes accordingly.
func (t *Table) normalize(median float64) {
	for _, e := range t.engines {
		e.speed.log -= median
	}
	t.reading.scale(math.Exp(median))
}

// Speed returns how much longer an incarnation takes than the median of the pool, apart from its contention; 0 if it is
// not listed.
func (t *Table) Speed(incarnation string) float64 {
	e := t.byIncarnation[incarnation]
	if e == nil {
		return 0
	}
	return e.speed.slowness()
}
