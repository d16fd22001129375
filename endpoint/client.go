package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/model"
)

// StatusNotLoaded is how an engine says that it lacks the adapter and did nothing.
const StatusNotLoaded = http.StatusFailedDependency

const (
	// maxReplyBytes bounds a unary reply.
	maxReplyBytes = 4 << 20
	idleTimeout   = 30 * time.Second
	// maxIdleConnections bounds the idle connections to one endpoint.
	maxIdleConnections = 32
)

var (
	errNoProgress   = errors.New("no progress within the timeout")
	errNotConnected = errors.New("no connection in the time for which the call was permitted")
)

type (
	// Client calls endpoints. It is safe for concurrent use.
	Client struct {
		mu sync.Mutex
		// transports has one entry an address, so that the connections to one endpoint can
		// be retired together.
		transports map[string]*http.Transport
		// fresh opens a connection for each call.
		singleUse *http.Transport
	}

	// Target says where and how a call goes.
	Target struct {
		Address string
		Path    string
		// Fresh demands a new connection. A call that must not be repeated asks for it: one
		// that was swallowed by a silent connection could never be resolved.
		NewConnection bool
		// Timeout bounds the time without progress.
		Timeout time.Duration
		// ConnectBy is when the call must have its connection, or is not made; zero for no such bound.
		ConnectBy time.Time
	}

	// evidence is what the connection showed of one call.
	callTrace struct {
		connected atomic.Bool
		reused    atomic.Bool
		timedOut  atomic.Bool
	}
)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		transports: map[string]*http.Transport{},
		singleUse:  newTransport(false),
	}
}

// Unary makes a call and returns the whole reply; the error is a *Fault.
func (c *Client) Unary(ctx context.Context, target Target, call model.StageCall) (model.StageReply, error) {
	ctx, seen, watch := startWatchdog(ctx, target)
	defer watch.stop()
	res, err := c.send(ctx, target, call, seen)
	if err != nil {
		return model.StageReply{}, c.newFault(ctx, target, seen, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return model.StageReply{}, c.newFault(ctx, target, seen, err)
	}
	var reply model.StageReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return reply, &Fault{Kind: Status, Verdict: model.MayHaveRun, Err: errors.Wrap(err, "decode reply")}
	}
	if !reply.Answers(call) {
		c.Retire(target.Address)
		return reply, &Fault{Kind: Mismatch, Verdict: model.MayHaveRun, Err: errors.Errorf("reply to %s/%s/%d", reply.Request, reply.Stage, reply.Attempt)}
	}
	if res.StatusCode != http.StatusOK {
		return reply, statusFault(res.StatusCode, reply.Verdict, reply.Error)
	}
	return reply, nil
}

// Stream makes a call and hands each event that belongs to it to accept, in the order of
// arrival, up to the final one; the error is a *Fault. The timeout holds between events.
func (c *Client) Stream(ctx context.Context, target Target, call model.StageCall, accept func(model.TokenEvent) error) error {
	ctx, seen, watch := startWatchdog(ctx, target)
	defer watch.stop()
	res, err := c.send(ctx, target, call, seen)
	if err != nil {
		return c.newFault(ctx, target, seen, err)
	}
	defer res.Body.Close()
	if res.StatusCode == StatusNotLoaded {
		return &Fault{Kind: NotLoaded, Verdict: model.NotRun, Err: errors.New("the adapter is not loaded")}
	}
	if res.StatusCode != http.StatusOK {
		return statusFault(res.StatusCode, model.MayHaveRun, res.Status)
	}
	events := json.NewDecoder(res.Body)
	for {
		var event model.TokenEvent
		if err := events.Decode(&event); err != nil {
			return c.newFault(ctx, target, seen, err)
		}
		watch.reset()
		if !event.Answers(call) {
			c.Retire(target.Address)
			return &Fault{Kind: Mismatch, Verdict: model.MayHaveRun, Err: errors.Errorf("event of %s/%s/%d", event.Request, event.Stage, event.Attempt)}
		}
		if event.Error != "" {
			return &Fault{Kind: Status, Verdict: model.MayHaveRun, Err: errors.New(event.Error)}
		}
		if err := accept(event); err != nil {
			return &Fault{Kind: Mismatch, Verdict: model.MayHaveRun, Err: err}
		}
		if event.Final {
			return nil
		}
	}
}

