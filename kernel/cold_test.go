package kernel_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	coldStep = 10 * time.Millisecond
	// coldDisruptionAt is when the disruption of a run takes place.
	coldDisruptionAt = 3 * time.Second
)

type (
	// coldFleet simulates nodes that all have more requests for one cold endpoint than it may get.
	coldFleet struct {
		rng    *rand.Rand
		limits kernel.ColdLimits
		rate   float64
		nodes  []coldNode
	}

	coldNode struct {
		name string
		// knownPeers are the nodes that this one knows of.
		knownPeers []kernel.Peer
		isSender   bool
		sentAt     time.Time
	}
)

func newColdFleet(seed uint64, nodes int, limits kernel.ColdLimits, rate float64) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(seed, 1)), limits: limits, rate: rate}
	all := peersNamed("node", nodes)
	for _, p := range all {
		f.nodes = append(f.nodes, coldNode{name: p.Name, knownPeers: all})
	}
	return f
}

// peersNamed returns n nodes whose names start with a prefix.
func peersNamed(prefix string, n int) []kernel.Peer {
	var out []kernel.Peer
	for i := range n {
		out = append(out, kernel.Peer{Name: fmt.Sprint(prefix, "-", i)})
	}
	return out
}

// run lets all nodes send as fast as they may for the given time, and returns the maximum number of requests that
// arrive within one second and the total. Some sends open a connection first. It calls onStep before each step.
func (f *coldFleet) run(duration time.Duration, onStep func(elapsed time.Duration)) (maxInSecond, total int) {
	share := f.limits.Share(f.rate)
	start := time.Unix(1000, 0)
	e := model.Endpoint{Name: "cold", ColdUntil: start.Add(duration)}
	var arrivals []time.Duration
	for elapsed := time.Duration(0); elapsed < duration; elapsed += coldStep {
		onStep(elapsed)
		now := start.Add(elapsed)
		for i := range f.nodes {
			n := &f.nodes[i]
			if elapsed == 0 || elapsed == coldDisruptionAt {
				n.isSender = share.IsSender(n.name, e, n.knownPeers)
			}
			if !n.isSender || !share.Due(now, n.sentAt) {
				continue
			}
			n.sentAt = now
			delay := time.Duration(f.rng.IntN(50)) * time.Millisecond
			if f.rng.IntN(5) == 0 {
				delay += 700 * time.Millisecond
			}
			arrivals = append(arrivals, elapsed+delay)
		}
	}
	slices.Sort(arrivals)
	for i := range arrivals {
		within := slices.IndexFunc(arrivals[i:], func(a time.Duration) bool { return a > arrivals[i]+time.Second })
		if within < 0 {
			within = len(arrivals) - i
		}
		maxInSecond = max(maxInSecond, within)
	}
	return maxInSecond, len(arrivals)
}

// coldDisruptions are changes of the nodes or of their membership views during a run.
var coldDisruptions = map[string]func(f *coldFleet){
	"none": func(*coldFleet) {},
	"two views that share no node": func(f *coldFleet) {
		all, half := f.nodes[0].knownPeers, len(f.nodes)/2
		for i := range f.nodes {
			f.nodes[i].knownPeers = all[half:]
			if i < half {
				f.nodes[i].knownPeers = all[:half]
			}
		}
	},
	"a sender leaves and half of the nodes do not know of it": func(f *coldFleet) {
		all := f.nodes[0].knownPeers
		sender := slices.IndexFunc(f.nodes, func(n coldNode) bool { return n.isSender })
		left := slices.DeleteFunc(slices.Clone(all), func(p kernel.Peer) bool { return p.Name == f.nodes[sender].name })
		for i := range f.nodes {
			if f.rng.IntN(2) == 0 {
				f.nodes[i].knownPeers = left
			}
		}
	},
	"nodes join and half of the nodes do not know of it": func(f *coldFleet) {
		more := append(slices.Clone(f.nodes[0].knownPeers), peersNamed("joined", 3)...)
		for _, p := range peersNamed("joined", 3) {
			f.nodes = append(f.nodes, coldNode{name: p.Name, knownPeers: more})
		}
		for i := range f.nodes {
			if f.rng.IntN(2) == 0 {
				f.nodes[i].knownPeers = more
			}
		}
	},
	"as many nodes join, and each knows some of them": func(f *coldFleet) {
		before, joined := f.nodes[0].knownPeers, peersNamed("joined", len(f.nodes))
		for _, p := range joined {
			f.nodes = append(f.nodes, coldNode{name: p.Name})
		}
		for i := range f.nodes {
			f.nodes[i].knownPeers = append(slices.Clone(before), joined[:f.rng.IntN(len(joined)+1)]...)
		}
	},
	"half of the nodes restart and know no node yet": func(f *coldFleet) {
		for i := range f.nodes {
			if f.rng.IntN(2) == 0 {
				f.nodes[i].knownPeers, f.nodes[i].sentAt = nil, time.Time{}
			}
		}
	},
	"all restart": func(f *coldFleet) {
		for i := range f.nodes {
			f.nodes[i].sentAt = time.Time{}
		}
	},
}

