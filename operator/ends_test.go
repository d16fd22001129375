package operator_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/operator"
	"basilstall.example/basilstall/standin"
)

// Guards against an operator that is shown the beginning of an answer as all of it: a status, a history with fewer changes, or
// an outcome of a change that the node did not state.
func TestBeginningOfAnswerIsNotShownToOperator(t *testing.T) {
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	defer server.Close()
	client := &operator.Client{BaseURL: "http://" + server.Address(), Token: "t", HTTP: &http.Client{}}
	get := func(into any) func() error {
		return func() error { return client.Get(t.Context(), "/v1/history", into) }
	}
	set := func() error {
		_, err := client.SetDocument(t.Context(), "teams/a", operator.Change{})
		return err
	}
	for name, tc := range map[string]struct {
		answer string
		read   func() error
	}{
		"status":         {"HTTP/1.1 200 OK\r\n\r\n" + `{"Node":"n-1","Ready":true,"InFlight":12}`, get(&operator.Status{})},
		"empty history":  {"HTTP/1.1 200 OK\r\n\r\n[]", get(&[]any{})},
		"history":        {"HTTP/1.1 200 OK\r\n\r\n" + `[{"Path":"teams/a","Revision":1},{"Path":"teams/a","Revision":2}]`, get(&[]any{})},
		"applied change": {"HTTP/1.1 200 OK\r\n\r\n" + `{"Outcome":"Applied","Operation":"o","Revision":12}`, set},
		"other outcome":  {"HTTP/1.1 409 Conflict\r\n\r\n" + `{"Outcome":"NotApplied","Operation":"o","Detail":"d"}`, set},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, nil, server.AcceptedPrefixes(tc.answer, tc.read))
			must.NoError(t, tc.read())
		})
	}
}

// Guards against metrics of which a client of HTTP/1.0, or a proxy that uses it, takes the beginning for all: counters that are
// missing look like those of a node that started anew.
func TestMetricsStateTheirEnd(t *testing.T) {
	lines := strings.Repeat("basilstall_events_total{event=\"a\"} 1\n", 1000)
	s, err := operator.NewServer("127.0.0.1:0", "t", operator.Dependencies{
		WriteMetrics: func(w io.Writer) { _, _ = io.WriteString(w, lines) },
		CountEvent:   func(string) {},
	})
	must.NoError(t, err)
	defer s.Close()
	for _, version := range []string{"1.1", "1.0"} {
		t.Run("HTTP/"+version, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.Address())
			must.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET /metrics HTTP/"+version+"\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer t\r\n\r\n")
			must.NoError(t, err)
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			defer res.Body.Close()
			must.EqOp(t, int64(len(lines)), res.ContentLength)
			body, err := io.ReadAll(res.Body)
			must.NoError(t, err)
			must.EqOp(t, lines, string(body))
		})
	}
}
