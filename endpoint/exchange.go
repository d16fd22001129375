package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
)

const (
	// dialTimeout bounds the opening of a connection: several times a lost opening packet's
	// detection on a healthy network, and short beside any objective worth a second endpoint.
	dialTimeout = 700 * time.Millisecond
	// readBufferBytes holds a typical reply's head and small body in one read.
	readBufferBytes = 4 << 10
	// maxInlineBody is written before the reply is awaited; a longer one is written beside, since
	// an endpoint may answer before it has read the body.
	maxInlineBody = 2 << 10
	// maxWriteLag is how long the end of a write may lag behind the reply to it.
	maxWriteLag = 2 * time.Millisecond
	// maxStrayReplies is how many replies to earlier requests are skipped before a connection is
	// given up.
	maxStrayReplies = 2
	// maxHeaderBytes bounds a reply's status line and header fields.
	maxHeaderBytes = 64 << 10
)

var errStrayReply = errors.New("endpoint: the reply belongs to another request")

type (
	// Exchange is one request, sent as it stands on a connection that carries nothing else
	// until its reply was read.
	Exchange struct {
		Address string
		Method  string
		URI     string
		Host    string
		// Header holds all fields but Host and Content-Length.
		Header http.Header
		Body   []byte
		// EchoField and EchoValue name a field that the reply must repeat; none if empty.
		EchoField string
		EchoValue string
		// MaxConnIdleTime is how long a connection may have been idle for this request to use it.
		MaxConnIdleTime time.Duration
		// MaxIdleConns is how many idle connections there may be to the address afterwards.
		MaxIdleConns int
		// BeforeSend decides, when a connection is open, whether the request is still to be
		// sent; nil means yes. Its error is returned as it is.
		BeforeSend func() error
	}

	// ExchangeReply is the reply to an exchange. Body ends with io.EOF only if it is whole.
	ExchangeReply struct {
		Status int
		Header http.Header
		Body   io.Reader

		conn        *exchangeConn
		cancelClose func() bool
		// whole is true once Body returned io.EOF.
		complete bool
		// dirty is true where the connection must not be used again.
		notReusable bool
		idleTimeout time.Duration
		exchanger   *Exchanger
	}

	// headerLimiter counts what may still be read of a reply's head.
	headerLimiter struct {
		conn      net.Conn
		remaining atomic.Int64
	}
)

func (l *headerLimiter) Read(p []byte) (int, error) {
	if l.remaining.Load() <= 0 {
		return 0, errors.New("endpoint: the reply's head is too long")
	}
	n, err := l.conn.Read(p)
	l.remaining.Add(-int64(n))
	return n, err
}

// Send carries one exchange out. The context bounds the whole exchange, its body included;
// its end closes the connection. The error is a *Fault, but for that of BeforeSend.
func (x *Exchanger) Send(ctx context.Context, e Exchange) (*ExchangeReply, error) {
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
	c.limiter.remaining.Store(maxHeaderBytes)
	written := c.writeRequest(e)
	for range maxStrayReplies + 1 {
		reply, err := c.readReply(e)
		if err != nil {
			return nil, err
		}
		if e.EchoField != "" && reply.Header.Get(e.EchoField) != e.EchoValue {
			if err := discardReply(reply); err != nil {
				return nil, err
			}
			continue
		}
		reply.notReusable = reply.notReusable || !allWritten(written)
		return reply, nil
	}
	return nil, errStrayReply
}

// allWritten tells whether all of the request has left. If not, the endpoint answered before it
// had read the request, and what is still to be written would be taken for the next one.
func allWritten(written <-chan error) bool {
	timer := time.NewTimer(maxWriteLag)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// skip reads a reply to an earlier request to its end; this is only possible where its end
// does not end the connection.
func discardReply(reply *ExchangeReply) error {
	if reply.notReusable {
		return errStrayReply
	}
	if _, err := io.Copy(io.Discard, reply.Body); err != nil {
		return errStrayReply
	}
	return nil
}

// write sends the request; the channel gets one error, nil where all of it was written.
func (c *exchangeConn) writeRequest(e Exchange) <-chan error {
	done := make(chan error, 1)
	send := func() {
		c.maybeSent.Store(true)
		_, err := c.conn.Write(encodeRequest(e))
		done <- err
	}
	if len(e.Body) <= maxInlineBody {
		send()
	} else {
		go send()
	}
	return done
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
		reply := &ExchangeReply{Status: res.StatusCode, Header: res.Header, conn: c, notReusable: res.Close}
		reply.idleTimeout = keepAliveTimeout(res.Header)
		reply.Body = &replyBody{reply: reply, body: res.Body}
		return reply, nil
	}
}

// replyBody notes whether a body was read to its proper end.
type replyBody struct {
	reply *ExchangeReply
	body  io.Reader
}

func (b *replyBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.reply.complete = true
	}
	return n, err
}

// Close ends the exchange; the connection is kept where that is safe. It may be called again.
func (r *ExchangeReply) Close() {
	if r.conn == nil {
		return
	}
	conn := r.conn
	r.conn = nil
	alive := r.cancelClose()
	if alive && r.complete && !r.notReusable && conn.reader.Buffered() == 0 {
		r.exchanger.putIdle(conn, r.idleTimeout)
		return
	}
	conn.close()
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

// keepAliveTimeout returns how long the endpoint keeps an idle connection, as it says.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdleTimeout
}

// fault says what the connection shows of a failed exchange.
func (c *exchangeConn) newFault(ctx context.Context, err error) *Fault {
	f := &Fault{Kind: Cut, Verdict: model.MayHaveRun, Reused: c.used, Err: err}
	if !c.maybeSent.Load() {
		f.Verdict = model.NotRun
	}
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		f.Kind = Cancelled
	case ctx.Err() != nil:
		f.Kind = Silent
	case errors.Is(err, errStrayReply):
		f.Kind = Mismatch
	}
	return f
}
