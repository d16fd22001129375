package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/model"
)

const (
	dialTimeout         = time.Second
	defaultHelloTimeout = 2 * time.Second
	// defaultSilenceTimeout is the silence timeout of a client on which SetSilenceTimeout is not called.
	defaultSilenceTimeout = 1500 * time.Millisecond
)

// ErrTokenRefused is returned if the peer rejects the client's token.
var ErrTokenRefused = errors.New("peer: the token was refused")

type (
	// Client calls peers. It keeps one connection to each peer, which it opens on the first call. It is safe for
	// concurrent use.
	Client struct {
		hello Hello
		mu    sync.Mutex
		conns map[string]*clientConn
		// dialLocks holds a lock for each address, so that concurrent calls do not open several connections to one
		// peer.
		dialLocks map[string]*sync.Mutex
		// idleStreams holds the idle connections for streams by address.
		idleStreams map[string][]*Stream
		closed      bool
		// silenceTimeout is how long nothing may be received on a connection with calls in flight before it is
		// closed. helloTimeout bounds the exchange of Hello and HelloReply on a new connection.
		silenceTimeout time.Duration
		helloTimeout   time.Duration
	}

	// CallError is the error of a call that got no valid reply.
	CallError struct {
		// Verdict is NotRun only if no part of the call was written to the connection.
		Verdict model.Verdict
		Err     error
		// Received is the number of bytes received on the connection during the call, including replies to other
		// calls.
		Received int64
	}
)

// Error implements error.
func (e *CallError) Error() string {
	return "peer: " + string(e.Verdict) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// NewClient returns a client that identifies itself to peers with the name of its node and a token.
func NewClient(node, token string) *Client {
	return &Client{
		hello:     Hello{Token: token, Node: node, Unpacks: true},
		conns:     map[string]*clientConn{},
		dialLocks: map[string]*sync.Mutex{},

		idleStreams:    map[string][]*Stream{},
		silenceTimeout: defaultSilenceTimeout,
		helloTimeout:   defaultHelloTimeout,
	}
}

// SetSilenceTimeout sets how long nothing may be received on a connection with calls in flight before it is closed. It
// also bounds dialing and the first exchange on a new connection. It must be called before the first call.
func (c *Client) SetSilenceTimeout(timeout time.Duration) {
	c.silenceTimeout = timeout
	c.helloTimeout = timeout
}

// Call sends a message to the peer at an address and decodes its reply into reply. The error is a *CallError.
func (c *Client) Call(ctx context.Context, address string, kind Kind, message, reply any) error {
	return c.roundTrip(ctx, nil, address, kind, message, reply)
}

// CallWithIdleTimeout is like Call, for replies that may be large: the call fails if nothing is received from the peer
// for timeout, or when ctx is done.
func (c *Client) CallWithIdleTimeout(ctx context.Context, timeout time.Duration, address string, kind Kind, message, reply any) error {
	ctx, idleTimeout := clock.WithIdleTimeout(ctx, timeout, timeout)
	defer idleTimeout.Stop()
	return c.roundTrip(ctx, idleTimeout, address, kind, message, reply)
}

// roundTrip performs a call. If idleTimeout is not nil, it is reset whenever bytes are received on the connection.
func (c *Client) roundTrip(ctx context.Context, idleTimeout *clock.IdleTimeout, address string, kind Kind, message, reply any) error {
	body, err := EncodeBody(message)
	if err != nil {
		return &CallError{Verdict: model.NotRun, Err: err}
	}
	conn, err := c.connection(ctx, address)
	if err != nil {
		return &CallError{Verdict: model.NotRun, Err: err}
	}
	frame, err := conn.call(ctx, idleTimeout, kind, body)
	if err != nil {
		return err
	}
	replyBody, err := frame.decompressedBody()
	if err != nil {
		return &CallError{Verdict: model.MayHaveRun, Err: err}
	}
	if err := DecodeBody(replyBody, reply); err != nil {
		return &CallError{Verdict: model.MayHaveRun, Err: err}
	}
	return nil
}

// Close closes all connections. Calls in flight fail, as do later calls.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = map[string]*clientConn{}
	streams := c.idleStreams
	c.idleStreams = map[string][]*Stream{}
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
	for _, idle := range streams {
		for _, s := range idle {
			s.Close()
		}
	}
}

// connection returns the connection to an address and opens it if necessary.
func (c *Client) connection(ctx context.Context, address string) (*clientConn, error) {
	lock := c.dialLock(address)
	lock.Lock()
	defer lock.Unlock()
	if conn := c.cachedConn(address); conn != nil {
		return conn, nil
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.close()
		return nil, net.ErrClosed
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) dialLock(address string) *sync.Mutex {
	c.mu.Lock()
	defer c.mu.Unlock()
	lock := c.dialLocks[address]
	if lock == nil {
		lock = &sync.Mutex{}
		c.dialLocks[address] = lock
	}
	return lock
}

// cachedConn returns the open connection to an address, or nil if there is none.
func (c *Client) cachedConn(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		return nil
	}
	select {
	case <-conn.done:
		delete(c.conns, address)
		return nil
	default:
		return conn
	}
}

// dial opens a connection and sends Hello on it.
func (c *Client) dial(ctx context.Context, address string) (*clientConn, error) {
	dialer := net.Dialer{Timeout: min(dialTimeout, c.silenceTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := newClientConn(raw, c.silenceTimeout)
	helloCtx, cancel := context.WithTimeout(ctx, c.helloTimeout)
	defer cancel()
	body, err := EncodeBody(c.hello)
	if err != nil {
		conn.close()
		return nil, err
	}
	frame, err := conn.call(helloCtx, nil, KindHello, body)
	if err != nil {
		conn.close()
		return nil, err
	}
	var reply HelloReply
	if err := DecodeBody(frame.Body, &reply); err != nil {
		conn.close()
		return nil, err
	}
	if reply.Refused {
		conn.close()
		return nil, ErrTokenRefused
	}
	return conn, nil
}
