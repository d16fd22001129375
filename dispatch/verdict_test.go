package dispatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
)

// Guards against the verdict NotRun for a request that an endpoint has received, which occurred about once in 300
// requests under overload. A slow call has a hedge whose connection is not open yet at the deadline. The hedge then
// ends as NotRun through its own timeout, at the same moment as the stage. If its outcome is processed first, the
// verdict must also account for the call that still runs. The order of the two is random, so the test repeats the run.
func TestRunningCallAtDeadlineMayHaveRun(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			var calls atomic.Int32
			deadline := time.Now().Add(2 * time.Second)
			d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
			d.SetEndpoints([]model.Endpoint{{Name: "a", Pool: "p", Address: "a:1"}, {Name: "b", Pool: "p", Address: "b:1"}})
			d.Unary = func(ctx context.Context, _ endpoint.Target, _ model.StageCall) (model.StageReply, error) {
				if calls.Add(1) > 1 {
					time.Sleep(time.Until(deadline))
					return model.StageReply{}, &endpoint.Fault{Kind: endpoint.Cancelled, Verdict: model.NotRun, Err: ctx.Err()}
				}
				<-ctx.Done()
				time.Sleep(time.Millisecond)
				return model.StageReply{}, &endpoint.Fault{Kind: endpoint.Cancelled, Verdict: model.MayHaveRun, Err: ctx.Err()}
			}
			_, err := d.Run(t.Context(), dispatch.Job{
				Work:   kernel.StageContext{Request: model.Request{ID: "r", Deadline: deadline}, Stage: model.Stage{Name: "s", Pool: "p"}},
				Plugin: kernel.Plugin{Prepare: func(kernel.StageContext) model.StageCall { return model.StageCall{} }},
			})
			time.Sleep(time.Second)
			must.Greater(t, 1, calls.Load(), must.Sprint("no hedge was started"))
			var refusal *model.Refusal
			must.True(t, errors.As(err, &refusal))
			must.EqOp(t, model.MayHaveRun, refusal.Verdict)
		})
	}
}
