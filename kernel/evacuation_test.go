package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// endpointIn returns a live endpoint in a failure domain.
func endpointIn(domain, name, pool string) model.Endpoint {
	return model.Endpoint{Name: name, Pool: pool, Address: name + ":1", FailureDomain: domain, State: model.Live}
}

// domainsRegistry returns a registry with one endpoint of a pool in each of several failure domains.
func domainsRegistry(now time.Time, pool string, domains ...string) kernel.Registry {
	var endpoints []model.Endpoint
	for _, domain := range domains {
		endpoints = append(endpoints, endpointIn(domain, pool+"-"+domain, pool))
	}
	return kernel.NewRegistry().WithChanges(now, now, endpoints, nil, nil)
}

// evacuationsOf returns evacuations that hold the given failure domains.
func evacuationsOf(now time.Time, domains ...string) kernel.Evacuations {
	e, _ := kernel.Evacuations{}.With(now, kernel.EvacuationChange{Evacuated: domains})
	return e
}

// usableDomains returns the failure domains of the endpoints of a pool that may get a request.
func usableDomains(now time.Time, r kernel.Registry, pool string) []string {
	var candidates []kernel.Candidate
	for _, e := range r.Endpoints(pool) {
		candidates = append(candidates, kernel.Candidate{Endpoint: e})
	}
	var out []string
	for _, c := range kernel.Usable(now, candidates, nil) {
		out = append(out, c.Endpoint.FailureDomain)
	}
	return out
}

// evacuationMachine simulates the evacuation rows of the store, a node that reads them and a second node that
// copies them from the first.
type evacuationMachine struct {
	now              time.Time
	version          uint64
	store            map[string]kernel.Row
	log              []kernel.Row
	reader, follower *kernel.Replica
	registry         kernel.Registry
}

func (m *evacuationMachine) write(domain string, restored bool) {
	m.version++
	r := kernel.Row{Key: domain, Version: m.version, Removed: restored}
	m.log = append(m.log, r)
	if delete(m.store, domain); !restored {
		m.store[domain] = r
	}
}

// readAll applies all rows of the store, as after a loss of the history of its changes.
func (m *evacuationMachine) readAll() {
	var rows []kernel.Row
	for _, r := range m.store {
		rows = append(rows, r)
	}
	m.reader.Apply(m.now, rows, m.version, true)
}

func (m *evacuationMachine) readChanges() {
	after, known := m.reader.Version()
	if !known {
		m.readAll()
		return
	}
	var rows []kernel.Row
	for _, r := range m.log {
		if r.Version > after {
			rows = append(rows, r)
		}
	}
	m.reader.Apply(m.now, rows, m.version, false)
}

// copyFromReader applies the changes that the reader has and the follower lacks, to the registry too.
func (m *evacuationMachine) copyFromReader() {
	after, _ := m.follower.Version()
	d, known := m.reader.Since(m.now, after)
	if !known {
		return
	}
	var change kernel.EvacuationChange
	for _, r := range m.follower.ApplyDelta(m.now, d) {
		if r.Removed {
			change.Restored = append(change.Restored, r.Key)
		} else {
			change.Evacuated = append(change.Evacuated, r.Key)
		}
	}
	evacuations, _ := m.registry.Evacuations().With(m.now, change)
	m.registry = m.registry.WithEvacuations(evacuations)
}

// A node that has read the store sends requests to exactly the domains that are not evacuated, whatever operators write
// in which order, and however many writes reach it at once, from the store's changes or from a full read after the
// history was lost.
func TestEvacuationsFollowStore(t *testing.T) {
	domains := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := &evacuationMachine{
			now: now, version: 1, store: map[string]kernel.Row{}, reader: kernel.NewReplica(), follower: kernel.NewReplica(),
			registry: domainsRegistry(now, "p", domains...),
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				m.write(rapid.SampledFrom(domains).Draw(t, "domain"), rapid.Bool().Draw(t, "restored"))
			},
			"list again": func(*rapid.T) {
				m.registry = m.registry.WithChanges(m.now, m.now, []model.Endpoint{endpointIn("a", "p-a", "p")}, nil, nil)
			},
			"read":         func(*rapid.T) { m.readChanges() },
			"lost history": func(*rapid.T) { m.readAll() },
			"ask":          func(*rapid.T) { m.copyFromReader() },
			"":             func(*rapid.T) { m.now = m.now.Add(100 * time.Millisecond) },
		})
		m.readChanges()
		m.copyFromReader()
		var want []string
		for _, domain := range domains {
			if _, held := m.store[domain]; !held {
				want = append(want, domain)
			}
		}
		must.Eq(t, want, usableDomains(m.now, m.registry, "p"))
	})
}

