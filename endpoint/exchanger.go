package endpoint

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"basilstall.example/basilstall/held"
	"basilstall.example/basilstall/model"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint states no idle timeout.
	defaultIdleTimeout = 900 * time.Millisecond
	// idleMargin is subtracted from a stated idle timeout, since the endpoint's close may still be in transit.
	idleMargin = 500 * time.Millisecond
	// redialInterval is the interval at which further connections are begun while none is open: several round trips between
	// hosts.
	redialInterval = 200 * time.Millisecond
	// minConclusiveDial is how long an endpoint must have left a connection unanswered for an abandoned attempt to count as
	// a failure: many round trips between hosts.
	minConclusiveDial = 400 * time.Millisecond
	// userTimeout is the TCP user timeout: a connection whose data is not acknowledged for that long, as in a network
	// partition, is closed.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle is the time before the first TCP keep-alive probe and between probes.
	keepAliveIdle = time.Second
	// maxConnRequests is how many requests a connection carries, which bounds the record of their IDs.
	maxConnRequests = 512
	// keepAliveCount is how many probes may stay unanswered. With the time before the first one they take somewhat longer
	// than userTimeout, which ends the connection whatever the count.
	keepAliveCount = 2
)

type (
	// Exchanger keeps a pool of connections to endpoints, each of which carries one exchange at a time. It never
	// resends a request. It is safe for concurrent use.
	Exchanger struct {
		// Now returns the time, from which it is computed how long connections have been idle.
		Now func() time.Time
		// OnDial is called after each attempt to open a connection, with when it began and its error. It is not called for an
		// attempt that was abandoned before it could tell anything of the endpoint.
		OnDial func(address string, beganAt time.Time, err error)
		// OnRepeatedID is called when a request does not use an idle connection because that has carried its ID before.
		OnRepeatedID func(address string)
		// OnUnread is called when a request is not sent because the endpoint has not taken earlier ones.
		OnUnread func(address string)
		// Dial opens a connection over TCP.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)

		mu   sync.Mutex
		idle map[string][]*exchangeConn

		// unreadMu guards unread, which counts the bytes that endpoints have not taken, and sends, the sends that it counts.
		unreadMu sync.Mutex
		unread   *held.Unread
		sends    map[held.ID]*exchangeSend
	}

	// exchangeConn is a connection and its state.
	exchangeConn struct {
		conn net.Conn
		// raw accesses the socket of conn. Without it, nil, the connection is not reused.
		raw     syscall.RawConn
		limiter *headerLimiter
		reader  *bufio.Reader
		address string
		// maxIdleConns is the maximum number of idle connections to the address.
		maxIdleConns int
		// used is true once the connection has been put back as idle.
		used bool
		// sentIDs holds the hashes of the IDs of the requests that were sent on the connection, at most maxConnRequests. No ID
		// is sent twice: of the replies to two requests with the same ID, the second one could be a copy of the first.
		sentIDs []uint64
		// maybeSent is true once bytes of the current request may have been sent.
		maybeSent atomic.Bool
		// written is true once the kernel has taken the whole current request. writeEnded is closed when its write has ended, with
		// writeErr.
		written    atomic.Bool
		writeEnded <-chan struct{}
		writeErr   error
		idleSince  time.Time
		// idleTimeout is how long the connection may stay idle.
		idleTimeout time.Duration
		closeOnce   sync.Once
	}
)

// NewExchanger returns an exchanger without connections.
func NewExchanger(now func() time.Time) *Exchanger {
	x := &Exchanger{Now: now, OnDial: func(string, time.Time, error) {}, OnRepeatedID: func(string) {}, OnUnread: func(string) {}, idle: map[string][]*exchangeConn{}}
	x.sends = map[held.ID]*exchangeSend{}
	x.LimitUnread(held.NewUnreadLimits(held.NewLimits(0)))
	dialer := NewDialer()
	x.Dial = dialer.DialContext
	return x
}

