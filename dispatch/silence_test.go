package dispatch_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
)

// silentEngines are engines of which the first to be called is silent within its stream until over is closed.
type silentEngines struct {
	over  chan struct{}
	calls atomic.Int64
	// later answers all calls but the first one.
	later func(w http.ResponseWriter, r *http.Request, call model.StageCall)
	// gone counts the calls whose connection has ended before their answer.
	gone atomic.Int64
}

func (s *silentEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call model.StageCall
	_ = json.NewDecoder(r.Body).Decode(&call)
	if s.calls.Add(1) > 1 {
		s.later(w, r, call)
		return
	}
	s.stream(w, r, call, versionedTokens/2)
}

// stream sends the tokens of a stream, and waits before one of them until over is closed.
func (s *silentEngines) stream(w http.ResponseWriter, r *http.Request, call model.StageCall, silentBefore int) {
	encoder := json.NewEncoder(w)
	event := model.TokenEvent{Request: call.Request, Stage: call.Stage, Attempt: call.Attempt}
	for event.Index = call.From; event.Index < versionedTokens; event.Index++ {
		if event.Index == silentBefore {
			select {
			case <-s.over:
			case <-r.Context().Done():
				s.gone.Add(1)
				panic(http.ErrAbortHandler)
			}
		}
		event.Text = "t "
		_ = encoder.Encode(event)
		w.(http.Flusher).Flush()
	}
	event.Text, event.Final, event.Count = "", true, versionedTokens
	_ = encoder.Encode(event)
}

// A sound engine that sends no token for some time goes on. Guards against a stream that is refused because a further engine could
// not take it over, and against tokens of both engines.
func TestSilentEngineKeepsItsStream(t *testing.T) {
	for name, tc := range map[string]struct {
		// engines is how many there are, and later what all calls but the first get.
		engines int
		later   func(s *silentEngines) func(w http.ResponseWriter, r *http.Request, call model.StageCall)
		// overtaken is true if the first call loses the stream.
		overtaken bool
	}{
		"others refuse": {engines: 2, later: func(s *silentEngines) func(http.ResponseWriter, *http.Request, model.StageCall) {
			return func(w http.ResponseWriter, _ *http.Request, call model.StageCall) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_ = json.NewEncoder(w).Encode(model.StageReply{Request: call.Request, Stage: call.Stage, Attempt: call.Attempt, Verdict: model.NotRun, Error: "full"})
				if s.calls.Load() == 4 {
					close(s.over)
				}
			}
		}},
		"others are silent": {engines: 2, later: func(s *silentEngines) func(http.ResponseWriter, *http.Request, model.StageCall) {
			return func(_ http.ResponseWriter, r *http.Request, _ model.StageCall) {
				if s.calls.Load() == 4 {
					close(s.over)
				}
				<-r.Context().Done()
				s.gone.Add(1)
				panic(http.ErrAbortHandler)
			}
		}},
		"another one speaks": {engines: 2, overtaken: true, later: func(s *silentEngines) func(http.ResponseWriter, *http.Request, model.StageCall) {
			return func(w http.ResponseWriter, r *http.Request, call model.StageCall) { s.stream(w, r, call, -1) }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &silentEngines{over: make(chan struct{})}
			s.later = tc.later(s)
			d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
			t.Cleanup(d.Close)
			var listed []model.Endpoint
			for i := range tc.engines {
				server := httptest.NewServer(s)
				t.Cleanup(server.Close)
				listed = append(listed, model.Endpoint{Name: string(rune('a' + i)), Pool: "p", Address: strings.TrimPrefix(server.URL, "http://"), State: model.Live})
			}
			d.SetEndpoints(listed)
			result, err := streamStage(t, d, 1)
			must.NoError(t, err)
			must.EqOp(t, strings.Repeat("t ", versionedTokens), result.Output.Output)
			if tc.overtaken {
				for deadline := time.Now().Add(10 * time.Second); s.gone.Load() == 0 && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond)
				}
				must.EqOp(t, 1, s.gone.Load(), must.Sprint("the silent engine has lost the stream"))
			}
		})
	}
}
