package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/placement"
)

// placerRetention is how long a table that is not used is kept. Another node then places for the group, or nobody asks.
const placerRetention = 30 * time.Second

type (
	// placeGroup is a group of the engines of a pool that has a placer of its own: group of groups.
	placeGroup struct {
		pool          string
		group, groups int
	}

	// placers holds the tables of the groups that this node has been asked to place for. It is safe for concurrent use.
	placers struct {
		relay  *Relay
		mu     sync.Mutex
		tables map[placeGroup]*placerTable
	}

	// placerTable is a placement.Table with the registry and the routing that it follows.
	placerTable struct {
		mu       sync.Mutex
		table    *placement.Table
		registry *kernel.Registry
		routing  *kernel.RouteTable
		usedAt   time.Time
	}
)

func newPlacers(r *Relay) *placers {
	return &placers{relay: r, tables: map[placeGroup]*placerTable{}}
}

// members returns those endpoints of the group's pool that belong to the group.
func (g placeGroup) members(registry kernel.Registry) []model.Endpoint {
	engines := registry.Endpoints(g.pool)
	if g.groups <= 1 {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), func(e model.Endpoint) bool { return placement.GroupOf(e.Incarnation(), g.groups) != g.group })
}

// isPossible reports whether a pool with a number of engines, of which another node may know some more or fewer, has the group.
func (g placeGroup) isPossible(engines int) bool {
	return engines > 0 && g.group >= 0 && g.group < g.groups && g.groups <= 2*placement.Groups(engines)
}

// find returns the table of a group.
func (s *placers) find(group placeGroup) *placerTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[group]
	if t == nil {
		t = &placerTable{table: placement.NewTable(), usedAt: s.relay.now()}
		s.tables[group] = t
		s.relay.metrics.CountEvent("PlacerTookOver")
	}
	return t
}

// update runs change on the table of a group, which has the present engines. It does nothing if the pool cannot have such a
// group: its number comes from another node.
func (s *placers) update(group placeGroup, change func(now time.Time, table *placement.Table)) {
	r := s.relay
	registry, routing := r.registry.Load(), r.View().Table
	if !group.isPossible(len(registry.Endpoints(group.pool))) {
		return
	}
	t := s.find(group)
	t.mu.Lock()
	defer t.mu.Unlock()
	if registry != t.registry || routing != t.routing {
		t.registry, t.routing = registry, routing
		t.table.SetEngines(group.members(*registry), engineTraits(routing, group.pool))
	}
	t.usedAt = r.now()
	change(t.usedAt, t.table)
}

// engineTraits returns the traits of the engines of a pool; they are zero if the routing does not state them, or if this
// node, which may have just started, has none yet.
func engineTraits(routing *kernel.RouteTable, pool string) model.EngineTraits {
	if routing == nil {
		return model.EngineTraits{}
	}
	traits, _ := routing.Pool(pool)
	if traits.Engine == nil {
		return model.EngineTraits{}
	}
	return *traits.Engine
}

// dropUnused drops the tables that were not used lately.
func (s *placers) dropUnused(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for group, t := range s.tables {
		t.mu.Lock()
		unused := now.Sub(t.usedAt) > placerRetention
		t.mu.Unlock()
		if unused {
			delete(s.tables, group)
		}
	}
}

// place applies the reports of a message and places its request.
func (s *placers) place(m peer.Place) (reply peer.PlaceReply) {
	group := placeGroup{pool: m.Pool, group: m.Group, groups: m.Groups}
	s.update(group, func(now time.Time, table *placement.Table) {
		s.apply(now, m.Pool, m.Node, table, m.Reports)
		choose := table.Place
		if m.OnlyAsk {
			choose = table.Estimate
		}
		placed, ok := choose(now, placement.Request{
			ID:       placement.RequestID{Node: m.Node, Number: m.Number},
			Tokens:   m.Tokens,
			Parts:    placeParts(m.PartKeys, m.PartTokens),
			Due:      now.Add(m.DueIn),
			Deadline: now.Add(m.DeadlineIn),
			Excluded: m.Excluded, Versions: m.Versions, Regions: m.Regions,
		})
		if !ok {
			return
		}
		if m.OnlyAsk {
			reply.Expected = []time.Duration{placed.Choices[0].Expected}
			reply.Domain = placed.Choices[0].Domain
			return
		}
		for _, c := range placed.Choices {
			reply.Incarnations = append(reply.Incarnations, c.Incarnation)
			reply.Expected = append(reply.Expected, c.Expected)
		}
	})
	return reply
}

// report applies the reports of a message.
func (s *placers) report(m peer.PlaceReports) {
	s.update(placeGroup{pool: m.Pool, group: m.Group, groups: m.Groups}, func(now time.Time, table *placement.Table) {
		s.apply(now, m.Pool, m.Node, table, m.Reports)
	})
}

// apply applies the reports of a node to a table, which the caller has locked.
func (s *placers) apply(now time.Time, pool, node string, table *placement.Table, reports []peer.PlaceReport) {
	for _, m := range reports {
		report := placement.Report{
			ID: placement.RequestID{Node: node, Number: m.Number}, Kind: placement.ReportKind(m.Kind), Incarnation: m.Incarnation,
			Elapsed: m.Elapsed, Parts: placeParts(m.PartKeys, m.PartTokens),
		}
		if m.Load != nil {
			report.Load = &model.Load{Running: m.Load.Running, Queued: m.Load.Queued, Slots: m.Load.Slots, Contention: m.Load.Contention}
			report.LoadAgo = m.Load.Ago
			if e, listed := s.relay.Registry().Find(model.NameOfIncarnation(m.Incarnation)); listed && e.Pool == pool {
				s.relay.contention.record(now, pool, model.Statement{Load: report.Load})
			}
		}
		table.Apply(now, report)
	}
}

// placeParts returns the parts of a message; nil if there are none, or if the message is invalid.
func placeParts(keys []uint64, tokens []int) []placement.Part {
	if len(keys) != len(tokens) || len(keys) == 0 {
		return nil
	}
	parts := make([]placement.Part, 0, len(keys))
	for i, key := range keys {
		parts = append(parts, placement.Part{Key: key, Tokens: max(0, tokens[i])})
	}
	return parts
}

// handlePlace handles another node's request for an engine.
func (r *Relay) handlePlace(_ context.Context, body []byte) (any, error) {
	var m peer.Place
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	if r.Leaving() {
		return peer.PlaceReply{Leaving: true}, nil
	}
	return r.placers.place(m), nil
}

// handlePlaceReports handles the reports of another node.
func (r *Relay) handlePlaceReports(_ context.Context, body []byte) (any, error) {
	var m peer.PlaceReports
	if err := peer.DecodeBody(body, &m); err != nil {
		return nil, err
	}
	if !r.Leaving() {
		r.placers.report(m)
	}
	return peer.Empty{}, nil
}
