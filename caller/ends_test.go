package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

// Guards against a client that reports the beginning of an answer or a refusal as a whole one, or passes on a token of which
// only the beginning came.
func TestClientTakesNoBeginningForAnswer(t *testing.T) {
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	defer server.Close()
	client := &caller.Client{BaseURL: "http://" + server.Address(), HTTP: &http.Client{}}
	tokens := "id: 0\nevent: Token\ndata: {\"Index\":0,\"Text\":\"a\"}\n\nid: 1\nevent: Token\ndata: {\"Index\":1,\"Text\":\"b\"}\n\n"
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + tokens
	for name, answer := range map[string]string{
		"answer":                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + `{"Request":"r","Verdict":"Ran","Output":"ab","Tokens":2}`,
		"refusal":               "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n" + `{"Request":"r","Verdict":"NotRun","Reason":"Overloaded","RetryAfterMilliseconds":1500}`,
		"stream":                stream + "id: 2\nevent: Answer\ndata: " + `{"Request":"r","Verdict":"Ran","Output":"ab","Tokens":2}`,
		"refusal after tokens":  stream + "id: 2\nevent: Refusal\ndata: " + `{"Request":"r","Verdict":"MayHaveRun","Reason":"StageFailed"}`,
		"stream over HTTP/1.0":  strings.Replace(stream, "HTTP/1.1", "HTTP/1.0", 1) + "id: 2\nevent: Answer\ndata: " + `{"Request":"r","Verdict":"Ran","Output":"ab","Tokens":2}`,
		"stream without tokens": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + "id: 0\nevent: Answer\ndata: " + `{"Request":"r","Verdict":"Ran","Output":"","Tokens":0}`,
	} {
		t.Run(name, func(t *testing.T) {
			send := func() error {
				texts := ""
				_, err := client.Send(t.Context(), caller.Call{Pipeline: "p", OnToken: func(token caller.TokenBody) { texts += token.Text }})
				must.SliceContains(t, []string{"", "a", "ab"}, texts)
				return err
			}
			must.Eq(t, nil, server.AcceptedPrefixes(answer, send))
			must.NoError(t, send())
		})
	}
}

// newEndingServer returns a server whose node emits the tokens "a" and "b" to streams and then ends the request as a text says.
func newEndingServer(t *testing.T) *caller.Server {
	t.Helper()
	s, err := caller.NewServer("127.0.0.1:0", caller.Dependencies{
		Authenticate: func(string) (kernel.Caller, bool) { return kernel.Caller{}, true },
		Pipeline: func(_, name string) (model.Pipeline, bool) {
			return model.Pipeline{Name: name, Deadline: time.Minute, Stages: []model.Stage{{Name: "e", Kind: model.Encode, Pool: "p"}}}, true
		},
		Serve: func(_ context.Context, req model.Request, _ model.Pipeline, emit func(model.Token)) (model.Answer, *model.Refusal) {
			if emit != nil {
				emit(model.Token{Index: 0, Text: "a"})
				emit(model.Token{Index: 1, Text: "b"})
			}
			switch req.Input.Text {
			case "panic":
				panic(errors.New("the node has a fault"))
			case "refuse":
				return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.StageFailed, time.Second, "broken")
			default:
				return model.Answer{ID: req.ID, Verdict: model.Ran, Output: strings.Repeat("ab", 4<<10), Tokens: 2}, nil
			}
		},
		NewID:        func() string { return "id" },
		Draining:     func() bool { return false },
		Ready:        func() (bool, string) { return true, "" },
		CountEvent:   func(string) {},
		CountRefusal: func(*model.Refusal) {},
	})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// sendRaw sends a request in a version of HTTP and returns all bytes up to the end of the connection.
func sendRaw(t *testing.T, s *caller.Server, version, body string) string {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	must.NoError(t, err)
	defer conn.Close()
	head := "POST /v1/pipelines/p/requests HTTP/" + version + "\r\nHost: h\r\nConnection: close\r\n"
	_, err = io.WriteString(conn, head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	must.NoError(t, err)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// Guards against an answer of the node that looks whole to its caller although it is not: a stream without its final event that
// ends with the last chunk, a refusal that is written behind the tokens as text, or text of the HTTP server behind them.
func TestServerStatesTheEndOfItsAnswers(t *testing.T) {
	s := newEndingServer(t)
	for name, tc := range map[string]struct {
		text   string
		stream bool
		// events are the events of the answer to a request for a stream.
		events []string
		// whole is true if the answer states its end.
		whole bool
	}{
		"stream":               {"answer", true, []string{"Token", "Token", "Answer"}, true},
		"refusal after tokens": {"refuse", true, []string{"Token", "Token", "Refusal"}, true},
		"panic after tokens":   {"panic", true, []string{"Token", "Token"}, false},
		"answer":               {"answer", false, nil, true},
		"refusal":              {"refuse", false, nil, true},
		"panic":                {"panic", false, nil, false},
	} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+" over HTTP/"+version, func(t *testing.T) {
				body := `{"Text":"` + tc.text + `"}`
				if tc.stream {
					body = `{"Text":"` + tc.text + `","Stream":true}`
				}
				answer := sendRaw(t, s, version, body)
				if !tc.whole && !tc.stream {
					must.EqOp(t, "", answer)
					return
				}
				res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
				must.NoError(t, err)
				framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
				must.EqOp(t, !tc.stream || version == "1.1", framed)
				text, err := io.ReadAll(res.Body)
				must.EqOp(t, tc.whole || !framed, err == nil)
				must.Eq(t, tc.events, eventsOf(string(text)))
			})
		}
	}
}

// eventsOf returns the names of the events in the body of an answer, and of its lines that belong to none.
func eventsOf(body string) []string {
	var events []string
	if !strings.HasPrefix(body, "id: ") {
		return events
	}
	for _, line := range strings.Split(body, "\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch name {
		case "id", "data", "":
		case "event":
			events = append(events, value)
		default:
			events = append(events, line)
		}
	}
	return events
}
