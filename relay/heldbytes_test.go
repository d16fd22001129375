package relay_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

// serveHeld serves a unary request whose answer is counted.
func (b *testBed) serveHeld(held relay.HeldBytes) relay.Outcome {
	f := model.Forward{ID: "id", Method: "POST", URI: "/get/1", Path: "/get/1", Host: "h", ReceivedAt: time.Now()}
	return b.relay.Serve(context.Background(), f, relay.Responder{
		Begin: func(int, http.Header) {},
		Write: func(p []byte) error { b.body.Write(p); return nil },
		Held:  held,
	})
}

// Guards against a request that is sent although its answer might find no room any more after the wait for its admission.
func TestExpectedAnswerIsCheckedBeforeAndAfterAdmission(t *testing.T) {
	for fullAt := 1; fullAt <= 2; fullAt++ {
		b := newTestBed(t)
		b.deps.Forward = func(context.Context, relay.Send) (*model.ForwardReply, error) { panic("sent") }
		calls := 0
		outcome := b.serveHeld(relay.HeldBytes{Expect: func() error {
			if calls++; calls == fullAt {
				return errors.New("full")
			}
			return nil
		}})
		must.NotNil(t, outcome.Refusal)
		must.Eq(t, model.NodeFull, outcome.Refusal.Reason)
		must.Eq(t, model.NotRun, outcome.Refusal.Verdict)
		must.EqOp(t, fullAt, calls)
	}
}
