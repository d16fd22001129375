package caller_test

import (
	"context"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// refusalReasons returns the reasons for refusals that package model declares.
func refusalReasons(t *testing.T) []model.Reason {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../model/verdict.go", nil, 0)
	must.NoError(t, err)
	var out []model.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		declared, isReason := spec.Type.(*ast.Ident)
		literal, isLiteral := spec.Values[0].(*ast.BasicLit)
		if !isReason || declared.Name != "Reason" || !isLiteral {
			return true
		}
		name, err := strconv.Unquote(literal.Value)
		must.NoError(t, err)
		if !strings.HasPrefix(name, "Retry") {
			out = append(out, model.Reason(name))
		}
		return true
	})
	return out
}

// A refusal of a request that has not run never has the status of an internal error, whatever its reason. Guards against
// status 500 where endpoints are cold, at their rate caps or have asked for a pause, and against reasons without a status.
func TestEveryReasonHasStatus(t *testing.T) {
	reasons := refusalReasons(t)
	must.Greater(t, 20, len(reasons))
	var reason model.Reason
	s, err := caller.NewServer("127.0.0.1:0", caller.Dependencies{
		Authenticate: func(string) (kernel.Caller, bool) { return kernel.Caller{}, true },
		Pipeline: func(_, name string) (model.Pipeline, bool) {
			return model.Pipeline{Name: name, Deadline: time.Second, Stages: []model.Stage{{Name: "e", Kind: model.Encode, Pool: "p"}}}, true
		},
		Serve: func(context.Context, model.Request, model.Pipeline, func(model.Token)) (model.Answer, *model.Refusal) {
			return model.Answer{}, model.NewRefusal(model.NotRun, reason, time.Second, "refused")
		},
		NewID:        func() string { return "id" },
		Draining:     func() bool { return false },
		Ready:        func() (bool, string) { return true, "" },
		CountEvent:   func(string) {},
		CountRefusal: func(*model.Refusal) {},
	})
	must.NoError(t, err)
	t.Cleanup(s.Close)
	for _, reason = range reasons {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Address()+"/v1/pipelines/ask/requests", strings.NewReader(`{"Text":"x"}`))
		must.NoError(t, err)
		req.Header.Set("Authorization", "Bearer token")
		res, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		var body caller.RefusalBody
		must.NoError(t, json.NewDecoder(res.Body).Decode(&body))
		must.NoError(t, res.Body.Close())
		must.EqOp(t, reason, body.Reason)
		must.EqOp(t, string(model.NotRun), res.Header.Get(caller.HeaderVerdict))
		must.NotEq(t, http.StatusInternalServerError, res.StatusCode, must.Sprint(reason))
		must.Between(t, http.StatusBadRequest, res.StatusCode, http.StatusGatewayTimeout, must.Sprint(reason))
	}
}
