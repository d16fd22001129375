package node_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

// Seen: on the project's own interface as well, endpoints that state how many calls a second they take of all nodes together
// got their usual share. How it came about and the cause: as on the users' platform, no node understood the field, and a
// bound on what all nodes send together was stated to each of them alone. Proved by: this test on the code before.

const (
	capWindow  = 4 * time.Second
	capSettled = 13 * time.Second
	capKnown   = 600 * time.Millisecond
)

// timeouts are the reasons of requests for which the time of a busy machine ran out.
var timeouts = []model.Reason{model.StageTimeout, model.OwnerUnreachable}

// round sends a request to each node, one beside the other, and returns the reasons of those that were refused.
func (f *fleet) round(pipeline string) []model.Reason {
	var mu sync.Mutex
	var refused []model.Reason
	var sent sync.WaitGroup
	for _, n := range f.nodes {
		sent.Go(func() {
			if reason := f.send(n, pipeline, "usual"); reason != "" {
				mu.Lock()
				refused = append(refused, reason)
				mu.Unlock()
			}
		})
	}
	sent.Wait()
	return refused
}

// serve has all nodes take requests for a time, and until an endpoint got one: of those, none is refused, but where the time
// of a busy machine ran out. It returns when the endpoint got calls meanwhile.
func (f *fleet) serve(pipeline, endpoint string, length time.Duration) []time.Time {
	f.t.Helper()
	served := 0
	began := time.Now()
	for time.Since(began) < length || time.Since(began) < patience && (served == 0 || len(f.callsAt(endpoint, began)) == 0) {
		reasons := f.round(pipeline)
		served += len(f.nodes) - len(reasons)
		reasons = slices.DeleteFunc(reasons, func(r model.Reason) bool { return slices.Contains(timeouts, r) })
		must.SliceEmpty(f.t, reasons, must.Sprint(reasons))
	}
	must.Positive(f.t, served)
	got := f.callsAt(endpoint, began)
	must.Positive(f.t, len(got))
	return got
}

// callsAt returns when an endpoint got calls after a time.
func (f *fleet) callsAt(endpoint string, after time.Time) []time.Time {
	var out []time.Time
	for _, run := range f.platform.Journal.Runs() {
		if run.Endpoint == endpoint && run.At.After(after) {
			out = append(out, run.At)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// busiest returns the endpoint of a pool that got most calls, and how many endpoints the pool has.
func (f *fleet) busiest(pool string) (name string, endpoints int) {
	most := -1
	for _, e := range f.platform.Endpoints() {
		if e.Pool != pool {
			continue
		}
		endpoints++
		if n := len(f.callsAt(e.Name, time.Time{})); n > most {
			name, most = e.Name, n
		}
	}
	return name, endpoints
}

func mostWithin(moments []time.Time, window time.Duration) int {
	most, oldest := 0, 0
	for i, at := range moments {
		for at.Sub(moments[oldest]) > window {
			oldest++
		}
		most = max(most, i+1-oldest)
	}
	return most
}

// However many nodes there are, an endpoint that states a rate cap gets no more calls than that allows, of whatever kind of
// stage; once it takes the cap back, it gets its share again.
func TestAnEndpointWithARateCapGetsNoMoreCallsOfAllNodes(t *testing.T) {
	const perSecond = 1.0
	for _, kind := range []struct{ name, pipeline, pool string }{
		{"idempotent stage", "renewal", "encoders"},
		{"stream", "route-note", "runners"},
		{"non-idempotent stage", "collection-ticket", "lorry-scheduling"},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			time.Sleep(capSettled)
			for range 3 {
				f.round(kind.pipeline)
			}
			capped, _ := f.busiest(kind.pool)
			f.platform.InjectFault(standin.Fault{Target: kind.pool + "/" + capped, Kind: standin.FaultRateCap, PerSecond: perSecond})
			for range 5 {
				f.round(kind.pipeline)
			}
			time.Sleep(capKnown)
			got := f.serve(kind.pipeline, capped, 2*capWindow)
			must.LessEq(t, int(1.5*perSecond*capWindow.Seconds()+5), mostWithin(got, capWindow))

			f.platform.ClearFaults("")
			f.await("the endpoint gets its share again", func() bool {
				before := time.Now()
				for range 5 {
					f.round(kind.pipeline)
				}
				return len(f.callsAt(capped, before)) >= 5
			})
		})
	}
}

// Where all endpoints of a pool state caps, what they don't take is refused at once, as not run.
func TestCallsBeyondAllRateCapsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	time.Sleep(capSettled)
	f.platform.InjectFault(standin.Fault{Target: "encoders", Kind: standin.FaultRateCap, PerSecond: 0.5})
	for range 10 {
		f.round("renewal")
	}
	time.Sleep(capKnown)
	began := time.Now()
	refused := 0
	for time.Since(began) < capWindow {
		for _, reason := range f.round("renewal") {
			must.EqOp(t, model.EndpointsCapped, reason)
			refused++
		}
	}
	must.Positive(t, refused)
	_, endpoints := f.busiest("encoders")
	got := 0
	for _, e := range f.platform.Endpoints() {
		if e.Pool == "encoders" {
			got += len(f.callsAt(e.Name, began))
		}
	}
	must.LessEq(t, endpoints*int(1.5*0.5*capWindow.Seconds()+5), got)
}

// Seen by arithmetic: of 400 nodes before three endpoints that state caps 12 serve. Cause: only the nodes that share a cap
// could use it. Guards against nodes that serve nothing of a pool whose endpoints all state caps.
func TestEachNodeServesWhereAllEndpointsStateRateCaps(t *testing.T) {
	t.Parallel()
	const perSecond = 2.0
	f := newFleet(t, 5)
	f.platform.InjectFault(standin.Fault{Target: "encoders/encoders-2", Kind: standin.FaultLeave})
	f.platform.InjectFault(standin.Fault{Target: "encoders/encoders-3", Kind: standin.FaultLeave})
	time.Sleep(capSettled)
	f.platform.InjectFault(standin.Fault{Target: "encoders/encoders-1", Kind: standin.FaultRateCap, PerSecond: perSecond})
	f.round("renewal")
	f.round("renewal")
	time.Sleep(capKnown)
	known := time.Now()
	for _, n := range f.nodes {
		f.await("node serves", func() bool { return f.send(n, "renewal", "usual") == "" })
	}
	must.LessEq(t, int(1.5*perSecond*capWindow.Seconds()+5), mostWithin(f.callsAt("encoders-1", known), capWindow))
}
