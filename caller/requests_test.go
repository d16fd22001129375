package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// newServer returns a server whose node answers at once, and a count of what was served.
func newServer(t *testing.T) (*caller.Server, *atomic.Int64) {
	t.Helper()
	var served atomic.Int64
	pipelines := map[string]model.Pipeline{
		"ask": {Name: "ask", Deadline: time.Second, Stages: []model.Stage{{Name: "e", Kind: model.Encode, Pool: "p"}}},
		"ticket": {Name: "ticket", Deadline: time.Second, Stages: []model.Stage{
			{Name: "t", Kind: model.Call, Pool: "p", Operation: "o", NonIdempotent: true},
		}},
	}
	s, err := caller.NewServer("127.0.0.1:0", caller.Dependencies{
		Authenticate: func(token string) (kernel.Caller, bool) {
			return kernel.Caller{Team: "bilbao", Customer: model.Customer{Name: "bar"}}, token == "right-token"
		},
		Pipeline: func(_, name string) (model.Pipeline, bool) {
			p, ok := pipelines[name]
			return p, ok
		},
		Serve: func(_ context.Context, req model.Request, _ model.Pipeline, emit func(model.Token)) (model.Answer, *model.Refusal) {
			served.Add(1)
			if req.Input.Text == "refuse" {
				return model.Answer{}, model.NewRefusal(model.NotRun, model.Overloaded, 1500*time.Millisecond, "full")
			}
			if emit != nil {
				emit(model.Token{Index: 0, Text: "a"})
				emit(model.Token{Index: 1, Text: "b"})
			}
			if req.Input.Text == "break" {
				return model.Answer{}, model.NewRefusal(model.MayHaveRun, model.StageFailed, time.Second, "broken")
			}
			return model.Answer{ID: req.ID, Verdict: model.Ran, Output: "ab", Tokens: 2}, nil
		},
		NewID:        func() string { return "node.1" },
		Draining:     func() bool { return false },
		Ready:        func() (bool, string) { return true, "" },
		CountEvent:   func(string) {},
		CountRefusal: func(*model.Refusal) {},
	})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	return s, &served
}

func post(t *testing.T, s *caller.Server, pipeline, body string, headers map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/v1/pipelines/"+pipeline+"/requests", strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer right-token")
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	must.NoError(t, err)
	return res, string(data)
}

func TestInvalidRequestIsRefusedWithDetailAndNotRun(t *testing.T) {
	s, served := newServer(t)
	good := `{"Text":"x"}`
	cases := []struct {
		name     string
		pipeline string
		body     string
		headers  map[string]string
		status   int
		says     string
	}{
		{"malformed JSON", "ask", `{"Text":`, nil, 400, "not the JSON expected"},
		{"unknown field", "ask", `{"Text":"x","Tempo":1}`, nil, 400, "Tempo"},
		{"two values", "ask", good + good, nil, 400, "more than one JSON value"},
		{"no text", "ask", `{}`, nil, 400, "Text is missing"},
		{"wrong type", "ask", `{"Text":3}`, nil, 400, "Text"},
		{"body over the limit", "ask", `{"Text":"` + strings.Repeat("x", caller.MaxBodyBytes) + `"}`, nil, 400, "longer than"},
		{"too many tokens", "ask", `{"Text":"x","MaxTokens":99999}`, nil, 400, "MaxTokens"},
		{"negative tokens", "ask", `{"Text":"x","MaxTokens":-1}`, nil, 400, "MaxTokens"},
		{"wrong token", "ask", good, map[string]string{"Authorization": "Bearer wrong"}, 401, "token"},
		{"no token", "ask", good, map[string]string{"Authorization": ""}, 401, "token"},
		{"unknown pipeline", "nope", good, nil, 404, "no pipeline nope"},
		{"deadline in the past", "ask", `{"Text":"x","Deadline":"2020-01-01T00:00:00Z"}`, nil, 400, "has passed"},
		{"deadline that is no time", "ask", `{"Text":"x","Deadline":"soon"}`, nil, 400, "RFC 3339"},
		{"timeout without a unit", "ask", `{"Text":"x","Timeout":"5"}`, nil, 400, "duration"},
		{"timeout below zero", "ask", `{"Text":"x","Timeout":"-5s"}`, nil, 400, "duration"},
		{"no key", "ticket", good, nil, 400, "Idempotency-Key"},
		{"key with a space", "ticket", good, map[string]string{"Idempotency-Key": "a b"}, 400, "Idempotency-Key"},
		{"key too long", "ticket", good, map[string]string{"Idempotency-Key": strings.Repeat("k", 129)}, 400, "Idempotency-Key"},
		{"attempt that is no number", "ticket", good, map[string]string{"Idempotency-Key": "k", "Basilstall-Attempt": "two"}, 400, "Basilstall-Attempt"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			res, body := post(t, s, c.pipeline, c.body, c.headers)
			must.EqOp(t, c.status, res.StatusCode)
			var refusal caller.RefusalBody
			must.NoError(t, json.Unmarshal([]byte(body), &refusal))
			must.StrContains(t, refusal.Detail, c.says)
			must.EqOp(t, model.NotRun, refusal.Verdict)
			must.EqOp(t, "node.1", res.Header.Get("Basilstall-Request"))
		})
	}
	must.EqOp(t, int64(0), served.Load())
}

