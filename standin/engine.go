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
	// maxCachedPrefixes is how many prompt prefixes an engine keeps.
	maxCachedPrefixes = 8
	// cachedPrefixSpeedup is how much less time a prompt takes with a cached prefix.
	cachedPrefixSpeedup = 5
	bytesPerKiB         = 1024
	// tokensPerCachedPrefix is what a cached prefix counts for.
	tokensPerCachedPrefix = 512
)

type (
	// prefixCache keeps the prefixes last used.
	prefixCache struct {
		mu       sync.Mutex
		prefixes []string
	}

	// engineState is what orders change.
	engineState struct {
		endpoint *endpoint
		mu       sync.Mutex
		adapters []string
		// fencing is the highest fencing number of any order that was obeyed.
		highestFencing uint64
	}
)

func newPrefixCache() *prefixCache {
	return &prefixCache{}
}

// use notes that a prefix was used and reports whether it was cached.
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

// stream is one answer of an engine on its way.
type tokenStream struct {
	encoder   *json.Encoder
	flush     func()
	duplicate bool
	reorder   bool
	delayed   *model.TokenEvent
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
	vacate := e.acquireSlot(r.Context())
	if vacate == nil {
		return
	}
	defer vacate()
	e.recordRun(call)
	e.crashIfMatched(call)
	cached := call.Prefix != "" && e.cache.use(call.Prefix)
	prompt := time.Duration(len(call.Text)) * e.pool.PromptTime / bytesPerKiB
	if cached {
		prompt /= cachedPrefixSpeedup
	}
	if !e.simulateWork(r.Context(), e.pool.ServiceTime+prompt) {
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
	if _, hit := e.faults.trigger(e.target(), FaultSwap); hit {
		final.Request = "another-request"
	}
	s.send(final)
}

// sendTokens sends the tokens that were asked for; it reports false where the caller went
// away. The first one carries the load.
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

// loaded tells whether the engine has what a call needs.
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
	if _, hit := s.endpoint.faults.trigger(s.endpoint.target(), FaultDown); hit {
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
	if _, hit := s.endpoint.faults.trigger(s.endpoint.target(), FaultLostAnswer); hit {
		panic(http.ErrAbortHandler)
	}
	s.handleState(w, r)
}

// accept checks the fencing number, if the engine is one that does.
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
