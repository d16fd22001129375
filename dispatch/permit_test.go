package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
)

// A permit of another node counts for a moment: the call that it is for must have its connection by then, and a call that
// needs none may wait. Guards against calls that arrive together with those of the node that granted them.
func TestPermittedCallHasConnectDeadline(t *testing.T) {
	t.Parallel()
	for name, needsPermit := range map[string]bool{"with a permit": true, "of a node that shares the cap": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var target endpoint.Target
			d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
			d.Admits = func(time.Time, model.Endpoint, time.Time) bool { return !needsPermit }
			d.MayRequestPermit = func(time.Time, model.Endpoint, time.Time) bool { return true }
			d.RequestPermit = func(context.Context, model.Endpoint) bool { return true }
			d.Unary = func(_ context.Context, to endpoint.Target, _ model.StageCall) (model.StageReply, error) {
				target = to
				return model.StageReply{}, nil
			}
			d.SetEndpoints([]model.Endpoint{{Name: "a", Pool: "p", Address: "a:1"}})
			before := time.Now()
			must.NoError(t, runStage(t, d))
			must.EqOp(t, needsPermit, !target.ConnectBy.IsZero())
			if needsPermit {
				must.Between(t, before.Add(kernel.PermitLifetime).UnixNano(), target.ConnectBy.UnixNano(), time.Now().Add(kernel.PermitLifetime).UnixNano())
			}
		})
	}
}

// run has a dispatcher carry out a stage of the pool p.
func runStage(t *testing.T, d *dispatch.Dispatcher) error {
	t.Helper()
	_, err := d.Run(t.Context(), dispatch.Job{
		Work: kernel.StageContext{Request: model.Request{ID: "r", Deadline: time.Now().Add(time.Minute)}, Stage: model.Stage{Name: "s", Pool: "p"}},
		Plugin: kernel.Plugin{
			Prepare:    func(kernel.StageContext) model.StageCall { return model.StageCall{} },
			ParseReply: func(kernel.StageContext, model.StageReply) (model.Carry, error) { return model.Carry{}, nil },
		},
	})
	return err
}
