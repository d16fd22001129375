package kernel_test

import (
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
	r, changed := newStatingRegistry(now).WithStatement(now, statingEndpoint, model.Statement{Leaving: true})
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
			must.False(t, after.TakesWork(statingEndpoint))
		})
	}
	restarted := statingEndpoint
	restarted.Started = time.UnixMilli(2000)
	r = r.WithChanges(later, later, []model.Endpoint{restarted}, nil, nil)
	must.True(t, r.TakesWork(restarted))
}

// An entry that goes while the store is away is kept for a time, since it may come back, but not that of an endpoint
// that has stated that it is leaving. Guards against work for an endpoint that has ended.
func TestLeavingEndpointDoesNotLapse(t *testing.T) {
	now := time.Now()
	r, _ := newStatingRegistry(now).WithStatement(now, statingEndpoint, model.Statement{Leaving: true})
	back := now.Add(time.Minute)
	r = r.WithChanges(back, back, nil, []string{"e"}, nil)
	must.SliceEmpty(t, r.Endpoints("p"))
}

// What endpoints have stated is forgotten some time after their entries are gone. Guards against state that grows with
// each endpoint that ever left.
func TestStandingsOfGoneEndpointsAreForgotten(t *testing.T) {
	now := time.Now()
	r, _ := newStatingRegistry(now).WithStatement(now, statingEndpoint, model.Statement{Leaving: true})
	for range 3 {
		r = r.WithChanges(now, now, nil, []string{"e"}, nil)
		now = now.Add(11 * time.Minute)
	}
	must.False(t, r.Standing(statingEndpoint.Incarnation()).Leaving())
}
