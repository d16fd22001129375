package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// A pool can get requests of a route and pieces of a stage. If the nodes that send requests and the batcher that
// sends pieces each use all that an endpoint may take, the endpoint gets 1.6 times its rate in all, 2.2 times with
// two batchers. The pool therefore splits what its endpoints may take between requests and pieces; these tests fail
// if each side gets all of it.

// mixedTable returns a route table in which the pool "mixed" gets requests and pieces.
func mixedTable() *kernel.RouteTable {
	return kernel.NewRouteTable(model.Routing{
		Version: 1,
		Routes: []model.Route{
			{Name: "plain", Host: "h", Prefix: "/plain/", Split: []model.WeightedPool{{Pool: "mixed"}, {Pool: "engines"}}},
			{Name: "staged", Host: "h", Prefix: "/staged/", Split: []model.WeightedPool{{Pool: "engines"}}, Stages: []model.StageNode{{Pool: "mixed"}, {Pool: "stage"}}},
		},
		Pools: map[string]model.Pool{
			"mixed":   {Name: "mixed", Pieces: &model.PieceTraits{Slots: 1}},
			"stage":   {Name: "stage", Pieces: &model.PieceTraits{Slots: 1}},
			"engines": {Name: "engines", Engine: &model.EngineTraits{Slots: 1}},
		},
	})
}

func TestOnlyMixedPoolsSplitCapacity(t *testing.T) {
	t.Parallel()
	table := mixedTable()
	must.Less(t, 1.0, table.CapacityShare("mixed"))
	must.EqOp(t, 1.0, table.CapacityShare("stage"))
	must.EqOp(t, 1.0, table.CapacityShare("engines"))
	must.EqOp(t, 1.0, table.CapacityShare("unknown"))
}

// Requests and pieces together stay within the rate cap of an endpoint that gets both, also after another batcher has
// taken over.
func TestMixedPoolStaysWithinRateCap(t *testing.T) {
	t.Parallel()
	share := mixedTable().CapacityShare("mixed")
	for _, perSecond := range []float64{0, 0.1, 1, 1.4, 3} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			t.Parallel()
			stated := model.NewRateCap(perSecond)
			f := newCappedFleet(1, 8, perSecond)
			f.view = f.view.WithFraction(share)
			arrivals := f.arrivals(30*time.Second, func(*cappedFleet) {})
			for _, takesOver := range []bool{false, true} {
				q := cappedQueue{queue: newBatchQueue(4)}
				q.queue.SetRateCap("worker-0", stated.WithFraction(share))
				if takesOver {
					q.queue.TakeOver(time.Unix(1000, 0))
				}
				q.run(30 * time.Second)
				arrivals = append(arrivals, q.calls...)
			}
			must.LessEq(t, int(1.5*perSecond*capWindow.Seconds()+5), maxCountWithin(arrivals, capWindow))
		})
	}
}

// A cold endpoint that gets requests and pieces receives no more than its limit from both together, also while
// nodes disagree about which of them may send to it. perView is how many requests and pieces the senders of one
// membership view may send within 1.8 s, as sends within this time may arrive within one second.
func TestMixedPoolStaysWithinColdBound(t *testing.T) {
	t.Parallel()
	poolShare := mixedTable().CapacityShare("mixed")
	for _, limits := range []kernel.ColdLimits{{}, {Excess: 1, Slack: 0}, {Excess: 1.5, Slack: 5}} {
		for _, rate := range []float64{4, 9.4, 50, 1000} {
			perView := 0
			for _, share := range []kernel.ColdShare{limits.FractionalShare(poolShare, rate), limits.FractionalShare(poolShare, rate).ForSingleSender()} {
				perView += share.Senders * int((1800*time.Millisecond+share.MinInterval-1)/share.MinInterval)
			}
			must.LessEq(t, int(max(rate, rate*limits.Excess+limits.Slack)), 2*perView, must.Sprint(limits, rate))
		}
	}
}
