package dispatch_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
)

// statingServer is an endpoint that states load in its answers, all of which are of one kind.
type statingServer struct {
	*httptest.Server
	calls atomic.Int32
	// kind is "answer", "refusal", "failure" or "cut".
	kind string
	load model.Load
}

func newStatingServer(t *testing.T, kind string, load model.Load) *statingServer {
	s := &statingServer{kind: kind, load: load}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.Close)
	return s
}

// address returns the address at which the endpoint listens.
func (s *statingServer) address() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *statingServer) serve(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	var call model.StageCall
	_ = json.NewDecoder(r.Body).Decode(&call)
	reply := model.StageReply{Request: call.Request, Stage: call.Stage, Attempt: call.Attempt, Load: s.load}
	event := model.TokenEvent{Request: call.Request, Stage: call.Stage, Attempt: call.Attempt, Load: &s.load}
	encoder := json.NewEncoder(w)
	switch {
	case s.kind == "refusal":
		reply.Verdict, reply.Error = model.NotRun, "refused"
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = encoder.Encode(reply)
	case s.kind == "failure":
		reply.Verdict, reply.Error = model.MayHaveRun, "failed"
		w.WriteHeader(http.StatusInternalServerError)
		_ = encoder.Encode(reply)
	case s.kind == "cut":
		_ = encoder.Encode(event)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/generate":
		event.Final = true
		event.Index, event.Count = call.From, call.From
		_ = encoder.Encode(event)
	default:
		_ = encoder.Encode(reply)
	}
}

// runStatedStage runs one stage that is a stream or not.
func runStatedStage(t *testing.T, d *dispatch.Dispatcher, stream bool) error {
	plugin := kernel.Plugin{
		Path: "/call", Streams: stream,
		Prepare: func(kernel.StageContext) model.StageCall { return model.StageCall{} },
		ParseReply: func(kernel.StageContext, model.StageReply) (model.StageOutput, error) {
			return model.StageOutput{}, nil
		},
	}
	if stream {
		plugin.Path = "/generate"
	}
	// Each stream has a prefix of its own, since streams of the same prefix go to the same endpoint.
	input := model.Input{Prefix: strconv.FormatUint(rand.Uint64(), 36)}
	_, err := d.Run(t.Context(), dispatch.Job{
		Work:   kernel.StageContext{Request: model.Request{ID: "r", Input: input, Deadline: time.Now().Add(time.Minute)}, Stage: model.Stage{Name: "s", Pool: "p"}},
		Plugin: plugin,
	})
	return err
}

// newStatingPool returns a dispatcher for a pool of a stating endpoint, "a", and another one, "b", after the first has
// got a call.
func newStatingPool(t *testing.T, stating *statingServer, stream bool) (d *dispatch.Dispatcher, listed []model.Endpoint) {
	other := newStatingServer(t, "answer", model.Load{})
	d = dispatch.NewDispatcher("domain-0", false, metric.NewSet())
	t.Cleanup(d.Close)
	d.OnLeaving = func(pool, incarnation string) { d.MarkLeaving(pool, incarnation) }
	listed = []model.Endpoint{{Name: "a", Pool: "p", Address: stating.address()}, {Name: "b", Pool: "p", Address: other.address()}}
	d.SetEndpoints(listed)
	for range 100 {
		must.NoError(t, runStatedStage(t, d, stream))
		if stating.calls.Load() > 0 {
			return d, listed
		}
	}
	t.Fatal("the stating endpoint got no call")
	return nil, nil
}

// An endpoint that has stated in any kind of answer that it is leaving, or that it wants a pause, gets no more calls of
// this node. Guards against calls to endpoints that stated it in a refusal, a failure or a stream that was cut.
func TestStatementsInAllAnswersEndCalls(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]model.Load{"leaving": {Leaving: true}, "pause": {PauseFor: time.Minute}} {
		for _, kind := range []string{"answer", "refusal", "failure", "cut"} {
			for _, stream := range []bool{false, true} {
				if kind == "cut" && !stream {
					continue
				}
				t.Run(name+" "+kind+map[bool]string{true: " of a stream"}[stream], func(t *testing.T) {
					t.Parallel()
					stating := newStatingServer(t, kind, load)
					d, _ := newStatingPool(t, stating, stream)
					before := stating.calls.Load()
					for range 30 {
						must.NoError(t, runStatedStage(t, d, stream))
					}
					must.EqOp(t, before, stating.calls.Load())
				})
			}
		}
	}
}

