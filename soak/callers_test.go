package soak_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

const (
	// callerPause is the mean time between two requests of a caller.
	callerPause = 15 * time.Millisecond
	// callerDeadline is what callers say, callerPatience when they leave.
	callerDeadline = 3 * time.Second
	callerPatience = 4 * time.Second
	streamEvents   = 5
	goodKey        = "key-good"
	badKey         = "key-never-held"
)

type (
	// sent is a request as its caller saw it.
	sent struct {
		standin.Call
		standin.Answer
		at   time.Time
		node string
	}

	// callers send requests to all nodes on kept connections.
	callers struct {
		c      *cluster
		client *http.Client
		mu     sync.Mutex
		all    []*sent
	}
)

func newCallers(c *cluster) *callers {
	return &callers{c: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// run sends requests until ctx ends.
func (cs *callers) run(ctx context.Context, random *rand.Rand, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		route := []string{"post", "get", "gen", "res"}[random.IntN(4)]
		key := cs.pickKey(random)
		n := cs.c.nodes[random.IntN(len(cs.c.nodes))]
		pause := time.Duration(random.ExpFloat64() * float64(callerPause))
		if n.address() != "" {
			cs.send(n, fmt.Sprintf("%s-%d", name, i), route, key)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (cs *callers) pickKey(random *rand.Rand) string {
	cs.c.mu.Lock()
	defer cs.c.mu.Unlock()
	if random.IntN(20) == 0 {
		return badKey
	}
	if gone := len(cs.c.revoked); gone > 0 && random.IntN(5) == 0 {
		keys := slices.Sorted(maps.Keys(cs.c.revoked))
		return keys[random.IntN(gone)]
	}
	return cs.c.keys[random.IntN(len(cs.c.keys))]
}

// send sends one request and notes what came back.
func (cs *callers) send(n *node, id, route, key string) *sent {
	return cs.sendCall(n, standin.Call{ID: id, Route: route, APIKey: key})
}

func (cs *callers) sendCall(n *node, call standin.Call) *sent {
	call.Timeout = callerDeadline
	call.Stream = call.Route == "gen" || call.Route == "res"
	if call.Route == "gen" {
		call.Pieces = "2,3"
	}
	s := &sent{Call: call, at: time.Now(), node: n.name}
	cs.mu.Lock()
	cs.all = append(cs.all, s)
	cs.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	s.Answer = call.Send(ctx, cs.client, n.address())
	return s
}
