package soak_test

import (
	"net"
	"sync"
	"time"
)

// linkFault is what is wrong with a link.
type linkFault int

const (
	linkOK linkFault = iota
	// linkSlow holds every part back for a while.
	linkSlow
	// linkBlockedToServer passes nothing on towards the server, linkBlockedFromServer nothing from it.
	linkBlockedToServer
	linkBlockedFromServer
	linkFaultCount
)

const (
	// slowLinkDelay is how long a slow link holds a part back.
	slowLinkDelay = 80 * time.Millisecond
	// narrowLinkRate is what a narrow link carries of a server's answers, in bytes a second: 10 Mbit/s, the least
	// that hosts have. What outgrows it is to come all the same.
	narrowLinkRate = 1_250_000
)

// proxy passes connections on to a server and spoils them on demand.
type proxy struct {
	listener net.Listener
	// narrow tells that answers share narrowLinkRate; line is held while some of one are under way.
	narrow      bool
	bandwidthMu sync.Mutex

	mu     sync.Mutex
	target string
	fault  linkFault
	conns  map[net.Conn]*proxyConn
}

// link is one connection through a proxy.
type proxyConn struct {
	server net.Conn
	// silent is closed for a connection that is to pass nothing on for good, while new ones
	// work; gone once either end is closed.
	silent, closed        chan struct{}
	silentOnce, closeOnce sync.Once
}

func (l *proxyConn) close() {
	l.closeOnce.Do(func() { close(l.closed) })
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
	for conn, l := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		l.close()
		_ = conn.Close()
		_ = l.server.Close()
	}
}

// silenceAll makes all open connections silent for good.
func (p *proxy) silenceAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.conns {
		l.silentOnce.Do(func() { close(l.silent) })
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
	l := &proxyConn{server: server, silent: make(chan struct{}), closed: make(chan struct{})}
	p.mu.Lock()
	p.conns[client] = l
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(server, client, l, linkBlockedToServer) })
	both.Go(func() { p.forward(client, server, l, linkBlockedFromServer) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
}

// pass copies one direction. What a cut link held back is passed on when the cut heals.
func (p *proxy) forward(to, from net.Conn, l *proxyConn, cut linkFault) {
	defer to.Close()
	defer from.Close()
	defer l.close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.waitWhileBlocked(l, cut) {
				return
			}
			if p.narrow && cut == linkBlockedFromServer {
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

// carry takes the time that a narrow link needs for some bytes.
func (p *proxy) throttle(bytes int) {
	p.bandwidthMu.Lock()
	defer p.bandwidthMu.Unlock()
	time.Sleep(time.Duration(bytes) * time.Second / narrowLinkRate)
}

// hold waits while a link passes nothing on; false means that it has ended.
func (p *proxy) waitWhileBlocked(l *proxyConn, cut linkFault) bool {
	for {
		p.mu.Lock()
		fault := p.fault
		p.mu.Unlock()
		pause := 20 * time.Millisecond
		if fault == linkSlow {
			pause = slowLinkDelay
		}
		select {
		case <-l.closed:
			return false
		case <-l.silent:
			<-l.closed
			return false
		default:
		}
		if fault == linkOK || (fault != cut && fault != linkSlow) {
			return true
		}
		select {
		case <-l.closed:
			return false
		case <-time.After(pause):
		}
		if fault == linkSlow {
			return true
		}
	}
}
