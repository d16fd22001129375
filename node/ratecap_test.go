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

const (
	// capWindow is the length of the windows in which the calls to an endpoint are counted. In each of them, 1.5 times
	// the calls of the stated rate and 5 more are allowed.
	capWindow = 4 * time.Second
	// rankSettleTime is longer than the 8 s that nodes wait before they rely on a membership change; see
	// kernel.SettledNodes.
	rankSettleTime = 13 * time.Second
	// capPropagationTime is the time in which all nodes learn of a cap that an endpoint states in its answers.
	capPropagationTime = 600 * time.Millisecond
)

// timeoutReasons are the reasons of refusals that are due to timeouts on a busy machine.
var timeoutReasons = []model.Reason{model.StageTimeout, model.OwnerUnreachable}

// sendToAll sends one request to each node concurrently, and returns the reasons of the refusals.
func (f *fleet) sendToAll(pipeline string) []model.Reason {
	var mu sync.Mutex
	var refused []model.Reason
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			if reason := f.send(n, pipeline, "usual"); reason != "" {
				mu.Lock()
				refused = append(refused, reason)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return refused
}

// driveLoad sends requests to all nodes for at least length, and longer until one was served and the endpoint got a
// call. It fails the test if a request is refused for a reason other than timeoutReasons. It returns the times of the
// calls that the endpoint got.
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
	calls := f.callTimes(endpoint, began)
	must.Positive(f.t, len(calls))
	return calls
}

// callTimes returns the times of the calls that an endpoint got after a time, in ascending order.
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

// busiestEndpoint returns the endpoint of a pool that has got the most calls, and the number of endpoints of the pool.
func (f *fleet) busiestEndpoint(pool string) (name string, endpoints int) {
	maxCalls := -1
	for _, e := range f.platform.Endpoints() {
		if e.Pool != pool {
			continue
		}
		endpoints++
		if calls := len(f.callTimes(e.Name, time.Time{})); calls > maxCalls {
			name, maxCalls = e.Name, calls
		}
	}
	return name, endpoints
}

// maxCallsWithin returns the maximum number of times that lie within one window. The times are in ascending order.
func maxCallsWithin(times []time.Time, window time.Duration) int {
	maxCount, oldest := 0, 0
	for i, at := range times {
		for at.Sub(times[oldest]) > window {
			oldest++
		}
		maxCount = max(maxCount, i+1-oldest)
	}
	return maxCount
}

// For each kind of stage, all nodes together call an endpoint that states a rate cap no more often than the cap allows.
// Once the endpoint states no cap, it gets its usual share again. Guards against nodes that ignore the cap, and against
// nodes that each use the whole cap instead of a part.
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
			calls := f.driveLoad(kind.pipeline, capped, 2*capWindow)
			must.LessEq(t, int(1.5*perSecond*capWindow.Seconds()+5), maxCallsWithin(calls, capWindow))

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

// If all endpoints of a pool state rate caps, requests beyond the caps are refused at once as not run.
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
	calls := 0
	for _, e := range f.platform.Endpoints() {
		if e.Pool == "encoders" {
			calls += len(f.callTimes(e.Name, began))
		}
	}
	must.LessEq(t, endpoints*int(1.5*0.5*capWindow.Seconds()+5), calls)
}

// Each node serves requests for a pool whose endpoints all state rate caps, also if it does not share one of the caps.
// Four nodes share each cap: if only they could use it, 12 of 400 nodes would serve a pool of three such endpoints.
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
	start := time.Now()
	for _, n := range f.nodes {
		f.await("node serves", func() bool { return f.send(n, "renewal", "usual") == "" })
	}
	must.LessEq(t, int(1.5*perSecond*capWindow.Seconds()+5), maxCallsWithin(f.callTimes("encoders-1", start), capWindow))
}
