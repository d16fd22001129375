package engine_test

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/engine"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/standin"
)

// Guards against an engine that counts as having no adapter loaded, so that one is ordered again, although it stated nothing of
// the kind: its answer was cut, or says why it has no state to report.
func TestOnlyWholeStateIsTakenForState(t *testing.T) {
	const state = `{"Adapters":["m/a","m/b"],"Most":12,"Fencing":34}`
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	defer server.Close()
	client := engine.NewClient()
	defer client.Close()
	read := func() error {
		_, err := client.State(t.Context(), server.Address())
		return err
	}
	must.Eq(t, nil, server.AcceptedPrefixes("HTTP/1.1 200 OK\r\n\r\n"+state, read))
	must.NoError(t, read())
	for name, answer := range map[string]string{
		"failure":       "HTTP/1.1 500 Internal Server Error\r\n\r\n" + `{"Error":"the engine starts"}`,
		"other process": "HTTP/1.1 404 Not Found\r\n\r\n" + `{"message":"Not Found"}`,
	} {
		t.Run(name, func(t *testing.T) {
			server.Set(answer)
			must.Error(t, read())
		})
	}
}

// Guards against an order that counts as accepted, or as rejected for its fencing number, by the beginning of a header. Engines
// state it by the status, so the header has to be whole; what follows is not used.
func TestBeginningOfHeaderAcceptsNoOrder(t *testing.T) {
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	defer server.Close()
	client := engine.NewClient()
	defer client.Close()
	for name, answer := range map[string]string{
		"accepted": "HTTP/1.1 200 OK\r\nDate: x\r\n\r\n",
		"rejected": "HTTP/1.1 409 Conflict\r\nDate: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			order := func() error {
				err := client.Order(t.Context(), server.Address(), kernel.Order{Engine: "e", Adapter: "m/a"}, 1)
				if errors.Is(err, engine.ErrStaleFencing) {
					return nil
				}
				return err
			}
			must.Eq(t, nil, server.AcceptedPrefixes(answer, order))
			must.NoError(t, order())
		})
	}
}
