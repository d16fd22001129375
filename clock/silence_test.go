package clock_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/clock"
)

const (
	initialTimeout = 2 * time.Second
	idleTimeout    = time.Second
)

func TestCallContinuesWhileDataArrives(t *testing.T) {
	for _, tc := range []struct {
		name   string
		pauses []time.Duration
		want   error
	}{
		{"no data within the initial timeout", []time.Duration{initialTimeout + 1}, clock.ErrIdleTimeout},
		{"long, but never idle", []time.Duration{initialTimeout - 1, idleTimeout - 1, idleTimeout - 1, idleTimeout - 1, idleTimeout - 1, idleTimeout - 1}, nil},
		{"idle in the middle", []time.Duration{0, idleTimeout - 1, idleTimeout + 1, 0}, clock.ErrIdleTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, timeout := clock.WithIdleTimeout(context.Background(), initialTimeout, idleTimeout)
				defer timeout.Stop()
				in, out := io.Pipe()
				defer in.Close()
				go func() {
					defer out.Close()
					for _, pause := range tc.pauses {
						time.Sleep(pause)
						if _, err := out.Write([]byte("part")); err != nil {
							return
						}
					}
				}()
				_, err := io.Copy(io.Discard, timeout.Reader(in))
				must.NoError(t, err)
				must.ErrorIs(t, context.Cause(ctx), tc.want)
			})
		})
	}
}

// io.ReadAll reads a body that arrives in one chunk with ever larger buffers, and each read returns only when its
// buffer is full. Over a slow link, data must still be noticed before the idle timeout.
func TestReaderThatFillsLargeBufferResetsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, timeout := clock.WithIdleTimeout(context.Background(), initialTimeout, idleTimeout)
		defer timeout.Stop()
		const bytesPerSecond = 64 << 10
		remaining := 20 * bytesPerSecond
		reader := readerFunc(func(p []byte) (int, error) {
			n := min(len(p), remaining)
			if n == 0 {
				return 0, io.EOF
			}
			time.Sleep(time.Duration(n) * time.Second / bytesPerSecond)
			remaining -= n
			return n, nil
		})
		_, err := io.ReadAll(timeout.Reader(reader))
		must.NoError(t, err)
		must.NoError(t, context.Cause(ctx))
	})
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
