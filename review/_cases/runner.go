package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	// headerID and headerStamp are the request's ID and the runner's receipt.
	headerID    = "X-Request-Id"
	headerStamp = "X-Server-Stamp"
	// headerNotRun states that the runner did not run a request.
	headerNotRun = "X-Not-Executed"
	// headerExpected names the runner that a request is meant for.
	headerExpected = "X-Expect-Instance"
)

type (
	// runner is a sound server of a plain service that is told how long each request takes. After a request has run, fail
	// may replace its answer.
	runner struct {
		id     string
		work   time.Duration
		record *record
		server *httptest.Server
		// fail returns the status of a failure that the runner answers with after it has run the n-th request, counted from
		// 1, or 0 for its usual answer; nil for a runner that never fails.
		fail func(n int) int

		mu sync.Mutex
		// ran holds the IDs of the requests that began to run, in order.
		ran []string
		// subjects counts the runs of each subject, the text of the body.
		subjects map[string]int
	}
)

func newRunner(r *record, id string, work time.Duration) *runner {
	s := &runner{id: id, work: work, record: r, subjects: map[string]int{}}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

func (s *runner) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

func (s *runner) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	switch {
	case r.Header.Get(headerExpected) != "" && r.Header.Get(headerExpected) != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.ran = append(s.ran, id)
	s.subjects[string(body)]++
	n := len(s.ran)
	s.mu.Unlock()
	s.record.write("runner %s runs request %s (%s)", s.id, id, body)
	time.Sleep(s.work)
	w.Header().Set(headerStamp, s.id+"."+id)
	if s.fail != nil {
		if status := s.fail(n); status != 0 {
			s.record.write("runner %s fails request %s with %d after it ran, without %s", s.id, id, status, headerNotRun)
			w.WriteHeader(status)
			return
		}
	}
	_, _ = fmt.Fprintf(w, "done %s", id)
}

// runs returns how often each request ran at any of the runners, by its ID, and how often each subject did.
func runs(runners []*runner) (byID, bySubject map[string]int) {
	byID, bySubject = map[string]int{}, map[string]int{}
	for _, s := range runners {
		s.mu.Lock()
		for _, id := range s.ran {
			byID[id]++
		}
		for subject, n := range s.subjects {
			bySubject[subject] += n
		}
		s.mu.Unlock()
	}
	return byID, bySubject
}

// list writes the entries of runners into the store, as each runner does every heartbeat_ms.
func (s *site) list(service string, runners []*runner) {
	for _, r := range runners {
		s.store.Put("servers", r.id, map[string]any{
			"service": service, "address": r.address(), "zone": "hall", "state": "ready", "version": "v1", "slots": 6,
			"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
}

// manifest returns a manifest with one service and one route to it.
func manifest(service, kind string, timeout time.Duration, maxAttempts int) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "ticket-post", "host": routeHost, "prefix": "/tickets/", "route_type": kind, "service": service,
			"timeout_ms": timeout.Milliseconds(), "slo_ms": 300, "priority": 2, "max_attempts": maxAttempts, "stages": []any{},
		}},
		"services": []map[string]any{{"name": service, "max_conns": 110}},
		"tenants":  []map[string]any{{"name": tenantName, "api_keys": []string{apiKey}}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
	}
}
