package relay_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/ending"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

// serveHeld serves a unary request whose answer is counted.
func (b *testBed) serveHeld(held relay.HeldBytes) relay.Outcome {
	f := model.Forward{ID: "id", Method: "POST", URI: "/get/1", Path: "/get/1", Host: "h", ReceivedAt: time.Now()}
	return b.relay.Serve(context.Background(), f, relay.Responder{
		Begin: func(int, http.Header, ending.Framing) {},
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

// Guards against a reservation that doubles only to read the end of an answer, and against one that is smaller than the
// answer or is not corrected to its size.
func TestAnswerOfUnknownLengthIsReservedOnce(t *testing.T) {
	const mean = 64 << 10
	for name, tc := range map[string]struct {
		size  int
		steps []int64
	}{
		"below the mean":        {mean - 1, []int64{mean}},
		"the mean":              {mean, []int64{mean}},
		"a byte above the mean": {mean + 1, []int64{mean, mean}},
		"twice the mean":        {2 * mean, []int64{mean, mean}},
		"more":                  {2*mean + 1, []int64{mean, mean, 2 * mean}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBed(t)
			body := strings.Repeat("x", tc.size)
			b.deps.Forward = func(context.Context, relay.Send) (*model.ForwardReply, error) { return reply(body), nil }
			var steps []int64
			total, answered := int64(0), int64(0)
			outcome := b.serveHeld(relay.HeldBytes{
				Expect:     func() error { return nil },
				MeanAnswer: func() int64 { return mean },
				Answered:   func(n int64) { answered = n },
				Add:        func(n int64) { total += n },
				Reserve: func(_ context.Context, n int64) error {
					steps = append(steps, n)
					total += n
					return nil
				},
			})
			must.True(t, outcome.Complete)
			must.EqOp(t, tc.size, b.body.Len())
			must.Eq(t, tc.steps, steps)
			must.EqOp(t, int64(tc.size), total)
			must.EqOp(t, int64(tc.size), answered)
		})
	}
}
