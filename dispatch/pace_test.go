package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

// Guards against endpoints that get more requests than they can serve because their state is not part of the choice: of
// twelve endpoints, a third take three times as long, which is a seventh of the capacity. Three nodes send over real
// sockets to half of the slots.
func TestSlowEndpointsGetAtMostTheirProportion(t *testing.T) {
	t.Parallel()
	const nodes, slowCount = 3, 4
	for name, tc := range map[string]struct {
		kind      model.StageKind
		fault     standin.FaultKind
		statesAll bool
	}{
		"unary, stated":     {model.Call, standin.FaultContend, true},
		"unary, not stated": {model.Call, standin.FaultSlow, true},
		"streams, stated":   {model.Generate, standin.FaultContend, true},
		"only slow ones":    {model.Call, standin.FaultContend, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := standin.NewStandin(standin.Config{Platform: "127.0.0.1:0", Pools: []standin.PoolConfig{{
				Name: "p", Kind: tc.kind, Endpoints: 12, FailureDomains: []string{"domain-0", "domain-1", "domain-2"}, Host: "127.0.0.1",
				Slots: 2, ServiceTime: 20 * time.Millisecond, StatesContention: tc.statesAll,
			}}})
			must.NoError(t, err)
			t.Cleanup(s.Close)
			slow := map[string]bool{}
			for _, e := range s.Endpoints()[:slowCount] {
				slow[e.Name] = true
				s.InjectFault(standin.Fault{Target: "p/" + e.Name, Kind: tc.fault, Factor: 3})
			}
			var dispatchers []*dispatch.Dispatcher
			for node := range nodes {
				d := dispatch.NewDispatcher(fmt.Sprint("domain-", node), false, metric.NewSet())
				t.Cleanup(d.Close)
				d.SetEndpoints(s.Endpoints())
				dispatchers = append(dispatchers, d)
			}
			sendStages(t, dispatchers, tc.kind == model.Generate)
			calls, slowCalls := countCalls(dispatchers, slow)
			share := float64(slowCalls) / float64(calls)
			t.Logf("%s: %.3f of %d calls to slow endpoints", name, share, calls)
			must.LessEq(t, 1.0/7, share)
		})
	}
}

// sendStages runs 100 stages in each of four goroutines at each dispatcher, and waits for them.
func sendStages(t *testing.T, dispatchers []*dispatch.Dispatcher, stream bool) {
	const workers, count = 4, 100
	var wg sync.WaitGroup
	for _, d := range dispatchers {
		for range workers {
			wg.Go(func() {
				for range count {
					if err := runStatedStage(t, d, stream); err != nil {
						t.Error(err)
					}
				}
			})
		}
	}
	wg.Wait()
}

// countCalls returns the number of calls to all endpoints and to the slow ones.
func countCalls(dispatchers []*dispatch.Dispatcher, slow map[string]bool) (calls, slowCalls uint64) {
	for _, d := range dispatchers {
		for _, e := range d.Status() {
			calls += e.Calls
			if slow[e.Endpoint.Name] {
				slowCalls += e.Calls
			}
		}
	}
	return calls, slowCalls
}

// Guards against pools that are served in another way although no endpoint states its contention.
func TestPaceIsUnknownWithoutStatedContention(t *testing.T) {
	t.Parallel()
	for name, contention := range map[string]float64{"stated": 1.5, "not stated": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newStatingServer(t, "answer", model.Load{Slots: 2, Contention: contention})
			d, _ := newStatingPool(t, server, false)
			for _, e := range d.Status() {
				must.EqOp(t, contention > 0, e.Pace.Speed > 0)
				if e.Endpoint.Name == "a" && contention > 0 {
					must.EqOp(t, contention, e.Load.Contention)
					must.Between(t, 1, e.Pace.Contention, contention)
				}
			}
		})
	}
}

// Guards against what was known of an endpoint's former process: load, health, speed and calls in flight of an entry that
// was started anew are those of a process that is not known yet, also after a response of the former one.
func TestNewIncarnationIsUnknown(t *testing.T) {
	t.Parallel()
	old := model.Endpoint{Name: "a", Pool: "p", Address: "a:1", Started: time.UnixMilli(1000)}
	for name, restarted := range map[string]model.Endpoint{
		"started anew":    {Name: "a", Pool: "p", Address: "a:1", Started: time.UnixMilli(2000)},
		"another address": {Name: "a", Pool: "p", Address: "a:2", Started: time.UnixMilli(1000)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
			t.Cleanup(d.Close)
			failing, started, proceed := true, make(chan struct{}), make(chan struct{})
			d.Unary = func(context.Context, endpoint.Target, model.StageCall) (model.StageReply, error) {
				if failing {
					return model.StageReply{}, &endpoint.Fault{Kind: endpoint.Refused, Verdict: model.NotRun, Err: context.Canceled}
				}
				started <- struct{}{}
				<-proceed
				return model.StageReply{Load: model.Load{Running: 7, Slots: 8, Contention: 3}}, nil
			}
			d.SetEndpoints([]model.Endpoint{old})
			for range 3 {
				must.Error(t, runStage(t, d))
			}
			must.True(t, d.Status()[0].Ejected)
			failing = false
			done := make(chan error)
			go func() { done <- runStage(t, d) }()
			<-started
			d.SetEndpoints([]model.Endpoint{restarted})
			proceed <- struct{}{}
			must.NoError(t, <-done)
			status := d.Status()[0]
			must.Eq(t, dispatch.EndpointStatus{Endpoint: restarted, Pace: status.Pace}, status)
			must.EqOp(t, 1, status.Pace.Slowness())
		})
	}
}

// Guards against a second call to the endpoint where the first one failed while another endpoint is usable. Endpoints
// already called were once compared by name with incarnations, so that those that report their start were called again.
func TestFailedEndpointIsNotCalledAgain(t *testing.T) {
	t.Parallel()
	d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
	t.Cleanup(d.Close)
	var called []string
	d.Unary = func(_ context.Context, target endpoint.Target, _ model.StageCall) (model.StageReply, error) {
		called = append(called, target.Address)
		if len(called) == 1 {
			return model.StageReply{}, &endpoint.Fault{Kind: endpoint.Refused, Verdict: model.NotRun, Err: context.Canceled}
		}
		return model.StageReply{}, nil
	}
	started := time.UnixMilli(1000)
	d.SetEndpoints([]model.Endpoint{{Name: "a", Pool: "p", Address: "a:1", Started: started}, {Name: "b", Pool: "p", Address: "b:1", Started: started}})
	for range 20 {
		called = nil
		must.NoError(t, runStage(t, d))
		must.SliceLen(t, 2, called)
		must.NotEqOp(t, called[0], called[1])
	}
}
