package connlimit

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"basilstall.example/basilstall/crowd"
	"basilstall.example/basilstall/held"
)

// maxAdmissionWait is how long a connection waits for room. Callers allow a second for a new one.
const maxAdmissionWait = time.Second

var errHeadsFull = errors.New("connlimit: heads of requests take as much memory as they may")

// headScanner counts the bytes and the lines of the head of a request, as far as it was read.
type headScanner struct {
	bytes  int64
	fields int
	// text is true if the last line has any, begun if a line before had.
	text, begun bool
	ended       bool
}

// scan counts a part of the head, up to its end.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 && !s.ended {
		line, rest, whole := bytes.Cut(p, []byte("\n"))
		s.bytes += int64(len(p) - len(rest))
		s.text = s.text || len(bytes.TrimRight(line, "\r")) > 0
		p = rest
		if !whole {
			return
		}
		if s.text {
			s.fields++
		}
		s.ended = s.begun && !s.text
		s.begun, s.text = s.begun || s.text, false
	}
}

// admit adds a connection, for which another one may be closed. While all others have requests under way, it waits for one of them
// to end, or to be closed as its caller does not read; further connections wait with the system meanwhile. It returns false if there is no
// room; the connection is closed then.
func (t *Tracker) admit(c *Conn) bool {
	if _, admitted := t.tryAdmit(c); admitted {
		return true
	}
	// From now on connections that end a request yield. Those that ended one before are found by the next try.
	t.countWaiting(1)
	defer t.countWaiting(-1)
	timeout := time.NewTimer(maxAdmissionWait)
	defer timeout.Stop()
	for {
		room, admitted := t.tryAdmit(c)
		if admitted {
			return true
		}
		t.makeRoom()
		select {
		case <-room:
		case <-timeout.C:
			t.OnClose(c.RemoteAddr().String(), 0, NoConnLeft)
			_ = c.tcp.Close()
			return false
		}
	}
}

func (t *Tracker) countWaiting(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waitingAdmissions += n
}

// tryAdmit adds a connection, for which another one may be closed. It returns the channel that is closed when there may be room.
func (t *Tracker) tryAdmit(c *Conn) (room <-chan struct{}, admitted bool) {
	t.mu.Lock()
	room = t.room
	c.id = t.ledger.Open()
	id, evicts, admitted := t.callers.Admit(t.now(), crowd.ID(c.id))
	var evicted *Conn
	if evicts {
		evicted = t.conns[held.ID(id)]
	}
	if admitted {
		t.conns[c.id] = c
	} else {
		t.ledger.Close(c.id)
	}
	t.mu.Unlock()
	t.evict(evicted, NoConn)
	return room, admitted
}

// evict closes a connection, unless it is nil. Of an earlier answer, what is not acknowledged yet is still sent.
func (t *Tracker) evict(c *Conn, cause Cause) {
	if c == nil {
		return
	}
	t.OnClose(c.RemoteAddr().String(), 0, cause)
	_ = c.Close()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.tracker.recordHead(c, p[:n]) {
		// The server answers other errors than those of a connection.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadsFull}
	}
	return n, err
}

// recordHead records what was read if it belongs to the head of a request. It returns false if the connection is closed over it.
func (t *Tracker) recordHead(c *Conn, p []byte) bool {
	t.mu.Lock()
	if c.head.ended {
		t.mu.Unlock()
		return true
	}
	c.head.scan(p)
	id, evicts, kept := t.callers.Head(t.now(), crowd.ID(c.id), c.head.bytes, c.head.fields)
	var evicted *Conn
	if evicts {
		evicted = t.conns[held.ID(id)]
	}
	t.mu.Unlock()
	t.evict(evicted, NoHead)
	if !kept {
		t.evict(c, NoHead)
	}
	return kept
}

// endHead records that the head of a request was read, whatever else was read with it.
func (t *Tracker) endHead(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.head.ended = true
}

// recordReceived records that the request was received whole.
func (r *Request) recordReceived() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if !r.ended && !r.detached {
		r.tracker.callers.Received(r.tracker.now(), crowd.ID(r.id))
	}
}

// unread returns the number of bytes that the kernel has received and nobody has read.
func (c *Conn) unread() int {
	unread := 0
	_ = c.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// ConnState records when a connection waits for its next request. If another one waits for room and more has come of this one
// already, it is closed. It is a ConnState of an http.Server.
func (t *Tracker) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || state != http.StateIdle {
		return
	}
	t.mu.Lock()
	c.head = headScanner{}
	t.callers.Answered(t.now(), crowd.ID(c.id))
	yields := t.waitingAdmissions > 0
	t.mu.Unlock()
	if yields && c.unread() > 0 {
		// It would have the next request under way at once.
		t.evict(c, NoConn)
	}
}
