package follow

import (
	"context"
	"sync"
	"time"
)

// news wakes those who wait for something new. It is safe for concurrent use.
type broadcaster struct {
	mu     sync.Mutex
	signal chan struct{}
}

func newBroadcaster() *broadcaster {
	return &broadcaster{signal: make(chan struct{})}
}

// Tell wakes all who wait.
func (n *broadcaster) Broadcast() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.signal)
	n.signal = make(chan struct{})
}

// next is closed at the next news.
func (n *broadcaster) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.signal
}

// Await waits until something holds, looking at each news, for a time at most.
func (n *broadcaster) Await(ctx context.Context, most time.Duration, holds func() bool) {
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
