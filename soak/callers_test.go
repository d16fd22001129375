package soak_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// callerPause is the mean time between two requests of a caller.
	callerPause = 15 * time.Millisecond
	// callerDeadline is what callers say, callerPatience when they leave.
	callerDeadline = 3000
	callerPatience = 4 * time.Second
	streamEvents   = 5
	goodKey        = "key-good"
	badKey         = "key-never-held"
)

type (
	// sent is a request as its caller saw it.
	sent struct {
		id    string
		route string
		key   string
		at    time.Time
		node  string
		// status is zero where no answer began; whole tells that the body came to its end.
		status int
		whole  bool
		body   string
		stamp  string
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
	s := &sent{id: id, route: route, key: key, at: time.Now(), node: n.name}
	cs.mu.Lock()
	cs.all = append(cs.all, s)
	cs.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	// A reader of its own keeps the client from sending the request a second time by itself.
	body := io.NopCloser(strings.NewReader("body of " + id))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address()+"/"+route+"/"+id, body)
	if err != nil {
		return s
	}
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline))
	req.Header.Set("Authorization", "Bearer "+key)
	if route == "gen" || route == "res" {
		req.Header.Set("X-Token-Count", "100,5")
		req.Header.Set("X-Prompt-Prefix", "aa:80,"+id+":20")
	}
	if route == "gen" {
		req.Header.Set("X-Pieces", "2,3")
		req.Header.Set("X-Piece-Key", "key-"+id)
	}
	res, err := cs.client.Do(req)
	if err != nil {
		return s
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	s.status, s.whole, s.body, s.stamp = res.StatusCode, err == nil, string(text), res.Header.Get("X-Server-Stamp")
	return s
}
