package relay

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/placement"
)

const (
	// placeTimeout bounds the request for a placement, a query of about a millisecond. Without a reply in time, the node
	// chooses an engine itself.
	placeTimeout = 40 * time.Millisecond
	// placePause is how long a node that did not reply in time is not asked again. Otherwise each request would wait for
	// it while its process does not run.
	placePause = 250 * time.Millisecond
	// maxPlacersAsked is how many nodes are asked for one attempt if some are leaving or not reached.
	maxPlacersAsked = 3
	// placeReportInterval is how often reports are sent that no request for a placement has carried.
	placeReportInterval = 100 * time.Millisecond
	// placerOrderTTL is how long the order of the nodes that may place for a group is kept. With 400 nodes, its computation
	// takes longer than a placement.
	placerOrderTTL = 200 * time.Millisecond
	// maxPlaceReports bounds the reports that wait. The oldest are dropped: the placer learns of its reservations' ends by
	// their deadlines.
	maxPlaceReports = 1024
	// heldPrompts is how many of the last prompts of a group a node reports to a new placer: those of a dozen seconds. 60
	// nodes then know of the shared parts that were read lately.
	heldPrompts = 32
	// expectedQuantile is the factor by which an expected time is extended to that which 70 % of first events take at most,
	// like the estimate for a pool. In the model of package placement it is 1.27, and 1.3 for long prompts.
	expectedQuantile = 1.3
)

var errPlacerSilent = errors.New("relay: the placer does not answer")

type (
	// placing holds what this node needs to ask placers, and to report to them. It is safe for concurrent use.
	placing struct {
		relay *Relay
		mu    sync.Mutex
		// lastNumber is the number of the last attempt. It starts with the time, so that it is unique after a restart.
		lastNumber uint64
		groups     map[placeGroup]*groupReports
		pools      map[string]poolGroups
		// pausedUntil holds the nodes that did not reply in time.
		pausedUntil map[string]time.Time
	}

	// groupReports holds the reports that wait for the placer of a group.
	groupReports struct {
		// order holds the nodes that may place for the group, as of orderAt.
		order   []string
		orderAt time.Time
		placer  string
		waiting []peer.PlaceReport
		// held are the last prompts that this node has sent to engines of the group.
		held   []peer.PlaceReport
		usedAt time.Time
	}

	// poolGroups holds the sizes of the groups of a pool according to a registry.
	poolGroups struct {
		registry *kernel.Registry
		sizes    []int
	}

	// firstEventEstimate is what is expected of the engine of a stream before its stages. domain is its failure domain; empty
	// if it is not known.
	firstEventEstimate struct {
		expected time.Duration
		domain   string
	}

	// placedAttempt is an attempt at a stream that a placer knows of. A nil one stands for an attempt without a placer; its
	// methods do nothing.
	placedAttempt struct {
		placing *placing
		group   placeGroup
		message peer.Place
		// placer is the node that has chosen; empty if none has.
		placer       string
		incarnations []string
		// expected is the expected time to the first event at the first of them; 0 if no placer has chosen.
		expected time.Duration
		// domain is the failure domain of the first of them, if the placer was only asked.
		domain    string
		sentTo    string
		firstSeen bool
	}
)

func newPlacing(r *Relay) *placing {
	return &placing{relay: r, lastNumber: uint64(r.startedAt.UnixNano()), groups: map[placeGroup]*groupReports{}, pools: map[string]poolGroups{}, pausedUntil: map[string]time.Time{}}
}

// placedByPlacer reports whether a placer chooses the engine for the request. Limits that only the sending node knows are
// not passed to placers, so that with such limits in force the node chooses itself.
func (j *job) placedByPlacer(p *pool) bool {
	r := j.relay
	if j.trial || j.forNode != "" || !r.dividesCapacity(p.name) || r.hasRefusalCaps(p.name) {
		return false
	}
	engines, limits := r.Registry().Endpoints(p.name), r.sendLimits(p.name)
	if limits.cold.Senders > 0 && kernel.AnyCold(r.now(), engines) {
		return false
	}
	return r.rateCaps.Len() == 0 || !slices.ContainsFunc(engines, func(e model.Endpoint) bool { return r.rateCaps.HasCap(e.Incarnation()) })
}

// askPlacer asks the placer of the request's group for an engine. It returns nil if no placer is to be asked.
func (j *job) askPlacer(ctx context.Context, p *pool, resumed bool) *placedAttempt {
	if !j.placedByPlacer(p) {
		return nil
	}
	attempt := j.newPlacedAttempt(p, resumed)
	attempt.ask(ctx)
	j.placer = attempt.placer
	return attempt
}

// estimateFirstEvent returns how long the engine of a stream will take until the first event, and where it is: by the
// placer's estimate for the prompt, or else by the times of the pool. The result is sent to the channel.
func (j *job) estimateFirstEvent(ctx context.Context, p *pool) <-chan firstEventEstimate {
	estimates := make(chan firstEventEstimate, 1)
	if !j.placedByPlacer(p) {
		estimates <- firstEventEstimate{expected: p.estimateFirstEventTime()}
		return estimates
	}
	attempt := j.newPlacedAttempt(p, false)
	attempt.message.OnlyAsk = true
	go func() {
		estimate := firstEventEstimate{expected: p.estimateFirstEventTime()}
		defer func() { estimates <- estimate }()
		defer j.relay.recoverPanic(func() {})
		attempt.ask(ctx)
		if attempt.expected > 0 {
			j.relay.metrics.CountEvent("FirstEventEstimated")
			estimate.expected = time.Duration(expectedQuantile * float64(attempt.expected))
			estimate.domain = attempt.domain
		}
	}()
	return estimates
}

