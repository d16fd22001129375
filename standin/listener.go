package standin

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

type (
	// silencer is a listener whose open connections can be made silent: nothing that is
	// written to them arrives and nothing comes back, while new connections work.
	faultListener struct {
		net.Listener
		mu sync.Mutex
		// current is what listens now, after each end another one.
		current net.Listener
		stopped bool
		conns   map[*faultConn]struct{}
	}

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
func (s *faultListener) Accept() (net.Conn, error) {
	return s.accept(s.Listener)
}

func (s *faultListener) accept(from net.Listener) (net.Conn, error) {
	conn, err := from.Accept()
	if err != nil {
		return nil, err
	}
	c := &faultConn{Conn: conn, listener: s}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return c, nil
}

// silence makes all open connections silent and returns how many there were.
func (s *faultListener) silenceConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
	return len(s.conns)
}

// end stops listening and cuts all open connections; it tells whether it listened.
func (s *faultListener) stop() bool {
	s.mu.Lock()
	ended, listener := s.stopped, s.current
	s.stopped = true
	s.mu.Unlock()
	if !ended {
		_ = listener.Close()
	}
	s.closeConns()
	return !ended
}

// again listens once more at the same address.
func (s *faultListener) restart() (net.Listener, error) {
	listener, err := net.Listen("tcp", s.Addr().String())
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.stopped = listener, false
	return restartedListener{Listener: listener, parent: s}, nil
}

// restarted is what listens after an end.
type restartedListener struct {
	net.Listener
	parent *faultListener
}

// Accept implements net.Listener.
func (r restartedListener) Accept() (net.Conn, error) { return r.parent.accept(r.Listener) }

// cut closes all open connections.
func (s *faultListener) closeConns() {
	s.mu.Lock()
	conns := make([]*faultConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// Read implements net.Conn; what arrives on a silent connection is lost.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn; what is written to a silent connection is lost.
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
