package operator_test

import (
	"net/http"
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