// A cold endpoint that all nodes want to use gets no more than the bound in any second and is not left idle, whatever
// the size of the fleet, the disruption and the membership views of the nodes.
func TestColdEndpointStaysWithinBound(t *testing.T) {
	const duration = 10 * time.Second
	limits, rate := kernel.ColdLimits{Excess: 1.5, Slack: 5}, 9.4
	bound := int(rate*limits.Excess + limits.Slack)
	for name, disruption := range coldDisruptions {
		t.Run(name, func(t *testing.T) {
			for _, nodes := range []int{1, 8, 76, 400} {
				for seed := range uint64(5) {
					f := newColdFleet(seed, nodes, limits, rate)
					maxInSecond, total := f.run(duration, func(elapsed time.Duration) {
						if elapsed == coldDisruptionAt {
							disruption(f)
						}
					})
					must.LessEq(t, bound, maxInSecond, must.Sprint(nodes, " nodes, seed ", seed))
					must.GreaterEq(t, int(coldDisruptionAt/time.Second), total, must.Sprint(nodes, " nodes, seed ", seed))
				}
			}
		})
	}
}

func TestPoolWithoutColdRateHasNoBound(t *testing.T) {
	must.EqOp(t, 0, kernel.ColdLimits{Excess: 1.5, Slack: 5}.Share(0).Senders)
}

// The bound holds for pools of all rates, also where the settings give no excess. Two membership views may be in
// use at the same time. perView is how many requests the senders of one view may send within 1.8 s, as sends within
// this time may arrive within one second.
func TestColdSharesFitBound(t *testing.T) {
	for _, limits := range []kernel.ColdLimits{{}, {Excess: 1, Slack: 0}, {Excess: 1.5, Slack: 5}} {
		for _, rate := range []float64{2, 3, 5, 9.4, 50, 1000} {
			share := limits.Share(rate)
			perView := share.Senders * int((1800*time.Millisecond+share.MinInterval-1)/share.MinInterval)
			must.LessEq(t, max(2, int(max(rate, rate*limits.Excess+limits.Slack))), 2*perView, must.Sprint(limits, rate, share))
		}
	}
}

func TestNewestEntryDecidesCold(t *testing.T) {
	now := time.Unix(1000, 0)
	e := endpointIn("a", "p-a", "p")
	e.ColdFor = 3 * time.Second
	r := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{e}, nil, nil)
	must.True(t, kernel.AnyCold(now.Add(2900*time.Millisecond), r.Endpoints("p")))
	must.False(t, kernel.AnyCold(now.Add(3*time.Second), r.Endpoints("p")))
	e.ColdFor = 0
	r = r.WithChanges(now.Add(time.Second), now.Add(time.Second), []model.Endpoint{e}, nil, nil)
	must.False(t, kernel.AnyCold(now.Add(time.Second), r.Endpoints("p")), must.Sprint("the newest entry states that it is warm"))
	e.ColdFor = time.Second
	r = r.WithChanges(now.Add(2*time.Second), now.Add(2*time.Second), []model.Endpoint{e}, nil, nil)
	must.True(t, kernel.AnyCold(now.Add(2*time.Second), r.Endpoints("p")), must.Sprint("an endpoint may become cold again"))
}

// Endpoints may have become cold while their domain was evacuated. Their entries say so only after the end of the
// evacuation is known.
func TestRestoredDomainCountsAsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	r := domainsRegistry(now, "p", "a", "b").WithEvacuations(evacuationsOf(now, "a"))
	ended := now.Add(10 * time.Second)
	restored, _ := r.Evacuations().With(ended, kernel.EvacuationChange{Restored: []string{"a"}})
	r = r.WithEvacuations(restored)
	for _, e := range r.Endpoints("p") {
		must.EqOp(t, e.FailureDomain == "a", kernel.IsCold(ended, e))
		must.False(t, kernel.IsCold(ended.Add(4*time.Second), e))
	}
	r = r.WithChanges(ended.Add(time.Second), ended.Add(time.Second), []model.Endpoint{endpointIn("a", "p-a", "p")}, nil, nil)
	must.True(t, kernel.IsCold(ended.Add(time.Second), r.Endpoints("p")[0]), must.Sprint("the entry may have been written before the evacuation ended"))
}

// Calls to a cold worker are spaced, and the warm workers make the remaining pieces.
func TestColdWorkerGetsFewCalls(t *testing.T) {
	start := time.Unix(1000, 0)
	warm, cold := endpointIn("a", "warm", "workers"), endpointIn("a", "cold", "workers")
	cold.ColdUntil = start.Add(time.Minute)
	q := kernel.NewBatchQueue(batchTraits)
	share := kernel.ColdLimits{}.Share(4).ForSingleSender()
	q.SetColdShare(share)
	q.SetEndpoints([]model.Endpoint{warm, cold})
	calls := map[string]int{}
	id := uint64(0)
	const duration = 20 * time.Second
	for elapsed := time.Duration(0); elapsed < duration; elapsed += 50 * time.Millisecond {
		now := start.Add(elapsed)
		id++
		q.Add(now, newPieceGroup(id, batchTraits.MaxBatch, 10, now.Add(time.Minute)))
		for batch, more := q.Next(now); more; batch, more = q.Next(now) {
			calls[batch.Endpoint.Name]++
			q.Done(now, batch, make([]model.PieceResult, len(batch.Pieces)))
			if calls["cold"]+calls["warm"] > 10_000 {
				t.Fatal("more than 10,000 calls started: Next does not end")
			}
			if batch.Endpoint.Name == "warm" {
				break
			}
		}
	}
	must.Positive(t, calls["cold"])
	must.LessEq(t, int(duration/share.MinInterval)+1, calls["cold"])
	must.Greater(t, 2*calls["cold"], calls["warm"])
}
