package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

var statingEndpoint = model.Endpoint{Name: "e", Pool: "p", State: model.Live, FailureDomain: "d", Started: time.UnixMilli(1000)}

// newStatingRegistry returns a registry that lists statingEndpoint.
func newStatingRegistry(now time.Time) kernel.Registry {
	return kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{statingEndpoint}, nil, nil)
}

// What an endpoint has stated holds for its incarnation, whatever the list says or omits: guards against an entry that
// makes a leaving endpoint live again, also after it was missing, and against a process that started again and is taken
// for the one that left.
func TestLeavingOutlastsList(t *testing.T) {
	now := time.Now()
	r, changed := newStatingRegistry(now).WithStatement(now, now, statingEndpoint, model.Statement{Leaving: true})
	must.True(t, changed)
	later := now.Add(time.Second)
	for name, list := range map[string]func(kernel.Registry) kernel.Registry{
		"unchanged": func(r kernel.Registry) kernel.Registry { return r },
		"listed live again": func(r kernel.Registry) kernel.Registry {
			return r.WithChanges(later, later, []model.Endpoint{statingEndpoint}, nil, nil)
		},
		"missing for a time": func(r kernel.Registry) kernel.Registry {
			r = r.WithChanges(later, later, nil, []string{"e"}, nil)
			later = later.Add(time.Minute)
			return r.WithChanges(later, later, []model.Endpoint{statingEndpoint}, nil, nil)
		},
		"evacuated and restored": func(r kernel.Registry) kernel.Registry {
			evacuated, _ := kernel.Evacuations{}.With(later, kernel.EvacuationChange{Evacuated: []string{"d"}})
			restored, _ := evacuated.With(later, kernel.EvacuationChange{Restored: []string{"d"}})
			return r.WithEvacuations(evacuated).WithEvacuations(restored)
		},
	} {
		t.Run(name, func(t *testing.T) {
			after := list(r)
			must.EqOp(t, model.Leaving, after.Endpoints("p")[0].State)
			must.False(t, after.Accepts(later, statingEndpoint))
		})
	}
	restarted := statingEndpoint
	restarted.Started = time.UnixMilli(2000)
	r = r.WithChanges(later, later, []model.Endpoint{restarted}, nil, nil)
	must.True(t, r.Accepts(later, restarted))
}

// An entry that goes while the store is away is kept for a time, since it may come back, but not that of an endpoint
// that has stated that it is leaving. Guards against work for an endpoint that has ended.
func TestLeavingEndpointDoesNotLapse(t *testing.T) {
	now := time.Now()
	r, _ := newStatingRegistry(now).WithStatement(now, now, statingEndpoint, model.Statement{Leaving: true})
	back := now.Add(time.Minute)
	r = r.WithChanges(back, back, nil, []string{"e"}, nil)
	must.SliceEmpty(t, r.Endpoints("p"))
}

// What endpoints have stated is forgotten some time after their entries are gone. Guards against state that grows with
// each endpoint that ever left.
func TestStandingsOfGoneEndpointsAreForgotten(t *testing.T) {
	now := time.Now()
	r, _ := newStatingRegistry(now).WithStatement(now, now, statingEndpoint, model.Statement{Leaving: true})
	for range 3 {
		r = r.WithChanges(now, now, nil, []string{"e"}, nil)
		now = now.Add(11 * time.Minute)
	}
	must.False(t, r.Standing(statingEndpoint.Incarnation()).Leaving())
}

// While the pause lasts that an endpoint asked for, it accepts nothing from this node. Guards against requests in it, and
// against a pause that an answer to an older request ends.
func TestPauseLastsUntilItsEnd(t *testing.T) {
	now := time.Now()
	e := statingEndpoint
	r, _ := newStatingRegistry(now).WithStatement(now, now, e, model.Statement{PauseFor: 3 * time.Second})
	r, _ = r.WithStatement(now, now, e, model.Statement{PauseFor: time.Second})
	must.False(t, r.Accepts(now.Add(2*time.Second), e))
	r, changed := r.WithStatement(now.Add(-time.Second), now.Add(2*time.Second), e, model.Statement{Whole: true})
	must.False(t, changed)
	must.False(t, r.Accepts(now.Add(2*time.Second), e))
	must.True(t, r.Accepts(now.Add(3*time.Second), e))

	restarted := e
	restarted.Started = time.UnixMilli(2000)
	later := now.Add(time.Second)
	must.True(t, r.WithChanges(later, later, []model.Endpoint{restarted}, nil, nil).Accepts(later, restarted))
}

// After a pause one request of a node is under way at the endpoint until it has accepted one, where others may get the
// rest. Guards against a burst of refused requests at the end of each pause.
func TestEndpointIsProbedAfterPause(t *testing.T) {
	now := time.Now()
	end := now.Add(time.Second)
	r, _ := newStatingRegistry(now).WithStatement(now, now, statingEndpoint, model.Statement{PauseFor: time.Second})
	other := kernel.Candidate{Endpoint: model.Endpoint{Name: "other"}}
	names := func(candidates ...kernel.Candidate) (out []string) {
		for _, c := range kernel.Usable(end, candidates, nil) {
			out = append(out, c.Endpoint.Name)
		}
		return out
	}
	idle := kernel.Candidate{Endpoint: r.Endpoints("p")[0]}
	probed := idle
	probed.InFlight = 1
	must.Eq(t, []string{"e", "other"}, names(idle, other))
	must.Eq(t, []string{"other"}, names(probed, other))
	must.Eq(t, []string{"e"}, names(probed))

	r, changed := r.WithStatement(end, end, statingEndpoint, model.Statement{Whole: true})
	must.True(t, changed)
	accepted := kernel.Candidate{Endpoint: r.Endpoints("p")[0], InFlight: 1}
	must.Eq(t, []string{"e", "other"}, names(accepted, other))
}

// A request that only paused endpoints could serve learns when the first pause ends.
func TestPausedPoolTellsWhen(t *testing.T) {
	now := time.Now()
	second := model.Endpoint{Name: "f", Pool: "p", State: model.Live}
	r := newStatingRegistry(now).WithChanges(now, now, []model.Endpoint{second}, nil, nil)
	r, _ = r.WithStatement(now, now, statingEndpoint, model.Statement{PauseFor: 4 * time.Second})
	admission := kernel.Admission{Pool: "p"}
	must.Nil(t, kernel.AdmitPools(now, r, model.Forward{}, admission))
	r, _ = r.WithStatement(now, now, second, model.Statement{PauseFor: 3 * time.Second})
	refusal := kernel.AdmitPools(now.Add(time.Second), r, model.Forward{}, admission)
	must.NotNil(t, refusal)
	must.EqOp(t, model.EndpointsPaused, refusal.Reason)
	must.EqOp(t, model.NotRun, refusal.Verdict)
	must.EqOp(t, 2*time.Second, refusal.RetryAfter)
}

// BenchmarkPauseOfOneEndpoint measures what each pause costs a node that knows 790 endpoints.
func BenchmarkPauseOfOneEndpoint(b *testing.B) {
	now := time.Now()
	var listed []model.Endpoint
	for i := range 790 {
		listed = append(listed, model.Endpoint{Name: fmt.Sprint("e-", i), Pool: fmt.Sprint("p-", i%6), State: model.Live})
	}
	r := kernel.NewRegistry().WithChanges(now, now, listed, nil, nil)
	for i := range b.N {
		r, _ = r.WithStatement(now, now, listed[i%len(listed)], model.Statement{PauseFor: time.Duration(i + 1)})
	}
}
