package standin

import (
	"sync"
	"time"
)

// maxJournalRuns bounds the journal; what comes later is counted only.
const maxJournalRuns = 500_000

type (
	// Run is one call that an endpoint worked on.
	Run struct {
		Endpoint  string
		Stage     string
		Request   string
		Attempt   int
		Key       string `json:",omitempty"`
		Operation string `json:",omitempty"`
		Customer  string
		At        time.Time
	}

	// OrderRecord is one order that an engine received.
	OrderRecord struct {
		Endpoint string
		Kind     string
		Adapter  string
		Fencing  uint64
		Accepted bool
		At       time.Time
	}

	// Journal is what ran, for tests to check.
	Journal struct {
		mu             sync.Mutex
		runs           []Run
		orders         []OrderRecord
		runsByKey      map[string]int
		callsByRequest map[string]int
	}

	// JournalSummary counts what ran.
	JournalSummary struct {
		// Keys counts the runs of each key; those that ran twice are the doubles.
		Keys map[string]int
		// Requests counts the calls of each request.
		Requests map[string]int
	}
)

func newJournal() *Journal {
	return &Journal{runsByKey: map[string]int{}, callsByRequest: map[string]int{}}
}

func (j *Journal) addRun(r Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.callsByRequest[r.Request]++
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

// Runs returns the calls that endpoints worked on, in order.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Run(nil), j.runs...)
}

// Orders returns the orders that engines received, in order.
func (j *Journal) Orders() []OrderRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]OrderRecord(nil), j.orders...)
}

// Summary counts the runs by key and by request.
func (j *Journal) Summary() JournalSummary {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := JournalSummary{Keys: map[string]int{}, Requests: map[string]int{}}
	for key, n := range j.runsByKey {
		s.Keys[key] = n
	}
	for request, n := range j.callsByRequest {
		s.Requests[request] = n
	}
	return s
}
