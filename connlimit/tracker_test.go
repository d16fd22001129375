package connlimit_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/held"
)

const (
	// answerBytes is the size of the answers: more than the kernel and the connection buffer together.
	answerBytes = 3 << 20
	// smallBytes is the size of an answer that the connection buffers, so that its handler returns.
	smallBytes = 512 << 10
	// bufferedBytes is the size of an answer that nearly fills the buffer of a connection.
	bufferedBytes = 960_000
)

// limits has room for two buffered answers.
var limits = held.Limits{Total: 9 << 20, Answers: 9 << 20, PerConn: 5 << 20, Admission: 7 << 20, Expected: 36 << 20, StallTimeout: 5 * time.Second, MinStall: 250 * time.Millisecond}

// site is an HTTP server whose connections are tracked on a clock that the test moves.
type site struct {
	t       *testing.T
	tracker *connlimit.Tracker
	server  *http.Server
	address string

	mu     sync.Mutex
	now    time.Time
	causes []connlimit.Cause
}

// newSite starts a server that answers with answerBytes bytes, which it reserves first. For /stream it streams them, and for
// /small smallBytes and for /buffered bufferedBytes bytes.
func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, now: time.Unix(1000, 0)}
	s.tracker = connlimit.NewTracker(limits, func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.now
	})
	s.tracker.OnClose = func(_ string, _ int64, cause connlimit.Cause) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.causes = append(s.causes, cause)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ConnContext: connlimit.WithConn}
	go func() { _ = s.server.Serve(s.tracker.Listen(listener)) }()
	t.Cleanup(func() {
		s.tracker.Close()
		_ = s.server.Close()
	})
	return s
}

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	request, err := s.tracker.Begin(r.Context())
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer request.End()
	if _, err := io.Copy(io.Discard, request.Body(r.Context(), r.Body)); err != nil {
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	answer := bytes.Repeat([]byte("x"), answerBytes)
	if r.URL.Path != "/" {
		switch r.URL.Path {
		case "/small":
			answer = answer[:smallBytes]
		case "/buffered":
			answer = answer[:bufferedBytes]
		}
		for event := range slices.Chunk(answer, 1<<10) {
			if _, err := w.Write(event); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		return
	}
	if request.Reserve(r.Context(), answerBytes) != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if _, err := w.Write(answer); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// advance moves the clock and sweeps.
func (s *site) advance(d time.Duration) {
	s.mu.Lock()
	s.now = s.now.Add(d)
	s.mu.Unlock()
	s.tracker.Sweep()
}

func (s *site) closeCauses() []connlimit.Cause {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]connlimit.Cause(nil), s.causes...)
}

// await polls until a condition holds, without moving the clock.
func (s *site) await(condition string, ok func() bool) {
	s.t.Helper()
	for range 4000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatalf("condition not met: %s", condition)
}

// get sends a request on a new connection with a small receive buffer, and returns the connection unread.
func (s *site) get(path, header string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	must.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	must.NoError(s.t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n"+header+"\r\n")
	must.NoError(s.t, err)
	return conn
}

// getBlocked returns a connection whose answer is blocked because it is not read.
func (s *site) getBlocked(path, header string, sending int) net.Conn {
	s.t.Helper()
	conn := s.get(path, header)
	s.await("answer under way", func() bool { return s.tracker.Sending() == sending })
	s.awaitSettled()
	return conn
}

// awaitSettled waits until the number of held bytes has not changed for 0.4 s: the kernel sends what is left of a closed window
// after its least retransmission timeout of 200 ms.
func (s *site) awaitSettled() {
	const settledPolls = 80
	before, same := int64(-1), 0
	s.await("held bytes settled", func() bool {
		s.tracker.Sweep()
		if now := s.tracker.HeldBytes(); now == before {
			same++
		} else {
			before, same = now, 0
		}
		return same >= settledPolls
	})
}

// readAnswer reads an answer to its end. It returns the length of the body.
func readAnswer(reader io.Reader) (int, error) {
	res, err := http.ReadResponse(bufio.NewReaderSize(reader, 256<<10), nil)
	if err != nil {
		return 0, err
	}
	n, err := io.Copy(io.Discard, res.Body)
	return int(n), err
}

// Guards against a caller that holds memory for as long as it likes, and against an answer that looks complete although it
// was ended: as a body of known length, in chunks, and after its handler has returned.
func TestCallerThatTakesNoByteIsDisconnected(t *testing.T) {
	for path, size := range map[string]int{"/": answerBytes, "/stream": answerBytes, "/small": smallBytes} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			conn := s.getBlocked(path, "", 1)
			s.advance(limits.StallTimeout - time.Millisecond)
			must.SliceEmpty(t, s.closeCauses())
			s.advance(time.Millisecond)
			must.Eq(t, []connlimit.Cause{connlimit.Stalled}, s.closeCauses())
			s.await("all freed", func() bool { return s.tracker.HeldBytes() == 0 && s.tracker.Conns() == 0 })
			n, err := readAnswer(conn)
			must.Error(t, err)
			must.Less(t, size, n)
		})
	}
}

