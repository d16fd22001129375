package relay

import (
	"context"
	"sync"
	"time"

	"basilstall.example/basilstall/clock"
)

const (
	// minProbeInterval and maxProbeInterval bound the time between two probes of a node that did not answer;
	// each is twice the one before. Probes keep the wait for a lost node away from requests.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	probeTimeout     = 600 * time.Millisecond
)

type (
	// suspects holds the nodes that did not answer lately or are leaving. Each is probed until it
	// answers again.
	suspects struct {
		ctx   context.Context
		probe func(node string) bool
		// back is called for a node that answers again.
		recovered func(node string)

		mu    sync.Mutex
		nodes map[string]bool
	}

	// remoteGroups holds how to withdraw the groups of other nodes.
	remoteGroups struct {
		mu      sync.Mutex
		cancels map[string]context.CancelFunc
	}
)

func newSuspects(ctx context.Context, probe func(string) bool, back func(string)) *suspects {
	return &suspects{ctx: ctx, probe: probe, recovered: back, nodes: map[string]bool{}}
}

// suspect notes that a node did not answer; it reports whether that is news.
func (s *suspects) suspect(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[node] {
		return false
	}
	s.nodes[node] = true
	go func() {
		pause := minProbeInterval
		for clock.Sleep(s.ctx, pause) {
			if !s.suspected(node) {
				return
			}
			if s.probe(node) {
				s.clear(node)
				return
			}
			pause = min(2*pause, maxProbeInterval)
		}
	}()
	return true
}

// announced probes a node at once that has said that it started, where it is suspected: its next probe
// may be seconds away, and until then it and others would work for the same pools.
func (s *suspects) probeNow(node string) {
	if !s.suspected(node) {
		return
	}
	go func() {
		if s.probe(node) {
			s.clear(node)
		}
	}()
}

func (s *suspects) clear(node string) {
	s.mu.Lock()
	known := s.nodes[node]
	delete(s.nodes, node)
	s.mu.Unlock()
	if known {
		s.recovered(node)
	}
}

func (s *suspects) suspected(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[node]
}

func newRemoteGroups() *remoteGroups {
	return &remoteGroups{cancels: map[string]context.CancelFunc{}}
}

func (g *remoteGroups) add(group string, cancel context.CancelFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancels[group] = cancel
}

func (g *remoteGroups) remove(group string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancels, group)
}

func (g *remoteGroups) cancel(group string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cancel := g.cancels[group]; cancel != nil {
		cancel()
	}
}
