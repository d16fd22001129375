package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/model"
)

const okReply = "HTTP/1.1 200 OK\r\nX-Id: %\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"

// scriptedServer is an endpoint whose replies are scripted. The script returns the reply to a request by the numbers of
// its connection and of the request on that connection. In a reply, % stands for the request's ID. An empty reply
// closes the connection, and so does a reply that ends with "!close", once it is sent.
type scriptedServer struct {
	address  string
	conns    atomic.Int64
	requests atomic.Int64
}

func newScriptedServer(t *testing.T, script func(conn, request int) string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, int(s.conns.Add(1)), script)
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, number int, script func(conn, request int) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for request := 1; ; request++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.requests.Add(1)
		text := script(number, request)
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(text, "%", r.Header.Get("X-Id"))); err != nil {
			return
		}
		if strings.HasSuffix(text, "!close") {
			return
		}
	}
}

func send(t *testing.T, x *endpoint.Exchanger, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := x.Send(ctx, endpoint.Exchange{
		MaxIdleConns: 8,
		Address:      address, Method: http.MethodPost, URI: "/run", Host: "h", Header: http.Header{"X-Id": {id}},
		Body: []byte("body"), EchoField: "X-Id", EchoValue: id, MaxConnIdleTime: time.Hour,
	})
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply.Body)
	return string(body), err
}

func TestConnectionIsReusedAfterCompleteReply(t *testing.T) {
	s := newScriptedServer(t, func(int, int) string { return okReply })
	x := endpoint.NewExchanger(time.Now)
	for _, id := range []string{"1", "2", "3"} {
		body, err := send(t, x, s.address, id)
		must.NoError(t, err)
		must.Eq(t, "ok", body)
	}
	must.Eq(t, 1, s.conns.Load())
}

func TestReplyToAnotherRequestIsNotAccepted(t *testing.T) {
	stray := strings.ReplaceAll(okReply, "%", "old")
	for _, tc := range []struct {
		name   string
		script func(conn, request int) string
		ok     bool
	}{
		{"reply to an earlier request before the own reply", func(_, request int) string {
			if request == 2 {
				return stray + okReply
			}
			return okReply
		}, true},
		{"only replies to another request", func(int, int) string { return stray + stray + stray }, false},
		{"second reply right after the first", func(conn, _ int) string {
			if conn == 1 {
				return okReply + okReply
			}
			return okReply
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScriptedServer(t, tc.script)
			x := endpoint.NewExchanger(time.Now)
			for _, id := range []string{"1", "2"} {
				body, err := send(t, x, s.address, id)
				must.Eq(t, tc.ok, err == nil)
				if tc.ok {
					must.Eq(t, "ok", body)
					continue
				}
				var fault *endpoint.Fault
				must.True(t, errors.As(err, &fault))
				must.Eq(t, endpoint.Mismatch, fault.Kind)
				must.Eq(t, model.MayHaveRun, fault.Verdict)
			}
		})
	}
}

func TestBrokenReplyIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"body shorter than Content-Length": "HTTP/1.1 200 OK\r\nX-Id: %\r\nContent-Length: 9\r\n\r\nok!close",
		"no last chunk":                    "HTTP/1.1 200 OK\r\nX-Id: %\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n!close",
		"malformed chunk size":             "HTTP/1.1 200 OK\r\nX-Id: %\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
		"malformed status line":            "\x00\x01garbage\r\n\r\n",
		"header without end":               "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 20000),
		"connection closed without reply":  "",
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, func(int, int) string { return text })
			_, err := send(t, endpoint.NewExchanger(time.Now), s.address, "1")
			must.Error(t, err)
			must.Eq(t, 1, s.requests.Load(), must.Sprint("the request was sent again"))
		})
	}
}

// Guards against a reply that may be the beginning of one being taken for whole: the end of its connection is no end of it.
func TestReplyWithoutLengthStatesNoEnd(t *testing.T) {
	s := newScriptedServer(t, func(int, int) string { return "HTTP/1.1 200 OK\r\nX-Id: %\r\n\r\nok!close" })
	x := endpoint.NewExchanger(time.Now)
	for _, id := range []string{"1", "2"} {
		body, err := send(t, x, s.address, id)
		must.ErrorIs(t, err, ending.ErrUnstated)
		must.Eq(t, "ok!close", body)
	}
	must.Eq(t, 2, s.conns.Load())
}

func TestEarlyReplyClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	var conns atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			id := strconv.FormatInt(conns.Add(1), 10)
			// Answer without reading the body.
			go func() { _, _ = io.WriteString(conn, strings.ReplaceAll(okReply, "%", id)) }()
		}
	}()
	x := endpoint.NewExchanger(time.Now)
	for _, id := range []string{"1", "2"} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		reply, err := x.Send(ctx, endpoint.Exchange{
			MaxIdleConns: 8,
			Address:      listener.Addr().String(), Method: http.MethodPost, URI: "/run", Host: "h", Header: http.Header{},
			Body: make([]byte, 8<<20), EchoField: "X-Id", EchoValue: id, MaxConnIdleTime: time.Hour,
		})
		must.NoError(t, err)
		_, err = io.ReadAll(reply.Body)
		must.NoError(t, err)
		reply.Close()
		cancel()
	}
	must.Eq(t, 2, conns.Load(), must.Sprint("a connection was reused on which the rest of the body would be taken for the next request"))
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = send(t, endpoint.NewExchanger(time.Now), address, "1")
	var fault *endpoint.Fault
	must.True(t, errors.As(err, &fault))
	must.Eq(t, model.NotRun, fault.Verdict)
	must.Eq(t, endpoint.Refused, fault.Kind)
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	s := newScriptedServer(t, func(conn, _ int) string {
		if conn == 1 {
			defer close(closed)
			return okReply + "!close"
		}
		return okReply
	})
	x := endpoint.NewExchanger(time.Now)
	_, err := send(t, x, s.address, "1")
	must.NoError(t, err)
	<-closed
	body, err := send(t, x, s.address, "2")
	must.NoError(t, err)
	must.Eq(t, "ok", body)
	must.Eq(t, 2, s.requests.Load())
}