// Guards against ending a slow caller that takes bytes within the bound, and against a stream whose handler is blocked over a
// whole answer that fits the buffer.
func TestSlowSteadyCallerGetsItsWholeAnswer(t *testing.T) {
	for path, size := range map[string]int{"/": answerBytes, "/stream": answerBytes, "/small": smallBytes} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			conn := s.getBlocked(path, "Connection: close\r\n", 1)
			// 4 s pass between any two parts that the caller reads, each of which opens its receive window again.
			n, err := readAnswer(slowReader{conn, func() {
				s.awaitSettled()
				s.advance(4 * time.Second)
			}})
			must.NoError(t, err)
			must.EqOp(t, size, n)
			must.SliceEmpty(t, s.closeCauses())
			s.await("all freed", func() bool {
				s.tracker.Sweep()
				return s.tracker.HeldBytes() == 0
			})
		})
	}
}

// Guards against a bound that callers who do not read exceed, or under which they shut out others: new requests are refused
// at once while nothing can be freed, and served at the cost of the slowest caller as soon as it can.
func TestSlowestCallerMakesRoom(t *testing.T) {
	s := newSite(t)
	first := s.getBlocked("/", "", 1)
	s.advance(100 * time.Millisecond)
	second := s.getBlocked("/", "", 2)
	s.awaitSettled()
	// Half of a third answer.
	other := s.tracker.BeginDetached()
	must.NoError(t, other.Reserve(context.Background(), 2<<20))
	res, err := http.Get("http://" + s.address)
	must.NoError(t, err)
	must.EqOp(t, http.StatusServiceUnavailable, res.StatusCode)
	must.NoError(t, res.Body.Close())
	s.advance(limits.MinStall - 100*time.Millisecond)
	must.SliceEmpty(t, s.closeCauses())
	third := s.get("/", "")
	n, err := readAnswer(third)
	must.NoError(t, err)
	must.EqOp(t, answerBytes, n)
	must.Eq(t, []connlimit.Cause{connlimit.NoRoom}, s.closeCauses())
	_, err = readAnswer(first)
	must.Error(t, err)
	n, err = readAnswer(second)
	must.NoError(t, err)
	must.EqOp(t, answerBytes, n)
	other.End()
	must.LessEq(t, limits.Total, s.tracker.PeakHeldBytes())
}

// Guards against memory for bodies of requests beyond the bound, and for those that stop coming.
func TestBodiesAreBounded(t *testing.T) {
	s := newSite(t)
	other := s.tracker.BeginDetached()
	must.NoError(t, other.Reserve(context.Background(), 4<<20))
	res, err := http.Post("http://"+s.address, "", bytes.NewReader(make([]byte, 4<<20)))
	must.NoError(t, err)
	must.EqOp(t, http.StatusInsufficientStorage, res.StatusCode)
	must.NoError(t, res.Body.Close())
	conn, err := net.Dial("tcp", s.address)
	must.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n"+string(make([]byte, 1<<20)))
	must.NoError(t, err)
	s.await("a part of the body", func() bool { return s.tracker.HeldBytes() > 4<<20 })
	s.awaitSettled()
	s.advance(limits.MinStall)
	must.NoError(t, other.Reserve(context.Background(), 1<<20-1))
	request := s.tracker.BeginDetached()
	must.NoError(t, request.ReserveBody(context.Background(), 2<<20))
	must.Eq(t, []connlimit.Cause{connlimit.NoRoom}, s.closeCauses())
}

// Guards against bytes that are counted for a request that has ended, as by an attempt that lost to another one.
func TestEndedRequestReservesNothing(t *testing.T) {
	s := newSite(t)
	request := s.tracker.BeginDetached()
	must.NoError(t, request.Reserve(context.Background(), 5))
	request.End()
	request.End()
	must.ErrorIs(t, request.Reserve(context.Background(), 5), connlimit.ErrFull)
	request.Add(5)
	must.EqOp(t, 0, s.tracker.HeldBytes())
}

// Guards against a graceful shutdown that cuts an answer which is buffered after its handler has returned, and against one
// that waits for a caller who does not read beyond its context.
func TestShutdownSendsBufferedAnswers(t *testing.T) {
	s := newSite(t)
	conn := s.getBlocked("/buffered", "", 1)
	must.NoError(t, s.server.Shutdown(context.Background()))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	must.False(t, s.tracker.AwaitSent(ended))
	sent := make(chan bool)
	go func() {
		sent <- s.tracker.AwaitSent(context.Background())
		s.tracker.Close()
	}()
	n, err := readAnswer(conn)
	must.NoError(t, err)
	must.EqOp(t, bufferedBytes, n)
	must.True(t, <-sent)
	must.EqOp(t, 0, s.tracker.HeldBytes())
}

// slowReader reads in parts and calls before first each time. A part spans several updates of the receive window.
type slowReader struct {
	conn   net.Conn
	before func()
}

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	r.before()
	n, err := io.ReadFull(r.conn, p)
	if err == io.ErrUnexpectedEOF {
		err = io.EOF
	}
	return n, err
}
