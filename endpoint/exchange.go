package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/model"
)

const (
	// maxKeepAliveSeconds bounds what an endpoint states, so that it does not overflow.
	maxKeepAliveSeconds = 3600
	// dialTimeout is the maximum time to open a connection: several times what it takes to detect a lost SYN on a
	// healthy network, and short compared to any latency objective that leaves time for a second endpoint.
	dialTimeout = 700 * time.Millisecond
	// readBufferBytes fits the header and a small body of a typical reply in one read.
	readBufferBytes = 4 << 10
	// maxInlineBody is the maximum size of a body, in bytes, that is written before the reply is read. A longer one is
	// written concurrently, since an endpoint may answer before it has read the body.
	maxInlineBody = 2 << 10
	// maxWriteLag is how long after the reply the write of the request may end if the connection is to be reused.
	maxWriteLag = 2 * time.Millisecond
	// maxStrayReplies is how many replies to earlier requests are skipped before a connection is closed.
	maxStrayReplies = 2
	// maxStrayBytes is how many bytes of replies to other requests, or of a body that is discarded, are read before a
	// connection is closed.
	maxStrayBytes = 256 << 10
	// discardTimeout bounds the time to read the rest of a body that is discarded.
	discardTimeout = 50 * time.Millisecond
	// maxHeaderBytes is the maximum size of a reply's status line and header fields.
	maxHeaderBytes = 64 << 10
)

var (
	errStrayReply        = errors.New("endpoint: the reply belongs to another request")
	errDialTimeout       = errors.New("endpoint: no connection was opened in time")
	errResetWhileWriting = errors.New("endpoint: the connection was reset while the request was written")
)

type (
	// Exchange is one request. It is sent unchanged, on a connection that carries nothing else until its reply has been
	// read.
	Exchange struct {
		Address string
		Method  string
		URI     string
		Host    string
		// Header holds all fields except Host and Content-Length.
		Header http.Header
		Body   []byte
		// EchoField and EchoValue are the name and value of a header field that the reply must have; none if empty. The value
		// is the request's ID: a connection carries no ID twice.
		EchoField string
		EchoValue string
		// MaxConnIdleTime is how long a connection may have been idle for this request to use it.
		MaxConnIdleTime time.Duration
		// MaxIdleConns is the maximum number of idle connections to the address after the exchange.
		MaxIdleConns int
		// BoundUnread makes Send return a Withdrawn fault if the endpoint has not taken earlier requests and too many bytes of
		// them are under way.
		BoundUnread bool
		// BeforeSend, if not nil, is called once a connection is open. If it returns an error, the request is not sent
		// and Send returns that error unchanged.
		BeforeSend func() error
	}

	// ExchangeReply is the reply to an exchange. Body ends with io.EOF only if it is complete, and with ending.ErrUnstated if it
	// ends with its connection.
	ExchangeReply struct {
		Status int
		Header http.Header
		Body   io.Reader
		// Length is the length of the body in bytes; -1 if it is not known.
		Length int64
		// Framing is how the body is delimited.
		Framing ending.Framing

		conn *exchangeConn
		// cancelClose keeps the end of the context from closing the connection. It returns false if that has begun.
		cancelClose func() bool
		// complete is true once Body has returned io.EOF.
		complete bool
		// notReusable is true if the connection must not be used again.
		notReusable bool
		// idleTimeout is how long the endpoint keeps the connection while it is idle.
		idleTimeout time.Duration
		exchanger   *Exchanger
	}

	// headerLimiter limits how many bytes may be read from a connection until the end of a reply's header, or of a body that
	// is discarded.
	headerLimiter struct {
		conn      net.Conn
		remaining atomic.Int64
		// received is true once bytes were read since the current request was sent.
		received atomic.Bool
	}
)

func (l *headerLimiter) Read(p []byte) (int, error) {
	if l.remaining.Load() <= 0 {
		return 0, errors.New("endpoint: the reply is too long")
	}
	n, err := l.conn.Read(p)
	l.remaining.Add(-int64(n))
	if n > 0 {
		l.received.Store(true)
	}
	return n, err
}

