package standin

import (
	"sync"
	"time"
)

// maxJournalRuns is the number of runs that the journal stores; later runs are only counted.
const maxJournalRuns = 500_000

type (
	// Run is a call that an endpoint began to process. A call that was refused or never got a slot is not a run.
	Run struct {
		Endpoint  string
		Stage     string
		Request   string
		Attempt   int
		Key       string `json:",omitempty"`
		Operation string `json:",omitempty"`
		Customer  string
		// Version is the software version of the endpoint, and From the index of the first token that it was asked for.
		Version string `json:",omitempty"`
		From    int    `json:",omitempty"`
		At      time.Time
	}

	// OrderRecord is an order that an engine received, to load or evict an adapter.
	OrderRecord struct {
		Endpoint string
		Kind     string
		Adapter  string
		Fencing  uint64
		Accepted bool
		At       time.Time
	}

	// Journal records runs and orders for checks in tests and replays. It is safe for concurrent use.
	Journal struct {
		mu            sync.Mutex
		runs          []Run
		orders        []OrderRecord
		runsByKey     map[string]int
		runsByRequest map[string]int
	}

	// JournalSummary holds the numbers of runs by key and by request.
	JournalSummary struct {
		// Keys counts the runs of each idempotency key, as CUSTOMER/KEY. A count above 1 means duplicate runs.
		Keys map[string]int
		// Requests counts the runs of each request.
		Requests map[string]int
	}
)

func newJournal() *Journal {
	return &Journal{runsByKey: map[string]int{}, runsByRequest: map[string]int{}}
}

func (j *Journal) addRun(r Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runsByRequest[r.Request]++
	if r.Key != "" {
		j.runsByKey[r.Customer+"/"+r.Key]++
	}
	if len(j.runs) < maxJournalRuns {
		j.runs = append(j.runs, r)
	}
}

func (j *Journal) addOrder(o OrderRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.orders = append(j.orders, o)
}

// Runs returns the recorded runs in order.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Run(nil), j.runs...)
}

// Orders returns the received orders in order.
func (j *Journal) Orders() []OrderRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]OrderRecord(nil), j.orders...)
}

// Summary returns the numbers of runs, including those that are no longer stored.
func (j *Journal) Summary() JournalSummary {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := JournalSummary{Keys: map[string]int{}, Requests: map[string]int{}}
	for key, n := range j.runsByKey {
		s.Keys[key] = n
	}
	for request, n := range j.runsByRequest {
		s.Requests[request] = n
	}
	return s
}
