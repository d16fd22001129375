package clock

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// heardAtOnce is the most bytes that a reader asks for: one that fills a large buffer before it returns, as
// that of a chunked HTTP body does, would look silent while it fills it.
const heardAtOnce = 16 << 10

// ErrSilent is the cause of the end of a call from which nothing came for too long.
var ErrSilent = errors.New("clock: nothing came in time")

// Silence ends a call from which nothing comes for a time, however long it takes otherwise. A limit on the
// whole would have an answer that outgrows its link given up and asked for again for good. It is safe
// for concurrent use.
type Silence struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	after  time.Duration
}

// WithSilence returns a context that ends, with the cause ErrSilent, where nothing comes within a first time,
// or later within another one. Stop is to be called at the call's end.
func WithSilence(ctx context.Context, first, after time.Duration) (context.Context, *Silence) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Silence{
		timer:  time.AfterFunc(first, func() { cancel(ErrSilent) }),
		cancel: cancel,
		after:  after,
	}
}

// Heard notes that something came.
func (s *Silence) Heard() {
	s.timer.Reset(s.after)
}

// Stop ends the context.
func (s *Silence) Stop() {
	s.timer.Stop()
	s.cancel(context.Canceled)
}

// Reader returns a reader whose bytes are heard.
func (s *Silence) Reader(r io.Reader) io.Reader {
	return &heardReader{silence: s, reader: r}
}

type heardReader struct {
	silence *Silence
	reader  io.Reader
}

// Read implements io.Reader.
func (r *heardReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p[:min(len(p), heardAtOnce)])
	if n > 0 {
		r.silence.Heard()
	}
	return n, err
}
