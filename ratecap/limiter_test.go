package ratecap_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/ratecap"
)

const awaitTimeout = 20 * time.Second

// fleet is the limiters of several nodes that publish caps through a common store.
type fleet struct {
	mu       sync.Mutex
	limiters []*ratecap.Limiter
	// failWrites is the number of further writes that fail.
	failWrites int
	// listed is whether the endpoint is listed.
	listed bool
	writes int
}

func newFleet(t *testing.T, nodes int) *fleet {
	f := &fleet{listed: true}
	var peers []kernel.Peer
	for i := range nodes {
		peers = append(peers, kernel.Peer{Name: fmt.Sprint("node-", i)})
	}
	for _, p := range peers {
		f.limiters = append(f.limiters, ratecap.NewLimiter(t.Context(), p.Name, ratecap.Dependencies{
			Announced: func() []kernel.Peer { return peers },
			Listed:    func(string) bool { f.mu.Lock(); defer f.mu.Unlock(); return f.listed },
			Publish:   f.publish,
			Changed:   func() {},
		}, time.Now, metric.NewSet(), zerolog.Nop()))
	}
	return f
}

func (f *fleet) publish(_ context.Context, incarnation string, stated model.RateCap) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failWrites > 0 {
		f.failWrites--
		return errors.New("store unavailable")
	}
	f.writes++
	for _, l := range f.limiters {
		l.ApplyNotice(incarnation, stated)
	}
	return nil
}

// await waits until all limiters have learned that the endpoint states a cap (stated is true) or that it states none.
func (f *fleet) await(t *testing.T, stated bool) {
	t.Helper()
	allLearned := func() bool {
		for _, l := range f.limiters {
			if l.HasCap("engine") != stated {
				return false
			}
		}
		return true
	}
	for deadline := time.Now().Add(awaitTimeout); !allLearned(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not all limiters learned of the change in time")
		}
	}
}

// All nodes learn of a cap, and of its end, from the node that received the endpoint's answer, even if the first
// writes to the store fail.
func TestNodesShareRateCaps(t *testing.T) {
	t.Parallel()
	for _, failures := range []int{0, 2} {
		f := newFleet(t, 3)
		f.failWrites = failures
		e := model.Endpoint{Name: "engine", State: model.Live}
		f.limiters[1].RecordAnswer(time.Now(), e, model.NewRateCap(2))
		must.True(t, f.limiters[1].HasCap("engine"))
		f.await(t, true)
		refusal := f.limiters[0].AdmitPool(time.Now(), "engines", []model.Endpoint{e}, func(string) time.Time { return time.Now() })
		must.NotNil(t, refusal)
		must.EqOp(t, model.EndpointsCapped, refusal.Reason)

		f.limiters[1].RecordAnswer(time.Now(), e, model.RateCap{})
		f.await(t, false)
		must.Nil(t, f.limiters[0].AdmitPool(time.Now(), "engines", []model.Endpoint{e}, func(string) time.Time { return time.Now() }))
		// At most one write by each of the 3 nodes for each of the 2 changes.
		must.LessEq(t, 6, f.writes)
	}
}

// The cap of an endpoint that is no longer listed is removed on all nodes and from the store.
func TestRateCapOfRemovedEndpointIsRemoved(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.limiters[0].RecordAnswer(time.Now(), model.Endpoint{Name: "engine"}, model.NewRateCap(2))
	f.await(t, true)
	f.mu.Lock()
	f.listed = false
	f.mu.Unlock()
	f.await(t, false)
}
