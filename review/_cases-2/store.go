package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPageRows is the maximum number of rows of one answer.
	maxPageRows = 500
	// answerTime is how long the store takes for a call.
	answerTime = 4 * time.Millisecond
	// maxWait bounds how long a call for changes is kept waiting.
	maxWait = 30 * time.Second
)

type (
	// store plays the platform's metadata store. It never fails, and keeps all of its history.
	store struct {
		server    *http.Server
		address   string
		startedAt time.Time

		mu      sync.Mutex
		version uint64
		rows    map[string]storeRow
		changes []storeRow
		changed chan struct{}
	}

	storeRow struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   string `json:"value,omitempty"`
		Version uint64 `json:"ver"`
		Removed bool   `json:"removed,omitempty"`
	}

	rowsAnswer struct {
		Rows      []storeRow `json:"rows"`
		Truncated bool       `json:"truncated"`
		Version   uint64     `json:"ver"`
		NowMS     int64      `json:"now_ms"`
	}

	transaction struct {
		Precondition []storeRow `json:"precondition"`
		Writes       []storeRow `json:"writes"`
		Remove       []storeRow `json:"remove"`
	}
)

func newStore() (*store, error) {
	s := &store{rows: map[string]storeRow{}, changed: make(chan struct{}), startedAt: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows-get", s.serveRows)
	mux.HandleFunc("GET /v1/rows-feed", s.serveChanges)
	mux.HandleFunc("POST /v1/rows-tx", s.serveTransaction)
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (r storeRow) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// put writes a row of the operator or of a runner.
func (s *store) put(table, key string, value any) { s.putPart(table, "", key, value) }

// putPart writes a row of another writer into a part of a table.
func (s *store) putPart(table, part, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(transaction{Writes: []storeRow{{Table: table, Part: part, Key: key, Value: base64.StdEncoding.EncodeToString(data)}}})
}

// apply applies a transaction and reports whether its precondition held.
func (s *store) apply(tx transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range tx.Precondition {
		if s.rows[r.id()].Version != r.Version {
			return false
		}
	}
	s.version++
	for _, r := range tx.Writes {
		r.Version, r.Removed = s.version, false
		s.rows[r.id()] = r
		s.changes = append(s.changes, r)
	}
	for _, r := range tx.Remove {
		r.Version, r.Removed, r.Value = s.version, true, ""
		delete(s.rows, r.id())
		s.changes = append(s.changes, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(tx.Writes, tx.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	status := http.StatusOK
	if !s.apply(tx) {
		status = http.StatusPreconditionFailed
	}
	s.mu.Lock()
	out := rowsAnswer{Rows: []storeRow{}}
	for _, row := range tx.Precondition {
		if found, ok := s.rows[row.id()]; ok {
			out.Rows = append(out.Rows, found)
		}
	}
	s.mu.Unlock()
	s.write(w, status, out)
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	out := rowsAnswer{Rows: []storeRow{}}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			out.Rows = append(out.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	if out.Truncated = len(out.Rows) > limit; out.Truncated {
		out.Rows = out.Rows[:limit]
	}
	s.write(w, http.StatusOK, out)
}

func (s *store) serveChanges(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(min(maxWait, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		out := rowsAnswer{Rows: []storeRow{}}
		for _, row := range s.changes {
			if row.Table == q.Get("table") && row.Version > after {
				out.Rows = append(out.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Rows) > 0 || over {
			s.write(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, status int, out rowsAnswer) {
	s.mu.Lock()
	out.Version = s.version
	s.mu.Unlock()
	out.NowMS = time.Since(s.startedAt).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}
