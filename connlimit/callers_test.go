package connlimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/crowd"
	"basilstall.example/basilstall/held"
)

// crowdServer is a server with few connections, which answers requests for /slow once slow is closed.
type crowdServer struct {
	t       *testing.T
	address string
	tracker *connlimit.Tracker
	// begun receives a value for each request for /slow.
	begun chan struct{}
	slow  chan struct{}
}

func newCrowdServer(t *testing.T, limits crowd.Limits) *crowdServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &crowdServer{
		t: t, address: listener.Addr().String(), tracker: connlimit.NewTracker(held.NewLimits(0), time.Now),
		begun: make(chan struct{}, 9), slow: make(chan struct{}),
	}
	s.tracker.LimitCallers(limits)
	server := &http.Server{ConnContext: connlimit.WithConn, ConnState: s.tracker.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := s.tracker.Begin(r.Context())
		if err != nil {
			return
		}
		defer request.End()
		_, _ = io.Copy(io.Discard, request.Body(r.Context(), r.Body))
		if r.URL.Path == "/slow" {
			s.begun <- struct{}{}
			<-s.slow
		}
		_, _ = io.WriteString(w, "answer")
	})}
	go func() { _ = server.Serve(s.tracker.Listen(listener)) }()
	go s.tracker.Run(t.Context())
	t.Cleanup(func() {
		s.tracker.Close()
		_ = server.Close()
	})
	return s
}

// dial opens a connection and sends text.
func (s *crowdServer) dial(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	must.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	must.NoError(s.t, err)
	return conn
}

func get(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
}

// mustAnswer reads an answer from a connection.
func (s *crowdServer) mustAnswer(conn net.Conn) {
	s.t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(s.t, err)
	body, err := io.ReadAll(res.Body)
	must.NoError(s.t, err)
	must.Eq(s.t, "answer", string(body))
}

// mustEnd waits for the end of a connection.
func (s *crowdServer) mustEnd(conn net.Conn) {
	s.t.Helper()
	_, err := io.ReadAll(conn)
	_ = err // The connection may be reset.
}

// Guards against connections without requests that shut out others, and against requests that are cut off for a new connection.
func TestConnectionWithoutRequestYields(t *testing.T) {
	s := newCrowdServer(t, crowd.Limits{Conns: 2, HeadBytes: 1 << 20})
	served := s.dial(get("/slow"))
	<-s.begun
	silent := s.dial("GET /never HTTP/1.1\r\n")
	s.mustAnswer(s.dial(get("/")))
	s.mustEnd(silent)
	close(s.slow)
	s.mustAnswer(served)
}

// Guards against a new connection that is refused while others only wait for the end of their requests, and against one that sends
// its next request before it has the answer and so keeps its place.
func TestNewConnectionWaitsForRequestsUnderWay(t *testing.T) {
	s := newCrowdServer(t, crowd.Limits{Conns: 1, HeadBytes: 1 << 20})
	served := s.dial(get("/slow") + strings.Repeat(get("/slow"), 3))
	<-s.begun
	late := s.dial(get("/"))
	close(s.slow)
	s.mustAnswer(served)
	s.mustAnswer(late)
	s.mustEnd(served)
}

// Guards against heads of many fields that fill the memory, and against a usual one that is closed for them.
func TestLargestHeadIsClosed(t *testing.T) {
	s := newCrowdServer(t, crowd.Limits{Conns: 9, HeadBytes: 1 << 20})
	var fields strings.Builder
	for n := range 3000 {
		fmt.Fprintf(&fields, "%04d:\r\n", n)
	}
	first := s.dial("GET / HTTP/1.1\r\nHost: h\r\n" + fields.String())
	usual := s.dial("GET / HTTP/1.1\r\nHost: h\r\n")
	second := s.dial("GET / HTTP/1.1\r\nHost: h\r\n" + fields.String() + "more:\r\n")
	// One of the two large heads has to go: the one that was received later, as the larger one.
	ended := make(chan net.Conn, 2)
	for _, conn := range []net.Conn{first, second} {
		go func() {
			s.mustEnd(conn)
			ended <- conn
		}()
	}
	<-ended
	_, err := io.WriteString(usual, "\r\n")
	must.NoError(t, err)
	s.mustAnswer(usual)
}