func TestEvacuatedDomainGetsNoPieces(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := domainsRegistry(now, "workers", "a", "b")
	q := kernel.NewBatchQueue(batchTraits)
	q.SetEndpoints(registry.Endpoints("workers"))
	first := newPieceGroup(1, 1, 1000, now.Add(time.Minute))
	first.Domain = "a"
	ok, _ := q.Add(now, first)
	must.True(t, ok)
	inFlight, ok := q.Next(now)
	must.True(t, ok)
	must.EqOp(t, "a", inFlight.Endpoint.FailureDomain)

	q.SetEndpoints(registry.WithEvacuations(evacuationsOf(now, "a")).Endpoints("workers"))
	total := 0
	for id := uint64(2); id < 30; id++ {
		now = now.Add(time.Second)
		group := newPieceGroup(id, 1, 1000, now.Add(time.Minute))
		group.Domain, group.LocalityWait = "a", time.Second
		ok, _ = q.Add(now, group)
		must.True(t, ok)
		for batch, more := q.Next(now); more; batch, more = q.Next(now) {
			must.EqOp(t, "b", batch.Endpoint.FailureDomain)
			total += len(batch.Pieces)
			q.Done(now, batch, make([]model.PieceResult, len(batch.Pieces)))
		}
	}
	must.Positive(t, total)
	ended, _ := q.Done(now, inFlight, []model.PieceResult{{Handle: "h"}})
	must.SliceLen(t, 1, ended, must.Sprint("a call in flight ends normally"))
	must.EqOp(t, model.PieceFault(""), ended[0].Fault)

	q.SetEndpoints(registry.WithEvacuations(evacuationsOf(now, "a", "b")).Endpoints("workers"))
	ok, retry := q.Add(now, newPieceGroup(99, 1, 1000, now.Add(time.Minute)))
	must.False(t, ok, must.Sprint("pieces that no endpoint can make are not queued"))
	must.Positive(t, retry)
}

// A request is refused if all endpoints of its pool, or of a stage for which it has pieces, are in evacuated
// domains.
func TestAdmitPoolsRefusesEvacuatedPools(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := domainsRegistry(now, "engines", "a", "b").WithChanges(now, now, []model.Endpoint{endpointIn("a", "worker", "workers")}, nil, nil)
	staged := kernel.Admission{Pool: "engines", Route: model.Route{Stages: []model.StageNode{{Pool: "workers"}}}}
	for _, tc := range []struct {
		evacuated []string
		pieces    int
		refused   bool
	}{
		{nil, 1, false},
		{[]string{"b"}, 1, false},
		{[]string{"a"}, 1, true},
		{[]string{"a"}, 0, false},
		{[]string{"a", "b"}, 0, true},
	} {
		refusal := kernel.AdmitPools(now, registry.WithEvacuations(evacuationsOf(now, tc.evacuated...)), model.Forward{Pieces: []int{tc.pieces}}, staged)
		must.EqOp(t, tc.refused, refusal != nil, must.Sprint(fmt.Sprint(tc)))
		if refusal != nil {
			must.EqOp(t, model.PoolEvacuated, refusal.Reason)
			must.EqOp(t, model.NotRun, refusal.Verdict)
			must.Positive(t, refusal.RetryAfter)
		}
	}
}

// The affinity domain of a prompt moves away from an evacuated domain and returns to it afterwards. The evacuation
// of another domain does not move it.
func TestPromptReturnsAfterEvacuation(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := domainsRegistry(now, "engines", "a", "b", "c")
	for i := range 50 {
		key := fmt.Sprint("part-", i)
		home := kernel.AffinityDomain(key, registry.Endpoints("engines"))
		without := registry.WithEvacuations(evacuationsOf(now, home))
		must.NotEq(t, home, kernel.AffinityDomain(key, without.Endpoints("engines")))
		restored, _ := without.Evacuations().With(now, kernel.EvacuationChange{Restored: []string{home}})
		must.EqOp(t, home, kernel.AffinityDomain(key, without.WithEvacuations(restored).Endpoints("engines")))
		for _, other := range []string{"a", "b", "c"} {
			if other != home {
				must.EqOp(t, home, kernel.AffinityDomain(key, registry.WithEvacuations(evacuationsOf(now, other)).Endpoints("engines")))
			}
		}
	}
}
