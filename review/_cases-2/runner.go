package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// run is a request that a runner has run.
	run struct {
		runner, id, method, uri, tenant string
		at                              time.Time
	}

	// runner plays a sound runner: a plain service, a model engine for streams, and a worker for pieces.
	runner struct {
		id, service, address, zone string
		// workTime is how long a request takes that is no stream, eventPause the time before each event of a stream.
		workTime, eventPause time.Duration
		events               int
		// version is that of the runner's software; promptTime is how long it takes to the first event, beside eventPause.
		version    string
		promptTime time.Duration
		rec        *record
		handles    atomic.Int64

		mu   sync.Mutex
		runs []run
	}
)

func newRunner(id, service, zone string, rec *record) (*runner, error) {
	r := &runner{id: id, service: service, zone: zone, version: "1", workTime: 20 * time.Millisecond, eventPause: 30 * time.Millisecond, events: 8, rec: rec}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/stage-run", r.runPieces)
	mux.HandleFunc("POST /v1/stage-free", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"waiting": 0, "busy": false, "free_mb": 18})
	})
	mux.HandleFunc("/", r.serve)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if want := q.Header.Get("X-Expect-Instance"); want != "" && want != id {
			w.Header().Set("X-Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("X-Server-Load", "1,0,64")
		mux.ServeHTTP(w, q)
	})}
	go func() { _ = server.Serve(listener) }()
	return r, nil
}

// entry returns the entry of the runner in the store.
func (r *runner) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": sequence,
	}
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	ran := run{runner: r.id, id: id, method: q.Method, uri: q.RequestURI, tenant: q.Header.Get("X-Tenant"), at: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, ran)
	r.mu.Unlock()
	r.rec.line("run", "runner %s runs %s %s %s, tenant %q, %d bytes", r.id, id, q.Method, q.RequestURI, ran.tenant, len(body))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", r.id+"."+id)
	if q.Header.Get("X-Token-Count") != "" {
		r.stream(w, q)
		return
	}
	select {
	case <-time.After(r.workTime):
	case <-q.Context().Done():
		return
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	select {
	case <-time.After(r.promptTime):
	case <-q.Context().Done():
		return
	}
	for n := first + 1; n <= r.events; n++ {
		select {
		case <-time.After(r.eventPause):
		case <-q.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of version %s\n\n", n, n, r.version)
		_ = http.NewResponseController(w).Flush()
	}
}

func (r *runner) runPieces(w http.ResponseWriter, q *http.Request) {
	var call struct {
		Items []struct {
			ID    string `json:"id"`
			Stage int    `json:"stage"`
			Piece int    `json:"piece"`
		} `json:"items"`
	}
	if json.NewDecoder(q.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(20 * time.Millisecond)
	items := []map[string]string{}
	for _, item := range call.Items {
		handle := fmt.Sprintf("%s/%s%x", r.address, strings.ReplaceAll(r.id, "-", ""), r.handles.Add(1))
		items = append(items, map[string]string{"handle": handle})
		r.rec.line("piece", "runner %s makes piece %d of stage %d of %s", r.id, item.Piece, item.Stage, item.ID)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
}

// ran returns the runs of a request.
func (r *runner) ran(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, one := range r.runs {
		if one.id == id {
			out = append(out, one)
		}
	}
	return out
}
