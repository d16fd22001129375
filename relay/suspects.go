package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"basilstall.example/basilstall/clock"
)

const (
	// minProbeInterval and maxProbeInterval bound the interval between probes of a node that did not answer, which
	// doubles with each probe. Probes find out whether the node is back, so that no request has to wait for it.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	probeTimeout     = 600 * time.Millisecond
)

type (
	// suspects holds the nodes that did not answer or are leaving. Each is probed until it answers again.
	suspects struct {
		ctx   context.Context
		probe func(node string) bool
		// onRecovered is called when a node answers again.
		onRecovered func(node string)

		mu    sync.Mutex
		nodes map[string]bool
		// version increases with each change of nodes.
		version atomic.Uint64
	}

	// remoteGroups holds the cancel functions of the piece groups that other nodes have sent here.
	remoteGroups struct {
		mu      sync.Mutex
		cancels map[string]context.CancelFunc
	}
)

func newSuspects(ctx context.Context, probe func(string) bool, onRecovered func(string)) *suspects {
	return &suspects{ctx: ctx, probe: probe, onRecovered: onRecovered, nodes: map[string]bool{}}
}

// suspect records that a node did not answer or is leaving, and starts to probe it. It returns false if the node was
// already suspected.
func (s *suspects) suspect(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[node] {
		return false
	}
	s.nodes[node] = true
	s.version.Add(1)
	go func() {
		interval := minProbeInterval
		for clock.Sleep(s.ctx, interval) {
			if !s.suspected(node) {
				return
			}
			if s.probe(node) {
				s.clear(node)
				return
			}
			interval = min(2*interval, maxProbeInterval)
		}
	}()
	return true
}

// probeNow probes a suspected node that has just announced its start. Its next regular probe may be seconds away, and
// until then both it and other nodes would batch for the same pools.
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

// clear ends the suspicion of a node that is known to answer.
func (s *suspects) clear(node string) {
	s.mu.Lock()
	suspected := s.nodes[node]
	delete(s.nodes, node)
	s.version.Add(1)
	s.mu.Unlock()
	if suspected {
		s.onRecovered(node)
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
