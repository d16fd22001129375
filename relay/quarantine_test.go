package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

// A process may end and be back without a word on its connections: the list alone says that another start of it is
// there. What was under way is counted as at any other end.
func TestCallsToAFormerLifeCountAgainstTheirRequest(t *testing.T) {
	b := newBed(t)
	b.wire.Forward = func(ctx context.Context, _ relay.Send) (*model.ForwardReply, error) {
		<-ctx.Done()
		return nil, &endpoint.Fault{Kind: endpoint.Silent, Verdict: model.MayHaveRun, Err: context.Cause(ctx)}
	}
	roster := kernel.NewRoster()
	for starts := int64(1); ; starts++ {
		now := time.Now()
		roster = roster.WithChanges(now, now, []model.Endpoint{
			{Name: "plain-0", Started: time.UnixMilli(starts), Address: "a", Pool: "plain", State: model.Live},
		}, nil, nil)
		b.relay.SetRoster(roster)
		ended := make(chan relay.Outcome, 1)
		go func() { ended <- b.serve("/get/same") }()
		select {
		case outcome := <-ended:
			must.EqOp(t, model.Quarantined, outcome.Refusal.Reason)
			must.EqOp(t, model.NotRun, outcome.Refusal.Verdict)
			return
		case <-time.After(50 * time.Millisecond):
			must.Less(t, 1000, starts)
		}
	}
}
