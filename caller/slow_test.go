package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/connlimit"
	"basilstall.example/basilstall/held"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Guards against a stream whose caller does not read and that goes on for as long as its deadline allows, against an end of
// it that looks complete, and against refusals of other requests that have no status or time to retry.
func TestStreamToCallerThatDoesNotReadEnds(t *testing.T) {
	limits := held.Limits{Total: 3 << 20, Answers: 3 << 20, PerConn: 2 << 20, Admission: 1 << 20, Expected: 12 << 20, StallTimeout: 5 * time.Second, MinStall: time.Second}
	var elapsed, tokens atomic.Int64
	conns := connlimit.NewTracker(limits, func() time.Time { return time.Unix(1000, elapsed.Load()) })
	ended := make(chan struct{})
	s, err := caller.NewServer("127.0.0.1:0", caller.Dependencies{
		Authenticate: func(string) (kernel.Caller, bool) { return kernel.Caller{}, true },
		Pipeline: func(_, name string) (model.Pipeline, bool) {
			return model.Pipeline{Name: name, Deadline: time.Hour, Stages: []model.Stage{{Name: "e", Kind: model.Encode, Pool: "p"}}}, true
		},
		Serve: func(ctx context.Context, _ model.Request, _ model.Pipeline, emit func(model.Token)) (model.Answer, *model.Refusal) {
			for ctx.Err() == nil {
				emit(model.Token{Text: strings.Repeat("x", 10<<10)})
				tokens.Add(1)
			}
			close(ended)
			return model.Answer{Verdict: model.Ran}, nil
		},
		NewID:        func() string { return "id" },
		Draining:     func() bool { return false },
		Ready:        func() (bool, string) { return true, "" },
		Conns:        conns,
		CountEvent:   func(string) {},
		CountRefusal: func(*model.Refusal) {},
	})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", s.Address())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	body := `{"Text":"x","Stream":true}`
	_, err = io.WriteString(conn, "POST /v1/pipelines/p/requests HTTP/1.1\r\nHost: h\r\nContent-Length: 26\r\n\r\n"+body)
	must.NoError(t, err)
	// The next token does not fit the buffer of the connection.
	for last := int64(-1); last != tokens.Load() || conns.HeldBytes() < limits.Admission; time.Sleep(50 * time.Millisecond) {
		last = tokens.Load()
	}
	res, text := post(t, s, "p", body, nil)
	must.EqOp(t, http.StatusServiceUnavailable, res.StatusCode)
	must.NotEq(t, "", res.Header.Get("Retry-After"))
	var refusal caller.RefusalBody
	must.NoError(t, json.Unmarshal([]byte(text), &refusal))
	must.EqOp(t, model.NodeFull, refusal.Reason)
	must.EqOp(t, model.NotRun, refusal.Verdict)
	elapsed.Store(int64(limits.StallTimeout))
	conns.Sweep()
	<-ended
	_, err = io.Copy(io.Discard, conn)
	must.Error(t, err)
}
