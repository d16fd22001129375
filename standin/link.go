package standin

import (
	"net"
	"sync"
	"time"
)

// ThrottledProxy is a TCP proxy that limits the bandwidth of responses: all connections together share chunkBytes in
// each chunkDelay. Requests are forwarded without delay.
type ThrottledProxy struct {
	listener net.Listener
	target   string
	// chunkBytes is the size of a chunk; chunkDelay is its transfer time.
	chunkBytes int
	chunkDelay time.Duration
	// transmitMu is held during the transfer of a chunk, so that connections share the bandwidth.
	transmitMu sync.Mutex

	mu    sync.Mutex
	conns []net.Conn
}

// NewThrottledProxy starts a proxy to target, HOST:PORT, over which chunkBytes of a response take chunkDelay. It panics
// if it can't listen.
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

// Address returns the address on which the proxy listens.
func (p *ThrottledProxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy and closes its connections.
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

// throttle sleeps for the transfer time of size bytes.
func (p *ThrottledProxy) throttle(size int) {
	p.transmitMu.Lock()
	defer p.transmitMu.Unlock()
	time.Sleep(p.chunkDelay * time.Duration(size) / time.Duration(p.chunkBytes))
}

// copyChunks copies chunks of at most chunkBytes from src to dst and calls wait before it writes each.
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
