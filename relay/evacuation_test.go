package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

// The failure domain of an endpoint may be evacuated after the endpoint was chosen for a request, while the connection
// is being opened. The request goes to another endpoint, and the first one's health does not suffer.
func TestEvacuationBeforeSendMovesRequest(t *testing.T) {
	b := newTestBed(t)
	now := time.Now()
	registry := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{
		{Name: "plain-0", Pool: "plain", FailureDomain: "a", State: model.Live},
		{Name: "plain-1", Pool: "plain", FailureDomain: "b", State: model.Live},
	}, nil, nil)
	b.relay.UpdateRegistry(func(kernel.Registry) kernel.Registry { return registry })
	var sent []string
	evacuate := true
	b.deps.Forward = func(_ context.Context, s relay.Send) (*model.ForwardReply, error) {
		if evacuate {
			evacuate = false
			b.relay.ApplyEvacuationChange(kernel.EvacuationChange{Evacuated: []string{s.Endpoint.FailureDomain}})
		}
		if err := s.BeforeSend(); err != nil {
			return nil, err
		}
		sent = append(sent, s.Endpoint.FailureDomain)
		return reply("answer"), nil
	}
	outcome := b.serve("/get/one")
	must.Nil(t, outcome.Refusal)
	must.True(t, outcome.Complete)
	must.SliceLen(t, 1, sent)
	must.False(t, b.relay.Registry().Evacuations().Contains(sent[0]))
	b.relay.ApplyEvacuationChange(kernel.EvacuationChange{Restored: b.relay.Registry().Evacuations().Domains()})
	must.Nil(t, b.serve("/get/two").Refusal)
}