// Send sends the request and returns the reply. The context applies to the whole exchange, including the body of the
// reply; when it ends, the connection is closed. The error is a *Fault or that of BeforeSend.
func (x *Exchanger) Send(ctx context.Context, e Exchange) (*ExchangeReply, error) {
	send, fault := x.beginSend(e)
	if fault != nil {
		return nil, fault
	}
	defer x.endSend(send)
	conn, fault := x.getConn(ctx, e)
	if fault != nil {
		return nil, fault
	}
	conn.maxIdleConns = e.MaxIdleConns
	if e.BeforeSend != nil {
		if err := e.BeforeSend(); err != nil {
			x.putIdle(conn, conn.idleTimeout)
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, conn.close)
	conn.written.Store(false)
	send.conn.Store(conn)
	reply, err := conn.roundTrip(e)
	if err != nil {
		stop()
		conn.close()
		return nil, conn.newFault(ctx, err)
	}
	reply.cancelClose = stop
	reply.exchanger = x
	return reply, nil
}

func (c *exchangeConn) roundTrip(e Exchange) (*ExchangeReply, error) {
	c.maybeSent.Store(false)
	c.recordID(e)
	c.limiter.remaining.Store(maxHeaderBytes)
	c.limiter.received.Store(false)
	strayBytes := int64(maxStrayBytes)
	c.writeRequest(e)
	for range maxStrayReplies + 1 {
		reply, err := c.readReply(e)
		if err != nil {
			return nil, err
		}
		if e.EchoField != "" && reply.Header.Get(e.EchoField) != e.EchoValue {
			c.limiter.remaining.Store(strayBytes)
			if err := discardReply(reply); err != nil {
				return nil, err
			}
			strayBytes = c.limiter.remaining.Load()
			c.limiter.remaining.Store(maxHeaderBytes)
			continue
		}
		reply.notReusable = reply.notReusable || !c.allWritten()
		return reply, nil
	}
	return nil, errStrayReply
}

// allWritten reports whether the whole request has been written. If not, the endpoint answered before it had read the
// request, and would take the rest of it for the next request.
func (c *exchangeConn) allWritten() bool {
	timer := time.NewTimer(maxWriteLag)
	defer timer.Stop()
	select {
	case <-c.writeEnded:
		return c.writeErr == nil
	case <-timer.C:
		return false
	}
}

// resetWhileWriting reports whether the write of the request has failed. The kernel tells of a reset once: if the write has taken
// the error, the read sees a plain end. A write that still waits for the endpoint is ended; the connection can't be reused.
func (c *exchangeConn) resetWhileWriting() bool {
	_ = c.conn.SetWriteDeadline(time.Unix(1, 0))
	<-c.writeEnded
	return c.writeErr != nil && !errors.Is(c.writeErr, os.ErrDeadlineExceeded)
}

// discardReply reads a reply to an earlier request to its end. It fails if the reply ends with its connection.
func discardReply(reply *ExchangeReply) error {
	if reply.notReusable {
		return errStrayReply
	}
	if _, err := io.Copy(io.Discard, reply.Body); err != nil {
		return errStrayReply
	}
	return nil
}

// writeRequest sends the request.
func (c *exchangeConn) writeRequest(e Exchange) {
	ended := make(chan struct{})
	c.writeEnded = ended
	send := func() {
		defer close(ended)
		c.maybeSent.Store(true)
		_, c.writeErr = c.conn.Write(encodeRequest(e))
		c.written.Store(c.writeErr == nil)
	}
	if len(e.Body) <= maxInlineBody {
		send()
	} else {
		go send()
	}
}

func (c *exchangeConn) readReply(e Exchange) (*ExchangeReply, error) {
	for {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: e.Method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("endpoint: the reply switches protocols")
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		c.limiter.remaining.Store(1 << 62)
		reply := &ExchangeReply{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, conn: c, notReusable: res.Close}
		reply.Framing = ending.FramingOf(res.ContentLength, len(res.TransferEncoding) > 0)
		if e.Method == http.MethodHead {
			reply.Framing = ending.Length
		}
		reply.idleTimeout = keepAliveTimeout(res.Header)
		reply.Body = &replyBody{reply: reply, conn: c, body: res.Body}
		return reply, nil
	}
}

// replyBody records whether a body was read to its end.
type replyBody struct {
	reply *ExchangeReply
	conn  *exchangeConn
	body  io.Reader
}

func (b *replyBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err != io.EOF:
	case b.reply.Framing == ending.Connection && b.conn.resetWhileWriting():
		err = errResetWhileWriting
	case b.reply.Framing == ending.Connection:
		err = ending.ErrUnstated
	default:
		b.reply.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept for reuse if that is safe. Close may be called more than once.
func (r *ExchangeReply) Close() {
	if r.conn == nil {
		return
	}
	conn := r.conn
	r.conn = nil
	open := r.cancelClose()
	if open && r.complete && !r.notReusable && conn.reader.Buffered() == 0 && len(conn.sentIDs) < maxConnRequests {
		r.exchanger.putIdle(conn, r.idleTimeout)
		return
	}
	conn.close()
}

// Discard ends the exchange without the body. The connection is kept for reuse if the body ends soon. Discard reports
// whether it does.
func (r *ExchangeReply) Discard() bool {
	if r.conn == nil {
		return r.complete
	}
	conn := r.conn.conn
	_ = conn.SetReadDeadline(time.Now().Add(discardTimeout))
	r.conn.limiter.remaining.Store(maxStrayBytes)
	_, err := io.Copy(io.Discard, r.Body)
	_ = conn.SetReadDeadline(time.Time{})
	r.Close()
	return err == nil || errors.Is(err, ending.ErrUnstated)
}

func encodeRequest(e Exchange) []byte {
	var b strings.Builder
	b.Grow(512 + len(e.Body))
	b.WriteString(e.Method + " " + e.URI + " HTTP/1.1\r\nHost: " + e.Host + "\r\n")
	if len(e.Body) > 0 || (e.Method != http.MethodGet && e.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.Body)) + "\r\n")
	}
	_ = e.Header.Write(&b)
	b.WriteString("\r\n")
	b.Write(e.Body)
	return []byte(b.String())
}

// keepAliveTimeout returns how long the endpoint keeps an idle connection, as stated in its reply.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(min(seconds, maxKeepAliveSeconds)) * time.Second
		}
	}
	return defaultIdleTimeout
}

// newFault returns the fault of a failed exchange.
func (c *exchangeConn) newFault(ctx context.Context, err error) *Fault {
	f := &Fault{Kind: Cut, Verdict: model.MayHaveRun, Reused: c.used, Err: err}
	if !c.maybeSent.Load() {
		f.Verdict = model.NotRun
	}
	switch {
	case ctx.Err() != nil && c.limiter.received.Load():
		// What came so far is no reply to the request.
		f.Kind = Mismatch
	case errors.Is(context.Cause(ctx), context.Canceled):
		f.Kind = Cancelled
	case ctx.Err() != nil:
		f.Kind = Silent
	case errors.Is(err, errStrayReply):
		f.Kind = Mismatch
	}
	return f
}
