package endpoint_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/model"
)

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// A connection is closed after 256 KB at most beyond a sound reply if what comes on it can't become one. Guards against
// replies to other requests that are read until the deadline of the request.
func TestEndlessReplyIsCutOff(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nX-Id: another\r\n"
	for name, tc := range map[string]struct{ begin, repeated string }{
		"header":                              {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"interim replies":                     {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body of a reply to another":          {foreign + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"unframed body of a reply to another": {foreign + "\r\n", "abcd"},
		"header after a reply to another":     {foreign + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"replies to another":                  {"", foreign + "Content-Length: 2\r\n\r\nok"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Each reply is longer than all buffers, so that a reader that does not stop reads more than it may.
			s := newScriptedServer(t, func(int, int) string { return tc.begin + strings.Repeat(tc.repeated, 8<<20/len(tc.repeated)) })
			x := endpoint.NewExchanger(time.Now)
			var read atomic.Int64
			x.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				var dialer net.Dialer
				conn, err := dialer.DialContext(ctx, network, address)
				return countedConn{conn, &read}, err
			}
			_, err := send(t, x, s.address, "1")
			must.Error(t, err)
			must.LessEq(t, 256<<10+64<<10, read.Load())
		})
	}
}

// White space without end in place of the events of a stream ends the call. Guards against memory that grows with it.
func TestEndlessWhiteSpaceEndsStream(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := io.WriteString(w, strings.Repeat(" \n", 4096)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client := endpoint.NewClient()
	defer client.Close()
	target := endpoint.Target{Address: strings.TrimPrefix(server.URL, "http://"), Path: "/generate", Timeout: time.Minute}
	err := client.Stream(t.Context(), target, model.StageCall{Request: "r", Stage: "s", Attempt: 1}, func(model.TokenEvent) error { return nil })
	var fault *endpoint.Fault
	must.True(t, errors.As(err, &fault))
	must.EqOp(t, model.MayHaveRun, fault.Verdict)
}