func TestBeforeSendErrorPreventsSending(t *testing.T) {
	s := newScriptedServer(t, func(int, int) string { return okReply })
	x := endpoint.NewExchanger(time.Now)
	refusal := errors.New("no longer wanted")
	_, err := x.Send(context.Background(), endpoint.Exchange{
		MaxIdleConns: 8,
		Address:      s.address, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{},
		BeforeSend: func() error { return refusal },
	})
	must.ErrorIs(t, err, refusal)
	must.Eq(t, 0, s.requests.Load())
}

func TestContextCancellationEndsExchange(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := newScriptedServer(t, func(int, int) string {
		cancel()
		time.Sleep(time.Hour)
		return ""
	})
	_, err := endpoint.NewExchanger(time.Now).Send(ctx, endpoint.Exchange{
		MaxIdleConns: 8,
		Address:      s.address, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{},
	})
	var fault *endpoint.Fault
	must.True(t, errors.As(err, &fault))
	must.Eq(t, endpoint.Cancelled, fault.Kind)
	must.Eq(t, model.MayHaveRun, fault.Verdict)
}

// At most MaxIdleConns connections stay open, those used last. The next exchanges open the missing ones.
func TestIdleConnectionsAreBounded(t *testing.T) {
	for maxIdle, want := range map[int]int64{0: 6, 2: 4, 8: 3} {
		s := newScriptedServer(t, func(int, int) string { return okReply })
		x := endpoint.NewExchanger(time.Now)
		for round := range 2 {
			var replies []*endpoint.ExchangeReply
			for i := range 3 {
				id := fmt.Sprint(round, "-", i)
				reply, err := x.Send(t.Context(), endpoint.Exchange{
					MaxIdleConns: maxIdle,
					Address:      s.address, Method: http.MethodPost, URI: "/run", Host: "h", Header: http.Header{"X-Id": {id}},
					EchoField: "X-Id", EchoValue: id, MaxConnIdleTime: time.Hour,
				})
				must.NoError(t, err)
				_, err = io.ReadAll(reply.Body)
				must.NoError(t, err)
				replies = append(replies, reply)
			}
			for _, reply := range replies {
				reply.Close()
			}
		}
		must.EqOp(t, want, int64(s.conns.Load()), must.Sprint(maxIdle, " idle connections"))
	}
}

// An idle connection is used no longer than the endpoint states that it keeps it, less a margin for its close in transit.
// Guards against requests that are lost on a connection that the endpoint is closing.
func TestIdleConnectionExpiresAsStated(t *testing.T) {
	s := newScriptedServer(t, func(int, int) string {
		return "HTTP/1.1 200 OK\r\nX-Id: %\r\nKeep-Alive: max=9, timeout=3\r\nContent-Length: 2\r\n\r\nok"
	})
	now := time.Now()
	x := endpoint.NewExchanger(func() time.Time { return now })
	for i, step := range []struct {
		idle  time.Duration
		conns int64
	}{{0, 1}, {2400 * time.Millisecond, 1}, {2600 * time.Millisecond, 2}} {
		now = now.Add(step.idle)
		_, err := send(t, x, s.address, strconv.Itoa(i))
		must.NoError(t, err)
		must.EqOp(t, step.conns, s.conns.Load())
	}
}

// A connection is not used again after an answer that announces its close, although it is still open. Guards against
// requests that are lost on a connection that the endpoint is closing.
func TestConnectionIsNotUsedAfterAnnouncedClose(t *testing.T) {
	s := newScriptedServer(t, func(int, int) string {
		return "HTTP/1.1 200 OK\r\nX-Id: %\r\nConnection: close\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"
	})
	x := endpoint.NewExchanger(time.Now)
	for _, id := range []string{"1", "2"} {
		_, err := send(t, x, s.address, id)
		must.NoError(t, err)
	}
	must.EqOp(t, 2, s.conns.Load())
}

// A request does not go out on a connection that has carried its ID, and takes another idle one if there is one. Guards
// against a second copy of the earlier reply, which has the same ID, being taken for the reply to this request.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
	s := newScriptedServer(t, func(_, request int) string {
		if request == 1 {
			return "HTTP/1.1 421 Misdirected Request\r\nX-Id: %\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nno"
		}
		return okReply
	})
	x := endpoint.NewExchanger(time.Now)
	repeated := 0
	x.OnRepeatedID = func(string) { repeated++ }
	for _, step := range []struct {
		id    string
		conns int64
	}{{"1", 1}, {"1", 2}, {"2", 2}, {"1", 3}, {"2", 3}, {"3", 3}} {
		_, err := send(t, x, s.address, step.id)
		must.NoError(t, err)
		must.EqOp(t, step.conns, s.conns.Load(), must.Sprint("connections after request ", step.id))
	}
	must.Positive(t, repeated)
}

// A connection is closed once it has carried as many requests as it records IDs of.
func TestConnectionCarriesBoundedRequests(t *testing.T) {
	s := newScriptedServer(t, func(int, int) string { return okReply })
	x := endpoint.NewExchanger(time.Now)
	for i := range 1000 {
		_, err := send(t, x, s.address, strconv.Itoa(i))
		must.NoError(t, err)
	}
	must.EqOp(t, 2, s.conns.Load())
}
