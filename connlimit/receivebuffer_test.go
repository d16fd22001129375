package connlimit_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/crowd"
	"basilstall.example/basilstall/held"
)

// The size of the receive buffer is inherited from the listener. If it were set on an open connection, the caller would have been offered
// more, and would wait for timers of the system with what does not fit. Guards against uploads that take seconds.
func TestReceiveBufferIsThatOfTheListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connlimit.NewTracker(held.NewLimits(0), time.Now).Listen(listener)
	raw, err := listener.(*net.TCPListener).SyscallConn()
	must.NoError(t, err)
	var size int
	must.NoError(t, raw.Control(func(fd uintptr) {
		size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	}))
	must.NoError(t, err)
	must.EqOp(t, 2*crowd.ReceiveBufferBytes, size, must.Sprint("doubled by the kernel"))
}
