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
	silencer struct {
		net.Listener
		mu sync.Mutex
		// current is what listens now, after each end another one.
		current net.Listener
		ended   bool
		conns   map[*silentConn]struct{}
	}

	silentConn struct {
		net.Conn
		owner  *silencer
		silent atomic.Bool
	}
)

func listen(address string) (*silencer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "standin: unable to listen")
	}
	return &silencer{Listener: l, current: l, conns: map[*silentConn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (s *silencer) Accept() (net.Conn, error) {
	return s.accept(s.Listener)
}

func (s *silencer) accept(from net.Listener) (net.Conn, error) {
	conn, err := from.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, owner: s}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return c, nil
}

// silence makes all open connections silent and returns how many there were.
func (s *silencer) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
	return len(s.conns)
}

// end stops listening and cuts all open connections; it tells whether it listened.
func (s *silencer) end() bool {
	s.mu.Lock()
	ended, listener := s.ended, s.current
	s.ended = true
	s.mu.Unlock()
	if !ended {
		_ = listener.Close()
	}
	s.cut()
	return !ended
}

// again listens once more at the same address.
func (s *silencer) again() (net.Listener, error) {
	listener, err := net.Listen("tcp", s.Addr().String())
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current, s.ended = listener, false
	return restarted{Listener: listener, of: s}, nil
}

// restarted is what listens after an end.
type restarted struct {
	net.Listener
	of *silencer
}

// Accept implements net.Listener.
func (r restarted) Accept() (net.Conn, error) { return r.of.accept(r.Listener) }

// cut closes all open connections.
func (s *silencer) cut() {
	s.mu.Lock()
	conns := make([]*silentConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// Read implements net.Conn; what arrives on a silent connection is lost.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn; what is written to a silent connection is lost.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
