package standin

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

type (
	// faultListener is a listener whose open connections can be made silent: they stay open and discard all data in both
	// directions, while new connections work. It can also be stopped and restarted at the same address.
	faultListener struct {
		net.Listener
		mu sync.Mutex
		// current is the listener in use; restart replaces it.
		current net.Listener
		stopped bool
		conns   map[*faultConn]struct{}
	}

	// faultConn is a connection of a faultListener.
	faultConn struct {
		net.Conn
		listener *faultListener
		silent   atomic.Bool
	}
)

func listen(address string) (*faultListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "standin: unable to listen")
	}
	return &faultListener{Listener: l, current: l, conns: map[*faultConn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	return l.accept(l.Listener)
}

func (l *faultListener) accept(from net.Listener) (net.Conn, error) {
	conn, err := from.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

// silenceConns makes all open connections silent and returns their number.
func (l *faultListener) silenceConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// stop stops listening and closes all open connections. It reports whether the listener was open.
func (l *faultListener) stop() bool {
	l.mu.Lock()
	wasStopped, listener := l.stopped, l.current
	l.stopped = true
	l.mu.Unlock()
	if !wasStopped {
		_ = listener.Close()
	}
	l.closeConns()
	return !wasStopped
}

// restart listens at the same address again, after stop.
func (l *faultListener) restart() (net.Listener, error) {
	listener, err := net.Listen("tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current, l.stopped = listener, false
	return restartedListener{Listener: listener, parent: l}, nil
}

// restartedListener is the listener after a restart; its connections belong to parent.
type restartedListener struct {
	net.Listener
	parent *faultListener
}

// Accept implements net.Listener.
func (r restartedListener) Accept() (net.Conn, error) { return r.parent.accept(r.Listener) }

// closeConns closes all open connections.
func (l *faultListener) closeConns() {
	l.mu.Lock()
	conns := make([]*faultConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// Read implements net.Conn. On a silent connection, it discards what it receives.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection, it discards p and reports success.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
