package node

import (
	"sync"

	"basilstall.example/basilstall/model"
)

// maxRecords bounds the memory of what happened to requests.
const maxRecords = 4096

// records is a bounded ring of what happened to the last requests.
type records struct {
	mu   sync.Mutex
	ring [maxRecords]model.Record
	next int
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
