package endpoint_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

// cutCall is the call that the answers of the tests of this file belong to.
var cutCall = model.StageCall{Request: "r", Stage: "s", Attempt: 1}

// newCutClient returns a client, a server that answers it as a test sets, and the target of calls to that.
func newCutClient(t *testing.T) (*endpoint.Client, *standin.AnswerServer, endpoint.Target) {
	t.Helper()
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	t.Cleanup(server.Close)
	client := endpoint.NewClient()
	t.Cleanup(client.Close)
	return client, server, endpoint.Target{Address: server.Address(), Path: "/run", Timeout: time.Minute, NewConnection: true}
}

// verdictOf returns the verdict of a fault, or Ran if there is none.
func verdictOf(err error) model.Verdict {
	var fault *endpoint.Fault
	if errors.As(err, &fault) {
		return fault.Verdict
	}
	return model.Ran
}

// Guards against the beginning of a unary reply that is passed to the next stage as the whole of it.
func TestBeginningOfReplyIsNoReply(t *testing.T) {
	client, server, target := newCutClient(t)
	read := func() error {
		_, err := client.Unary(t.Context(), target, cutCall)
		if verdictOf(err) == model.NotRun {
			return nil
		}
		return err
	}
	for name, body := range map[string]string{
		"text":  `{"Request":"r","Stage":"s","Attempt":1,"Text":"the answer","Load":{"Running":1}}`,
		"items": `{"Request":"r","Stage":"s","Attempt":1,"Text":"","Items":["a","b"],"Load":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, nil, server.AcceptedPrefixes("HTTP/1.1 200 OK\r\n\r\n"+body, read))
			must.NoError(t, read())
		})
	}
}

// Guards against the beginning of a refusal that counts as a statement that the call did not run, after which a call that must
// not be repeated is sent again.
func TestBeginningOfRefusalIsNotNotRun(t *testing.T) {
	client, server, target := newCutClient(t)
	const refusal = `{"Request":"r","Stage":"s","Attempt":1,"Text":"","Verdict":"NotRun","Error":"no room","Load":{}}`
	for name, call := range map[string]func() error{
		"unary": func() error {
			_, err := client.Unary(t.Context(), target, cutCall)
			return err
		},
		"stream": func() error {
			return client.Stream(t.Context(), target, cutCall, func(model.TokenEvent) error { return nil })
		},
	} {
		t.Run(name, func(t *testing.T) {
			read := func() error {
				if err := call(); verdictOf(err) == model.MayHaveRun {
					return err
				}
				return nil
			}
			must.Eq(t, nil, server.AcceptedPrefixes("HTTP/1.1 503 Service Unavailable\r\n\r\n"+refusal, read))
			must.EqOp(t, model.NotRun, verdictOf(call()))
		})
	}
}

// Guards against a call that counts as not run by the beginning of a header: the status that says that the adapter is not loaded
// counts once the header is whole.
func TestBeginningOfHeaderIsNotNotLoaded(t *testing.T) {
	client, server, target := newCutClient(t)
	read := func() error {
		err := client.Stream(t.Context(), target, cutCall, func(model.TokenEvent) error { return nil })
		if verdictOf(err) == model.MayHaveRun {
			return err
		}
		return nil
	}
	must.Eq(t, nil, server.AcceptedPrefixes("HTTP/1.1 424 Failed Dependency\r\nDate: x\r\n\r\n", read))
	must.NoError(t, read())
}

// Guards against a stream that ends as complete before its final event, and against a token of which only the beginning came.
func TestBeginningOfStreamIsNoStream(t *testing.T) {
	client, server, target := newCutClient(t)
	identity := `{"Request":"r","Stage":"s","Attempt":1,`
	events := []string{
		identity + `"Index":0,"Text":"one"}` + "\n",
		identity + `"Index":1,"Text":"two"}` + "\n",
		identity + `"Index":12,"Text":"three"}` + "\n",
		identity + `"Index":13,"Final":true,"Count":13}`,
	}
	var texts []string
	read := func() error {
		texts = nil
		return client.Stream(t.Context(), target, cutCall, func(event model.TokenEvent) error {
			if !event.Final {
				texts = append(texts, event.Text)
			}
			return nil
		})
	}
	for name, head := range map[string]string{"HTTP/1.1": "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			partial := func() error {
				err := read()
				must.Eq(t, []string{"one", "two", "three"}[:len(texts)], append([]string{}, texts...))
				return err
			}
			must.Eq(t, nil, server.AcceptedPrefixes(head+strings.Join(events, ""), partial))
			must.NoError(t, read())
			must.Eq(t, []string{"one", "two", "three"}, texts)
		})
	}
}

// A status below 100 is no answer. Guards against a reply with one that is taken for the result of a call, or for a statement that
// the call did not run.
func TestStatusBelow100IsNoReply(t *testing.T) {
	client, server, target := newCutClient(t)
	const identity = `{"Request":"r","Stage":"s","Attempt":1,`
	for name, body := range map[string]string{
		"result":  identity + `"Text":"the answer","Load":{"Running":1}}`,
		"refusal": identity + `"Text":"","Verdict":"NotRun","Error":"no room","Load":{}}`,
		"token":   identity + `"Index":0,"Text":"one"}` + "\n" + identity + `"Index":1,"Final":true,"Count":1}`,
	} {
		for _, status := range []string{"000", "099"} {
			t.Run(name+", "+status, func(t *testing.T) {
				server.Set("HTTP/1.1 " + status + " Trouble\r\n\r\n" + body)
				_, err := client.Unary(t.Context(), target, cutCall)
				must.EqOp(t, model.MayHaveRun, verdictOf(err))
				err = client.Stream(t.Context(), target, cutCall, func(model.TokenEvent) error { return nil })
				must.EqOp(t, model.MayHaveRun, verdictOf(err))
			})
		}
	}
}
