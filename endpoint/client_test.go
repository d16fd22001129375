package endpoint_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/model"
)

// A call that may be made for a moment only is not made without a connection by then, and the refusal says that it has not
// run; one that has its connection in time takes as long as it takes.
func TestCallHasConnectDeadline(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		left time.Duration
		made bool
	}{
		"too late":  {-time.Millisecond, false},
		"in time":   {2 * time.Second, true},
		"unbounded": {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int32
			target := endpoint.Target{Path: "/run", Timeout: time.Minute}
			if tc.left != 0 {
				target.ConnectBy = time.Now().Add(tc.left)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				time.Sleep(time.Until(target.ConnectBy.Add(50 * time.Millisecond)))
				var call model.StageCall
				_ = json.NewDecoder(r.Body).Decode(&call)
				_ = json.NewEncoder(w).Encode(model.StageReply{Request: call.Request, Stage: call.Stage, Attempt: call.Attempt})
			}))
			defer server.Close()
			target.Address = strings.TrimPrefix(server.URL, "http://")
			client := endpoint.NewClient()
			defer client.Close()
			_, err := client.Unary(t.Context(), target, model.StageCall{Request: "r", Stage: "s", Attempt: 1})
			if tc.made {
				must.NoError(t, err)
				return
			}
			var fault *endpoint.Fault
			must.True(t, errors.As(err, &fault))
			must.EqOp(t, model.NotRun, fault.Verdict)
			must.EqOp(t, endpoint.Cancelled, fault.Kind)
			must.EqOp(t, 0, calls.Load())
		})
	}
}
