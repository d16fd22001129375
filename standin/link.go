package standin

import (
	"net"
	"sync"
	"time"
)

// ThrottledProxy is a slow link to an address: what comes back shares so many bytes in so much time, over all connections. What
// callers send passes at once.
type ThrottledProxy struct {
	listener net.Listener
	target   string
	// chunkBytes is in bytes; pause is the time that each takes.
	chunkBytes int
	chunkDelay time.Duration
	// transmitMu is held while a piece is under way.
	transmitMu sync.Mutex

	mu    sync.Mutex
	conns []net.Conn
}

// NewThrottledProxy opens a link to an address, HOST:PORT, over which a piece of so many bytes takes so long to come back.
func NewThrottledProxy(target string, chunkBytes int, chunkDelay time.Duration) *ThrottledProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &ThrottledProxy{listener: listener, target: target, chunkBytes: chunkBytes, chunkDelay: chunkDelay}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				p.forward(conn)
			}()
		}
	}()
	return p
}

// Address returns where the link begins.
func (p *ThrottledProxy) Address() string { return p.listener.Addr().String() }

// Close ends the link with all connections over it.
func (p *ThrottledProxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

func (p *ThrottledProxy) forward(client net.Conn) {
	defer client.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.mu.Lock()
	p.conns = append(p.conns, client, upstream)
	p.mu.Unlock()
	go func() {
		defer upstream.Close()
		copyChunks(upstream, client, p.chunkBytes, func(int) {})
	}()
	copyChunks(client, upstream, p.chunkBytes, p.throttle)
}

// throttle takes the time that a piece takes.
func (p *ThrottledProxy) throttle(size int) {
	p.transmitMu.Lock()
	defer p.transmitMu.Unlock()
	time.Sleep(p.chunkDelay * time.Duration(size) / time.Duration(p.chunkBytes))
}

// copyChunks passes pieces of at most so many bytes on, with a pause before each.
func copyChunks(dst, src net.Conn, chunkBytes int, wait func(size int)) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			wait(n)
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
