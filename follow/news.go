package follow

import (
	"context"
	"sync"
	"time"
)

// news wakes those who wait for something new. It is safe for concurrent use.
type news struct {
	mu   sync.Mutex
	told chan struct{}
}

func newNews() *news {
	return &news{told: make(chan struct{})}
}

// Tell wakes all who wait.
func (n *news) Tell() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.told)
	n.told = make(chan struct{})
}

// next is closed at the next news.
func (n *news) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.told
}

// Await waits until something holds, looking at each news, for a time at most.
func (n *news) Await(ctx context.Context, most time.Duration, holds func() bool) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		next := n.next()
		if holds() {
			return
		}
		select {
		case <-next:
		case <-ctx.Done():
			return
		}
	}
}
