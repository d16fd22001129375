package connlimit

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"basilstall.example/basilstall/crowd"
	"basilstall.example/basilstall/held"
)

const (
	// maxBufferedWrite is the size of the largest write that is buffered. The bytes of a larger one, as of a whole answer, are
	// held until it ends; a copy of them would be held as well.
	maxBufferedWrite = 64 << 10
	// maxPendingBytes bounds what is buffered of the writes to a connection before a write blocks. It is above the answer of a
	// usual stream: an endpoint whose stream goes to a slow caller is read on, since it would end a stream that stays unread.
	maxPendingBytes = 1 << 20
)

type (
	// Conn is a connection of a caller whose unacknowledged bytes are counted. Writes that the kernel does not take at once
	// are buffered, if they are small, up to maxPendingBytes.
	Conn struct {
		net.Conn
		tracker *Tracker
		id      held.ID
		tcp     *net.TCPConn
		raw     syscall.RawConn
		// writeMu serializes writes.
		writeMu sync.Mutex

		// The other fields are guarded by the mutex of the tracker. written is the number of bytes that the kernel has taken,
		// and writing is true while it takes no more.
		written int64
		writing bool
		// pending is what is buffered. draining is true while a goroutine writes it; drained is signalled whenever there is
		// less of it, or writeErr is set.
		pending  []byte
		draining bool
		drained  *sync.Cond
		writeErr error
		// lingering is true from Close until all bytes are acknowledged.
		lingering bool
		closeOnce sync.Once
		// undelimited is true once an answer has begun that ends with the connection, and finished once that answer is all
		// written. Until then the socket is closed with a reset, also by the end of the process, so that the beginning of the answer
		// can't be taken for all of it.
		undelimited, finished bool
		// head is what was read of the head of a request.
		head headScanner
		// aborted is true once the connection is to be reset whatever was written.
		aborted bool
	}

	// listener accepts connections that a tracker counts.
	listener struct {
		net.Listener
		tracker *Tracker
	}
)

// Listen returns a listener whose connections are counted. They inherit the size of their receive buffers from l: made smaller
// later, what a caller was offered to send before would not fit, and would be sent again and again.
func (t *Tracker) Listen(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, crowd.ReceiveBufferBytes)
			})
		}
	}
	return listener{Listener: l, tracker: t}
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		if c, ok := conn.(*Conn); err == nil && ok && !l.tracker.admit(c) {
			continue
		}
		return conn, err
	}
}

func (l listener) accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	_ = tcp.SetWriteBuffer(held.SendBufferBytes)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn, nil
	}
	return &Conn{Conn: conn, tracker: l.tracker, tcp: tcp, raw: raw, drained: sync.NewCond(&l.tracker.mu)}, nil
}

func (t *Tracker) remove(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Close(c.id)
	t.callers.Close(crowd.ID(c.id))
	delete(t.conns, c.id)
	delete(t.active, c.id)
	t.wakeLocked()
}

// Write implements net.Conn. It blocks if p exceeds maxBufferedWrite, or if more than maxPendingBytes would have to be buffered.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.writeAtOnce(p)
	if err != nil || n == len(p) {
		return n, err
	}
	rest := p[n:]
	if len(p) > maxBufferedWrite {
		if err := c.awaitPending(0); err != nil {
			return n, err
		}
		written, err := c.writeAll(rest)
		return n + written, err
	}
	if err := c.awaitPending(maxPendingBytes - len(rest)); err != nil {
		return n, err
	}
	c.buffer(rest)
	return len(p), nil
}

// writeAtOnce writes what the kernel takes without blocking, unless there is something buffered.
func (c *Conn) writeAtOnce(p []byte) (int, error) {
	c.tracker.mu.Lock()
	err, draining := c.writeErr, c.draining
	c.tracker.mu.Unlock()
	if err != nil || draining {
		return 0, err
	}
	n, err := c.writePart(p, false)
	c.recordWrite(n, false)
	return n, err
}

// writeAll writes p and blocks until the kernel has taken it.
func (c *Conn) writeAll(p []byte) (int, error) {
	total := 0
	for {
		n, err := c.writePart(p[total:], true)
		total += n
		c.recordWrite(n, err == nil && total < len(p))
		if err != nil || total == len(p) {
			return total, err
		}
	}
}

// writePart returns the length of the part of p that the kernel takes. If it takes none, writePart waits if block is set, and
// returns 0 otherwise.
func (c *Conn) writePart(p []byte, block bool) (int, error) {
	n := 0
	var writeErr error
	err := c.raw.Write(func(fd uintptr) bool {
		for {
			// Unlike that of package unix, this write is ordered with the peer's read for the race detector.
			n, writeErr = syscall.Write(int(fd), p)
			if writeErr != syscall.EINTR {
				break
			}
		}
		if writeErr != syscall.EAGAIN {
			return true
		}
		c.recordWrite(0, true)
		return !block
	})
	switch {
	case err != nil:
		return 0, err
	case writeErr == syscall.EAGAIN:
		return 0, nil
	case writeErr != nil:
		return 0, os.NewSyscallError("write", writeErr)
	default:
		return n, nil
	}
}

// awaitPending waits until at most n bytes are buffered. It returns the error of an earlier write.
func (c *Conn) awaitPending(n int) error {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	for c.writeErr == nil && len(c.pending) > n {
		c.drained.Wait()
	}
	return c.writeErr
}

