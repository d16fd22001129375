package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

func engines(n int) []kernel.EngineChoice {
	var out []kernel.EngineChoice
	for i := range n {
		out = append(out, kernel.EngineChoice{Candidate: kernel.Candidate{Endpoint: model.Endpoint{
			Name: fmt.Sprint("engine-", i), FailureDomain: fmt.Sprint("domain-", i%3), State: model.Live,
		}}})
	}
	return out
}

func TestAffinityKeyIsTheLastSharedPart(t *testing.T) {
	parts := []model.PromptPart{{ID: "type"}, {ID: "agreement"}, {ID: "own"}}
	must.Eq(t, "agreement", kernel.AffinityKey(model.Prompt{Parts: parts}))
	must.Eq(t, "type", kernel.AffinityKey(model.Prompt{Parts: parts[:1]}))
	must.Eq(t, "", kernel.AffinityKey(model.Prompt{}))
}

func TestPromptsOfOneKeyMeetInOneEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	all := engines(12)
	var endpoints []model.Endpoint
	for _, e := range all {
		endpoints = append(endpoints, e.Endpoint)
	}
	used := map[int]int{}
	for k := range 300 {
		key := fmt.Sprint("key-", k)
		home := kernel.HomeDomain(key, endpoints)
		i := kernel.PickEngine(now, all, key, home)
		must.Eq(t, home, all[i].Endpoint.FailureDomain)
		must.Eq(t, i, kernel.PickEngine(now, all, key, home))
		used[i]++
	}
	must.MapLen(t, 12, used)
	for _, n := range used {
		must.Between(t, 5, n, 60)
	}
}

func TestAPromptMovesOnFromAnEngineWithMuchToRead(t *testing.T) {
	now := time.Unix(1000, 0)
	all := engines(12)
	home := "domain-1"
	i := kernel.PickEngine(now, all, "key", home)
	all[i].Reading = 20000
	j := kernel.PickEngine(now, all, "key", home)
	must.NotEq(t, i, j)
	must.Eq(t, home, all[j].Endpoint.FailureDomain)
}

func TestAPromptLeavesADomainWithoutEngines(t *testing.T) {
	now := time.Unix(1000, 0)
	must.NotEq(t, -1, kernel.PickEngine(now, engines(2), "key", "domain-2"))
	must.Eq(t, -1, kernel.PickEngine(now, nil, "key", "domain-2"))
}
