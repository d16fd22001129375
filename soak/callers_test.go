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
	// meanRequestInterval is the mean time between two requests of a caller.
	meanRequestInterval = 15 * time.Millisecond
	// callerDeadline is the deadline that callers send with a request. callerTimeout is the time after which they close
	// the connection.
	callerDeadline = 3 * time.Second
	callerTimeout  = 4 * time.Second
	// streamEvents is the number of events in the answer of an endpoint on a stream route.
	streamEvents = 5
	// validKey is an API key that is valid throughout the run, invalidKey one that is never valid.
	validKey   = "key-good"
	invalidKey = "key-never-held"
)

type (
	// sentRequest is a request with the answer that its caller received.
	sentRequest struct {
		standin.Call
		standin.Answer
		sentAt   time.Time
		endedAt  time.Time
		nodeName string
		// began is the attempt that brought the first event of the stream that this one takes up again; nil for any other.
		began *sentRequest
	}

	// callers sends requests to all nodes over keep-alive connections.
	callers struct {
		cluster  *cluster
		client   *http.Client
		mu       sync.Mutex
		requests []*sentRequest
	}
)

func newCallers(c *cluster) *callers {
	return &callers{cluster: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// run sends requests until ctx ends.
func (cs *callers) run(ctx context.Context, random *rand.Rand, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		route := []string{"post", "get", "gen", "res"}[random.IntN(4)]
		key := cs.pickKey(random)
		n := cs.pickNode(random)
		pause := time.Duration(random.ExpFloat64() * float64(meanRequestInterval))
		if n.address() != "" {
			s := cs.sendCall(n, standin.Call{ID: fmt.Sprintf("%s-%d", name, i), Route: route, APIKey: key, HTTP10: cs.cluster.unframed && i%4 == 3})
			cs.takeUp(random, s)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// pickNode returns a random node, or nearly always the preferred one while there is one.
func (cs *callers) pickNode(random *rand.Rand) *node {
	n := cs.cluster.randomNode(random)
	if preferred := cs.cluster.preferred.Load(); preferred != nil && random.IntN(10) > 0 {
		return preferred
	}
	return n
}

// pickKey returns a valid API key, or sometimes one that was revoked or never valid.
func (cs *callers) pickKey(random *rand.Rand) string {
	cs.cluster.mu.Lock()
	defer cs.cluster.mu.Unlock()
	if random.IntN(20) == 0 {
		return invalidKey
	}
	if revoked := len(cs.cluster.revokedAPIKeys); revoked > 0 && random.IntN(5) == 0 {
		keys := slices.Sorted(maps.Keys(cs.cluster.revokedAPIKeys))
		return keys[random.IntN(revoked)]
	}
	return cs.cluster.apiKeys[random.IntN(len(cs.cluster.apiKeys))]
}

// send sends one request and records the answer.
func (cs *callers) send(n *node, id, route, key string) *sentRequest {
	return cs.sendCall(n, standin.Call{ID: id, Route: route, APIKey: key})
}

func (cs *callers) sendCall(n *node, call standin.Call) *sentRequest {
	return cs.sendResumed(n, call, nil)
}

// sendResumed sends a call that may take up the stream that another one began.
func (cs *callers) sendResumed(n *node, call standin.Call, began *sentRequest) *sentRequest {
	call.Timeout = callerDeadline
	call.Stream = call.Route == "gen" || call.Route == "res"
	if call.Route == "gen" {
		call.Pieces = "2,3"
	}
	request := &sentRequest{Call: call, sentAt: time.Now(), nodeName: n.name, began: began}
	cs.mu.Lock()
	cs.requests = append(cs.requests, request)
	cs.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	request.Answer = call.Send(ctx, cs.client, n.address())
	request.endedAt = time.Now()
	return request
}
