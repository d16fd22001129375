package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// listedEndpoint returns an endpoint of the pool "p" in a state.
func listedEndpoint(name string, state model.HostState) model.Endpoint {
	return model.Endpoint{Name: name, Pool: "p", Address: name + ":1", State: state}
}

// endpointNames returns the names of the endpoints of the pool "p".
func endpointNames(r kernel.Registry) []string {
	var out []string
	for _, e := range r.Endpoints("p") {
		out = append(out, e.Name)
	}
	return out
}

func TestRegistryDropsRemovedEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{listedEndpoint("a", model.Live), listedEndpoint("b", model.Live)}, nil, nil)
	r = r.WithChanges(now.Add(600*time.Millisecond), now.Add(600*time.Millisecond), []model.Endpoint{listedEndpoint("a", model.Leaving)}, []string{"b"}, nil)
	must.Eq(t, []string{"a"}, endpointNames(r))
	e, _ := r.Find("a")
	must.Eq(t, model.Leaving, e.State)
}

// Entries that lapse while the store is down are kept for a grace period after the outage, in which their endpoints
// can be listed again.
func TestRegistryKeepsEntriesLapsedInOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{
		listedEndpoint("back", model.Live), listedEndpoint("gone", model.Live), listedEndpoint("leaving", model.Leaving),
	}, nil, nil)
	returned := now.Add(5 * time.Second)
	r = r.WithChanges(returned, returned, nil, []string{"back", "gone", "leaving"}, nil)
	must.Eq(t, []string{"back", "gone"}, endpointNames(r), must.Sprint("an endpoint that was leaving is removed at once"))
	r = r.WithChanges(returned.Add(time.Second), returned.Add(time.Second), []model.Endpoint{listedEndpoint("back", model.Live)}, nil, nil)
	must.Eq(t, []string{"back", "gone"}, endpointNames(r))
	r = r.WithChanges(returned.Add(1600*time.Millisecond), returned.Add(1600*time.Millisecond), nil, nil, nil)
	r = r.WithChanges(returned.Add(2300*time.Millisecond), returned.Add(2300*time.Millisecond), nil, nil, nil)
	must.Eq(t, []string{"back"}, endpointNames(r), must.Sprint("an entry that is still missing after the grace period is removed"))
}

// A long interval between reads of the store, or one lost answer, is not an outage: a removed entry then gets no grace
// period.
func TestRegistrySlowPollIsNoOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{listedEndpoint("a", model.Live), listedEndpoint("b", model.Live)}, nil, nil)
	now = now.Add(1350 * time.Millisecond)
	r = r.WithChanges(now, now, nil, []string{"a"}, nil)
	must.Eq(t, []string{"b"}, endpointNames(r))
	now = now.Add(2200 * time.Millisecond)
	r = r.WithChanges(now, now, nil, []string{"b"}, nil)
	must.SliceEmpty(t, endpointNames(r))
}

// An answer of another node proves the list current only as of that node's own read of the store. The duration of an
// outage is therefore measured between the proven times and not between the arrivals of answers.
func TestRegistryMeasuresOutagesBetweenProvenTimes(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{listedEndpoint("a", model.Live), listedEndpoint("b", model.Live)}, nil, nil)
	for i := range 4 {
		r = r.WithChanges(now.Add(time.Duration(i)*time.Second), now, nil, nil, nil)
	}
	must.Eq(t, 3*time.Second, r.Age(now.Add(3*time.Second)))
	r = r.WithChanges(now.Add(4*time.Second), now.Add(3500*time.Millisecond), nil, []string{"a", "b"}, nil)
	must.Eq(t, []string{"a", "b"}, endpointNames(r))
}

func TestRegistryHasGracePeriodPerOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, c := listedEndpoint("a", model.Live), listedEndpoint("b", model.Live), listedEndpoint("c", model.Live)
	r := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{a, b, c}, nil, nil)
	apply := func(after time.Duration, listed []model.Endpoint, removed ...string) {
		r = r.WithChanges(now.Add(after), now.Add(after), listed, removed, nil)
	}
	apply(4*time.Second, []model.Endpoint{a}, "b", "c")
	must.Eq(t, []string{"a", "b", "c"}, endpointNames(r))
	apply(4600*time.Millisecond, []model.Endpoint{b, c})
	apply(7200*time.Millisecond, nil, "a", "b")
	must.Eq(t, []string{"a", "b", "c"}, endpointNames(r), must.Sprint("each outage has its own grace period"))
	apply(7800*time.Millisecond, []model.Endpoint{a})
	apply(8400*time.Millisecond, nil)
	apply(9300*time.Millisecond, nil)
	must.Eq(t, []string{"a", "b", "c"}, endpointNames(r), must.Sprint("the grace period counts from the second outage"))
	apply(9500*time.Millisecond, nil)
	must.Eq(t, []string{"a", "c"}, endpointNames(r))
}

