package soak_test

import (
	"net"
	"sync"
	"time"
)

// linkFault is a fault of the connections through a proxy.
type linkFault int

const (
	linkOK linkFault = iota
	// linkSlow forwards each chunk that is read after slowLinkDelay.
	linkSlow
	// linkBlockedToServer forwards nothing to the server, linkBlockedFromServer nothing from it.
	linkBlockedToServer
	linkBlockedFromServer
	// linkFaultCount is the number of the values above.
	linkFaultCount
)

const (
	// slowLinkDelay is how long a slow link delays a chunk.
	slowLinkDelay = 80 * time.Millisecond
	// narrowLinkRate is the rate at which a narrow link carries a server's answers, in bytes per second. It is 10 Mbit/s,
	// the lowest bandwidth of a host. Answers that are large at this rate must arrive nevertheless.
	narrowLinkRate = 1_250_000
)

// proxy forwards connections to a server and injects faults into them.
type proxy struct {
	listener net.Listener
	// narrow is true if all answers share narrowLinkRate. bandwidthMu is held while a chunk of an answer is transferred.
	narrow      bool
	bandwidthMu sync.Mutex

	mu     sync.Mutex
	target string
	fault  linkFault
	// conns holds the open connections by the client's end.
	conns map[net.Conn]*proxyConn
}

// proxyConn is one connection through a proxy.
type proxyConn struct {
	server net.Conn
	// silent is closed once the connection must never forward anything again, while new connections work. closed is
	// closed once either end is closed.
	silent, closed        chan struct{}
	silentOnce, closeOnce sync.Once
}

func (pc *proxyConn) close() {
	pc.closeOnce.Do(func() { close(pc.closed) })
}

// newNarrowProxy returns a proxy whose answers share narrowLinkRate.
func newNarrowProxy(target string) (*proxy, error) {
	p, err := newProxy(target)
	if err == nil {
		p.narrow = true
	}
	return p, err
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]*proxyConn{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn, pc := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		pc.close()
		_ = conn.Close()
		_ = pc.server.Close()
	}
}

// silenceAll makes all open connections silent permanently.
func (p *proxy) silenceAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pc := range p.conns {
		pc.silentOnce.Do(func() { close(pc.silent) })
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

func (p *proxy) serve(client net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	pc := &proxyConn{server: server, silent: make(chan struct{}), closed: make(chan struct{})}
	p.mu.Lock()
	p.conns[client] = pc
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, client, pc, linkBlockedToServer) })
	directions.Go(func() { p.forward(client, server, pc, linkBlockedFromServer) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
}

// forward copies one direction of a connection, which a fault of the given kind blocks. What was held back meanwhile is
// forwarded when the fault ends.
func (p *proxy) forward(to, from net.Conn, pc *proxyConn, blocking linkFault) {
	defer to.Close()
	defer from.Close()
	defer pc.close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.waitWhileBlocked(pc, blocking) {
				return
			}
			if p.narrow && blocking == linkBlockedFromServer {
				p.throttle(n)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// throttle waits for the time that a narrow link needs to transfer some bytes.
func (p *proxy) throttle(bytes int) {
	p.bandwidthMu.Lock()
	defer p.bandwidthMu.Unlock()
	time.Sleep(time.Duration(bytes) * time.Second / narrowLinkRate)
}

// waitWhileBlocked waits while the direction that blocking blocks may forward nothing, or for slowLinkDelay on a slow
// link. It returns false if the connection was closed.
func (p *proxy) waitWhileBlocked(pc *proxyConn, blocking linkFault) bool {
	for {
		p.mu.Lock()
		fault := p.fault
		p.mu.Unlock()
		pause := 20 * time.Millisecond
		if fault == linkSlow {
			pause = slowLinkDelay
		}
		select {
		case <-pc.closed:
			return false
		case <-pc.silent:
			<-pc.closed
			return false
		default:
		}
		if fault == linkOK || (fault != blocking && fault != linkSlow) {
			return true
		}
		select {
		case <-pc.closed:
			return false
		case <-time.After(pause):
		}
		if fault == linkSlow {
			return true
		}
	}
}
