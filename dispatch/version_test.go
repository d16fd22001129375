package dispatch_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
)

const (
	versionedTokens  = 8
	versionedStreams = 20
)

// newVersionedEngine starts an engine whose tokens name its version. If cut is true, it breaks each stream off midway.
func newVersionedEngine(t *testing.T, version string, cut bool) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var call model.StageCall
		_ = json.NewDecoder(r.Body).Decode(&call)
		encoder := json.NewEncoder(w)
		event := model.TokenEvent{Request: call.Request, Stage: call.Stage, Attempt: call.Attempt}
		for event.Index = call.From; event.Index < versionedTokens; event.Index++ {
			if cut && event.Index == versionedTokens/2 {
				panic(http.ErrAbortHandler)
			}
			event.Text = version + " "
			_ = encoder.Encode(event)
			w.(http.Flusher).Flush()
		}
		event.Text, event.Final, event.Count = "", true, versionedTokens
		_ = encoder.Encode(event)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// streamJob returns a stage that streams tokens in pool p.
func streamJob(number int) dispatch.Job {
	return dispatch.Job{
		Work: kernel.StageContext{
			Request: model.Request{ID: fmt.Sprint("r", number), Deadline: time.Now().Add(time.Minute), Input: model.Input{Prefix: fmt.Sprint("prefix", number)}},
			Stage:   model.Stage{Name: "s", Pool: "p", Kind: model.Generate},
		},
		Plugin: kernel.Plugin{
			Path: "/generate", Streams: true,
			Prepare: func(kernel.StageContext) model.StageCall { return model.StageCall{MaxTokens: versionedTokens} },
		},
	}
}

// streamStage runs a stage that streams tokens in pool p.
func streamStage(t *testing.T, d *dispatch.Dispatcher, number int) (dispatch.Result, error) {
	return d.Run(t.Context(), streamJob(number))
}

// Two engines break streams off midway, one of each version: the streams went on at engines of the other version.
func TestInterruptedStreamStaysAtItsVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		engines map[string]string
		goOn    bool
	}{
		"another engine of the version": {map[string]string{"a cut": "v1", "b": "v1", "c cut": "v2", "d": "v2"}, true},
		"none of the version":           {map[string]string{"a cut": "v1", "c": "v2", "d": "v2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
			t.Cleanup(d.Close)
			var listed []model.Endpoint
			for engine, version := range tc.engines {
				address := newVersionedEngine(t, version, strings.HasSuffix(engine, "cut"))
				listed = append(listed, model.Endpoint{Name: engine, Pool: "p", Address: address, Version: version, State: model.Live})
			}
			d.SetEndpoints(listed)
			var mu sync.Mutex
			var running sync.WaitGroup
			whole := 0
			for i := range versionedStreams {
				running.Go(func() {
					result, err := streamStage(t, d, i)
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						must.EqOp(t, model.MayHaveRun, model.AsRefusal(err).Verdict)
						return
					}
					whole++
					must.SliceContains(t, []string{strings.Repeat("v1 ", versionedTokens), strings.Repeat("v2 ", versionedTokens)}, result.Output.Output)
				})
			}
			running.Wait()
			if tc.goOn {
				must.EqOp(t, versionedStreams, whole)
			} else {
				must.Between(t, 1, whole, versionedStreams-1)
			}
		})
	}
}