// newPlacedAttempt returns an attempt for which no placer has been asked.
func (j *job) newPlacedAttempt(p *pool, resumed bool) *placedAttempt {
	s := j.relay.placing
	attempt := &placedAttempt{placing: s, message: j.placeMessage(j.relay.now(), p, resumed)}
	attempt.group = s.groupFor(p.name, kernel.AffinityKey(j.forward.Prompt), attempt.message.Number)
	attempt.message.Group, attempt.message.Groups = attempt.group.group, attempt.group.groups
	return attempt
}

// placeMessage returns the message that asks for an engine, without the group.
func (j *job) placeMessage(now time.Time, p *pool, resumed bool) peer.Place {
	due := j.forward.FirstAttemptAt().Add(j.admission.Route.Objective)
	if resumed {
		// The caller waits for the next event of a stream that has begun.
		due = now
	}
	m := peer.Place{
		Pool: p.name, Node: j.relay.options.Name, Number: j.relay.placing.nextNumber(), Tokens: j.forward.Prompt.TokensIn,
		DueIn: due.Sub(now), DeadlineIn: j.admission.Deadline.Sub(now), Excluded: j.excluded,
	}
	for _, part := range placement.NewParts(j.forward.Prompt) {
		m.PartKeys, m.PartTokens = append(m.PartKeys, part.Key), append(m.PartTokens, part.Tokens)
	}
	allowed := j.allowedEndpoints()
	if len(allowed) == len(j.relay.Registry().Endpoints(p.name)) {
		return m
	}
	for _, e := range allowed {
		if !slices.Contains(m.Versions, e.Version) {
			m.Versions = append(m.Versions, e.Version)
		}
		if !slices.Contains(m.Regions, e.Region) {
			m.Regions = append(m.Regions, e.Region)
		}
	}
	return m
}

func (s *placing) nextNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	return s.lastNumber
}

// groupFor returns the group that gets the prompts of an affinity key. Prompts without a key are spread by their numbers.
func (s *placing) groupFor(pool, key string, number uint64) placeGroup {
	registry := s.relay.registry.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	groups := s.pools[pool]
	if groups.registry != registry {
		engines := registry.Endpoints(pool)
		groups = poolGroups{registry: registry, sizes: make([]int, placement.Groups(len(engines)))}
		for _, e := range engines {
			groups.sizes[placement.GroupOf(e.Incarnation(), len(groups.sizes))]++
		}
		s.pools[pool] = groups
	}
	if key == "" {
		key = strconv.FormatUint(number, 10)
	}
	return placeGroup{pool: pool, group: placement.GroupFor(key, groups.sizes), groups: len(groups.sizes)}
}

// placers returns up to maxPlacersAsked nodes that may place for a group, in the order in which they are asked.
func (s *placing) placers(group placeGroup) []string {
	now := s.relay.now()
	s.mu.Lock()
	g := s.reportsOf(group)
	order := g.order
	current := !g.orderAt.IsZero() && now.Sub(g.orderAt) < placerOrderTTL
	s.mu.Unlock()
	if !current {
		order = s.orderPlacers(group)
		s.mu.Lock()
		g.order, g.orderAt = order, now
		s.mu.Unlock()
	}
	var reachable []string
	for _, node := range order {
		if len(reachable) == maxPlacersAsked {
			break
		}
		if node == s.relay.options.Name || s.relay.isReachable(node) {
			reachable = append(reachable, node)
		}
	}
	return reachable
}

// orderPlacers returns, in the order of their hashes, the nodes that are reachable and of a build that places streams.
func (s *placing) orderPlacers(group placeGroup) []string {
	r := s.relay
	places := map[string]bool{r.options.Name: true}
	for _, n := range *r.nodes.Load() {
		places[n.Name] = places[n.Name] || n.Places
	}
	peers := slices.DeleteFunc(slices.Clone(r.Reachable()), func(p kernel.Peer) bool { return !places[p.Name] })
	subject := "place/" + group.pool
	if group.groups > 1 {
		subject += "/" + strconv.Itoa(group.group)
	}
	return r.orders.Of(subject, peers)
}

// paused reports whether a node did not reply in time lately.
func (s *placing) paused(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay.now().Before(s.pausedUntil[node])
}

// pause records that a node did not reply in time, and finds out whether it replies at all. If not, it is suspected, and
// the next node by hash becomes the placer.
func (s *placing) pause(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := s.pausedUntil[node]
	s.pausedUntil[node] = s.relay.now().Add(placePause)
	if s.relay.now().Before(until) {
		return
	}
	go func() {
		if !s.relay.probe(node) && s.relay.ctx.Err() == nil {
			s.relay.Suspect(node, errPlacerSilent)
		}
	}()
}

// knownPlacer returns the node that was last asked to place for a group if it is reachable, or else the first by hash; it is
// empty if there is none.
func (s *placing) knownPlacer(group placeGroup) string {
	s.mu.Lock()
	node := s.reportsOf(group).placer
	s.mu.Unlock()
	if node != "" && (node == s.relay.options.Name || s.relay.isReachable(node)) {
		return node
	}
	nodes := s.placers(group)
	if len(nodes) == 0 {
		return ""
	}
	return nodes[0]
}

// run sends reports until the relay is closed.
func (s *placing) run() {
	ticker := time.NewTicker(placeReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.flush()
			s.relay.placers.dropUnused(s.relay.now())
		case <-s.relay.ctx.Done():
			return
		}
	}
}
