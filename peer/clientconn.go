package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/model"
)

// pingIntervalRatio is how often a connection with calls in flight is tried, as a share of the time
// after which one without a byte is held silent and closed, with all its calls.
const pingIntervalRatio = 1.0 / 3

// clientConn is a connection to a peer, with the calls that wait for replies on it.
type clientConn struct {
	conn net.Conn
	// silenceTimeout is as for the client.
	silenceTimeout time.Duration
	mu             sync.Mutex
	calls          map[uint64]chan Frame
	// listening holds the calls that end with silence; each is among calls, too.
	silences   map[uint64]*clock.IdleTimeout
	lastNumber uint64
	writeMu    sync.Mutex
	// heard is when a byte last came, in Unix nanoseconds. A frame that is long under way over a slow
	// link is no silence: closing for it would end all other calls, and begin it anew.
	lastReadAt atomic.Int64
	// received is how many bytes came.
	bytesRead atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// readerFunc is a function as an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) {
	return f(p)
}

func newClientConn(raw net.Conn, silentAfter time.Duration) *clientConn {
	c := &clientConn{conn: raw, silenceTimeout: silentAfter, calls: map[uint64]chan Frame{}, silences: map[uint64]*clock.IdleTimeout{}, done: make(chan struct{})}
	c.lastReadAt.Store(time.Now().UnixNano())
	go func() {
		defer c.close()
		c.readFrames()
	}()
	go func() {
		defer c.close()
		c.watchSilence()
	}()
	return c
}

func (c *clientConn) readFrames() {
	reader := bufio.NewReader(readerFunc(c.read))
	for {
		frame, err := ReadFrame(reader)
		if err != nil {
			return
		}
		c.mu.Lock()
		waiting := c.calls[frame.Number]
		delete(c.calls, frame.Number)
		c.mu.Unlock()
		if waiting != nil {
			waiting <- frame
		}
	}
}

// read reads from the connection and counts what came.
func (c *clientConn) read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
		c.bytesRead.Add(int64(n))
		c.resetSilences()
	}
	return n, err
}

func (c *clientConn) resetSilences() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, silence := range c.silences {
		silence.Reset()
	}
}

// watchSilence pings while calls are in flight and returns once the peer went silent.
func (c *clientConn) watchSilence() {
	pingEvery := time.Duration(pingIntervalRatio * float64(c.silenceTimeout))
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	body, _ := EncodeBody(Empty{})
	idleUntil := time.Now()
	lastTick := idleUntil
	for {
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			// A tick that comes late tells that this process stood still: the peer may have answered.
			// Where silence counts soon, that would else be taken for it.
			stoodStill := c.silenceTimeout < defaultSilenceTimeout && now.Sub(lastTick) > 2*pingEvery
			lastTick = now
			if !c.busy() || stoodStill {
				idleUntil = now
			}
			if !c.busy() {
				continue
			}
			heard := time.Unix(0, c.lastReadAt.Load())
			if now.Sub(heard) > c.silenceTimeout && now.Sub(idleUntil) > c.silenceTimeout {
				return
			}
			if c.write(Frame{Kind: KindPing, Body: body}) != nil {
				return
			}
		}
	}
}

func (c *clientConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) > 0
}

func (c *clientConn) call(ctx context.Context, silence *clock.IdleTimeout, kind Kind, body []byte) (Frame, error) {
	reply := make(chan Frame, 1)
	before := c.bytesRead.Load()
	c.mu.Lock()
	c.lastNumber++
	number := c.lastNumber
	c.calls[number] = reply
	if silence != nil {
		c.silences[number] = silence
	}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.calls, number)
		delete(c.silences, number)
		c.mu.Unlock()
	}()
	select {
	case <-c.done:
		return Frame{}, &CallError{Verdict: model.NotRun, Err: net.ErrClosed}
	default:
	}
	if err := c.write(Frame{Kind: kind, Number: number, Body: body}); err != nil {
		c.close()
		return Frame{}, &CallError{Verdict: model.MayHaveRun, Err: err}
	}
	select {
	case frame := <-reply:
		return frame, nil
	case <-c.done:
		// The reply may have come just before the end.
		select {
		case frame := <-reply:
			return frame, nil
		default:
			return Frame{}, &CallError{Verdict: model.MayHaveRun, Err: net.ErrClosed, Received: c.bytesRead.Load() - before}
		}
	case <-ctx.Done():
		return Frame{}, &CallError{Verdict: model.MayHaveRun, Err: context.Cause(ctx), Received: c.bytesRead.Load() - before}
	}
}

func (c *clientConn) write(f Frame) error {
	data, err := EncodeFrame(f)
	if err != nil {
		return err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return writeChunks(c.conn, data)
}

func (c *clientConn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.conn.Close()
	})
}