// NewDialer returns the dialer of connections to endpoints. Such a connection survives an endpoint that is stalled for a
// second, and is closed within a few seconds of a network partition. The TCP user timeout also decides when keep-alive gives up.
func NewDialer() net.Dialer {
	return net.Dialer{
		Timeout:         dialTimeout,
		Control:         TCPUserTimeout(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
	}
}

// TCPUserTimeout returns a control function for net.Dialer that sets the TCP user timeout: the system closes a
// connection whose data is not acknowledged for that long.
func TCPUserTimeout(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout/time.Millisecond))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// getConn returns a usable idle connection, or a new one.
func (x *Exchanger) getConn(ctx context.Context, e Exchange) (*exchangeConn, *Fault) {
	now := x.Now()
	for {
		c := x.takeIdle(e)
		if c == nil {
			break
		}
		idleTime := now.Sub(c.idleSince)
		if idleTime < c.idleTimeout && idleTime <= e.MaxConnIdleTime && c.usable() {
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
	beganAt := x.Now()
	conn, err := x.dialRepeatedly(ctx, address)
	if err == nil || ctx.Err() == nil || x.Now().Sub(beganAt) >= minConclusiveDial {
		x.OnDial(address, beganAt, err)
	}
	if err != nil {
		return nil, err
	}
	c := &exchangeConn{conn: conn, limiter: &headerLimiter{conn: conn}, address: address}
	c.reader = bufio.NewReaderSize(c.limiter, readBufferBytes)
	if tcp, ok := conn.(*net.TCPConn); ok {
		c.raw, _ = tcp.SyscallConn()
	}
	return c, nil
}

// dialRepeatedly opens a connection. Until one is open it begins another one every redialInterval: the kernel
// retransmits a lost SYN only after a second.
func (x *Exchanger) dialRepeatedly(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result)
	begin := func() {
		go func() {
			conn, err := x.Dial(ctx, "tcp", address)
			select {
			case results <- result{conn, err}:
			case <-ctx.Done():
				if err == nil {
					_ = conn.Close()
				}
			}
		}()
	}
	begin()
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			// A dialer gives up at the deadline of the context, a moment before the context is done.
			var timeout net.Error
			if r.err == nil || ctx.Err() == nil && !(errors.As(r.err, &timeout) && timeout.Timeout()) {
				return r.conn, r.err
			}
		case <-ticker.C:
			begin()
		case <-ctx.Done():
			return nil, errDialTimeout
		}
	}
}

// Connect opens a connection to an address and keeps it for the next exchange. The error shows whether a process
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

// takeIdle removes and returns the connection that has been idle for the shortest time and has not carried the ID of the
// request, or nil.
func (x *Exchanger) takeIdle(e Exchange) *exchangeConn {
	c, repeated := x.takeIdleWithoutID(e)
	if repeated {
		x.OnRepeatedID(e.Address)
	}
	return c
}

// takeIdleWithoutID is takeIdle. repeated is true if a connection was passed over because it had carried the ID.
func (x *Exchanger) takeIdleWithoutID(e Exchange) (c *exchangeConn, repeated bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	conns := x.idle[e.Address]
	for i := len(conns) - 1; i >= 0; i-- {
		c := conns[i]
		if c.hasSent(e) {
			repeated = true
			continue
		}
		if conns = slices.Delete(conns, i, i+1); len(conns) == 0 {
			delete(x.idle, e.Address)
		} else {
			x.idle[e.Address] = conns
		}
		return c, repeated
	}
	return nil, repeated
}

// hasSent reports whether a request with the same ID was sent on the connection.
func (c *exchangeConn) hasSent(e Exchange) bool {
	return e.EchoField != "" && slices.Contains(c.sentIDs, xxhash.Sum64String(e.EchoValue))
}

// recordID records the ID of a request that is about to be sent.
func (c *exchangeConn) recordID(e Exchange) {
	if e.EchoField != "" {
		c.sentIDs = append(c.sentIDs, xxhash.Sum64String(e.EchoValue))
	}
}

// putIdle keeps a connection for the next exchange, for the given idle timeout. If that exceeds defaultIdleTimeout, the
// endpoint has stated it and idleMargin is subtracted.
func (x *Exchanger) putIdle(c *exchangeConn, timeout time.Duration) {
	c.used = true
	c.idleSince = x.Now()
	c.idleTimeout = timeout
	if timeout > defaultIdleTimeout {
		c.idleTimeout = timeout - idleMargin
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

// CloseExpired closes the connections that have been idle for longer than their idle timeout.
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

// usable reports whether nothing can be read from an idle connection: neither its end nor bytes that belong to no
// request.
func (c *exchangeConn) usable() bool {
	if c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := unix.Read(int(fd), buffer[:])
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

func (c *exchangeConn) close() {
	c.closeOnce.Do(func() { _ = c.conn.Close() })
}
