package node

import (
	"sync"

	"basilstall.example/basilstall/model"
)

// maxRecords is the number of records kept. Each further record replaces the oldest one.
const maxRecords = 4096

// records is a ring buffer of the records of the latest requests. It is safe for concurrent use.
type records struct {
	mu   sync.Mutex
	ring [maxRecords]model.Record
	// next is the index in ring of the next record.
	next int
	// byID holds the index in ring of the latest record of each request, by request ID.
	byID map[string]int
}

func newRecords() *records {
	return &records{byID: map[string]int{}}
}

func (r *records) add(record model.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.ring[r.next].Request
	if r.byID[old] == r.next {
		delete(r.byID, old)
	}
	r.ring[r.next] = record
	r.byID[record.Request] = r.next
	r.next = (r.next + 1) % maxRecords
}

func (r *records) get(id string) (model.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.byID[id]
	if !ok {
		return model.Record{}, false
	}
	return r.ring[i], true
}
