package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/table"
)

// staleStates bounds how many old states of the table are kept for stale reads.
const staleStates = 256

type (
	// tableService is the platform's table: rows in memory, one lock, old states for stale
	// reads.
	tableService struct {
		faults *faults
		delay  time.Duration
		mu     sync.Mutex
		rows   map[string]table.Row
		number uint64
		past   []pastWrite
		reads  uint64
		writes uint64
	}

	// pastWrite undoes one write.
	pastWrite struct {
		at     time.Time
		key    string
		before table.Row
		was    bool
	}
)

func newTableService(f *faults, delay time.Duration) *tableService {
	return &tableService{faults: f, delay: delay, rows: map[string]table.Row{}}
}

func (t *tableService) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+table.RowsPath, t.get)
	mux.HandleFunc("POST "+table.TransactionsPath, t.commit)
}

// begin applies the faults that strike before any work.
func (t *tableService) begin(r *http.Request) {
	if _, hit := t.faults.strike("table", FaultDown); hit {
		panic(http.ErrAbortHandler)
	}
	if _, hit := t.faults.strike("table", FaultHang); hit {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	d := t.delay
	if delay, hit := t.faults.strike("table", FaultDelay); hit {
		d += delay.Delay
	}
	if d > 0 {
		clock.Sleep(r.Context(), d)
	}
}

func (t *tableService) get(w http.ResponseWriter, r *http.Request) {
	t.begin(r)
	if _, hit := t.faults.strike("table", FaultRefuse); hit {
		http.Error(w, "not available", http.StatusServiceUnavailable)
		return
	}
	var before time.Time
	if stale, hit := t.faults.strike("table", FaultStale); hit {
		before = time.Now().Add(-stale.Delay)
	}
	key, prefix := r.URL.Query().Get("key"), r.URL.Query().Get("prefix")
	rows := t.read(func(k string) bool {
		return k == key || (prefix != "" && strings.HasPrefix(k, prefix))
	}, before)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rows)
}

func (t *tableService) read(wanted func(string) bool, before time.Time) []table.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	view := t.rows
	if !before.IsZero() {
		view = t.stateAt(before)
	}
	rows := []table.Row{}
	for key, row := range view {
		if wanted(key) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (t *tableService) stateAt(before time.Time) map[string]table.Row {
	view := make(map[string]table.Row, len(t.rows))
	for k, v := range t.rows {
		view[k] = v
	}
	for _, p := range slices.Backward(t.past) {
		if p.at.Before(before) {
			break
		}
		if p.was {
			view[p.key] = p.before
		} else {
			delete(view, p.key)
		}
	}
	return view
}

func (t *tableService) commit(w http.ResponseWriter, r *http.Request) {
	t.begin(r)
	if _, hit := t.faults.strike("table", FaultRefuse); hit {
		http.Error(w, "not available", http.StatusServiceUnavailable)
		return
	}
	var tx table.Transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, failed := t.apply(tx)
	if _, hit := t.faults.strike("table", FaultLostAnswer); hit {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if len(failed) > 0 {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(table.Conflict{Keys: failed})
		return
	}
	_ = json.NewEncoder(w).Encode(table.Committed{Version: version})
}

func (t *tableService) apply(tx table.Transaction) (version uint64, failed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 0, failed
	}
	t.number++
	for _, write := range tx.Writes {
		before, was := t.rows[write.Key]
		t.past = append(t.past, pastWrite{at: time.Now(), key: write.Key, before: before, was: was})
		t.rows[write.Key] = table.Row{Key: write.Key, Version: t.number, Value: write.Value}
	}
	if len(t.past) > 2*staleStates {
		t.past = slices.Clone(t.past[len(t.past)-staleStates:])
	}
	return t.number, nil
}

// usage returns how many reads and transactions the table has served.
func (t *tableService) usage() (reads, writes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}
