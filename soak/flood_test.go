package soak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// floodDuration is how long a flood lasts: several times as long as nodes take to notice it.
	floodDuration = 4 * time.Second
	// floodCallers is how many callers send requests one after the other in a flood: more than the slots of a pool.
	floodCallers = 24
	// floodSlots and floodQueue are how many requests an endpoint runs and lets wait in a flood.
	floodSlots, floodQueue = 2, 2
	// contentionInterval is how often endpoints change the contention that they state.
	contentionInterval = 600 * time.Millisecond
)

// stateContention makes the endpoints of all pools state contentions that change, with a limit of slots, so that nodes
// place streams and divide slots among customers.
func stateContention(c *cluster, random *rand.Rand, _ time.Duration) {
	end := time.Now().Add(floodDuration)
	for time.Now().Before(end) {
		for _, pool := range []string{"plain", "engines", "workers"} {
			for _, e := range c.listedEndpoints(pool) {
				e.SetContention(70 + random.IntN(330))
				if pool == "plain" {
					e.SetSlots(floodSlots, floodQueue)
				}
			}
		}
		time.Sleep(contentionInterval)
	}
	for _, e := range c.listedEndpoints("plain") {
		e.SetSlots(0, 0)
	}
}

// flood sends requests without pauses to one route, through all nodes. All checks apply to them.
func flood(c *cluster, random *rand.Rand, _ time.Duration) {
	route := []string{"post", "get", "res"}[random.IntN(3)]
	key := validKey
	c.mu.Lock()
	c.sequence++
	name := fmt.Sprintf("flood-%d", c.sequence)
	c.mu.Unlock()
	end := time.Now().Add(floodDuration)
	var callers sync.WaitGroup
	for i := range floodCallers {
		callers.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				if n := c.nodes[(i+k)%len(c.nodes)]; n.address() != "" {
					c.callers.send(n, fmt.Sprintf("%s-%d-%d", name, i, k), route, key)
				}
			}
		})
	}
	callers.Wait()
}
