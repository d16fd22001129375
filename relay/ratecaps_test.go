package relay_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

// An endpoint may be chosen for a request, and be known to state a rate cap by the time that a connection to it is open. The
// request goes elsewhere, and that is no repeat.
func TestRequestMovesOnIfRateCapArrivesBeforeSend(t *testing.T) {
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

// The trial of a request that is held back is a send like any other: it goes to no endpoint beyond its rate cap, and is
// still there once an endpoint takes it. Guards against a trial that passes the caps by.
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
