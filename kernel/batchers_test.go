package kernel_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

func TestLargeHostsArePreferredAsBatchers(t *testing.T) {
	var nodes []kernel.Peer
	for i := range 60 {
		n := kernel.Peer{Name: fmt.Sprint("small-", i), Capacity: 0.192}
		if i%6 == 0 {
			n = kernel.Peer{Name: fmt.Sprint("large-", i), Capacity: 0.8}
		}
		nodes = append(nodes, n)
	}
	small := 0
	for k := range 500 {
		if first := kernel.NodesByHash(fmt.Sprint("pool-", k), nodes)[0]; first[0] == 's' {
			small++
		}
	}
	// 50 hosts with a weight of 0.00005 and 10 with 0.26: a small host is first for 1 pool in 1,000. A small host
	// that batches for the pool of all requests limits the fleet to a third of its throughput by its link and
	// processor.
	must.LessEq(t, 3, small)
}

func TestLostBatcherMovesOnlyItsPools(t *testing.T) {
	nodes := []kernel.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	counts := map[string]float64{}
	for k := range 2000 {
		pool := fmt.Sprint("pool-", k)
		order := kernel.NodesByHash(pool, nodes)
		counts[order[0]]++
		remaining := kernel.NodesByHash(pool, nodes[1:])
		if order[0] != "a" {
			must.Eq(t, order[0], remaining[0])
		} else {
			must.Eq(t, order[1], remaining[0])
		}
	}
	for _, n := range counts {
		must.Less(t, 100, math.Abs(n-500))
	}
}

func TestAnswerClaim(t *testing.T) {
	claim := func(name string, capacity float64, batches, leaving bool) kernel.BatcherCandidate {
		return kernel.BatcherCandidate{Peer: kernel.Peer{Name: name, Capacity: capacity}, Batching: batches, Leaving: leaving}
	}
	both := []kernel.Peer{{Name: "a", Capacity: 1}, {Name: "b", Capacity: 1}}
	first := kernel.NodesByHash("pool", both)[0]
	second := kernel.NodesByHash("pool", both)[1]
	for _, tc := range []struct {
		name       string
		own, other kernel.BatcherCandidate
		want       kernel.TakeOverDecision
	}{
		{"a node of equal capacity does not take over", claim("a", 1, true, false), claim("b", 1, false, false), kernel.KeepPool},
		{"a node of less capacity does not take over", claim("a", 1, true, false), claim("b", 0.5, false, false), kernel.KeepPool},
		{"a node of more capacity takes over", claim("a", 1, true, false), claim("b", 2, false, false), kernel.YieldPool},
		{"of two batchers the first continues", claim(first, 1, true, false), claim(second, 1, true, false), kernel.KeepPool},
		{"of two batchers the second yields", claim(second, 1, true, false), claim(first, 1, true, false), kernel.YieldPool},
		{"a leaving batcher yields", claim("a", 2, true, true), claim("b", 1, false, false), kernel.YieldPool},
		{"a leaving batcher shares the pool with another leaving node", claim("a", 1, true, true), claim("b", 1, false, true), kernel.SharePool},
		{"a leaving node gets no pool", claim("a", 1, true, false), claim("b", 2, true, true), kernel.KeepPool},
	} {
		t.Run(tc.name, func(t *testing.T) {
			must.EqOp(t, tc.want, kernel.DecideTakeOver("pool", tc.own, tc.other))
		})
	}
}
