package relay_test

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

// A process may end and be back without a word on its connections: the list alone says that another start of it is
// there. What was under way is counted as at any other end.
func TestCallsToFormerIncarnationCountAsCrash(t *testing.T) {
	b := newTestBed(t)
	b.deps.Forward = func(ctx context.Context, _ relay.Send) (*model.ForwardReply, error) {
		<-ctx.Done()
		return nil, &endpoint.Fault{Kind: endpoint.Silent, Verdict: model.MayHaveRun, Err: context.Cause(ctx)}
	}
	registry := kernel.NewRegistry()
	for starts := int64(1); ; starts++ {
		now := time.Now()
		registry = registry.WithChanges(now, now, []model.Endpoint{
			{Name: "plain-0", Started: time.UnixMilli(starts), Address: "a", Pool: "plain", State: model.Live},
		}, nil, nil)
		b.relay.UpdateRegistry(func(kernel.Registry) kernel.Registry { return registry })
		ended := make(chan relay.Outcome, 1)
		go func() { ended <- b.serve("/get/same") }()
		select {
		case outcome := <-ended:
			must.EqOp(t, model.Quarantined, outcome.Refusal.Reason)
			must.EqOp(t, model.NotRun, outcome.Refusal.Verdict)
			return
		case <-time.After(50 * time.Millisecond):
			must.Less(t, 1000, starts)
		}
	}
}

// What an endpoint cuts as it leaves was announced, and says nothing of the requests.
func TestConnectionCutByLeavingEndpointIsNoCrash(t *testing.T) {
	b := newTestBed(t)
	var leave func()
	b.deps.Forward = func(context.Context, relay.Send) (*model.ForwardReply, error) {
		leave()
		return nil, &endpoint.Fault{Kind: endpoint.Cut, Verdict: model.MayHaveRun, Err: io.ErrUnexpectedEOF}
	}
	b.deps.Connect = func(context.Context, string) error { return syscall.ECONNREFUSED }
	registry := kernel.NewRegistry()
	for i := range 2 * kernel.CrashThreshold {
		now := time.Now()
		e := model.Endpoint{Name: fmt.Sprint("plain-", i), Address: "a", Pool: "plain", State: model.Live}
		registry = registry.WithChanges(now, now, []model.Endpoint{e}, nil, nil)
		b.relay.UpdateRegistry(func(kernel.Registry) kernel.Registry { return registry })
		leave = func() {
			e.State = model.Leaving
			removed := []string{e.Name}
			if i%2 == 0 {
				removed = nil
			}
			registry = registry.WithChanges(now, now, []model.Endpoint{e}, nil, nil).WithChanges(now, now, nil, removed, nil)
			b.relay.UpdateRegistry(func(kernel.Registry) kernel.Registry { return registry })
		}
		outcome := b.serve("/get/same")
		must.EqOp(t, model.StageFailed, outcome.Refusal.Reason)
		time.Sleep(2 * kernel.EvaluationDelay / 3)
	}
	time.Sleep(2 * kernel.EvaluationDelay)
	must.EqOp(t, model.NoEndpoint, b.serve("/get/same").Refusal.Reason, must.Sprint("all have left, and nothing is held back"))
}
