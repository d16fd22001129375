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

// StatusNotLoaded is the status of an engine's reply if it lacks the adapter and did not run the call.
const StatusNotLoaded = http.StatusFailedDependency

const (
	// maxReplyBytes is the maximum size of a unary reply.
	maxReplyBytes = 4 << 20
	// maxStreamEventBytes is the maximum size of an event of a stream, with the white space before it.
	maxStreamEventBytes = 256 << 10
	idleTimeout         = 30 * time.Second
	// maxIdleConnections is the maximum number of idle connections to one endpoint.
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
		// transports has one transport per address, so that the connections to one endpoint can be retired together.
		transports map[string]*http.Transport
		// singleUse opens a connection for each call.
		singleUse *http.Transport
	}

	// Target is where and how a call is sent.
	Target struct {
		Address string
		Path    string
		// NewConnection makes the call use a new connection. It is set for calls that must not be repeated: if one is
		// lost on an unresponsive connection, it can never be known whether it ran.
		NewConnection bool
		// Timeout is the maximum time without progress.
		Timeout time.Duration
		// ConnectBy is the deadline for the connection, after which the call is not made; zero for none.
		ConnectBy time.Time
	}

	// callTrace records what happened to the connection of one call.
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

// Unary makes a call and returns the complete reply. The error is a *Fault.
func (c *Client) Unary(ctx context.Context, target Target, call model.StageCall) (model.StageReply, error) {
	ctx, trace, watch := startWatchdog(ctx, target)
	defer watch.stop()
	res, err := c.send(ctx, target, call, trace)
	if err != nil {
		return model.StageReply{}, c.newFault(ctx, target, trace, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return model.StageReply{}, c.newFault(ctx, target, trace, err)
	}
	var reply model.StageReply
	if err := json.Unmarshal(body, &reply); err != nil {
		return reply, &Fault{Kind: Status, Verdict: model.MayHaveRun, Err: errors.Wrap(err, "decode reply")}
	}
	if !reply.Matches(call) {
		c.Retire(target.Address)
		return reply, &Fault{Kind: Mismatch, Verdict: model.MayHaveRun, Err: errors.Errorf("reply to %s/%s/%d", reply.Request, reply.Stage, reply.Attempt)}
	}
	if res.StatusCode != http.StatusOK {
		fault := statusFault(res.StatusCode, reply.Verdict, reply.Error)
		fault.Load = &reply.Load
		return reply, fault
	}
	return reply, nil
}

// Stream makes a call and passes each of its events to accept, in the order of arrival, up to the final one. The
// timeout applies between events. The error is a *Fault.
func (c *Client) Stream(ctx context.Context, target Target, call model.StageCall, accept func(model.TokenEvent) error) error {
	ctx, trace, watch := startWatchdog(ctx, target)
	defer watch.stop()
	res, err := c.send(ctx, target, call, trace)
	if err != nil {
		return c.newFault(ctx, target, trace, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return streamFault(res, call)
	}
	body := &io.LimitedReader{R: res.Body}
	events := json.NewDecoder(body)
	for {
		body.N = maxStreamEventBytes
		var event model.TokenEvent
		if err := events.Decode(&event); err != nil {
			return c.newFault(ctx, target, trace, err)
		}
		watch.reset()
		if !event.Matches(call) {
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

// Retire closes the idle connections to an address. Connections in use close when their calls end. New calls get new
// connections.
func (c *Client) Retire(address string) {
	c.mu.Lock()
	transport := c.transports[address]
	delete(c.transports, address)
	c.mu.Unlock()
	if transport != nil {
		transport.CloseIdleConnections()
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

func (c *Client) send(ctx context.Context, target Target, call model.StageCall, trace *callTrace) (*http.Response, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, errors.Wrap(err, "encode call")
	}
	// The idempotency key is in the body: net/http resends a request with an Idempotency-Key header by itself. Without
	// GetBody it cannot resend a request at all.
	req, err := http.NewRequestWithContext(trace.withTrace(ctx), http.MethodPost, "http://"+target.Address+target.Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if target.NewConnection {
		req.GetBody = nil
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.transport(target).RoundTrip(req)
	if err == nil && res.StatusCode < http.StatusContinue {
		// net/http takes any number of three digits for a status.
		_ = res.Body.Close()
		return nil, errors.Errorf("endpoint: %d is no status of HTTP", res.StatusCode)
	}
	return res, err
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

func (c *Client) newFault(ctx context.Context, target Target, trace *callTrace, err error) *Fault {
	f := &Fault{Kind: Cut, Verdict: model.MayHaveRun, Reused: trace.reused.Load(), Err: err}
	switch {
	case trace.timedOut.Load():
		f.Kind = Silent
		f.Err = errNoProgress
		c.Retire(target.Address)
	case ctx.Err() != nil:
		f.Kind = Cancelled
		f.Err = context.Cause(ctx)
	case !trace.connected.Load():
		f.Kind = Refused
	}
	if !trace.connected.Load() {
		f.Verdict = model.NotRun
	}
	return f
}

// withTrace returns a context with which the trace records whether the call got a connection. Before that, nothing was
// written.
func (t *callTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.connected.Store(true)
			t.reused.Store(info.Reused)
		},
	})
}

func statusFault(status int, verdict model.Verdict, text string) *Fault {
	if verdict == "" || verdict == model.Ran {
		verdict = model.MayHaveRun
	}
	return &Fault{Kind: Status, Verdict: verdict, Err: errors.Errorf("status %d: %s", status, text)}
}

// streamFault returns the fault of a call that an engine did not answer with a stream. The body of its answer, if it is a
// reply to the call, states the verdict and the load.
func streamFault(res *http.Response, call model.StageCall) *Fault {
	fault := statusFault(res.StatusCode, model.MayHaveRun, res.Status)
	if res.StatusCode == StatusNotLoaded {
		fault = &Fault{Kind: NotLoaded, Verdict: model.NotRun, Err: errors.New("the adapter is not loaded")}
	}
	var reply model.StageReply
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&reply); err != nil || !reply.Matches(call) {
		return fault
	}
	if reply.Verdict == model.NotRun {
		fault.Verdict = model.NotRun
	}
	fault.Load = &reply.Load
	return fault
}

func newTransport(keepAlive bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// watchdog cancels a call that makes no progress within the timeout or has no connection by its deadline.
type watchdog struct {
	progressTimer *time.Timer
	connectTimer  *time.Timer
	timeout       time.Duration
	cancel        context.CancelCauseFunc
}

// startWatchdog returns the context and the trace of a call, and its watchdog, which must be stopped.
func startWatchdog(ctx context.Context, target Target) (context.Context, *callTrace, watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	trace := &callTrace{}
	w := watchdog{timeout: target.Timeout, cancel: cancel}
	w.progressTimer = time.AfterFunc(target.Timeout, func() {
		trace.timedOut.Store(true)
		cancel(errNoProgress)
	})
	if target.ConnectBy.IsZero() {
		return ctx, trace, w
	}
	remaining := time.Until(target.ConnectBy)
	if remaining <= 0 {
		cancel(errNotConnected)
		return ctx, trace, w
	}
	w.connectTimer = time.AfterFunc(remaining, func() {
		if !trace.connected.Load() {
			cancel(errNotConnected)
		}
	})
	return ctx, trace, w
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
