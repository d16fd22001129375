package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/endpoint"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/relay"
)

// newPaceBed returns a test bed on a made-up clock whose endpoint plain-0 takes three times as long as plain-1. All state
// contention, 1 unless it is that of plain-0. shareOfSlow returns the share of count requests that plain-0 gets.
func newPaceBed(t *testing.T, contention float64, states bool) (b *testBed, shareOfSlow func(count int) float64) {
	b = newTestBed(t)
	b.fakeNow.Store(time.Now().UnixNano())
	slow := 0
	b.deps.Forward = func(_ context.Context, s relay.Send) (*model.ForwardReply, error) {
		elapsed, load := 50*time.Millisecond, &model.Load{Running: 1, Slots: 2}
		if states {
			load.Contention = 1
		}
		if s.Endpoint.Name == "plain-0" {
			slow++
			elapsed *= 3
			load.Contention = contention
		}
		b.fakeNow.Add(int64(elapsed))
		r := reply("x")
		r.Statement = model.Statement{Load: load, Whole: true}
		return r, nil
	}
	return b, func(count int) float64 {
		slow = 0
		for range count {
			must.True(t, b.serve("/get/1").Complete)
		}
		return float64(slow) / float64(count)
	}
}

// Guards against unary requests that go to slow endpoints as often as to others, and against pools that are served in
// another way although no endpoint states its contention.
func TestUnaryRequestsAvoidSlowEndpoint(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		contention float64
		states     bool
		min, max   float64
	}{
		"stated":       {3, true, 0, 0.2},
		"by its speed": {1, true, 0, 0.2},
		"not stated":   {0, false, 0.3, 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, shareOfSlow := newPaceBed(t, tc.contention, tc.states)
			share := shareOfSlow(300)
			t.Logf("%s: %.3f of the requests to the slow endpoint", name, share)
			must.Between(t, tc.min, share, tc.max)
		})
	}
}

// Guards against a new incarnation that is avoided because its predecessor was slow or failed.
func TestNewIncarnationGetsUnaryRequests(t *testing.T) {
	t.Parallel()
	for name, failed := range map[string]bool{"slow": false, "ejected": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, shareOfSlow := newPaceBed(t, 3, true)
			forward := b.deps.Forward
			b.deps.Forward = func(ctx context.Context, s relay.Send) (*model.ForwardReply, error) {
				if failed && s.Endpoint.Name == "plain-0" && s.Endpoint.Started.IsZero() {
					return nil, &endpoint.Fault{Kind: endpoint.Refused, Verdict: model.NotRun, Err: errors.New("refused")}
				}
				return forward(ctx, s)
			}
			_ = shareOfSlow(100)
			began := time.Unix(0, b.fakeNow.Load())
			registry := kernel.NewRegistry().WithChanges(began, began, []model.Endpoint{
				{Name: "plain-0", Pool: "plain", State: model.Live, Started: began},
				{Name: "plain-1", Pool: "plain", State: model.Live},
			}, nil, nil)
			b.relay.UpdateRegistry(func(kernel.Registry) kernel.Registry { return registry })
			must.Positive(t, shareOfSlow(12))
		})
	}
}
