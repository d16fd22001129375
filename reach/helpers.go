package reach

import (
	"math/rand/v2"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
)

type (
	// Helpers holds what is known of the nodes that send requests in place of this one. It is safe for concurrent use.
	Helpers struct {
		mu sync.Mutex
		// byNode has an entry for each node that was asked. Entries of nodes that are gone are dropped.
		byNode map[string]*helperState
	}

	// helperState is what is known of one node.
	helperState struct {
		inFlight int
		load     float64
		loadAt   time.Time
		// pools holds, by pool, when the node last accepted and declined a request.
		pools map[string]helperAnswers
	}

	helperAnswers struct {
		acceptedAt, declinedAt time.Time
	}
)

// NewHelpers returns a Helpers that knows of no node.
func NewHelpers() *Helpers {
	return &Helpers{byNode: map[string]*helperState{}}
}

func (h *Helpers) stateLocked(node string) *helperState {
	s := h.byNode[node]
	if s == nil {
		s = &helperState{pools: map[string]helperAnswers{}}
		h.byNode[node] = s
	}
	return s
}

// Pick returns the node to ask next for a request to a pool; it is empty if there is none.
func (h *Helpers) Pick(now time.Time, pool string, peers []kernel.Peer) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	candidates := make([]kernel.Helper, 0, len(peers))
	for _, p := range peers {
		candidate := kernel.Helper{Peer: p}
		if s := h.byNode[p.Name]; s != nil {
			answers := s.pools[pool]
			candidate.InFlight, candidate.Load, candidate.LoadAt = s.inFlight, s.load, s.loadAt
			candidate.AcceptedAt, candidate.DeclinedAt = answers.acceptedAt, answers.declinedAt
		}
		candidates = append(candidates, candidate)
	}
	i := kernel.PickHelper(now, candidates, rand.Float64(), rand.Float64(), rand.Float64())
	if i < 0 {
		return ""
	}
	return candidates[i].Name
}

// RecordAccepted records that a node accepted a request for a pool, which is under way there until end is called.
func (h *Helpers) RecordAccepted(now time.Time, node, pool string, load float64) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stateLocked(node)
	answers := s.pools[pool]
	answers.acceptedAt = now
	s.pools[pool] = answers
	s.load, s.loadAt = load, now
	s.inFlight++
	return sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		s.inFlight--
	})
}

// RecordDeclined records that a node declined a request for a pool, or did not answer.
func (h *Helpers) RecordDeclined(now time.Time, node, pool string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stateLocked(node)
	answers := s.pools[pool]
	answers.declinedAt = now
	s.pools[pool] = answers
}

// Retain drops what is known of nodes that are not listed.
func (h *Helpers) Retain(listed func(node string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.byNode {
		if !listed(name) {
			delete(h.byNode, name)
		}
	}
}
