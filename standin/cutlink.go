package standin

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LinkState is what a CutLink does with connections.
type LinkState int

// The states of links.
const (
	LinkOpen LinkState = iota
	// LinkSilent forwards nothing on open connections, and leaves the SYNs of new ones unanswered.
	LinkSilent
	// LinkReset resets open connections and refuses new ones.
	LinkReset
	// LinkClosed refuses new connections, while open ones live on.
	LinkClosed
)

const (
	// fillTimeout is how long a connection to a listener with a full queue is waited for.
	fillTimeout = 50 * time.Millisecond
	// maxFillers bounds the connections that fill the queue of a listener.
	maxFillers = 16
)

type (
	// CutLink is the link from one node to one server: a TCP proxy at an address of its own that can be cut. It is safe
	// for concurrent use.
	CutLink struct {
		address string
		target  string

		carried atomic.Int64
		// guard is a socket that is bound to the address and does not listen, so that nothing else gets the port while the
		// link does not listen either.
		guard     int
		closeOnce sync.Once

		// stateMu serializes changes of the state.
		stateMu sync.Mutex

		mu    sync.Mutex
		state LinkState
		// changed is closed and replaced when the state changes.
		changed  chan struct{}
		listener net.Listener
		conns    map[*net.TCPConn]struct{}
		// silentSocket, if not 0, is a listening socket whose queue fillers keep full.
		silentSocket int
		fillers      []net.Conn
	}
)

// NewCutLink returns an open link to target, HOST:PORT. It panics if it can't listen.
func NewCutLink(target string) *CutLink {
	l := &CutLink{target: target, changed: make(chan struct{}), conns: map[*net.TCPConn]struct{}{}}
	l.reserve(netip.MustParseAddr(NewLoopbackHost()))
	l.listen()
	return l
}

// reserve binds the guard to a free port of a host.
func (l *CutLink) reserve(host netip.Addr) {
	l.guard = newSocket(netip.AddrPortFrom(host, 0))
	bound, err := unix.Getsockname(l.guard)
	if err != nil {
		panic(err)
	}
	l.address = netip.AddrPortFrom(host, uint16(bound.(*unix.SockaddrInet4).Port)).String()
}

// newSocket returns a socket that shares an address with the other sockets of a link.
func newSocket(address netip.AddrPort) int {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		panic(err)
	}
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		panic(err)
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		panic(err)
	}
	return socket
}

// Address returns the address on which the link listens.
func (l *CutLink) Address() string { return l.address }

// Carried returns the number of bytes that were forwarded to the server.
func (l *CutLink) Carried() int64 { return l.carried.Load() }

// SetState changes the state of the link.
func (l *CutLink) SetState(state LinkState) {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	l.mu.Lock()
	before := l.state
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if before == state {
		return
	}
	l.stopListening()
	switch state {
	case LinkOpen:
		l.listen()
	case LinkSilent:
		l.ignoreConnections()
	case LinkReset:
		l.resetAll()
	}
}

// Close stops the link and closes its connections.
func (l *CutLink) Close() {
	l.SetState(LinkReset)
	l.closeOnce.Do(func() { _ = unix.Close(l.guard) })
}

func (l *CutLink) listen() {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return cmp.Or(err, optionErr)
	}}
	listener, err := config.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		panic(err)
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn.(*net.TCPConn))
		}
	}()
}

// stopListening closes whatever listens at the address.
func (l *CutLink) stopListening() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	if l.silentSocket != 0 {
		_ = unix.Close(l.silentSocket)
		l.silentSocket = 0
	}
	for _, conn := range l.fillers {
		_ = conn.Close()
	}
	l.fillers = nil
}

// ignoreConnections listens with a full queue, so that the system drops the SYNs of new connections.
func (l *CutLink) ignoreConnections() {
	socket := newSocket(netip.MustParseAddrPort(l.address))
	if err := unix.Listen(socket, 0); err != nil {
		panic(err)
	}
	var fillers []net.Conn
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", l.address, fillTimeout)
		if err != nil {
			break
		}
		fillers = append(fillers, conn)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentSocket, l.fillers = socket, fillers
}

func (l *CutLink) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

func (l *CutLink) forward(client *net.TCPConn) {
	defer client.Close()
	dialed, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	server := dialed.(*net.TCPConn)
	defer server.Close()
	l.mu.Lock()
	l.conns[client] = struct{}{}
	l.conns[server] = struct{}{}
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{}, 2)
	go func() {
		l.copy(ctx, client, server, &l.carried)
		done <- struct{}{}
	}()
	go func() {
		l.copy(ctx, server, client, &atomic.Int64{})
		done <- struct{}{}
	}()
	<-done
	// The other direction ends as well, with what is under way: a link that is cut forwards no end of a connection.
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
}

// copy forwards bytes from src to dst until one of them ends, and counts them. While the link is silent, it forwards
// nothing.
func (l *CutLink) copy(ctx context.Context, src, dst *net.TCPConn, carried *atomic.Int64) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if !l.awaitPassable(ctx) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
			carried.Add(int64(n))
		}
		if err != nil {
			return
		}
	}
}

// awaitPassable waits while the link is silent. It returns false if the connection has ended in the meantime.
func (l *CutLink) awaitPassable(ctx context.Context) bool {
	for {
		l.mu.Lock()
		silent, changed := l.state == LinkSilent, l.changed
		l.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
