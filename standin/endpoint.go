package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/model"
)

const maxCallBytes = 4 << 20

// endpoint is one endpoint of a pool: it works on as many calls at once as it has slots, and
// the rest wait in its queue.
type endpoint struct {
	name     string
	pool     PoolConfig
	domain   string
	listener *faultListener
	server   *http.Server
	faults   *faultSet
	journal  *Journal
	slots    chan struct{}
	queued   atomic.Int64
	running  atomic.Int64
	leaving  atomic.Bool
	// calls, busy (nanoseconds with a slot held) and tokens sum up the work done.
	calls     atomic.Int64
	busyNanos atomic.Int64
	tokens    atomic.Int64
	// crashes counts the ends of its process.
	crashes atomic.Int64
	cache   *prefixCache
	engine  *engineState
	// previous is the identity of an earlier call, for replies in another's name.
	mu           sync.Mutex
	previousCall model.StageCall
}

func newEndpoint(name string, pool PoolConfig, domain string, listener *faultListener, f *faultSet, j *Journal) *endpoint {
	e := &endpoint{
		name: name, pool: pool, domain: domain, listener: listener, faults: f, journal: j,
		slots: make(chan struct{}, pool.Slots), cache: newPrefixCache(),
	}
	e.engine = newEngineState(e)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /encode", e.handleUnary)
	mux.HandleFunc("POST /retrieve", e.handleUnary)
	mux.HandleFunc("POST /rerank", e.handleUnary)
	mux.HandleFunc("POST /call", e.handleUnary)
	mux.HandleFunc("POST /generate", e.handleGenerate)
	mux.HandleFunc("POST /orders", e.engine.handleOrder)
	mux.HandleFunc("GET /state", e.engine.handleState)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	return e
}

func (e *endpoint) target() string {
	return e.pool.Name + "/" + e.name
}

func (e *endpoint) toModel() model.Endpoint {
	return model.Endpoint{
		Name: e.name, Pool: e.pool.Name, Address: e.listener.Addr().String(),
		FailureDomain: e.domain, State: model.Live,
	}
}

func (e *endpoint) load() model.Load {
	load := model.Load{
		Running: int(e.running.Load()),
		Queued:  int(e.queued.Load()),
		Slots:   e.pool.Slots,
		Leaving: e.leaving.Load(),
	}
	if fault, cold := e.faults.trigger(e.target(), FaultCold); cold {
		load.ColdFor = fault.Delay
	}
	if fault, stated := e.faults.trigger(e.target(), FaultRateCap); stated {
		load.RateCap = model.NewRateCap(fault.PerSecond)
	}
	return load
}

// begin decodes a call and applies the faults that strike before any work. It reports
// whether the work may begin.
func (e *endpoint) admit(w http.ResponseWriter, r *http.Request) (model.StageCall, bool) {
	var call model.StageCall
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return call, false
	}
	if _, hit := e.faults.trigger(e.target(), FaultDown); hit {
		panic(http.ErrAbortHandler)
	}
	if _, hit := e.faults.trigger(e.target(), FaultHang); hit {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if _, hit := e.faults.trigger(e.target(), FaultRefuse); hit {
		e.writeReply(w, http.StatusServiceUnavailable, model.StageReply{
			Request: call.Request, Stage: call.Stage, Attempt: call.Attempt,
			Verdict: model.NotRun, Error: "refused",
		})
		return call, false
	}
	return call, true
}

// occupy waits for a slot and returns the function that gives it back, or nil where the
// caller went away first.
func (e *endpoint) acquireSlot(ctx context.Context) (vacate func()) {
	e.queued.Add(1)
	defer e.queued.Add(-1)
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	e.running.Add(1)
	e.calls.Add(1)
	began := time.Now()
	return func() {
		e.busyNanos.Add(int64(time.Since(began)))
		e.running.Add(-1)
		<-e.slots
	}
}

// work takes the time of a call, made longer by faults; it reports false where the caller
// went away.
func (e *endpoint) simulateWork(ctx context.Context, d time.Duration) bool {
	if slow, hit := e.faults.trigger(e.target(), FaultSlow); hit {
		d = time.Duration(float64(d) * slow.Factor)
	}
	if delay, hit := e.faults.trigger(e.target(), FaultDelay); hit {
		d += delay.Delay
	}
	return clock.Sleep(ctx, d)
}

func (e *endpoint) handleUnary(w http.ResponseWriter, r *http.Request) {
	call, ok := e.admit(w, r)
	if !ok {
		return
	}
	vacate := e.acquireSlot(r.Context())
	if vacate == nil {
		return
	}
	defer vacate()
	e.recordRun(call)
	e.crashIfMatched(call)
	// A plain service finishes what it began, also when nobody waits any more.
	ctx := r.Context()
	if e.pool.Kind == model.Call {
		ctx = context.WithoutCancel(ctx)
	}
	if !e.simulateWork(ctx, e.pool.ServiceTime) {
		return
	}
	if _, hit := e.faults.trigger(e.target(), FaultLostAnswer); hit {
		panic(http.ErrAbortHandler)
	}
	reply := e.newReply(call)
	if _, hit := e.faults.trigger(e.target(), FaultError); hit {
		reply.Error = "failed"
		e.writeReply(w, http.StatusInternalServerError, reply)
		return
	}
	if _, hit := e.faults.trigger(e.target(), FaultSwap); hit {
		reply = e.newReply(e.swapCall(call))
	}
	e.writeReply(w, http.StatusOK, reply)
}

func (e *endpoint) newReply(call model.StageCall) model.StageReply {
	reply := model.StageReply{Request: call.Request, Stage: call.Stage, Attempt: call.Attempt}
	switch e.pool.Kind {
	case model.Encode:
		reply.Text = EncodeText(call.Text)
	case model.Retrieve:
		reply.Items = RetrieveItems(call.Text)
	case model.Rerank:
		reply.Items = RerankItems(call.Items)
	default:
		reply.Text = CallText(call.Operation, call.Text)
	}
	return reply
}

func (e *endpoint) writeReply(w http.ResponseWriter, status int, reply model.StageReply) {
	reply.Load = e.load()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

// swap returns the call before this one, so that another request's reply can be sent.
func (e *endpoint) swapCall(call model.StageCall) model.StageCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := e.previousCall
	e.previousCall = call
	if other.Request == "" || other.Request == call.Request {
		other = call
		other.Request = "another-request"
		other.Text += " of another request"
	}
	return other
}

// crash ends the endpoint's process where the call is one that does so, and starts it again later.
func (e *endpoint) crashIfMatched(call model.StageCall) {
	fault, hit := e.faults.trigger(e.target(), FaultCrash)
	if !hit || !strings.Contains(call.Text, fault.Text) {
		return
	}
	if e.listener.stop() {
		e.crashes.Add(1)
		time.AfterFunc(fault.Delay, func() {
			listener, err := e.listener.restart()
			if err != nil {
				panic(err)
			}
			_ = e.server.Serve(listener)
		})
	}
	panic(http.ErrAbortHandler)
}

func (e *endpoint) recordRun(call model.StageCall) {
	e.journal.addRun(Run{
		Endpoint: e.name, Stage: call.Stage, Request: call.Request, Attempt: call.Attempt,
		Key: call.Key, Operation: call.Operation, Customer: call.Customer, At: time.Now(),
	})
}
