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
	// defaultSilenceTimeout is after which time without a byte a connection with calls in flight is held silent, where the
	// client is not told another.
	defaultSilenceTimeout = 1500 * time.Millisecond
)

// ErrTokenRefused is returned where the peer refused the token.
var ErrTokenRefused = errors.New("peer: the token was refused")

type (
	// Client calls peers. It opens a connection to a peer when one is needed and is safe for
	// concurrent use.
	Client struct {
		hello Hello
		mu    sync.Mutex
		conns map[string]*clientConn
		// dialing keeps concurrent calls from opening several connections to one peer.
		dialLocks map[string]*sync.Mutex
		closed    bool
		// silenceTimeout is after which time without a byte a connection with calls in flight is
		// held silent; helloTimeout bounds the first exchange on a new one.
		silenceTimeout time.Duration
		helloTimeout   time.Duration
	}

	// CallError is the error of a call that got no reply.
	CallError struct {
		// Verdict is NotRun only if nothing of the call was written.
		Verdict model.Verdict
		Err     error
		// Received is how many bytes came from the peer while the call waited, other calls' among them.
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

// NewClient returns a client that introduces itself as a node.
func NewClient(node, token string) *Client {
	return &Client{
		hello:     Hello{Token: token, Node: node, Unpacks: true},
		conns:     map[string]*clientConn{},
		dialLocks: map[string]*sync.Mutex{},

		silenceTimeout: defaultSilenceTimeout,
		helloTimeout:   defaultHelloTimeout,
	}
}

// SetSilenceTimeout sets after which time without a byte a connection with calls in flight is held silent. It
// is to be called before the first call.
func (c *Client) SetSilenceTimeout(after time.Duration) {
	c.silenceTimeout = after
	c.helloTimeout = after
}

// Call sends a message to the peer at an address and decodes its reply. The error is a
// *CallError.
func (c *Client) Call(ctx context.Context, address string, kind Kind, message, reply any) error {
	return c.callWithSilence(ctx, nil, address, kind, message, reply)
}

// CallUnlessSilent is Call for a reply that may be large: it ends where nothing comes from the peer for a
// time, and with ctx.
func (c *Client) CallUnlessSilent(ctx context.Context, after time.Duration, address string, kind Kind, message, reply any) error {
	ctx, silence := clock.WithIdleTimeout(ctx, after, after)
	defer silence.Stop()
	return c.callWithSilence(ctx, silence, address, kind, message, reply)
}

// callWithSilence carries a call out; silence, where there is one, hears what comes from the peer meanwhile.
func (c *Client) callWithSilence(ctx context.Context, silence *clock.IdleTimeout, address string, kind Kind, message, reply any) error {
	body, err := EncodeBody(message)
	if err != nil {
		return &CallError{Verdict: model.NotRun, Err: err}
	}
	conn, err := c.connection(ctx, address)
	if err != nil {
		return &CallError{Verdict: model.NotRun, Err: err}
	}
	frame, err := conn.call(ctx, silence, kind, body)
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

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = map[string]*clientConn{}
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}

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
