package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
)

// Seen in review: an endpoint that the list left out once and named again, as after an outage of the list, was new to each
// node, and each of those that share what it takes called it at once. Cause: when it was last called was forgotten with its
// entry. Proved by: this test on the code before.
func TestRelistedEndpointKeepsLastCallTime(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		after model.Endpoint
		known bool
	}{
		"the same process": {model.Endpoint{Name: "a", Pool: "p", Address: "a:1"}, true},
		"another address":  {model.Endpoint{Name: "a", Pool: "p", Address: "a:2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calledAt time.Time
			d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
			d.Admits = func(_ time.Time, _ model.Endpoint, at time.Time) bool {
				calledAt = at
				return true
			}
			d.Unary = func(context.Context, endpoint.Target, model.StageCall) (model.StageReply, error) {
				return model.StageReply{}, nil
			}
			listed := model.Endpoint{Name: "a", Pool: "p", Address: "a:1"}
			other := model.Endpoint{Name: "b", Pool: "other", Address: "b:1"}
			d.SetEndpoints([]model.Endpoint{listed, other})
			must.NoError(t, runStage(t, d))
			d.SetEndpoints([]model.Endpoint{other})
			d.SetEndpoints([]model.Endpoint{tc.after, other})
			must.SliceLen(t, 1, d.Endpoints("p"))
			calledAt = time.Time{}
			must.NoError(t, runStage(t, d))
			must.EqOp(t, tc.known, !calledAt.IsZero())
		})
	}
}
