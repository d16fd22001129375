package clock

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// maxReadSize limits the bytes requested by one Read. A reader that fills a large buffer before it returns, such as
// that of a chunked HTTP body, would otherwise appear idle while it fills the buffer.
const maxReadSize = 16 << 10

// ErrIdleTimeout is the cause of a context that ended because no data arrived in time.
var ErrIdleTimeout = errors.New("clock: nothing came in time")

// IdleTimeout ends a call that receives no data for some time. The total duration of the call is not limited: an
// answer too large for its link would otherwise be aborted and requested again forever. It is safe for concurrent
// use.
type IdleTimeout struct {
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	timeout time.Duration
}

// WithIdleTimeout returns a context that ends with the cause ErrIdleTimeout if no data arrives within initial, or
// within timeout after the last data. Stop must be called at the end of the call.
func WithIdleTimeout(ctx context.Context, initial, timeout time.Duration) (context.Context, *IdleTimeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &IdleTimeout{
		timer:   time.AfterFunc(initial, func() { cancel(ErrIdleTimeout) }),
		cancel:  cancel,
		timeout: timeout,
	}
}

// Reset restarts the timer, because data arrived.
func (t *IdleTimeout) Reset() {
	t.timer.Reset(t.timeout)
}

// Stop stops the timer and ends the context.
func (t *IdleTimeout) Stop() {
	t.timer.Stop()
	t.cancel(context.Canceled)
}

// Reader returns a reader that restarts the timer for each read that returns data.
func (t *IdleTimeout) Reader(r io.Reader) io.Reader {
	return &idleTimeoutReader{timeout: t, reader: r}
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
