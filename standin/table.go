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

// minUndoRecords is the number of writes that remain after the undo log is trimmed. It bounds how
// far stale reads can go back.
const minUndoRecords = 256

type (
	// tableService is the platform's table. It keeps rows in memory under one lock, and an undo log for stale reads.
	tableService struct {
		faults           *faultSet
		delay            time.Duration
		mu               sync.Mutex
		rows             map[string]table.Row
		lastVersion      uint64
		undoLog          []undoRecord
		readCount        uint64
		transactionCount uint64
	}

	// undoRecord holds a row's state before a write.
	undoRecord struct {
		at      time.Time
		key     string
		before  table.Row
		existed bool
	}
)

func newTableService(f *faultSet, delay time.Duration) *tableService {
	return &tableService{faults: f, delay: delay, rows: map[string]table.Row{}}
}

func (t *tableService) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+table.RowsPath, t.get)
	mux.HandleFunc("POST "+table.TransactionsPath, t.commit)
}

// applyFaults applies the table's delay and the faults that occur before any work.
func (t *tableService) applyFaults(r *http.Request) {
	if _, triggered := t.faults.trigger("table", FaultDown); triggered {
		panic(http.ErrAbortHandler)
	}
	if _, triggered := t.faults.trigger("table", FaultHang); triggered {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	d := t.delay
	if delay, triggered := t.faults.trigger("table", FaultDelay); triggered {
		d += delay.Delay
	}
	if d > 0 {
		clock.Sleep(r.Context(), d)
	}
}

func (t *tableService) get(w http.ResponseWriter, r *http.Request) {
	t.applyFaults(r)
	if _, triggered := t.faults.trigger("table", FaultRefuse); triggered {
		http.Error(w, "not available", http.StatusServiceUnavailable)
		return
	}
	var asOf time.Time
	if stale, triggered := t.faults.trigger("table", FaultStale); triggered {
		asOf = time.Now().Add(-stale.Delay)
	}
	key, prefix := r.URL.Query().Get("key"), r.URL.Query().Get("prefix")
	rows := t.read(func(k string) bool {
		return k == key || (prefix != "" && strings.HasPrefix(k, prefix))
	}, asOf)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(rows)
}

// read returns the rows with the wanted keys, sorted by key, as they were at asOf, or as they are now if it is zero.
func (t *tableService) read(wanted func(string) bool, asOf time.Time) []table.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readCount++
	view := t.rows
	if !asOf.IsZero() {
		view = t.rowsAt(asOf)
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

// rowsAt returns the rows as they were at asOf, by undoing later writes.
func (t *tableService) rowsAt(asOf time.Time) map[string]table.Row {
	view := make(map[string]table.Row, len(t.rows))
	for k, v := range t.rows {
		view[k] = v
	}
	for _, undo := range slices.Backward(t.undoLog) {
		if undo.at.Before(asOf) {
			break
		}
		if undo.existed {
			view[undo.key] = undo.before
		} else {
			delete(view, undo.key)
		}
	}
	return view
}

func (t *tableService) commit(w http.ResponseWriter, r *http.Request) {
	t.applyFaults(r)
	if _, triggered := t.faults.trigger("table", FaultRefuse); triggered {
		http.Error(w, "not available", http.StatusServiceUnavailable)
		return
	}
	var tx table.Transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, failed := t.apply(tx)
	if _, triggered := t.faults.trigger("table", FaultLostAnswer); triggered {
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

// apply commits a transaction if all its conditions hold. Otherwise it returns the keys whose conditions failed.
func (t *tableService) apply(tx table.Transaction) (version uint64, failed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.transactionCount++
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 0, failed
	}
	t.lastVersion++
	for _, write := range tx.Writes {
		before, existed := t.rows[write.Key]
		t.undoLog = append(t.undoLog, undoRecord{at: time.Now(), key: write.Key, before: before, existed: existed})
		t.rows[write.Key] = table.Row{Key: write.Key, Version: t.lastVersion, Value: write.Value}
	}
	if len(t.undoLog) > 2*minUndoRecords {
		t.undoLog = slices.Clone(t.undoLog[len(t.undoLog)-minUndoRecords:])
	}
	return t.lastVersion, nil
}

// usage returns the numbers of reads and transactions that the table has served.
func (t *tableService) usage() (reads, writes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readCount, t.transactionCount
}
