package kernel_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// fleetEndpoints returns endpoints of four pools, the first with half of them.
func fleetEndpoints(n int) []model.Endpoint {
	out := make([]model.Endpoint, n)
	for i := range out {
		pool := "engines"
		if i%2 == 1 {
			pool = fmt.Sprint("workers-", i%6)
		}
		out[i] = model.Endpoint{Name: fmt.Sprintf("i-%08x", i*7919), Pool: pool, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), State: model.Live, Version: "v1"}
	}
	return out
}

// allocatedBytes returns how many bytes a call of f allocates, on average over the calls.
func allocatedBytes(calls int, f func(i int)) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range calls {
		f(i)
	}
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc-before.TotalAlloc) / calls
}

// A registry that copies its entries at each change costs a node of a large fleet most of its processor time while
// endpoints are replaced. What one change allocates must not follow the number of endpoints.
func TestRegistryChangeDoesNotCopyList(t *testing.T) {
	const maxBytes = 8 << 10
	for _, n := range []int{1_000, 10_000} {
		listed := fleetEndpoints(n)
		r := kernel.NewRegistry().WithChanges(testStart, testStart, listed, nil, nil)
		used := allocatedBytes(100, func(i int) {
			changed := listed[i*7]
			changed.State = model.Leaving
			before := r
			r = r.WithChanges(testStart, testStart, []model.Endpoint{changed}, nil, nil)
			must.Len(t, 1, r.Changes(before))
			benchSink = r
		})
		must.Less(t, maxBytes, used, must.Sprintf("%d endpoints", n))
		must.Zero(t, allocatedBytes(100, func(int) {
			before := r
			r = r.WithChanges(testStart.Add(time.Second), testStart, nil, nil, nil)
			must.True(t, r.SameEndpoints(before))
		}), must.Sprint("an answer without changes"))
	}
}

// The order of a pool's endpoints and their number must not depend on how the changes came.
func TestRegistryListsFollowChanges(t *testing.T) {
	listed := fleetEndpoints(300)
	r := kernel.NewRegistry().WithChanges(testStart, testStart, listed, nil, nil)
	moved := listed[0]
	moved.Pool, moved.Address = "workers-1", "10.9.9.9:80"
	for i := 1; i < 200; i++ {
		r = r.WithChanges(testStart, testStart, nil, []string{listed[i].Name}, nil)
	}
	before := r
	r = r.WithChanges(testStart, testStart, []model.Endpoint{moved}, nil, nil)
	want := kernel.NewRegistry().WithChanges(testStart, testStart, append([]model.Endpoint{moved}, listed[200:]...), nil, nil)
	for _, pool := range want.Pools() {
		must.Eq(t, want.Endpoints(pool), r.Endpoints(pool))
	}
	must.True(t, r.SamePool(before, "workers-3"))
	must.False(t, r.SamePool(before, "engines"))
	must.Eq(t, 101, r.Len())
	_, found := r.FindByAddress(listed[0].Address)
	must.False(t, found, must.Sprint("the address that the endpoint has left"))
	e, _ := r.FindByAddress(moved.Address)
	must.Eq(t, moved.Name, e.Name)
	for _, e := range listed[200:] {
		r = r.WithChanges(testStart, testStart, nil, []string{e.Name}, nil)
	}
	must.Eq(t, []string{"workers-1"}, r.Pools())
}
