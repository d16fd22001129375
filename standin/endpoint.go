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

// endpoint is a simulated endpoint of a pool. It processes as many calls concurrently as it has slots; further calls
// queue for a slot.
type endpoint struct {
	name     string
	pool     PoolConfig
	domain   string
	version  string
	listener *faultListener
	server   *http.Server
	faults   *faultSet
	journal  *Journal
	slots    chan struct{}
	queued   atomic.Int64
	running  atomic.Int64
	leaving  atomic.Bool
	// calls, busyNanos (nanoseconds with a slot held, summed over slots) and tokens are totals since the start.
	calls     atomic.Int64
	busyNanos atomic.Int64
	tokens    atomic.Int64
	// crashes counts simulated crashes of the process.
	crashes atomic.Int64
	cache   *prefixCache
	engine  *engineState
	// mu guards previousCall, the call on which FaultSwap was last triggered. Its reply is sent for the next such call.
	mu           sync.Mutex
	previousCall model.StageCall
}

func newEndpoint(name string, pool PoolConfig, domain, version string, listener *faultListener, f *faultSet, j *Journal) *endpoint {
	e := &endpoint{
		name: name, pool: pool, domain: domain, version: version, listener: listener, faults: f, journal: j,
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

// target returns the endpoint's name as the target of a fault, POOL/ENDPOINT.
func (e *endpoint) target() string {
	return e.pool.Name + "/" + e.name
}

func (e *endpoint) toModel() model.Endpoint {
	return model.Endpoint{
		Name: e.name, Pool: e.pool.Name, Address: e.listener.Addr().String(),
		FailureDomain: e.domain, State: model.Live, Version: e.version,
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
	if e.pool.StatesContention {
		load.Contention = 1
	}
	if fault, contends := e.faults.trigger(e.target(), FaultContend); contends {
		load.Contention = fault.Factor
	}
	return load
}

// admit decodes a call and applies the faults that occur before any work. It reports whether the call may proceed;
// if not, the response has been written.
func (e *endpoint) admit(w http.ResponseWriter, r *http.Request) (model.StageCall, bool) {
	var call model.StageCall
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return call, false
	}
	if _, triggered := e.faults.trigger(e.target(), FaultDown); triggered {
		panic(http.ErrAbortHandler)
	}
	if _, triggered := e.faults.trigger(e.target(), FaultHang); triggered {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if _, triggered := e.faults.trigger(e.target(), FaultRefuse); triggered {
		e.writeReply(w, http.StatusServiceUnavailable, model.StageReply{
			Request: call.Request, Stage: call.Stage, Attempt: call.Attempt,
			Verdict: model.NotRun, Error: "refused",
		})
		return call, false
	}
	return call, true
}

// acquireSlot waits for a slot and returns the function that releases it, or nil if ctx ended first.
func (e *endpoint) acquireSlot(ctx context.Context) (release func()) {
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

// simulateWork sleeps for d, extended by FaultSlow, FaultContend and FaultDelay. It reports false if ctx ended first.
func (e *endpoint) simulateWork(ctx context.Context, d time.Duration) bool {
	for _, kind := range []FaultKind{FaultSlow, FaultContend} {
		if slow, triggered := e.faults.trigger(e.target(), kind); triggered {
			d = time.Duration(float64(d) * slow.Factor)
		}
	}
	if delay, triggered := e.faults.trigger(e.target(), FaultDelay); triggered {
		d += delay.Delay
	}
	return clock.Sleep(ctx, d)
}

func (e *endpoint) handleUnary(w http.ResponseWriter, r *http.Request) {
	call, ok := e.admit(w, r)
	if !ok {
		return
	}
	release := e.acquireSlot(r.Context())
	if release == nil {
		return
	}
	defer release()
	e.recordRun(call)
	e.crashIfMatched(call)
	// A plain service completes a call that it has started, even after the caller has disconnected.
	ctx := r.Context()
	if e.pool.Kind == model.Call {
		ctx = context.WithoutCancel(ctx)
	}
	if !e.simulateWork(ctx, e.pool.ServiceTime) {
		return
	}
	if _, triggered := e.faults.trigger(e.target(), FaultLostAnswer); triggered {
		panic(http.ErrAbortHandler)
	}
	reply := e.newReply(call)
	if _, triggered := e.faults.trigger(e.target(), FaultError); triggered {
		reply.Error = "failed"
		e.writeReply(w, http.StatusInternalServerError, reply)
		return
	}
	if _, triggered := e.faults.trigger(e.target(), FaultSwap); triggered {
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

// swapCall returns the call on which FaultSwap was last triggered, so that the reply belongs to another request, and
// stores call for the next time. If there is none or it is of the same request, it returns a made-up call of another
// request.
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

// crashIfMatched simulates a crash of the endpoint's process if a FaultCrash matches the call, and restarts the
// endpoint after the fault's Delay.
func (e *endpoint) crashIfMatched(call model.StageCall) {
	fault, triggered := e.faults.trigger(e.target(), FaultCrash)
	if !triggered || !strings.Contains(call.Text, fault.Text) && !strings.Contains(call.Prefix, fault.Text) {
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
		Key: call.Key, Operation: call.Operation, Customer: call.Customer, Version: e.version, From: call.From, At: time.Now(),
	})
}
