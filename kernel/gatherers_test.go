package kernel_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

func TestLargeHostsGather(t *testing.T) {
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
		if first := kernel.Gatherers(fmt.Sprint("pool-", k), nodes)[0]; first[0] == 's' {
			small++
		}
	}
	// 50 hosts of a weight of 0.00005 beside 10 of 0.26: 1 in 1,000. Where a small host gathered for
	// the pool of all requests, its link and processor bound the fleet to a third of its service.
	must.LessEq(t, 3, small)
}

func TestTheLossOfAGathererMovesOnlyItsPools(t *testing.T) {
	nodes := []kernel.Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	counts := map[string]float64{}
	for k := range 2000 {
		pool := fmt.Sprint("pool-", k)
		order := kernel.Gatherers(pool, nodes)
		counts[order[0]]++
		left := kernel.Gatherers(pool, nodes[1:])
		if order[0] != "a" {
			must.Eq(t, order[0], left[0])
		} else {
			must.Eq(t, order[1], left[0])
		}
	}
	for _, n := range counts {
		must.Less(t, 100, math.Abs(n-500))
	}
}
