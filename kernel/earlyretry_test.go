package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// Guards against callers that gain by retrying before the time that they were told, and against refusals of those that
// come as told or where capacity is left.
func TestEarlyRetry(t *testing.T) {
	now := time.Unix(1000, 0)
	limited := []kernel.PoolEstimate{{}, {Shares: kernel.ShareStanding{Applies: true, Limited: true}}}
	for _, tc := range []struct {
		name      string
		after     time.Duration
		estimates []kernel.PoolEstimate
		refused   bool
	}{
		{"early", 100 * time.Millisecond, limited, true},
		{"early with capacity left", 100 * time.Millisecond, []kernel.PoolEstimate{{}}, false},
		{"as told", 300 * time.Millisecond, limited, false},
		{"timer fires early", 290 * time.Millisecond, limited, false},
		{"late", time.Second, limited, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := kernel.NewRefusedRequests()
			r.Add(now, "identity", 50*time.Millisecond)
			r.ExpectRetry(now, "identity", 300*time.Millisecond)
			early := r.EarlyBy(now.Add(tc.after), "identity")
			must.EqOp(t, 50*time.Millisecond+tc.after, r.TakeWaited(now.Add(tc.after), "identity"))
			must.EqOp(t, 0, r.EarlyBy(now.Add(tc.after), "identity"))
			refusal := kernel.RefuseEarlyRetry(tc.estimates, early)
			must.EqOp(t, tc.refused, refusal != nil)
			if tc.refused {
				must.EqOp(t, 200*time.Millisecond, refusal.RetryAfter)
			}
		})
	}
}
