package relay_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

// A node may learn of an endpoint's rate cap after it has chosen the endpoint, but before the connection is open. The
// request has to go to another endpoint, without counting as a retry.
func TestRateCapBeforeSendMovesRequest(t *testing.T) {
	b := newTestBed(t)
	var sent []string
	capped := ""
	b.deps.Forward = func(_ context.Context, s relay.Send) (*model.ForwardReply, error) {
		if capped == "" {
			capped = s.Endpoint.Name
			b.relay.SetRateCap(s.Endpoint.Incarnation(), model.NewRateCap(1))
		}
		if err := s.BeforeSend(); err != nil {
			return nil, err
		}
		sent = append(sent, s.Endpoint.Name)
		return reply("answer"), nil
	}
	must.Nil(t, b.serve("/get/one").Refusal)
	must.SliceLen(t, 1, sent)
	must.NotEq(t, capped, sent[0])
}

// Guards against a trial of a quarantined request that bypasses rate caps: it must not go to an endpoint beyond its
// cap, and must not be used up by the refusal.
func TestTrialObeysRateCaps(t *testing.T) {
	b := newTestBed(t)
	var sent []string
	b.deps.Forward = func(_ context.Context, s relay.Send) (*model.ForwardReply, error) {
		sent = append(sent, s.Endpoint.Name)
		return reply("answer"), nil
	}
	b.relay.ApplyQuarantineChange(kernel.QuarantineChange{Hold: []kernel.HeldRequest{{Digest: model.NewDigest("", "h", "/get/one", ""), Pool: "plain"}}})
	for _, name := range []string{"plain-0", "plain-1"} {
		b.relay.SetRateCap(model.Endpoint{Name: name}.Incarnation(), model.NewRateCap(1))
	}
	refusal := b.serve("/get/one").Refusal
	must.NotNil(t, refusal)
	must.EqOp(t, model.EndpointsCapped, refusal.Reason)
	must.SliceEmpty(t, sent)

	b.relay.SetRateCap(model.Endpoint{Name: "plain-1"}.Incarnation(), model.RateCap{})
	must.Nil(t, b.serve("/get/one").Refusal)
	must.Eq(t, []string{"plain-1"}, sent)
}
