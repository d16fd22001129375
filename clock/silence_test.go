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
		{"nothing in the first time", []time.Duration{initialTimeout + 1}, clock.ErrIdleTimeout},
		{"long, but never silent", []time.Duration{initialTimeout - 1, idleTimeout - 1, idleTimeout - 1, idleTimeout - 1, idleTimeout - 1, idleTimeout - 1}, nil},
		{"silent in the middle", []time.Duration{0, idleTimeout - 1, idleTimeout + 1, 0}, clock.ErrIdleTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, silence := clock.WithIdleTimeout(context.Background(), initialTimeout, idleTimeout)
				defer silence.Stop()
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
				_, err := io.Copy(io.Discard, silence.Reader(in))
				must.NoError(t, err)
				must.ErrorIs(t, context.Cause(ctx), tc.want)
			})
		})
	}
}

// A body that came in one chunk was read with ever larger buffers, each filled before it was returned: over
// a slow link, what had come was noticed only after the time for silence.
func TestReaderThatFillsLargeBufferResetsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, silence := clock.WithIdleTimeout(context.Background(), initialTimeout, idleTimeout)
		defer silence.Stop()
		const rate = 64 << 10
		left := 20 * rate
		fill := readerFunc(func(p []byte) (int, error) {
			n := min(len(p), left)
			if n == 0 {
				return 0, io.EOF
			}
			time.Sleep(time.Duration(n) * time.Second / rate)
			left -= n
			return n, nil
		})
		_, err := io.ReadAll(silence.Reader(fill))
		must.NoError(t, err)
		must.NoError(t, context.Cause(ctx))
	})
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
