package standin

import (
	"sync"
	"time"
)

// journalMost bounds the journal; what comes later is counted only.
const journalMost = 500_000

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

	// OrderRun is one order that an engine received.
	OrderRun struct {
		Endpoint string
		Kind     string
		Adapter  string
		Fencing  uint64
		Accepted bool
		At       time.Time
	}

	// Journal is what ran, for tests to check.
	Journal struct {
		mu     sync.Mutex
		runs   []Run
		orders []OrderRun
		keys   map[string]int
		calls  map[string]int
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
	return &Journal{keys: map[string]int{}, calls: map[string]int{}}
}

func (j *Journal) add(r Run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls[r.Request]++
	if r.Key != "" {
		j.keys[r.Customer+"/"+r.Key]++
	}
	if len(j.runs) < journalMost {
		j.runs = append(j.runs, r)
	}
}

func (j *Journal) addOrder(o OrderRun) {
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
func (j *Journal) Orders() []OrderRun {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]OrderRun(nil), j.orders...)
}

// Summary counts the runs by key and by request.
func (j *Journal) Summary() JournalSummary {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := JournalSummary{Keys: map[string]int{}, Requests: map[string]int{}}
	for key, n := range j.keys {
		s.Keys[key] = n
	}
	for request, n := range j.calls {
		s.Requests[request] = n
	}
	return s
}
