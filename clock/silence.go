package clock

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// maxReadSize is the most bytes that a reader asks for: one that fills a large buffer before it returns, as
// that of a chunked HTTP body does, would look silent while it fills it.
const maxReadSize = 16 << 10

// ErrIdleTimeout is the cause of the end of a call from which nothing came for too long.
var ErrIdleTimeout = errors.New("clock: nothing came in time")

// Silence ends a call from which nothing comes for a time, however long it takes otherwise. A limit on the
// whole would have an answer that outgrows its link given up and asked for again for good. It is safe
// for concurrent use.
type IdleTimeout struct {
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	timeout time.Duration
}

// WithIdleTimeout returns a context that ends, with the cause ErrIdleTimeout, where nothing comes within a first time,
// or later within another one. Stop is to be called at the call's end.
func WithIdleTimeout(ctx context.Context, first, after time.Duration) (context.Context, *IdleTimeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &IdleTimeout{
		timer:   time.AfterFunc(first, func() { cancel(ErrIdleTimeout) }),
		cancel:  cancel,
		timeout: after,
	}
}

// Heard notes that something came.
func (s *IdleTimeout) Reset() {
	s.timer.Reset(s.timeout)
}

// Stop ends the context.
func (s *IdleTimeout) Stop() {
	s.timer.Stop()
	s.cancel(context.Canceled)
}

// Reader returns a reader whose bytes are heard.
func (s *IdleTimeout) Reader(r io.Reader) io.Reader {
	return &idleTimeoutReader{timeout: s, reader: r}
}

type idleTimeoutReader struct {
	timeout *IdleTimeout
	reader  io.Reader
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p[:min(len(p), maxReadSize)])
	if n > 0 {
		r.timeout.Reset()
	}
	return n, err
}
