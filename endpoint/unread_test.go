package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/held"
	"basilstall.example/basilstall/model"
)

const largeBody = 1 << 20

// gatedServer is an endpoint that reads requests once reads is closed, and answers them once answers is.
type gatedServer struct {
	address        string
	reads, answers chan struct{}
	// arrived and read receive a value for each connection and for each request that was read.
	arrived, read chan struct{}
}

func newGatedServer(t *testing.T) *gatedServer {
	t.Helper()
	// The receive buffer takes no large body.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 16<<10) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &gatedServer{
		address: listener.Addr().String(),
		reads:   make(chan struct{}), answers: make(chan struct{}), arrived: make(chan struct{}, 9), read: make(chan struct{}, 9),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *gatedServer) serve(conn net.Conn) {
	defer conn.Close()
	s.arrived <- struct{}{}
	<-s.reads
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.read <- struct{}{}
	<-s.answers
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
}

// sendLarge sends a request with a large body and returns its error.
func sendLarge(ctx context.Context, x *endpoint.Exchanger, address string) error {
	reply, err := x.Send(ctx, endpoint.Exchange{
		Address: address, Method: http.MethodPost, URI: "/run", Host: "h", Header: http.Header{"X-Id": {"1"}}, Body: make([]byte, largeBody),
		MaxConnIdleTime: -1, BoundUnread: true,
	})
	if err != nil {
		return err
	}
	defer reply.Close()
	_, err = io.ReadAll(reply.Body)
	return err
}

// Guards against request after request to an endpoint that reads none, and against passing over an endpoint that has read
// its requests and is still at work on them, or another one.
func TestEndpointThatDoesNotReadGetsNoFurtherRequest(t *testing.T) {
	slow := newGatedServer(t)
	sound := newScriptedServer(t, func(int, int) string { return okReply })
	var elapsed, unread atomic.Int64
	x := endpoint.NewExchanger(func() time.Time { return time.Unix(1000, elapsed.Load()) })
	x.LimitUnread(held.UnreadLimits{Slow: largeBody + 1, Any: 4 * largeBody, ReadTime: time.Second})
	x.OnUnread = func(string) { unread.Add(1) }
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- sendLarge(t.Context(), x, slow.address) }()
	<-slow.arrived
	elapsed.Store(int64(time.Second))
	var fault *endpoint.Fault
	must.True(t, errors.As(sendLarge(t.Context(), x, slow.address), &fault))
	must.EqOp(t, endpoint.Withdrawn, fault.Kind)
	must.EqOp(t, model.NotRun, fault.Verdict)
	must.EqOp(t, 1, unread.Load())
	must.NoError(t, sendLarge(t.Context(), x, sound.address))
	close(slow.reads)
	<-slow.read
	go func() {
		var fault *endpoint.Fault
		err := sendLarge(t.Context(), x, slow.address)
		for errors.As(err, &fault) && fault.Kind == endpoint.Withdrawn {
			// The write of the first request has not returned yet.
			time.Sleep(time.Millisecond)
			err = sendLarge(t.Context(), x, slow.address)
		}
		second <- err
	}()
	<-slow.read
	close(slow.answers)
	must.NoError(t, <-first)
	must.NoError(t, <-second)
	must.EqOp(t, 0, x.UnreadBytes())
}
