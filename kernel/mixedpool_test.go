package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// Found in review: a pool may get requests of a route and pieces of a stage. The nodes that share what an endpoint takes use
// it up with requests, and the pool's batcher sends pieces besides, 1.6 times the rate in all, 2.2 times with two batchers.
// Cause: a bound on what all nodes send together, of which two kinds of senders each took the whole. Proved by: these tests
// with mixedShare at 1.

// mixedTable returns a routing whose pool gets requests and pieces.
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

func TestOnlyPoolsThatGetRequestsAndPiecesDivideWhatTheirEndpointsBear(t *testing.T) {
	t.Parallel()
	table := mixedTable()
	must.Less(t, 1.0, table.Share("mixed"))
	must.EqOp(t, 1.0, table.Share("stage"))
	must.EqOp(t, 1.0, table.Share("engines"))
	must.EqOp(t, 1.0, table.Share("unknown"))
}

// Requests and pieces together keep within the rate cap of an endpoint that gets both, also where a second batcher begins.
func TestRequestsAndPiecesTogetherKeepWithinARateCap(t *testing.T) {
	t.Parallel()
	part := mixedTable().Share("mixed")
	for _, perSecond := range []float64{0, 0.1, 1, 1.4, 3} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			t.Parallel()
			stated := model.NewRateCap(perSecond)
			f := newCappedFleet(1, 8, perSecond)
			f.belief = f.belief.WithPart(part)
			arrivals := f.arrivals(30*time.Second, func(*cappedFleet) {})
			for _, begins := range []bool{false, true} {
				q := cappedQueue{g: newBatchQueue(4)}
				q.g.SetRateCap("worker-0", stated.WithPart(part))
				if begins {
					q.g.TakeOver(time.Unix(1000, 0))
				}
				q.play(30 * time.Second)
				arrivals = append(arrivals, q.calls...)
			}
			must.LessEq(t, int(1.5*perSecond*capWindow.Seconds()+5), mostWithin(arrivals, capWindow))
		})
	}
}

// A cold endpoint that gets requests and pieces bears what both bring, also while two choices of senders are in force.
func TestRequestsAndPiecesTogetherKeepToWhatAColdEndpointBears(t *testing.T) {
	t.Parallel()
	part := mixedTable().Share("mixed")
	for _, terms := range []kernel.ColdLimits{{}, {Excess: 1, Slack: 0}, {Excess: 1.5, Slack: 5}} {
		for _, rate := range []float64{4, 9.4, 50, 1000} {
			perView := 0
			for _, share := range []kernel.ColdShare{terms.FractionalShare(part, rate), terms.FractionalShare(part, rate).ForSingleSender()} {
				perView += share.Senders * int((1800*time.Millisecond+share.MinInterval-1)/share.MinInterval)
			}
			must.LessEq(t, int(max(rate, rate*terms.Excess+terms.Slack)), 2*perView, must.Sprint(terms, rate))
		}
	}
}
