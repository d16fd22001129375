package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/caller"
	"basilstall.example/basilstall/model"
)

func (sh *program) requestCommand() *ff.Command {
	fs := ff.NewFlagSet("request")
	node := fs.StringLong("node", "127.0.0.1:7001", "address of a node's listener for callers")
	token := fs.StringLong("token", "", "the caller's token")
	pipeline := fs.StringLong("pipeline", "", "name of the pipeline")
	text := fs.StringLong("text", "", "the request's text")
	prefix := fs.StringLong("prefix", "", "name of the prompt's prefix, for cache reuse")
	tokens := fs.IntLong("max-tokens", 0, "most tokens to generate")
	timeout := fs.DurationLong("timeout", 0, "time in which the answer is of use")
	key := fs.StringLong("key", "", "idempotency key; \"new\" makes a UUIDv7")
	attempt := fs.IntLong("attempt", 0, "number of this try with the key")
	stream := fs.BoolLong("stream", "print tokens as they come")
	asJSON := fs.BoolLong("json", "print JSON")
	return &ff.Command{
		Name:      "request",
		Usage:     "basilstall request --node HOST:PORT --token TOKEN --pipeline NAME --text TEXT [FLAGS]",
		ShortHelp: "send one request as a caller",
		LongHelp:  "Exits 0 with a whole answer, 1 with a refusal, 3 if no answer came.",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *pipeline == "" || *text == "" {
				return usageError("--pipeline and --text are needed")
			}
			call := caller.Call{Pipeline: *pipeline, Key: *key, Attempt: *attempt}
			call.Body = caller.RequestBody{
				Input:  model.Input{Text: *text, Prefix: *prefix, MaxTokens: *tokens},
				Stream: *stream,
			}
			if *timeout > 0 {
				call.Body.Timeout = timeout.String()
			}
			if *key == "new" {
				id, err := uuid.NewV7()
				if err != nil {
					return err
				}
				call.Key = id.String()
			}
			if *stream && !*asJSON {
				call.OnToken = func(t caller.TokenBody) { fmt.Fprint(sh.stdout, t.Text) }
			}
			client := &caller.Client{BaseURL: "http://" + *node, Token: *token, HTTP: &http.Client{Timeout: time.Minute}}
			result, err := client.Send(ctx, call)
			if err != nil {
				return exitWith(ExitUnreachable, err)
			}
			return sh.printResult(result, call, *asJSON)
		},
	}
}

func (sh *program) printResult(result caller.Result, call caller.Call, asJSON bool) error {
	if asJSON {
		if result.Answer != nil {
			return sh.printJSON(result.Answer)
		}
		_ = sh.printJSON(result.Refusal)
	}
	if r := result.Refusal; r != nil {
		return exitWith(ExitFailed, errors.Errorf("refused: %s (%s): %s; come back in %d ms", r.Reason, r.Verdict, r.Detail, r.RetryAfterMilliseconds))
	}
	a := result.Answer
	if call.OnToken != nil {
		fmt.Fprintln(sh.stdout)
	} else {
		fmt.Fprintln(sh.stdout, a.Output)
	}
	fmt.Fprintf(sh.stdout, "request %s: %s on %s, %d tokens, checksum %s\n", a.Request, a.Verdict, a.RanOn, a.Tokens, a.Checksum)
	for _, s := range a.Stages {
		fmt.Fprintf(sh.stdout, "  %-10s %-18s %8.1f ms  attempts %d\n", s.Stage, s.Endpoint, s.Milliseconds, s.Attempts)
	}
	if call.Key != "" {
		fmt.Fprintf(sh.stdout, "  key %s\n", call.Key)
	}
	return nil
}
