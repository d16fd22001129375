package connlimit

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/crowd"
	"basilstall.example/basilstall/held"
)

const (
	// sweepInterval is how often the state of connections with unacknowledged bytes is read. It is well below the time
	// without progress after which a connection may be closed.
	sweepInterval = 100 * time.Millisecond
	// maxReserveWait is how long an answer waits for room. By then, the connections that make no progress can have been closed
	// several times over; an endpoint would end an answer that stays unread for some seconds.
	maxReserveWait = 2 * time.Second
	// sentPollInterval is how often AwaitSent reads the state of connections: a small part of the 200 ms that a node on the
	// platform has for its last answers.
	sentPollInterval = 10 * time.Millisecond
)

// The causes for which connections are closed.
const (
	// Stalled: the caller took no byte of an answer for the stall timeout.
	Stalled Cause = "SlowCallerClosed"
	// NoRoom: the bound on all held bytes was reached, and no other connection had made no progress for longer.
	NoRoom Cause = "SlowCallerClosedForRoom"
	// NoConn: there were as many connections as there may be, and the closed one was needed least.
	NoConn Cause = "CallerClosedForOthers"
	// NoConnLeft: there were as many connections as there may be, all with requests under way.
	NoConnLeft Cause = "CallerNotAccepted"
	// NoHead: heads of requests took as much memory as they may, and that of the closed connection took most.
	NoHead Cause = "CallerClosedForHead"
)

// ErrFull is the error of a reservation that would exceed the bound on the held bytes.
var ErrFull = errors.New("connlimit: the node holds as many bytes as it may")

type (
	// Cause is the reason why a connection was closed. It is also the name of the event to count.
	Cause string

	// Tracker counts the bytes that a node holds for callers. It is safe for concurrent use.
	Tracker struct {
		// OnClose is called after a connection was closed because its caller did not read, with the bytes that it held.
		OnClose func(remote string, bytes int64, cause Cause)

		now func() time.Time

		mu     sync.Mutex
		ledger *held.Ledger
		// callers holds the same connections, to decide which are kept.
		callers *crowd.Ledger
		// waitingAdmissions is the number of connections that wait for room.
		waitingAdmissions int
		// active holds the connections that have bytes which the peer has not acknowledged, conns all.
		active map[held.ID]*Conn
		conns  map[held.ID]*Conn
		// room is closed and replaced when bytes are freed or connections may have become slow enough to be closed.
		room   chan struct{}
		closed bool
		// exhausted is true if no connection could be closed to make room since the last sweep.
		exhausted bool
	}

	// Request is a request whose body and answer are counted until End. It is safe for concurrent use.
	Request struct {
		tracker *Tracker
		id      held.ID
		// detached is true if the entry belongs to the request alone, and not to a connection.
		detached bool
		// The other fields are guarded by the mutex of the tracker. body and answer are the numbers of reserved bytes.
		body, answer int64
		ended        bool
		// expected is true from Expect to Answered.
		expected bool
	}

	// connKey is the key of the connection in the context of a request.
	connKey struct{}
)

// NewTracker returns a tracker without connections. The clock must include the time in which the process was suspended.
func NewTracker(limits held.Limits, now func() time.Time) *Tracker {
	return &Tracker{
		OnClose: func(string, int64, Cause) {},
		now:     now,
		ledger:  held.NewLedger(limits),
		callers: crowd.NewLedger(crowd.NewLimits(0, 0)),
		active:  map[held.ID]*Conn{},
		conns:   map[held.ID]*Conn{},
		room:    make(chan struct{}),
	}
}

// LimitCallers sets what callers may make the node hold. It must be called before the first connection is accepted.
func (t *Tracker) LimitCallers(limits crowd.Limits) {
	t.callers = crowd.NewLedger(limits)
}

// Run closes connections whose callers do not read, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		t.Sweep()
	}
}

// Sweep reads the state of all connections with unacknowledged bytes, and closes those that are stalled.
func (t *Tracker) Sweep() {
	t.observeActive()
	now := t.now()
	t.mu.Lock()
	t.exhausted = false
	stalled := t.ledger.Stalled(now)
	t.wakeLocked()
	t.mu.Unlock()
	for _, id := range stalled {
		t.closeConn(id, Stalled)
	}
}

