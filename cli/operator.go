package cli

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"basilstall.example/basilstall/operator"
)

// operatorFlags are what all operators' commands share.
type operatorFlags struct {
	node   *string
	token  *string
	asJSON *bool
}

func newOperatorFlags(fs *ff.FlagSet) operatorFlags {
	return operatorFlags{
		node:   fs.StringLong("node", "127.0.0.1:7002", "address of a node's listener for operators"),
		token:  fs.StringLong("operators-token", "", "the operator's token"),
		asJSON: fs.BoolLong("json", "print JSON"),
	}
}

func (f operatorFlags) client() *operator.Client {
	return &operator.Client{BaseURL: "http://" + *f.node, Token: *f.token, HTTP: &http.Client{Timeout: 30 * time.Second}}
}

// get reads a path, and tells an answer from no answer by the exit code.
func (f operatorFlags) get(ctx context.Context, path string, into any) error {
	return operatorError(f.client().Get(ctx, path, into))
}

func operatorError(err error) error {
	var response *operator.ResponseError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &response):
		return exitWith(ExitFailed, err)
	default:
		return exitWith(ExitUnreachable, err)
	}
}
