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
func (b *broadcaster) Broadcast() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.signal)
	b.signal = make(chan struct{})
}

// next is closed at the next news.
func (b *broadcaster) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.signal
}

// Await waits until something holds, looking at each news, for a time at most.
func (b *broadcaster) Await(ctx context.Context, timeout time.Duration, condition func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		next := b.next()
		if condition() {
			return
		}
		select {
		case <-next:
		case <-ctx.Done():
			return
		}
	}
}