// Retire closes the idle connections to an address and lets those in use end: new calls get
// new connections.
func (c *Client) Retire(address string) {
	c.mu.Lock()
	old := c.transports[address]
	delete(c.transports, address)
	c.mu.Unlock()
	if old != nil {
		old.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
	c.singleUse.CloseIdleConnections()
}

func (c *Client) send(ctx context.Context, target Target, call model.StageCall, seen *callTrace) (*http.Response, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, errors.Wrap(err, "encode call")
	}
	// The key travels in the body: net/http repeats a request by itself if it carries an
	// Idempotency-Key header. Without GetBody it cannot repeat one at all.
	req, err := http.NewRequestWithContext(seen.withTrace(ctx), http.MethodPost, "http://"+target.Address+target.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if target.NewConnection {
		req.GetBody = nil
	}
	req.Header.Set("Content-Type", "application/json")
	return c.transport(target).RoundTrip(req)
}

func (c *Client) transport(target Target) *http.Transport {
	if target.NewConnection {
		return c.singleUse
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.transports[target.Address]
	if t == nil {
		t = newTransport(true)
		c.transports[target.Address] = t
	}
	return t
}

func (c *Client) newFault(ctx context.Context, target Target, seen *callTrace, err error) *Fault {
	f := &Fault{Kind: Cut, Verdict: model.MayHaveRun, Reused: seen.reused.Load(), Err: err}
	switch {
	case seen.timedOut.Load():
		f.Kind = Silent
		f.Err = errNoProgress
		c.Retire(target.Address)
	case ctx.Err() != nil:
		f.Kind = Cancelled
		f.Err = context.Cause(ctx)
	case !seen.connected.Load():
		f.Kind = Refused
	}
	if !seen.connected.Load() {
		f.Verdict = model.NotRun
	}
	return f
}

// trace records whether the call was given a connection: before that, nothing was written.
func (e *callTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.connected.Store(true)
			e.reused.Store(info.Reused)
		},
	})
}

func statusFault(status int, verdict model.Verdict, text string) *Fault {
	if verdict == "" || verdict == model.Ran {
		verdict = model.MayHaveRun
	}
	return &Fault{Kind: Status, Verdict: verdict, Err: errors.Errorf("status %d: %s", status, text)}
}

func newTransport(keep bool) *http.Transport {
	dialer := &net.Dialer{Timeout: 2 * time.Second, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !keep,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// watch ends a call that makes no progress for the timeout, or has no connection by the time that it must.
type watchdog struct {
	progressTimer *time.Timer
	connectTimer  *time.Timer
	timeout       time.Duration
	cancel        context.CancelCauseFunc
}

// begin returns the context of a call, what its connection will show, and the watch over its
// progress, which must be stopped.
func startWatchdog(ctx context.Context, target Target) (context.Context, *callTrace, watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	seen := &callTrace{}
	w := watchdog{timeout: target.Timeout, cancel: cancel}
	w.progressTimer = time.AfterFunc(target.Timeout, func() {
		seen.timedOut.Store(true)
		cancel(errNoProgress)
	})
	if target.ConnectBy.IsZero() {
		return ctx, seen, w
	}
	left := time.Until(target.ConnectBy)
	if left <= 0 {
		cancel(errNotConnected)
		return ctx, seen, w
	}
	w.connectTimer = time.AfterFunc(left, func() {
		if !seen.connected.Load() {
			cancel(errNotConnected)
		}
	})
	return ctx, seen, w
}

func (w watchdog) reset() {
	w.progressTimer.Reset(w.timeout)
}

func (w watchdog) stop() {
	w.progressTimer.Stop()
	if w.connectTimer != nil {
		w.connectTimer.Stop()
	}
	w.cancel(nil)
}
