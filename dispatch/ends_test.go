package dispatch_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/standin"
)

const tokenIdentity = `{"Request":"r1","Stage":"s","Attempt":1,`

// runAnswered runs a stage that streams tokens at an engine that answers as the server does.
func runAnswered(t *testing.T, server *standin.AnswerServer) (dispatch.Result, error) {
	t.Helper()
	d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
	defer d.Close()
	d.SetEndpoints([]model.Endpoint{{Name: "a", Pool: "p", Address: server.Address(), State: model.Live}})
	return streamStage(t, d, 1)
}

// Guards against a stage whose stream ends before its final event and whose output so far is passed on as whole.
func TestBeginningOfStreamIsNoOutput(t *testing.T) {
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	defer server.Close()
	answer := "HTTP/1.1 200 OK\r\n\r\n" + tokenIdentity + `"Index":0,"Text":"a "}` + "\n" + tokenIdentity + `"Index":1,"Text":"b "}` + "\n" +
		tokenIdentity + `"Index":2,"Final":true,"Count":2}`
	run := func() error {
		_, err := runAnswered(t, server)
		if err != nil && model.AsRefusal(err).Verdict != model.MayHaveRun {
			return nil
		}
		return err
	}
	must.Eq(t, nil, server.AcceptedPrefixes(answer, run))
	result, err := runAnswered(t, server)
	must.NoError(t, err)
	must.EqOp(t, "a b ", result.Output.Output)
}

// Guards against a stream that states its end although tokens are missing, before it or between others: the final event has
// the number of tokens.
func TestFinalEventHasToMatchTheTokens(t *testing.T) {
	server, err := standin.NewAnswerServer()
	must.NoError(t, err)
	defer server.Close()
	for name, events := range map[string][]string{
		"last missing":   {`"Index":0,"Text":"a "}`, `"Index":2,"Final":true,"Count":2}`},
		"middle missing": {`"Index":0,"Text":"a "}`, `"Index":2,"Text":"c "}`, `"Index":3,"Final":true,"Count":3}`},
		"all missing":    {`"Index":2,"Final":true,"Count":2}`},
		"no count":       {`"Index":0,"Text":"a "}`, `"Index":1,"Final":true}`},
	} {
		t.Run(name, func(t *testing.T) {
			server.Set("HTTP/1.1 200 OK\r\n\r\n" + tokenIdentity + strings.Join(events, "\n"+tokenIdentity) + "\n")
			_, err := runAnswered(t, server)
			must.Error(t, err)
			must.EqOp(t, model.MayHaveRun, model.AsRefusal(err).Verdict)
		})
	}
}

// Guards against a stage that begins its stream where the one of an earlier stage ended: its output lacks as many tokens as the
// earlier stage generated, or all, and looks whole.
func TestStreamBeginsWithItsFirstTokenAfterAnotherStream(t *testing.T) {
	d := dispatch.NewDispatcher("domain-0", false, metric.NewSet())
	defer d.Close()
	d.SetEndpoints([]model.Endpoint{{Name: "a", Pool: "p", Address: newVersionedEngine(t, "v1", false), State: model.Live}})
	for _, earlier := range []int{0, 3, versionedTokens} {
		var indices []int
		job := streamJob(1)
		job.Work.Previous = model.StageOutput{Output: strings.Repeat("x", earlier), Tokens: earlier, Items: []string{"i"}}
		job.Emit = func(token model.Token) { indices = append(indices, token.Index) }
		result, err := d.Run(t.Context(), job)
		must.NoError(t, err)
		must.EqOp(t, strings.Repeat("v1 ", versionedTokens), result.Output.Output, must.Sprint("after ", earlier, " tokens"))
		must.EqOp(t, versionedTokens, result.Output.Tokens)
		must.Eq(t, []string{"i"}, result.Output.Items)
		must.Eq(t, []int{0, 1, 2, 3, 4, 5, 6, 7}, indices)
	}
}
