package endpoint

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"basilstall.example/basilstall/model"
)

const (
	// defaultIdleTimeout is how long a connection is kept whose endpoint states no idle timeout.
	defaultIdleTimeout = 900 * time.Millisecond
	// idleMargin is taken off a stated idle timeout: the endpoint's end of it may be on its way.
	idleMargin = 500 * time.Millisecond
	// userTimeout ends a connection whose written bytes nobody acknowledges: a partition.
	userTimeout   = 2500 * time.Millisecond
	keepAliveIdle = time.Second
)

type (
	// Exchanger keeps connections to endpoints, each of which carries one exchange at a time.
	// It never sends anything twice. It is safe for concurrent use.
	Exchanger struct {
		// Now is the clock by which connections age.
		Now func() time.Time
		// OnConnect is called for each connection opened.
		OnConnect func()

		dialer net.Dialer
		mu     sync.Mutex
		idle   map[string][]*exchangeConn
	}

	exchangeConn struct {
		conn    net.Conn
		raw     syscall.RawConn
		limiter *headerLimiter
		reader  *bufio.Reader
		address string
		// maxIdleConns is how many idle connections there may be to the address.
		maxIdleConns int
		// used is true once it has carried an exchange.
		used bool
		// wrote is true once bytes of the current request may have left.
		maybeSent atomic.Bool
		idleSince time.Time
		// idleTimeout is how long it may stay idle.
		idleTimeout time.Duration
		closeOnce   sync.Once
	}
)

// NewExchanger returns an exchanger without connections.
func NewExchanger(now func() time.Time) *Exchanger {
	x := &Exchanger{Now: now, OnConnect: func() {}, idle: map[string][]*exchangeConn{}}
	x.dialer = net.Dialer{
		Timeout:         dialTimeout,
		Control:         TCPUserTimeout(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: 2},
	}
	return x
}

// TCPUserTimeout returns a control function for dialers that makes the system give a connection up
// whose written bytes nobody acknowledges for a time.
func TCPUserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// connection returns an idle connection that shows no sign of its end, or a new one.
func (x *Exchanger) getConn(ctx context.Context, e Exchange) (*exchangeConn, *Fault) {
	now := x.Now()
	for {
		c := x.takeIdle(e.Address)
		if c == nil {
			break
		}
		age := now.Sub(c.idleSince)
		if age < c.idleTimeout && age <= e.MaxConnIdleTime && c.usable() {
			return c, nil
		}
		c.close()
	}
	conn, err := x.dial(ctx, e.Address)
	if err != nil {
		kind := Refused
		if ctx.Err() != nil {
			kind = Cancelled
		}
		return nil, &Fault{Kind: kind, Verdict: model.NotRun, Err: err}
	}
	return conn, nil
}

// dial opens a connection.
func (x *Exchanger) dial(ctx context.Context, address string) (*exchangeConn, error) {
	conn, err := x.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	x.OnConnect()
	c := &exchangeConn{conn: conn, limiter: &headerLimiter{conn: conn}, address: address}
	c.reader = bufio.NewReaderSize(c.limiter, readBufferBytes)
	if tcp, ok := conn.(*net.TCPConn); ok {
		c.raw, _ = tcp.SyscallConn()
	}
	return c, nil
}

// Connect opens a connection to an address, which the next exchange with it uses: its error tells whether anything
// listens there.
func (x *Exchanger) Connect(ctx context.Context, address string) error {
	c, err := x.dial(ctx, address)
	if err != nil {
		return err
	}
	c.maxIdleConns = 1
	x.putIdle(c, defaultIdleTimeout)
	return nil
}

// takeIdle returns the connection that was idle for the shortest time.
func (x *Exchanger) takeIdle(address string) *exchangeConn {
	x.mu.Lock()
	defer x.mu.Unlock()
	conns := x.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	conns = conns[:len(conns)-1]
	if len(conns) == 0 {
		delete(x.idle, address)
	} else {
		x.idle[address] = conns
	}
	return c
}

// keep puts a connection back for the next exchange.
func (x *Exchanger) putIdle(c *exchangeConn, idle time.Duration) {
	c.used = true
	c.idleSince = x.Now()
	c.idleTimeout = idle
	if idle > defaultIdleTimeout {
		c.idleTimeout = idle - idleMargin
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	conns := append(x.idle[c.address], c)
	for len(conns) > c.maxIdleConns {
		conns[0].close()
		conns = conns[1:]
	}
	if len(conns) == 0 {
		delete(x.idle, c.address)
		return
	}
	x.idle[c.address] = conns
}

// Sweep closes the connections that have been idle for too long.
func (x *Exchanger) CloseExpired() {
	now := x.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, conns := range x.idle {
		kept := conns[:0:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(x.idle, address)
		} else {
			x.idle[address] = kept
		}
	}
}

// Retire closes the idle connections to an address.
func (x *Exchanger) Retire(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.idle[address] {
		c.close()
	}
	delete(x.idle, address)
}

// quiet tells whether nothing can be read: neither the connection's end nor bytes that belong
// to no request.
func (c *exchangeConn) usable() bool {
	if c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (c *exchangeConn) close() {
	c.closeOnce.Do(func() { _ = c.conn.Close() })
}
