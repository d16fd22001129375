package operator_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/operator"
)

// Connections that bring nothing yield to requests. Guards against a crowd that shuts out operators and what reads metrics.
func TestIdleConnectionsYield(t *testing.T) {
	s, err := operator.NewServer("127.0.0.1:0", "token", operator.Dependencies{CountEvent: func(string) {}, Ready: func() (bool, string) { return true, "" }})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	var conns []net.Conn
	for range 100 {
		conn, err := net.Dial("tcp", s.Address())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
	}
	res, err := http.Get("http://" + s.Address() + "/readyz")
	must.NoError(t, err)
	res.Body.Close()
	must.EqOp(t, http.StatusOK, res.StatusCode)
	must.NoError(t, conns[0].SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = io.ReadAll(conns[0])
	var timeout net.Error
	must.False(t, err != nil && errors.As(err, &timeout) && timeout.Timeout(), must.Sprint("the oldest one is closed"))
}
