package relay_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// A request must not allocate for each endpoint of its pool: with 5,515 engines, each prompt cost a node of a large fleet a
// collection of its heap.
func TestRequestAllocatesNothingForEachEndpoint(t *testing.T) {
	const perEndpoint = 64
	used := map[int]int{}
	for _, engines := range []int{500, 5_000} {
		b := newTestBed(t)
		now := time.Now()
		listed := make([]model.Endpoint, engines)
		for i := range listed {
			listed[i] = model.Endpoint{Name: fmt.Sprint("large-", i), Started: now, Address: fmt.Sprint("large-", i), Pool: "engines", State: model.Live}
		}
		b.relay.UpdateRegistry(func(before kernel.Registry) kernel.Registry { return before.WithChanges(now, now, listed, nil, nil) })
		for range 3 {
			must.Nil(t, b.serve("/gen/1").Refusal)
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		const requests = 20
		for range requests {
			must.Nil(t, b.serve("/gen/1").Refusal)
		}
		runtime.ReadMemStats(&after)
		used[engines] = int(after.TotalAlloc-before.TotalAlloc) / requests
	}
	must.Less(t, used[500]+4_500*perEndpoint, used[5_000], must.Sprint(used))
}