// observeActive reads the state of all connections with unacknowledged bytes.
func (t *Tracker) observeActive() {
	t.mu.Lock()
	active := make([]*Conn, 0, len(t.active))
	for _, c := range t.active {
		active = append(active, c)
	}
	t.mu.Unlock()
	for _, c := range active {
		c.observe()
	}
}

// AwaitSent waits until all bytes that are buffered for callers are sent, and all that were written to connections which the
// server has closed are acknowledged. It returns false if ctx ends first. It has to be called between http.Server.Shutdown
// and Close: Shutdown counts a connection as idle once its response is buffered, and Close drops what is still buffered.
func (t *Tracker) AwaitSent(ctx context.Context) bool {
	for t.observeActive(); t.unsent(); t.observeActive() {
		if !clock.Sleep(ctx, sentPollInterval) {
			return false
		}
	}
	return true
}

// unsent reports whether a connection has buffered bytes, or was closed by the server and has unacknowledged ones.
func (t *Tracker) unsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if c.draining || c.lingering {
			return true
		}
	}
	return false
}

// Close makes connections close at once from now on, whether or not their callers have taken all bytes.
func (t *Tracker) Close() {
	t.mu.Lock()
	t.closed = true
	var lingering []*Conn
	for _, c := range t.conns {
		if c.lingering {
			lingering = append(lingering, c)
		}
	}
	t.mu.Unlock()
	for _, c := range lingering {
		_ = c.closeNow()
	}
}

// HeldBytes returns the bytes that are held now.
func (t *Tracker) HeldBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Total()
}

// PeakHeldBytes returns the maximum of HeldBytes so far.
func (t *Tracker) PeakHeldBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Peak()
}

// Sending returns the number of connections whose callers have bytes to take.
func (t *Tracker) Sending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Sending()
}

// Conns returns the number of open connections.
func (t *Tracker) Conns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// HeadBytes returns what the heads of requests take, beyond what each connection may.
func (t *Tracker) HeadBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.callers.HeadBytes()
}

// WithConn returns a context that names the connection of the requests in it. It is a ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Begin begins a request on the connection that ctx names. It returns ErrFull if the node takes on no more requests; the
// request must be ended otherwise.
func (t *Tracker) Begin(ctx context.Context) (*Request, error) {
	for {
		t.mu.Lock()
		admits := t.ledger.Admits()
		t.mu.Unlock()
		if admits {
			break
		}
		if !t.makeRoom() {
			return nil, ErrFull
		}
	}
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		t.endHead(c)
		return &Request{tracker: t, id: c.id}, nil
	}
	return t.BeginDetached(), nil
}

// BeginUndelimited records that the answer to the request has begun and ends with its connection. The connection then ends with
// a reset, after what is buffered for the caller, unless FinishUndelimited is called.
func (r *Request) BeginUndelimited() {
	if c := r.conn(); c != nil {
		c.beginUndelimited()
	}
}

// FinishUndelimited records that all of the answer is written.
func (r *Request) FinishUndelimited() {
	if c := r.conn(); c != nil {
		c.finishUndelimited()
	}
}

// conn returns the connection of the request, or nil if it has none.
func (r *Request) conn() *Conn {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns[r.id]
}

// BeginDetached begins a request that another node passes on.
func (t *Tracker) BeginDetached() *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Request{tracker: t, id: t.ledger.Open(), detached: true}
}

// makeRoom closes the slowest connection. It returns false if there is none that may be closed.
func (t *Tracker) makeRoom() bool {
	for {
		now := t.now()
		t.mu.Lock()
		if t.exhausted {
			t.mu.Unlock()
			return false
		}
		id, ok := t.ledger.Slowest(now)
		t.exhausted = !ok
		c := t.conns[id]
		t.mu.Unlock()
		if !ok {
			return false
		}
		c.observe()
		t.mu.Lock()
		again, ok := t.ledger.Slowest(now)
		t.mu.Unlock()
		if ok && again == id && t.closeConn(id, NoRoom) {
			return true
		}
	}
}

