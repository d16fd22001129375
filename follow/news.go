package follow

import (
	"context"
	"sync"
	"time"
)

// broadcaster wakes goroutines that wait for a change of state. It is safe for concurrent use.
type broadcaster struct {
	mu sync.Mutex
	// signal is closed and replaced by each Broadcast.
	signal chan struct{}
}

func newBroadcaster() *broadcaster {
	return &broadcaster{signal: make(chan struct{})}
}

// Broadcast wakes all goroutines that wait.
func (b *broadcaster) Broadcast() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.signal)
	b.signal = make(chan struct{})
}

// next returns a channel that is closed by the next Broadcast.
func (b *broadcaster) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.signal
}

// Await waits until the condition holds, checking it after each Broadcast. It returns early at the timeout or when ctx
// ends.
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
