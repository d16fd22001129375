package standin_test

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/standin"
)

// A link keeps its port while it does not listen. Guards against another listener on the same host that gets the port
// meanwhile, so that the link cannot open again.
func TestCutLinkKeepsItsPort(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer target.Close()
	link := standin.NewCutLink(target.Addr().String())
	defer link.Close()
	for _, state := range []standin.LinkState{standin.LinkReset, standin.LinkClosed} {
		link.SetState(state)
		_, err := net.DialTimeout("tcp", link.Address(), time.Second)
		must.Error(t, err)
		other, err := net.Listen("tcp", link.Address())
		if err == nil {
			_ = other.Close()
		}
		must.Error(t, err)
	}
	link.SetState(standin.LinkSilent)
	_, err = net.DialTimeout("tcp", link.Address(), 200*time.Millisecond)
	must.Error(t, err)
	link.SetState(standin.LinkOpen)
	conn, err := net.DialTimeout("tcp", link.Address(), time.Second)
	must.NoError(t, err)
	_ = conn.Close()
}
