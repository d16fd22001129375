package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// A leaving node accepts a request only if the time until it stops is enough for it: 5 s for a stream, and the
// timeout of the route, here 1.5 s, for a unary request.
func TestAdmitWhileLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	stream := model.Route{Kind: model.Stream, Timeout: 20 * time.Second}
	unary := model.Route{Kind: model.Unsafe, Timeout: 1500 * time.Millisecond}
	for _, tc := range []struct {
		name     string
		route    model.Route
		left     time.Duration
		accepted bool
	}{
		{"a stream early in the drain", stream, 7 * time.Second, true},
		{"a stream that might be cut", stream, 4 * time.Second, false},
		{"a unary request with enough time left", unary, 2 * time.Second, true},
		{"a unary request with too little time left", unary, time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			refusal := kernel.AdmitWhileLeaving(now, now.Add(tc.left), tc.route)
			must.Eq(t, tc.accepted, refusal == nil)
			if refusal != nil {
				must.Eq(t, model.NotRun, refusal.Verdict)
				must.Positive(t, refusal.RetryAfter)
			}
		})
	}
}
