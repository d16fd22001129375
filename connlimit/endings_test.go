package connlimit_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/connlimit"
)

// serveUndelimited serves the paths of the site with answers that have neither a length nor chunks, at a further address, and
// breaks off the answers to /reset.
func (s *site) serveUndelimited() *http.Server {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(s.t, err)
	s.address = listener.Addr().String()
	server := &http.Server{ConnContext: connlimit.WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			s.serve(w, r)
			return
		}
		request, err := s.tracker.Begin(r.Context())
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer request.End()
		request.BeginUndelimited()
		if r.URL.Path == "/reset" {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Transfer-Encoding", "identity")
		s.serve(w, r)
		request.FinishUndelimited()
	})}
	go func() { _ = server.Serve(s.tracker.Listen(listener)) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return server
}

// Guards against a truncated answer that ends without an error when the node stops, both after its handler has returned and while
// the handler is blocked in a write.
func TestUndelimitedAnswerThatIsDroppedAtCloseIsReset(t *testing.T) {
	for path, size := range map[string]int{"/buffered": bufferedBytes, "/stream": answerBytes} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			server := s.serveUndelimited()
			conn := s.getBlocked(path, "", 1)
			// As Process.Close does.
			s.tracker.Close()
			_ = server.Close()
			n, err := readAnswer(conn)
			must.Error(t, err, must.Sprintf("%d of %d bytes came, and then the end of the connection", n, size))
		})
	}
}

// Guards against a broken-off answer that drops the answer to an earlier request on the connection, which was whole.
func TestResetKeepsEarlierAnswer(t *testing.T) {
	s := newSite(t)
	s.serveUndelimited()
	conn := s.getBlocked("/small?chunks", "", 1)
	_, err := io.WriteString(conn, "GET /reset HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	s.awaitSettled()
	n, err := readAnswer(conn)
	must.NoError(t, err)
	must.EqOp(t, smallBytes, n)
}

// Guards against an answer without length or chunks that is all written by its handler, and ends like a whole one although its
// caller was disconnected before it had taken all of it.
func TestUndelimitedAnswerOfDisconnectedCallerIsReset(t *testing.T) {
	for path, size := range map[string]int{"/": answerBytes, "/stream": answerBytes, "/small": smallBytes, "/buffered": bufferedBytes} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t)
			s.serveUndelimited()
			conn := s.getBlocked(path, "", 1)
			s.advance(limits.StallTimeout)
			must.Eq(t, []connlimit.Cause{connlimit.Stalled}, s.closeCauses())
			s.await("all freed", func() bool { return s.tracker.HeldBytes() == 0 && s.tracker.Conns() == 0 })
			n, err := readAnswer(conn)
			must.Error(t, err)
			must.Less(t, size, n)
		})
	}
}
