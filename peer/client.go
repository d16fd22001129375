package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/model"
)

const (
	dialTimeout  = time.Second
	helloTimeout = 2 * time.Second
	// pingShare is how often a connection with calls in flight is tried, as a share of the time
	// after which one without a byte is held silent and closed, with all its calls.
	pingShare = 1.0 / 3
	// usualSilence is that time where the client is not told another.
	usualSilence = 1500 * time.Millisecond
)

// ErrRefused is returned where the peer refused the token.
var ErrRefused = errors.New("peer: the token was refused")

type (
	// Client calls peers. It opens a connection to a peer when one is needed and is safe for
	// concurrent use.
	Client struct {
		hello Hello
		mu    sync.Mutex
		conns map[string]*clientConn
		// dialing keeps concurrent calls from opening several connections to one peer.
		dialing map[string]*sync.Mutex
		closed  bool
		// silentAfter is after which time without a byte a connection with calls in flight is
		// held silent; helloAfter bounds the first exchange on a new one.
		silentAfter time.Duration
		helloAfter  time.Duration
	}

	// CallError is the error of a call that got no reply.
	CallError struct {
		// Verdict is NotRun only if nothing of the call was written.
		Verdict model.Verdict
		Err     error
		// Received is how many bytes came from the peer while the call waited, other calls' among them.
		Received int64
	}

	clientConn struct {
		conn net.Conn
		// silentAfter is as for the client.
		silentAfter time.Duration
		mu          sync.Mutex
		calls       map[uint64]chan Frame
		// listening holds the calls that end with silence; each is among calls, too.
		listening map[uint64]*clock.Silence
		number    uint64
		writing   sync.Mutex
		// heard is when a byte last came, in Unix nanoseconds. A frame that is long under way over a slow
		// link is no silence: closing for it would end all other calls, and begin it anew.
		heard atomic.Int64
		// received is how many bytes came.
		received atomic.Int64
		done     chan struct{}
		once     sync.Once
	}
)

// readerFunc is a function as an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) {
	return f(p)
}

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
		hello:   Hello{Token: token, Node: node, Unpacks: true},
		conns:   map[string]*clientConn{},
		dialing: map[string]*sync.Mutex{},

		silentAfter: usualSilence,
		helloAfter:  helloTimeout,
	}
}

// SetSilence sets after which time without a byte a connection with calls in flight is held silent. It
// is to be called before the first call.
func (c *Client) SetSilence(after time.Duration) {
	c.silentAfter = after
	c.helloAfter = after
}

// Call sends a message to the peer at an address and decodes its reply. The error is a
// *CallError.
func (c *Client) Call(ctx context.Context, address string, kind Kind, message, reply any) error {
	return c.callHearing(ctx, nil, address, kind, message, reply)
}

// CallUnlessSilent is Call for a reply that may be large: it ends where nothing comes from the peer for a
// time, and with ctx.
func (c *Client) CallUnlessSilent(ctx context.Context, after time.Duration, address string, kind Kind, message, reply any) error {
	ctx, silence := clock.WithSilence(ctx, after, after)
	defer silence.Stop()
	return c.callHearing(ctx, silence, address, kind, message, reply)
}

// callHearing carries a call out; silence, where there is one, hears what comes from the peer meanwhile.
func (c *Client) callHearing(ctx context.Context, silence *clock.Silence, address string, kind Kind, message, reply any) error {
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
	replyBody, err := frame.body()
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
	if conn := c.open(address); conn != nil {
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
	lock := c.dialing[address]
	if lock == nil {
		lock = &sync.Mutex{}
		c.dialing[address] = lock
	}
	return lock
}

func (c *Client) open(address string) *clientConn {
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
	dialer := net.Dialer{Timeout: min(dialTimeout, c.silentAfter)}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := newClientConn(raw, c.silentAfter)
	helloCtx, cancel := context.WithTimeout(ctx, c.helloAfter)
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
		return nil, ErrRefused
	}
	return conn, nil
}

func newClientConn(raw net.Conn, silentAfter time.Duration) *clientConn {
	c := &clientConn{conn: raw, silentAfter: silentAfter, calls: map[uint64]chan Frame{}, listening: map[uint64]*clock.Silence{}, done: make(chan struct{})}
	c.heard.Store(time.Now().UnixNano())
	go func() {
		defer c.close()
		c.readFrames()
	}()
	go func() {
		defer c.close()
		c.watchSilence()
	}()
	return c
}

func (c *clientConn) readFrames() {
	reader := bufio.NewReader(readerFunc(c.read))
	for {
		frame, err := ReadFrame(reader)
		if err != nil {
			return
		}
		c.mu.Lock()
		waiting := c.calls[frame.Number]
		delete(c.calls, frame.Number)
		c.mu.Unlock()
		if waiting != nil {
			waiting <- frame
		}
	}
}

// read reads from the connection and counts what came.
func (c *clientConn) read(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
		c.received.Add(int64(n))
		c.tellListening()
	}
	return n, err
}

func (c *clientConn) tellListening() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, silence := range c.listening {
		silence.Heard()
	}
}

// watchSilence pings while calls are in flight and returns once the peer went silent.
func (c *clientConn) watchSilence() {
	pingEvery := time.Duration(pingShare * float64(c.silentAfter))
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	body, _ := EncodeBody(Empty{})
	idleUntil := time.Now()
	lastTick := idleUntil
	for {
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			// A tick that comes late tells that this process stood still: the peer may have answered.
			// Where silence counts soon, that would else be taken for it.
			stoodStill := c.silentAfter < usualSilence && now.Sub(lastTick) > 2*pingEvery
			lastTick = now
			if !c.busy() || stoodStill {
				idleUntil = now
			}
			if !c.busy() {
				continue
			}
			heard := time.Unix(0, c.heard.Load())
			if now.Sub(heard) > c.silentAfter && now.Sub(idleUntil) > c.silentAfter {
				return
			}
			if c.write(Frame{Kind: KindPing, Body: body}) != nil {
				return
			}
		}
	}
}

func (c *clientConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls) > 0
}

func (c *clientConn) call(ctx context.Context, silence *clock.Silence, kind Kind, body []byte) (Frame, error) {
	reply := make(chan Frame, 1)
	before := c.received.Load()
	c.mu.Lock()
	c.number++
	number := c.number
	c.calls[number] = reply
	if silence != nil {
		c.listening[number] = silence
	}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.calls, number)
		delete(c.listening, number)
		c.mu.Unlock()
	}()
	select {
	case <-c.done:
		return Frame{}, &CallError{Verdict: model.NotRun, Err: net.ErrClosed}
	default:
	}
	if err := c.write(Frame{Kind: kind, Number: number, Body: body}); err != nil {
		c.close()
		return Frame{}, &CallError{Verdict: model.MayHaveRun, Err: err}
	}
	select {
	case frame := <-reply:
		return frame, nil
	case <-c.done:
		// The reply may have come just before the end.
		select {
		case frame := <-reply:
			return frame, nil
		default:
			return Frame{}, &CallError{Verdict: model.MayHaveRun, Err: net.ErrClosed, Received: c.received.Load() - before}
		}
	case <-ctx.Done():
		return Frame{}, &CallError{Verdict: model.MayHaveRun, Err: context.Cause(ctx), Received: c.received.Load() - before}
	}
}

func (c *clientConn) write(f Frame) error {
	data, err := EncodeFrame(f)
	if err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	return writePieces(c.conn, data)
}

func (c *clientConn) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.conn.Close()
	})
}