// An endpoint may have reported that it leaves between the last proof of the list and the outage. Guards against entries that
// are kept beyond the drain bound where the last two proofs, of different nodes, were nearly of the same time.
func TestRegistryKeepsLapsedEntriesWithinDrainBound(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewRegistry().WithDrainBound(3*time.Second, 900*time.Millisecond).WithChanges(now, now, []model.Endpoint{listedEndpoint("a", model.Live), listedEndpoint("b", model.Live)}, nil, nil)
	for _, interval := range []time.Duration{900, 50, 50} {
		now = now.Add(interval * time.Millisecond)
		r = r.WithChanges(now, now, nil, nil, nil)
	}
	now = now.Add(6 * time.Second)
	r = r.WithChanges(now, now, nil, []string{"a", "b"}, nil)
	r = r.WithChanges(now.Add(2050*time.Millisecond), now.Add(2050*time.Millisecond), nil, nil, nil)
	must.Eq(t, []string{"a", "b"}, endpointNames(r))
	r = r.WithChanges(now.Add(2100*time.Millisecond), now.Add(2100*time.Millisecond), nil, nil, nil)
	must.SliceEmpty(t, endpointNames(r))
}

func TestRegistryChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	before := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{listedEndpoint("a", model.Live), listedEndpoint("b", model.Live)}, nil, nil)
	after := before.WithChanges(now, now, []model.Endpoint{listedEndpoint("a", model.Leaving), listedEndpoint("c", model.Live)}, []string{"b"}, nil)
	must.Len(t, 3, after.Changes(before))
	must.SliceEmpty(t, after.Changes(after))
}

// startedEndpoint returns a live endpoint whose process started at a Unix time in seconds.
func startedEndpoint(name string, second int64) model.Endpoint {
	e := listedEndpoint(name, model.Live)
	e.Started = time.Unix(second, 0)
	return e
}

func TestRegistryDistinguishesIncarnations(t *testing.T) {
	now := time.Unix(1000, 0)
	first := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{startedEndpoint("a", 900)}, nil, nil)
	must.False(t, first.Superseded(startedEndpoint("a", 900).Incarnation()))
	restarted := first.WithChanges(now, now, []model.Endpoint{startedEndpoint("a", 990)}, nil, nil)
	must.True(t, restarted.Superseded(startedEndpoint("a", 900).Incarnation()))
	must.False(t, restarted.Superseded(startedEndpoint("a", 990).Incarnation()))
	must.False(t, restarted.Superseded(startedEndpoint("b", 900).Incarnation()), must.Sprint("an endpoint that is not listed may still be running"))
	changes := restarted.Changes(first)
	must.SliceLen(t, 1, changes)
	must.EqOp(t, startedEndpoint("a", 900).Incarnation(), changes[0].Before.Incarnation())
	must.EqOp(t, startedEndpoint("a", 990).Incarnation(), changes[0].Endpoint.Incarnation())
	unchanged := restarted.WithChanges(now, now, []model.Endpoint{startedEndpoint("a", 900)}, nil, nil)
	e, _ := unchanged.Find("a")
	must.EqOp(t, startedEndpoint("a", 990).Incarnation(), e.Incarnation(), must.Sprint("an older entry that arrives late is ignored"))
}

// An entry that was overwritten by a value that names no endpoint is removed at once, also in the grace period after an
// outage of the store; all other entries are kept.
func TestRegistryDropsUnreadableEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	r := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{listedEndpoint("a", model.Live), listedEndpoint("b", model.Live)}, nil, nil)
	now = now.Add(5 * time.Second)
	r = r.WithChanges(now, now, nil, nil, []string{"a"})
	must.Eq(t, []string{"b"}, endpointNames(r))
}
