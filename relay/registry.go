package relay

import (
	"context"
	"sync"
	"time"
)

// suspicionLasts is how long a node that did not answer is not asked to gather: after that one
// request tries it again.
const suspicionLasts = 1500 * time.Millisecond

type (
	// suspects holds which nodes did not answer lately.
	suspects struct {
		mu    sync.Mutex
		until map[string]time.Time
	}

	// remoteGroups holds how to withdraw the groups of other nodes.
	remoteGroups struct {
		mu      sync.Mutex
		cancels map[string]context.CancelFunc
	}
)

func (s *suspects) suspect(now time.Time, node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[node] = now.Add(suspicionLasts)
}

func (s *suspects) suspected(now time.Time, node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[node])
}

func (g *remoteGroups) add(group string, cancel context.CancelFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancels == nil {
		g.cancels = map[string]context.CancelFunc{}
	}
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
