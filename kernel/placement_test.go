package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// engineCandidates returns n live engines in three failure domains.
func engineCandidates(n int) []kernel.Candidate {
	var out []kernel.Candidate
	for i := range n {
		out = append(out, kernel.Candidate{Endpoint: model.Endpoint{
			Name: fmt.Sprint("engine-", i), FailureDomain: fmt.Sprint("domain-", i%3), State: model.Live,
		}})
	}
	return out
}

func TestAffinityKeyIsLastSharedPart(t *testing.T) {
	parts := []model.PromptPart{{ID: "type"}, {ID: "agreement"}, {ID: "own"}}
	must.Eq(t, "agreement", kernel.AffinityKey(model.Prompt{Parts: parts}))
	must.Eq(t, "type", kernel.AffinityKey(model.Prompt{Parts: parts[:1]}))
	must.Eq(t, "", kernel.AffinityKey(model.Prompt{}))
}

func TestPickEngineIsConsistentByKey(t *testing.T) {
	now := time.Unix(1000, 0)
	all := engineCandidates(12)
	var endpoints []model.Endpoint
	for _, e := range all {
		endpoints = append(endpoints, e.Endpoint)
	}
	used := map[int]int{}
	for k := range 300 {
		key := fmt.Sprint("key-", k)
		i := kernel.PickEngine(now, all, key)
		must.Eq(t, i, kernel.PickEngine(now, all, key))
		must.Eq(t, all[i].Endpoint.FailureDomain, kernel.AffinityDomain(key, endpoints), must.Sprint("AffinityDomain agrees with PickEngine"))
		used[i]++
	}
	must.MapLen(t, 12, used)
	for _, n := range used {
		must.Between(t, 5, n, 60)
	}
}

func TestPickEngineAvoidsLongPrefillQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	all := engineCandidates(12)
	i := kernel.PickEngine(now, all, "key")
	all[i].PendingPrefillTokens = 5000
	must.Eq(t, i, kernel.PickEngine(now, all, "key"), must.Sprint("a short queue costs less than prefilling the prefix again"))
	all[i].PendingPrefillTokens = 20000
	must.NotEq(t, i, kernel.PickEngine(now, all, "key"))
}

func TestPickEngineWithoutKeyTakesLeastLoaded(t *testing.T) {
	now := time.Unix(1000, 0)
	all := engineCandidates(3)
	all[0].PendingPrefillTokens, all[2].PendingPrefillTokens = 100, 200
	must.Eq(t, 1, kernel.PickEngine(now, all, ""))
	must.Eq(t, -1, kernel.PickEngine(now, nil, "key"))
}

func TestLocalityWait(t *testing.T) {
	fullWait := 444 * time.Millisecond
	must.EqOp(t, 0, kernel.LocalityWait(50_000, fullWait, time.Minute), must.Sprint("few bytes of inputs to send"))
	must.EqOp(t, fullWait, kernel.LocalityWait(3_600_000, fullWait, time.Minute), must.Sprint("a full call, until the next one in the domain starts"))
	must.EqOp(t, 100*time.Millisecond, kernel.LocalityWait(3_600_000, fullWait, 600*time.Millisecond), must.Sprint("at most a sixth of the slack"))
	must.EqOp(t, 0, kernel.LocalityWait(3_600_000, fullWait, -time.Second), must.Sprint("already late"))
}

// The choice of an engine must not copy what is known of the engines: with 5,515 of them, each copy takes two megabytes for
// each prompt.
func TestPickEngineCopiesNoCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	all := engineCandidates(5_000)
	must.Less(t, 1<<10, allocatedBytes(10, func(int) {
		benchSink = kernel.PickEngine(now, kernel.Usable(now, all, nil), "key")
	}))
	all[3].Endpoint.State = model.Leaving
	must.Len(t, len(all)-1, kernel.Usable(now, all, nil))
}
