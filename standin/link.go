package standin

import (
	"net"
	"sync"
	"time"
)

// Link is a slow link to an address: what comes back shares so many bytes in so much time, over all connections. What
// callers send passes at once.
type ThrottledProxy struct {
	listener net.Listener
	target   string
	// piece is in bytes; pause is the time that each takes.
	chunkBytes int
	chunkDelay time.Duration
	// line is held while a piece is under way.
	transmitMu sync.Mutex

	mu    sync.Mutex
	conns []net.Conn
}

// NewThrottledProxy opens a link to an address, HOST:PORT, over which a piece of so many bytes takes so long to come back.
func NewThrottledProxy(to string, piece int, pause time.Duration) *ThrottledProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l := &ThrottledProxy{listener: listener, target: to, chunkBytes: piece, chunkDelay: pause}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				l.forward(conn)
			}()
		}
	}()
	return l
}

// Address returns where the link begins.
func (l *ThrottledProxy) Address() string { return l.listener.Addr().String() }

// Close ends the link with all connections over it.
func (l *ThrottledProxy) Close() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *ThrottledProxy) forward(caller net.Conn) {
	defer caller.Close()
	callee, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer callee.Close()
	l.mu.Lock()
	l.conns = append(l.conns, caller, callee)
	l.mu.Unlock()
	go func() {
		defer callee.Close()
		copyChunks(callee, caller, l.chunkBytes, func(int) {})
	}()
	copyChunks(caller, callee, l.chunkBytes, l.throttle)
}

// wait takes the time that a piece takes.
func (l *ThrottledProxy) throttle(size int) {
	l.transmitMu.Lock()
	defer l.transmitMu.Unlock()
	time.Sleep(l.chunkDelay * time.Duration(size) / time.Duration(l.chunkBytes))
}

// copyChunks passes pieces of at most so many bytes on, with a pause before each.
func copyChunks(to, from net.Conn, piece int, pause func(size int)) {
	buffer := make([]byte, piece)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			pause(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
