package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
)

// A call with another node's permit must have its connection within the lifetime of the permit. Otherwise it could
// arrive together with the next call of the node that granted the permit. A call that needs no permit has no such
// deadline.
func TestPermittedCallHasConnectDeadline(t *testing.T) {
	t.Parallel()
	for name, needsPermit := range map[string]bool{"with a permit": true, "without a permit": false} {
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

// runStage runs a stage in pool p.
func runStage(t *testing.T, d *dispatch.Dispatcher) error {
	t.Helper()
	_, err := d.Run(t.Context(), dispatch.Job{
		Work: kernel.StageContext{Request: model.Request{ID: "r", Deadline: time.Now().Add(time.Minute)}, Stage: model.Stage{Name: "s", Pool: "p"}},
		Plugin: kernel.Plugin{
			Prepare: func(kernel.StageContext) model.StageCall { return model.StageCall{} },
			ParseReply: func(kernel.StageContext, model.StageReply) (model.StageOutput, error) {
				return model.StageOutput{}, nil
			},
		},
	})
	return err
}

// A stage whose permits were denied is refused because of the rate caps, also if another endpoint could have been asked
// for. Guards against a refusal that names no endpoint as its reason.
func TestRefusalAfterDeniedPermitsNamesRateCaps(t *testing.T) {
	t.Parallel()
	d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
	d.Admits = func(time.Time, model.Endpoint, time.Time) bool { return false }
	d.MayRequestPermit = func(time.Time, model.Endpoint, time.Time) bool { return true }
	d.RequestPermit = func(context.Context, model.Endpoint) bool { return false }
	d.RefusePool = func(now time.Time, pool string, _ []model.Endpoint, _ func(string) time.Time) *model.Refusal {
		return kernel.RefuseCapped(now, pool, []kernel.CappedEndpoint{{}})
	}
	d.SetEndpoints([]model.Endpoint{{Name: "a", Pool: "p", Address: "a:1"}})
	var refusal *model.Refusal
	must.True(t, errors.As(runStage(t, d), &refusal))
	must.EqOp(t, model.EndpointsCapped, refusal.Reason)
	must.EqOp(t, model.NotRun, refusal.Verdict)
}
