package endpoint_test

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"basilstall.example/basilstall/endpoint"
)

const (
	// stallDuration is how long an endpoint may be unresponsive, and partitionTimeout the time within which a partition has to be
	// noticed.
	stallDuration    = 1500 * time.Millisecond
	partitionTimeout = 4 * time.Second
)

// Connections to endpoints survive a stalled endpoint and are closed soon in a network partition, by the user timeout and by keep-alive probes
// alike. Guards against a user timeout that makes keep-alive give up sooner, or later, than its count of probes says.
func TestDialerTimeouts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	dialer := endpoint.NewDialer()
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	option := func(name int) int {
		var value int
		var optionErr error
		must.NoError(t, raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
		must.NoError(t, optionErr)
		return value
	}
	userTimeout := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	idle := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(unix.TCP_KEEPINTVL)) * time.Second
	must.Greater(t, stallDuration, userTimeout)
	must.Less(t, partitionTimeout, userTimeout)
	// Keep-alive gives up at the first probe that is due after the user timeout has passed.
	probe := idle
	for probe < userTimeout {
		probe += interval
	}
	must.Greater(t, stallDuration, probe)
	must.LessEq(t, partitionTimeout, probe)
	must.Eq(t, probe, idle+time.Duration(option(unix.TCP_KEEPCNT))*interval, must.Sprint("the count of probes says the same"))
}

// failedConn is what a dialer returns beside its error if it wraps connections.
type failedConn struct{ net.Conn }

// Guards against a crash of the node when an abandoned attempt to connect returns a connection beside its error.
func TestAbandonedDialWithWrappedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	x := endpoint.NewExchanger(time.Now)
	var dials atomic.Int64
	abandoned := make(chan struct{})
	x.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			<-ctx.Done()
			defer time.AfterFunc(50*time.Millisecond, func() { close(abandoned) })
			return failedConn{}, ctx.Err()
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, address)
	}
	must.NoError(t, x.Connect(context.Background(), listener.Addr().String()))
	<-abandoned
}

// A dialer gives up at the deadline of its context, a moment before the context does. Guards against an endpoint that counts as
// refusing connections, and is passed over, because the time of a request has ended.
func TestDialThatEndsAtTheDeadlineOfTheRequestIsCancelled(t *testing.T) {
	x := endpoint.NewExchanger(time.Now)
	x.Dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	var recorded atomic.Int64
	x.OnDial = func(string, time.Time, error) { recorded.Add(1) }
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := x.Send(ctx, endpoint.Exchange{Address: "127.0.0.1:1", Method: "GET", URI: "/", Host: "h"})
	var fault *endpoint.Fault
	must.True(t, errors.As(err, &fault))
	must.EqOp(t, endpoint.Cancelled, fault.Kind)
	must.EqOp(t, 0, recorded.Load(), must.Sprint("the endpoint had no time to answer"))
}
