package node_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

// coldPropagationTime is the maximum time until the list reports that an endpoint is cold.
const coldPropagationTime = 5 * time.Second

// For each kind of stage, all nodes together call a cold endpoint no more often a second than the rate that the
// settings state for its pool. Once the endpoint is warm, it gets its usual share. Guards against nodes that ignore the
// cold state in the platform's list and in answers: an endpoint that has just started then gets its usual share at
// once.
func TestColdEndpointCallsStayWithinColdRate(t *testing.T) {
	const rate = 4
	for _, kind := range []struct{ name, pipeline, pool string }{
		{"idempotent stage", "renewal", "encoders"},
		{"stream", "route-note", "runners"},
		{"non-idempotent stage", "collection-ticket", "lorry-scheduling"},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			f.setFleetSettings(1, "ColdRates: {"+kind.pool+": 4}\n")
			for range 3 {
				f.sendToAll(kind.pipeline)
			}
			cold, _ := f.busiestEndpoint(kind.pool)
			f.platform.InjectFault(standin.Fault{Target: kind.pool + "/" + cold, Kind: standin.FaultCold, Delay: time.Minute})
			for began := time.Now(); time.Since(began) < coldPropagationTime; {
				f.sendToAll(kind.pipeline)
			}
			calls := f.driveLoad(kind.pipeline, cold, 4*time.Second)
			must.LessEq(t, rate, maxCallsWithin(calls, time.Second))

			f.platform.ClearFaults("")
			f.await("the endpoint gets its share again", func() bool {
				before := time.Now()
				for range 5 {
					f.sendToAll(kind.pipeline)
				}
				return len(f.callTimes(cold, before)) >= 5
			})
		})
	}
}

// If all endpoints of a pool are cold, requests beyond their cold rate are refused at once as not run.
func TestCallsBeyondAllColdEndpointsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.setFleetSettings(1, "ColdRates: {encoders: 2}\n")
	f.platform.InjectFault(standin.Fault{Target: "encoders", Kind: standin.FaultCold, Delay: time.Minute})
	time.Sleep(rankSettleTime)
	served := 0
	var refused []model.Reason
	for began := time.Now(); time.Since(began) < 4*time.Second; {
		reasons := f.sendToAll("renewal")
		refused = append(refused, reasons...)
		served += len(f.nodes) - len(reasons)
	}
	must.Positive(t, served)
	must.Eq(t, []model.Reason{model.EndpointsCold}, slices.Compact(slices.Sorted(slices.Values(refused))))
}

// Nodes that start together keep the rate of a cold endpoint together. They know of few other nodes at first: if each
// decided from what it knows at that moment who may call the endpoint, instead of from membership that all nodes have
// learned of, each would choose itself and send some calls a second.
func TestNodesStartingTogetherKeepColdRate(t *testing.T) {
	t.Parallel()
	const rate = 2
	f := newFleet(t, 1)
	f.setFleetSettings(1, "ColdRates: {encoders: 2}\n")
	f.platform.InjectFault(standin.Fault{Target: "encoders", Kind: standin.FaultCold, Delay: time.Minute})
	time.Sleep(coldPropagationTime)
	began := time.Now()
	var wg sync.WaitGroup
	for i := range 9 {
		n := f.startNode(fmt.Sprint("joined-", i))
		f.nodes = append(f.nodes, n)
		wg.Go(func() {
			for time.Since(began) < rankSettleTime {
				if ready, _ := n.Ready(); ready {
					f.send(n, "renewal", "usual")
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for _, e := range f.platform.Endpoints() {
		if e.Pool == "encoders" {
			must.LessEq(t, rate, maxCallsWithin(f.callTimes(e.Name, began), time.Second), must.Sprint(e.Name))
		}
	}
}