// buffer buffers p and has it written.
func (c *Conn) buffer(p []byte) {
	t := c.tracker
	t.mu.Lock()
	c.pending = append(c.pending, p...)
	fits := t.ledger.Add(c.id, int64(len(p)), held.ForAnswer)
	if !c.draining {
		c.draining = true
		go c.drain()
	}
	t.mu.Unlock()
	c.observe()
	if !fits {
		t.makeRoom()
	}
}

// drain writes what is buffered until there is no more of it or a write fails.
func (c *Conn) drain() {
	t := c.tracker
	for {
		t.mu.Lock()
		part := c.pending[:min(len(c.pending), held.SendBufferBytes)]
		t.mu.Unlock()
		n, err := c.writePart(part, true)
		c.recordWrite(n, err == nil)
		t.mu.Lock()
		freed := n
		if err != nil {
			c.writeErr, freed = err, len(c.pending)
		}
		t.ledger.Add(c.id, -int64(freed), held.ForAnswer)
		c.pending = c.pending[freed:]
		done := len(c.pending) == 0
		if done {
			c.pending, c.draining, c.writing = nil, false, false
		}
		endsNow := c.lingering && !c.resets()
		c.drained.Broadcast()
		t.mu.Unlock()
		if !done {
			continue
		}
		if endsNow {
			_ = c.closeWrite()
		}
		c.observe()
		return
	}
}

// recordWrite records that the kernel has taken n bytes, and whether more is to be written.
func (c *Conn) recordWrite(n int, writing bool) {
	c.tracker.mu.Lock()
	c.written += int64(n)
	c.writing = writing
	c.tracker.mu.Unlock()
	c.observe()
}

// observe reads how many bytes the peer has not acknowledged, and closes a lingering connection that has none.
func (c *Conn) observe() {
	t := c.tracker
	now := t.now()
	t.mu.Lock()
	if t.conns[c.id] == nil {
		t.mu.Unlock()
		return
	}
	// The kernel is asked while the mutex is held, so that no other observation of this connection comes between.
	queued, writing := c.queued(), c.writing || c.draining
	t.ledger.ObserveSending(now, c.id, held.Sending{Written: c.written, Queued: queued, Writing: writing})
	if queued > 0 || writing {
		t.active[c.id] = c
	} else {
		delete(t.active, c.id)
	}
	done := c.lingering && queued == 0 && !writing
	t.mu.Unlock()
	if done {
		_ = c.closeNow()
	}
}

// queued returns the number of bytes that the kernel holds because the peer has not acknowledged them.
func (c *Conn) queued() int64 {
	queued := 0
	err := c.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	if err != nil {
		return 0
	}
	return int64(queued)
}

// Close implements net.Conn. If the peer has not acknowledged all bytes, the connection stays counted until it has, or until
// it is stalled: the kernel would keep the bytes for minutes, uncounted.
func (c *Conn) Close() error {
	c.tracker.mu.Lock()
	draining, resets := c.draining, c.resets()
	linger := !c.tracker.closed && c.writeErr == nil && (draining || c.queued() > 0)
	c.lingering = c.lingering || linger
	c.tracker.mu.Unlock()
	if !linger {
		return c.closeNow()
	}
	if !draining && !resets {
		_ = c.closeWrite()
	}
	// Ends the reads of the server.
	err := c.tcp.SetReadDeadline(time.Unix(1, 0))
	c.observe()
	return err
}

// CloseWrite closes the sending side of the connection.
func (c *Conn) CloseWrite() error {
	if err := c.awaitPending(0); err != nil {
		return err
	}
	c.tracker.mu.Lock()
	resets := c.resets()
	c.tracker.mu.Unlock()
	if resets {
		return nil
	}
	return c.closeWrite()
}

// closeWrite ends what is sent to the peer as complete.
func (c *Conn) closeWrite() error {
	c.setReset(false)
	return c.tcp.CloseWrite()
}

// setReset sets whether closing the socket resets the connection and drops what was not sent.
func (c *Conn) setReset(reset bool) {
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = c.tcp.SetLinger(seconds)
}

// resets reports whether the end of the connection must be a reset. The caller holds the mutex of the tracker.
func (c *Conn) resets() bool {
	return c.undelimited && !c.finished
}

// beginUndelimited records that an answer has begun that ends with the connection.
func (c *Conn) beginUndelimited() {
	c.tracker.mu.Lock()
	c.undelimited, c.finished = true, false
	c.tracker.mu.Unlock()
	c.setReset(true)
}

// finishUndelimited records that the answer that ends with the connection is all written.
func (c *Conn) finishUndelimited() {
	c.tracker.mu.Lock()
	c.finished = true
	c.tracker.mu.Unlock()
}

// closeNow closes the socket, with a reset if an answer that ends with it, or something that is buffered, was not sent.
func (c *Conn) closeNow() error {
	var err error
	c.closeOnce.Do(func() {
		c.tracker.mu.Lock()
		resets := c.resets() || c.aborted || len(c.pending) > 0
		c.tracker.mu.Unlock()
		c.setReset(resets)
		err = c.tcp.Close()
		c.tracker.remove(c)
	})
	return err
}

// abort resets the connection: bytes that were not sent yet are dropped, and the peer sees an error instead of an end. The
// entry of a connection that the server has not closed stays until it does, since the request may still hold bytes.
func (c *Conn) abort() {
	c.setReset(true)
	c.tracker.mu.Lock()
	lingering := c.lingering
	c.aborted = true
	c.tracker.mu.Unlock()
	if lingering {
		_ = c.closeNow()
		return
	}
	_ = c.tcp.Close()
}