func TestRefusalBeforeKeyCheckIsMayHaveRun(t *testing.T) {
	s, _ := newServer(t)
	_, body := post(t, s, "nope", `{"Text":"x"}`, map[string]string{"Idempotency-Key": "k"})
	must.StrContains(t, body, `"Verdict":"MayHaveRun"`)
}

func TestRefusalHasRetryAfter(t *testing.T) {
	s, _ := newServer(t)
	res, body := post(t, s, "ask", `{"Text":"refuse"}`, nil)
	must.EqOp(t, http.StatusServiceUnavailable, res.StatusCode)
	must.EqOp(t, "2", res.Header.Get("Retry-After"))
	must.EqOp(t, "1500", res.Header.Get("Basilstall-Retry-After-Ms"))
	must.StrContains(t, body, `"RetryAfterMilliseconds":1500`)
}

func TestStreamEventsAreNumberedAndEndWithResult(t *testing.T) {
	s, _ := newServer(t)
	_, body := post(t, s, "ask", `{"Text":"x","Stream":true}`, nil)
	must.StrHasPrefix(t, "id: 0\nevent: Token\ndata: {\"Index\":0,\"Text\":\"a\"}\n\nid: 1\nevent: Token\n", body)
	must.StrContains(t, body, "id: 2\nevent: Answer\n")
	_, broken := post(t, s, "ask", `{"Text":"break","Stream":true}`, nil)
	must.StrContains(t, broken, "id: 2\nevent: Refusal\n")
	res, _ := post(t, s, "ask", `{"Text":"refuse","Stream":true}`, nil)
	must.EqOp(t, http.StatusServiceUnavailable, res.StatusCode, must.Sprint("refused before the first token"))
}

func FuzzDecodeBody(f *testing.F) {
	for _, seed := range []string{`{"Text":"x"}`, `{"Text":"x","MaxTokens":3,"Stream":true}`, `{"Text":"x","Timeout":"1s"}`, `{}`, `[]`, `{"Text":"\ud800"}`, "\x00"} {
		f.Add([]byte(seed))
	}
	now := time.UnixMilli(1_700_000_000_000)
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := caller.DecodeBody(data)
		if err != nil {
			return
		}
		if body.Text == "" || body.MaxTokens < 0 {
			t.Fatalf("accepted %q", data)
		}
		deadline, err := body.DeadlineAt(now, time.Second)
		if err == nil && (!deadline.After(now) || deadline.After(now.Add(time.Second))) {
			t.Fatalf("deadline %v of %q", deadline, data)
		}
	})
}
