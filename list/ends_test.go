package list_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/list"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

// Guards against a list whose connection ends early and that is taken for one with fewer hosts and endpoints.
func TestBeginningOfListIsNoList(t *testing.T) {
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	defer server.Close()
	client := list.NewClient(server.Address())
	defer client.Close()
	read := func() error {
		_, err := client.Get(t.Context())
		return err
	}
	body := `{"Hosts":[{"Name":"h-1","Address":"127.0.0.1:1"}],"Endpoints":[{"Name":"e-1","Pool":"p","Address":"127.0.0.1:2","Slots":12}]}`
	must.Eq(t, nil, server.AcceptedPrefixes("HTTP/1.1 200 OK\r\n\r\n"+body, read))
	hosts, err := client.Get(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, hosts.Endpoints)
}

// Guards against a host that counts as announced by the beginning of a header. The platform states it by the status, so the
// header has to be whole; what follows is not used.
func TestBeginningOfHeaderAnnouncesNoHost(t *testing.T) {
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	defer server.Close()
	client := list.NewClient(server.Address())
	defer client.Close()
	announce := func() error { return client.Announce(t.Context(), model.Host{Name: "h-1"}) }
	must.Eq(t, nil, server.AcceptedPrefixes("HTTP/1.1 200 OK\r\nDate: x\r\n\r\n", announce))
	must.NoError(t, announce())
}
