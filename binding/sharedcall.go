package binding

import (
	"context"
	"sync"

	"basilstall.example/basilstall/kernel"
)

type (
	// sharedCall makes calls one after the other for many requests. The call that a request gets the result of began after the
	// request asked for it, so that it tells nothing from before.
	sharedCall struct {
		ctx  context.Context
		call func(ctx context.Context) ([]kernel.VersionChange, error)

		mu sync.Mutex
		// running is the present call, next the one that follows it; nil if there is none.
		running, next *flight
	}

	// flight is one call. rows and err may be read once done is closed.
	flight struct {
		done chan struct{}
		rows []kernel.VersionChange
		err  error
	}
)

func newSharedCall(ctx context.Context, call func(ctx context.Context) ([]kernel.VersionChange, error)) *sharedCall {
	return &sharedCall{ctx: ctx, call: call}
}

// Do waits for a call that begins now or later, and returns its result.
func (s *sharedCall) Do(ctx context.Context) ([]kernel.VersionChange, error) {
	f := s.join()
	select {
	case <-f.done:
		return f.rows, f.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// join returns the first call that has not begun yet, and begins it if none is under way.
func (s *sharedCall) join() *flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = &flight{done: make(chan struct{})}
		s.start(s.running)
		return s.running
	}
	if s.next == nil {
		s.next = &flight{done: make(chan struct{})}
	}
	return s.next
}

func (s *sharedCall) start(f *flight) {
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		defer cancel()
		f.rows, f.err = s.call(ctx)
		close(f.done)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running, s.next = s.next, nil
		if s.running != nil {
			s.start(s.running)
		}
	}()
}
