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
	capWindow          = 4 * time.Second
	rankSettleTime     = 13 * time.Second
	capPropagationTime = 600 * time.Millisecond
)

// timeouts are the reasons of requests for which the time of a busy machine ran out.
var timeoutReasons = []model.Reason{model.StageTimeout, model.OwnerUnreachable}

// round sends a request to each node, one beside the other, and returns the reasons of those that were refused.
func (f *fleet) sendToAll(pipeline string) []model.Reason {
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
func (f *fleet) driveLoad(pipeline, endpoint string, length time.Duration) []time.Time {
	f.t.Helper()
	served := 0
	began := time.Now()
	for time.Since(began) < length || time.Since(began) < awaitTimeout && (served == 0 || len(f.callTimes(endpoint, began)) == 0) {
		reasons := f.sendToAll(pipeline)
		served += len(f.nodes) - len(reasons)
		reasons = slices.DeleteFunc(reasons, func(r model.Reason) bool { return slices.Contains(timeoutReasons, r) })
		must.SliceEmpty(f.t, reasons, must.Sprint(reasons))
	}
	must.Positive(f.t, served)
	got := f.callTimes(endpoint, began)
	must.Positive(f.t, len(got))
	return got
}

// callTimes returns when an endpoint got calls after a time.
func (f *fleet) callTimes(endpoint string, after time.Time) []time.Time {
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
func (f *fleet) busiestEndpoint(pool string) (name string, endpoints int) {
	most := -1
	for _, e := range f.platform.Endpoints() {
		if e.Pool != pool {
			continue
		}
		endpoints++
		if n := len(f.callTimes(e.Name, time.Time{})); n > most {
			name, most = e.Name, n
		}
	}
	return name, endpoints
}

func maxCallsWithin(moments []time.Time, window time.Duration) int {
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
func TestAllNodesTogetherKeepRateCap(t *testing.T) {
	const perSecond = 1.0
	for _, kind := range []struct{ name, pipeline, pool string }{
		{"idempotent stage", "renewal", "encoders"},
		{"stream", "route-note", "runners"},
		{"non-idempotent stage", "collection-ticket", "lorry-scheduling"},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			time.Sleep(rankSettleTime)
			for range 3 {
				f.sendToAll(kind.pipeline)
			}
			capped, _ := f.busiestEndpoint(kind.pool)
			f.platform.InjectFault(standin.Fault{Target: kind.pool + "/" + capped, Kind: standin.FaultRateCap, PerSecond: perSecond})
			for range 5 {
				f.sendToAll(kind.pipeline)
			}
			time.Sleep(capPropagationTime)
			got := f.driveLoad(kind.pipeline, capped, 2*capWindow)
			must.LessEq(t, int(1.5*perSecond*capWindow.Seconds()+5), maxCallsWithin(got, capWindow))

			f.platform.ClearFaults("")
			f.await("the endpoint gets its share again", func() bool {
				before := time.Now()
				for range 5 {
					f.sendToAll(kind.pipeline)
				}
				return len(f.callTimes(capped, before)) >= 5
			})
		})
	}
}

// Where all endpoints of a pool state caps, what they don't take is refused at once, as not run.
func TestCallsBeyondAllRateCapsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	time.Sleep(rankSettleTime)
	f.platform.InjectFault(standin.Fault{Target: "encoders", Kind: standin.FaultRateCap, PerSecond: 0.5})
	for range 10 {
		f.sendToAll("renewal")
	}
	time.Sleep(capPropagationTime)
	began := time.Now()
	refused := 0
	for time.Since(began) < capWindow {
		for _, reason := range f.sendToAll("renewal") {
			must.EqOp(t, model.EndpointsCapped, reason)
			refused++
		}
	}
	must.Positive(t, refused)
	_, endpoints := f.busiestEndpoint("encoders")
	got := 0
	for _, e := range f.platform.Endpoints() {
		if e.Pool == "encoders" {
			got += len(f.callTimes(e.Name, began))
		}
	}
	must.LessEq(t, endpoints*int(1.5*0.5*capWindow.Seconds()+5), got)
}

// Seen by arithmetic: of 400 nodes before three endpoints that state caps 12 serve. Cause: only the nodes that share a cap
// could use it. Guards against nodes that serve nothing of a pool whose endpoints all state caps.
func TestEveryNodeServesWhenAllEndpointsHaveRateCaps(t *testing.T) {
	t.Parallel()
	const perSecond = 2.0
	f := newFleet(t, 5)
	f.platform.InjectFault(standin.Fault{Target: "encoders/encoders-2", Kind: standin.FaultLeave})
	f.platform.InjectFault(standin.Fault{Target: "encoders/encoders-3", Kind: standin.FaultLeave})
	time.Sleep(rankSettleTime)
	f.platform.InjectFault(standin.Fault{Target: "encoders/encoders-1", Kind: standin.FaultRateCap, PerSecond: perSecond})
	f.sendToAll("renewal")
	f.sendToAll("renewal")
	time.Sleep(capPropagationTime)
	known := time.Now()
	for _, n := range f.nodes {
		f.await("node serves", func() bool { return f.send(n, "renewal", "usual") == "" })
	}
	must.LessEq(t, int(1.5*perSecond*capWindow.Seconds()+5), maxCallsWithin(f.callTimes("encoders-1", known), capWindow))
}
