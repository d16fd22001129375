package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/model"
)

// pingIntervalRatio is the interval between pings on a connection with calls in flight, as a fraction of the silence
// timeout.
const pingIntervalRatio = 1.0 / 3

// clientConn is a connection to a peer, with the calls in flight on it.
type clientConn struct {
	conn net.Conn
	// silenceTimeout is Client.silenceTimeout.
	silenceTimeout time.Duration
	mu             sync.Mutex
	// calls holds the channels of the calls that wait for a reply, by number.
	calls map[uint64]chan Frame
	// idleTimeouts holds the timeouts of those calls that fail if nothing is received, by number. Each such call is
	// also in calls.
	idleTimeouts map[uint64]*clock.IdleTimeout
	lastNumber   uint64
	// writeMu keeps frames from being interleaved.
	writeMu sync.Mutex
	// lastReadAt is when bytes were last read, in Unix nanoseconds. It changes with each read, not with each frame: if
	// the connection were closed during the transfer of a large frame over a slow link, all other calls would fail
	// and the transfer would start again from the beginning.
	lastReadAt atomic.Int64
	// bytesRead is the number of bytes read so far.
	bytesRead atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// readerFunc adapts a function to io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) {
	return f(p)
}

func newClientConn(raw net.Conn, silenceTimeout time.Duration) *clientConn {
	c := &clientConn{conn: raw, silenceTimeout: silenceTimeout, calls: map[uint64]chan Frame{}, idleTimeouts: map[uint64]*clock.IdleTimeout{}, done: make(chan struct{})}
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

// readFrames delivers replies to their calls until reading fails. Replies to abandoned calls are dropped.
func (c *clientConn) readFrames() {
	reader := bufio.NewReader(readerFunc(c.read))
	for {
		frame, err := ReadFrame(reader)
		if err != nil {
			return
		}
		c.mu.Lock()
		reply := c.calls[frame.Number]
		delete(c.calls, frame.Number)
		c.mu.Unlock()
		if reply != nil {
			reply <- frame
		}
	}
}

// read reads from the connection and records that bytes were received.
func (c *clientConn) read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
		c.bytesRead.Add(int64(n))
		c.resetIdleTimeouts()
	}
	return n, err
}

func (c *clientConn) resetIdleTimeouts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idleTimeout := range c.idleTimeouts {
		idleTimeout.Reset()
	}
}

// watchSilence sends pings while calls are in flight. It returns when nothing has been received for the silence
// timeout, when a write fails, or when the connection is closed.
func (c *clientConn) watchSilence() {
	pingInterval := time.Duration(pingIntervalRatio * float64(c.silenceTimeout))
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	body, _ := EncodeBody(Empty{})
	silenceStart := time.Now()
	lastTick := silenceStart
	for {
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			// A late tick means that this process was paused, and bytes from the peer may not have been read yet. With
			// a short silence timeout, the pause would otherwise be taken for silence of the peer.
			paused := c.silenceTimeout < defaultSilenceTimeout && now.Sub(lastTick) > 2*pingInterval
			lastTick = now
			if !c.busy() || paused {
				silenceStart = now
			}
			if !c.busy() {
				continue
			}
			lastRead := time.Unix(0, c.lastReadAt.Load())
			if now.Sub(lastRead) > c.silenceTimeout && now.Sub(silenceStart) > c.silenceTimeout {
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

// call sends a frame and waits for its reply. If idleTimeout is not nil, it is reset whenever bytes are received. The
// error is a *CallError.
func (c *clientConn) call(ctx context.Context, idleTimeout *clock.IdleTimeout, kind Kind, body []byte) (Frame, error) {
	reply := make(chan Frame, 1)
	bytesBefore := c.bytesRead.Load()
	c.mu.Lock()
	c.lastNumber++
	number := c.lastNumber
	c.calls[number] = reply
	if idleTimeout != nil {
		c.idleTimeouts[number] = idleTimeout
	}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.calls, number)
		delete(c.idleTimeouts, number)
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
		return c.checkReply(frame, kind)
	case <-c.done:
		// The reply may have been received just before the connection was closed.
		select {
		case frame := <-reply:
			return c.checkReply(frame, kind)
		default:
			return Frame{}, &CallError{Verdict: model.MayHaveRun, Err: net.ErrClosed, Received: c.bytesRead.Load() - bytesBefore}
		}
	case <-ctx.Done():
		return Frame{}, &CallError{Verdict: model.MayHaveRun, Err: context.Cause(ctx), Received: c.bytesRead.Load() - bytesBefore}
	}
}

// checkReply returns the frame if it is a reply of the kind of its call. Otherwise it closes the connection, which is out of step:
// the body of another kind decodes as a reply in which nothing is set. The error is a *CallError.
func (c *clientConn) checkReply(frame Frame, kind Kind) (Frame, error) {
	if frame.Kind == kind && frame.Reply {
		return frame, nil
	}
	c.close()
	return Frame{}, &CallError{Verdict: model.MayHaveRun, Err: errors.Errorf("a frame of kind %d in place of the reply of kind %d", frame.Kind, kind)}
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
