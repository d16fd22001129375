package endpoint_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/endpoint"
)

// An endpoint that answers a long upload at once, without a length, and resets the connection has broken its answer off. The kernel
// tells of a reset once: if the write of the upload takes the error, the read sees a plain end. Guards against that end being
// taken for the end of the answer.
func TestResetWhileWritingIsNoEnd(t *testing.T) {
	// The receive buffer takes no large body.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(conn, make([]byte, 100))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	x := endpoint.NewExchanger(time.Now)
	taken := map[string]int{}
	for i := range 200 {
		reply, err := x.Send(t.Context(), endpoint.Exchange{
			Address: listener.Addr().String(), Method: http.MethodPost, URI: "/run", Host: "h", Header: http.Header{"X-Id": {fmt.Sprint(i)}},
			Body: make([]byte, largeBody), MaxConnIdleTime: -1,
		})
		if err != nil {
			continue
		}
		_, err = io.ReadAll(reply.Body)
		reply.Close()
		if err == nil || err == ending.ErrUnstated {
			taken[fmt.Sprint(err)]++
		}
	}
	must.MapEmpty(t, taken)
}