// A leaving endpoint that the list drops and lists again, as after an outage of the list, gets no calls; a process that
// started again at its address does. Guards against a belief that goes with an entry, or outlives its incarnation.
func TestLeavingBelongsToIncarnation(t *testing.T) {
	t.Parallel()
	stating := newStatingServer(t, "answer", model.Load{Leaving: true})
	d, listed := newStatingPool(t, stating, false)
	before := stating.calls.Load()
	d.SetEndpoints(listed[1:])
	d.SetEndpoints(listed)
	for range 30 {
		must.NoError(t, runStatedStage(t, d, false))
	}
	must.EqOp(t, before, stating.calls.Load())

	listed[0].Started = time.Now()
	d.SetEndpoints(listed)
	for range 100 {
		must.NoError(t, runStatedStage(t, d, false))
	}
	must.Greater(t, before, stating.calls.Load())
}

// A notice that an earlier incarnation is leaving says nothing of the one that is listed. Guards against notices of other
// nodes that arrive after the endpoint has started again.
func TestLeavingNoticeBelongsToIncarnation(t *testing.T) {
	t.Parallel()
	before := model.Endpoint{Name: "a", Pool: "p", Address: "a:1", Started: time.UnixMilli(1000)}
	after := before
	after.Started = time.UnixMilli(2000)
	d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
	d.SetEndpoints([]model.Endpoint{after})
	must.False(t, d.MarkLeaving("p", before.Incarnation()))
	must.SliceLen(t, 1, d.Endpoints("p"))
	must.True(t, d.MarkLeaving("p", after.Incarnation()))
	must.SliceEmpty(t, d.Endpoints("p"))
}

// If all endpoints have asked for a pause, a stage is refused at once, as not run, with when the first pause ends.
// Guards against calls in the pause for want of another endpoint.
func TestPausedPoolIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	for _, stream := range []bool{false, true} {
		stating := newStatingServer(t, "refusal", model.Load{PauseFor: 5 * time.Second})
		d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
		t.Cleanup(d.Close)
		d.SetEndpoints([]model.Endpoint{{Name: "a", Pool: "p", Address: stating.address()}})
		must.Error(t, runStatedStage(t, d, stream))
		before := stating.calls.Load()
		var refusal *model.Refusal
		must.True(t, errors.As(runStatedStage(t, d, stream), &refusal))
		must.EqOp(t, model.EndpointsPaused, refusal.Reason)
		must.EqOp(t, model.NotRun, refusal.Verdict)
		must.Greater(t, time.Second, refusal.RetryAfter)
		must.EqOp(t, before, stating.calls.Load())
	}
}

// An endpoint that ends if it has to refuse more than a few calls a second gets no further call for a second after it has
// refused one. Guards against a node of the project's own interface that goes on calling it.
func TestRefusalCapIsHeeded(t *testing.T) {
	for name, stream := range map[string]bool{"call": false, "stream": true} {
		t.Run(name, func(t *testing.T) {
			stating := newStatingServer(t, "refusal", model.Load{RefusalCap: model.NewRateCap(3)})
			d := dispatch.NewDispatcher("domain", false, metric.NewSet())
			t.Cleanup(d.Close)
			d.SetEndpoints([]model.Endpoint{{Name: "stating", Pool: "p", Address: stating.address(), State: model.Live}})
			for range 20 {
				must.Error(t, runStatedStage(t, d, stream))
			}
			must.EqOp(t, 1, stating.calls.Load())
			refusal := model.AsRefusal(runStatedStage(t, d, stream))
			must.EqOp(t, model.EndpointsBrittle, refusal.Reason)
			must.EqOp(t, model.NotRun, refusal.Verdict)
			must.Positive(t, refusal.RetryAfter)
		})
	}
}