// closeConn aborts a connection, so that its answer cannot appear complete. It returns false if the connection is closed
// already.
func (t *Tracker) closeConn(id held.ID, cause Cause) bool {
	t.mu.Lock()
	c := t.conns[id]
	bytes, ok := t.ledger.MarkClosing(id)
	if ok {
		t.wakeLocked()
	}
	t.mu.Unlock()
	if c == nil || !ok {
		return false
	}
	c.abort()
	t.OnClose(c.RemoteAddr().String(), bytes, cause)
	return true
}

// wakeLocked wakes the reservations that wait for room.
func (t *Tracker) wakeLocked() {
	close(t.room)
	t.room = make(chan struct{})
}

// Expect announces that the answer will be reserved. It returns ErrFull if so many answers are expected that this one might
// find no room; the request should not be run then. A further call judges by what is held and expected by then.
func (r *Request) Expect() error {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.ended {
		return nil
	}
	if r.expected {
		r.expected = false
		r.tracker.ledger.Unanswered()
	}
	if !r.tracker.ledger.Expect() {
		return ErrFull
	}
	r.expected = true
	return nil
}

// Reserve counts n bytes of an answer. If there is no room, it closes the slowest connection, or waits a short time. It
// returns ErrFull if there is still none, or if the request has ended.
func (r *Request) Reserve(ctx context.Context, n int64) error {
	return r.reserve(ctx, n, held.ForAnswer)
}

// ReserveBody counts n bytes of the body of the request, which has not been sent anywhere. If there is no room, it closes the
// slowest connection, or returns ErrFull.
func (r *Request) ReserveBody(ctx context.Context, n int64) error {
	return r.reserve(ctx, n, held.ForRequest)
}

// FreeBody frees n bytes that were reserved with ReserveBody.
func (r *Request) FreeBody(n int64) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	r.body -= n
	t.ledger.Add(r.id, -n, held.ForRequest)
	t.wakeLocked()
}

func (r *Request) reserve(ctx context.Context, n int64, use held.Use) error {
	var timeout <-chan time.Time
	for {
		result, room := r.tryReserve(n, use)
		switch {
		case result == held.Reserved:
			return nil
		case result == held.ConnFull:
			return ErrFull
		case result == held.Full && r.tracker.makeRoom():
			continue
		case result == held.Full && use == held.ForRequest:
			return ErrFull
		}
		if timeout == nil {
			timer := time.NewTimer(maxReserveWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-room:
		case <-timeout:
			return ErrFull
		case <-ctx.Done():
			return ErrFull
		}
	}
}

// tryReserve counts n bytes if there is room; otherwise room is closed when there may be.
func (r *Request) tryReserve(n int64, use held.Use) (result held.Result, room <-chan struct{}) {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return held.ConnFull, nil
	}
	result = t.ledger.Reserve(r.id, n, use)
	switch {
	case result != held.Reserved:
	case use == held.ForRequest:
		r.body += n
	default:
		r.answer += n
	}
	return result, t.room
}

// Answered records that an answer of n bytes has come and was reserved.
func (r *Request) Answered(n int64) {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.expected {
		r.expected = false
		r.tracker.ledger.Answered(n)
	}
}

// MeanAnswer returns the mean size of answers in bytes.
func (r *Request) MeanAnswer() int64 {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	return r.tracker.ledger.MeanAnswer()
}

// Add counts n bytes that are passed on at once, or that many fewer if n is negative. It never fails, but closes a slow
// connection if there is no room.
func (r *Request) Add(n int64) {
	t := r.tracker
	t.mu.Lock()
	if r.ended {
		t.mu.Unlock()
		return
	}
	r.answer += n
	fits := t.ledger.Add(r.id, n, held.ForAnswer)
	if n < 0 {
		t.wakeLocked()
	}
	t.mu.Unlock()
	if !fits {
		t.makeRoom()
	}
}

// End frees all that the request holds. Further reservations fail. End may be called more than once.
func (r *Request) End() {
	t := r.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if r.expected {
		r.expected = false
		t.ledger.Unanswered()
	}
	if r.detached {
		t.ledger.Close(r.id)
	} else {
		t.ledger.Add(r.id, -r.body, held.ForRequest)
		t.ledger.Add(r.id, -r.answer, held.ForAnswer)
	}
	if r.body+r.answer > 0 {
		t.wakeLocked()
	}
}
