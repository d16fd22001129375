package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/engine"
	"basilstall.example/basilstall/model"
)

const (
	// maxCachedPrefixes is the number of prompt prefixes that an engine caches.
	maxCachedPrefixes = 8
	// cachedPrefixSpeedup divides the prompt's processing time if its prefix is cached.
	cachedPrefixSpeedup = 5
	bytesPerKiB         = 1024
	// tokensPerCachedPrefix is the number of cached tokens reported for a cached prefix.
	tokensPerCachedPrefix = 512
)

type (
	// prefixCache is an LRU cache of the names of prompt prefixes.
	prefixCache struct {
		mu sync.Mutex
		// prefixes are ordered from least to most recently used.
		prefixes []string
	}

	// engineState is the part of an engine that orders change.
	engineState struct {
		endpoint *endpoint
		mu       sync.Mutex
		adapters []string
		// highestFencing is the highest fencing number of all accepted orders.
		highestFencing uint64
	}
)

func newPrefixCache() *prefixCache {
	return &prefixCache{}
}

// use marks a prefix as most recently used and reports whether it was cached.
func (c *prefixCache) use(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.prefixes, prefix)
	if i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	}
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > maxCachedPrefixes {
		c.prefixes = c.prefixes[1:]
	}
	return i >= 0
}

// tokenStream writes the events of one streamed answer and applies FaultDouble and FaultReorder to them.
type tokenStream struct {
	encoder   *json.Encoder
	flush     func()
	duplicate bool
	reorder   bool
	// delayed is the event that FaultReorder sends after the next one.
	delayed *model.TokenEvent
}

func (s *tokenStream) send(event model.TokenEvent) {
	if s.reorder && s.delayed == nil && !event.Final {
		s.delayed = &event
		return
	}
	s.write(event)
	if s.delayed != nil {
		s.write(*s.delayed)
		s.delayed = nil
	}
}

func (s *tokenStream) write(event model.TokenEvent) {
	_ = s.encoder.Encode(event)
	if s.duplicate {
		_ = s.encoder.Encode(event)
	}
	s.flush()
}

func (e *endpoint) handleGenerate(w http.ResponseWriter, r *http.Request) {
	call, ok := e.admit(w, r)
	if !ok {
		return
	}
	if !e.engine.adapterLoaded(call) {
		http.Error(w, "adapter not loaded", http.StatusFailedDependency)
		return
	}
	release := e.acquireSlot(r.Context())
	if release == nil {
		return
	}
	defer release()
	e.recordRun(call)
	e.crashIfMatched(call)
	cached := call.Prefix != "" && e.cache.use(call.Prefix)
	promptTime := time.Duration(len(call.Text)) * e.pool.PromptTime / bytesPerKiB
	if cached {
		promptTime /= cachedPrefixSpeedup
	}
	if !e.simulateWork(r.Context(), e.pool.ServiceTime+promptTime) {
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	s := &tokenStream{encoder: json.NewEncoder(w), flush: w.(http.Flusher).Flush}
	_, s.duplicate = e.faults.trigger(e.target(), FaultDouble)
	_, s.reorder = e.faults.trigger(e.target(), FaultReorder)
	if !e.sendTokens(r.Context(), s, call) {
		return
	}
	load := e.load()
	final := model.TokenEvent{
		Request: call.Request, Stage: call.Stage, Attempt: call.Attempt,
		Index: call.MaxTokens, Final: true, Count: call.MaxTokens, Load: &load,
	}
	if cached {
		final.CachedTokens = tokensPerCachedPrefix
	}
	if _, triggered := e.faults.trigger(e.target(), FaultSwap); triggered {
		final.Request = "another-request"
	}
	s.send(final)
}

// sendTokens streams the requested tokens, from call.From on; the first one carries the load. It reports false if ctx
// ended first.
func (e *endpoint) sendTokens(ctx context.Context, s *tokenStream, call model.StageCall) bool {
	cut, hasCut := e.faults.trigger(e.target(), FaultCutAfter)
	hang, hasHang := e.faults.trigger(e.target(), FaultHangAfter)
	load := e.load()
	event := model.TokenEvent{Request: call.Request, Stage: call.Stage, Attempt: call.Attempt, Load: &load}
	for i := call.From; i < call.MaxTokens; i++ {
		if hasCut && i-call.From >= cut.Count {
			panic(http.ErrAbortHandler)
		}
		if hasHang && i-call.From >= hang.Count {
			<-ctx.Done()
			panic(http.ErrAbortHandler)
		}
		event.Index = i
		event.Text = TokenText(call.Text, i)
		s.send(event)
		event.Load = nil
		e.tokens.Add(1)
		if i+1 < call.MaxTokens && !e.simulateWork(ctx, e.pool.TokenTime) {
			return false
		}
	}
	return true
}

func newEngineState(e *endpoint) *engineState {
	return &engineState{endpoint: e}
}

// adapterLoaded reports whether the adapter that a call needs is loaded. Engines without a limit of adapters need none.
func (s *engineState) adapterLoaded(call model.StageCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoint.pool.MostAdapters == 0 || slices.Contains(s.adapters, call.Model+"/"+call.Adapter)
}

func (s *engineState) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.OrderMessage
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCallBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, triggered := s.endpoint.faults.trigger(s.endpoint.target(), FaultDown); triggered {
		panic(http.ErrAbortHandler)
	}
	accepted := s.checkFencing(o)
	s.endpoint.journal.addOrder(OrderRecord{
		Endpoint: s.endpoint.name, Kind: o.Kind, Adapter: o.Adapter, Fencing: o.Fencing,
		Accepted: accepted, At: time.Now(),
	})
	if !accepted {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if o.Kind == "Load" {
		clock.Sleep(r.Context(), s.endpoint.pool.LoadTime)
	}
	s.applyOrder(o)
	if _, triggered := s.endpoint.faults.trigger(s.endpoint.target(), FaultLostAnswer); triggered {
		panic(http.ErrAbortHandler)
	}
	s.handleState(w, r)
}

// checkFencing reports whether an order is accepted, and records its fencing number if so. Only engines that honour
// fencing refuse orders with an old number.
func (s *engineState) checkFencing(o engine.OrderMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoint.pool.HonoursFencing && o.Fencing < s.highestFencing {
		return false
	}
	s.highestFencing = max(s.highestFencing, o.Fencing)
	return true
}

func (s *engineState) applyOrder(o engine.OrderMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.adapters, o.Adapter)
	if o.Kind == "Load" && i < 0 {
		s.adapters = append(s.adapters, o.Adapter)
	}
	if o.Kind == "Evict" && i >= 0 {
		s.adapters = slices.Delete(s.adapters, i, i+1)
	}
}

func (s *engineState) handleState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := engine.StateMessage{Adapters: slices.Clone(s.adapters), Most: s.endpoint.pool.MostAdapters, Fencing: s.highestFencing}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}
