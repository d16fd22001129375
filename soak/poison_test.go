package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/platform/standin"
)

const (
	// poison is in the subjects of requests that end the endpoints that begin to run them.
	poisonMarker = "poison"
	// mark stands between a subject and the number of a repeat in its ID.
	repeatSeparator = "#"
	// contact is after which time nodes that are left alone are bound by what was found of a request, and
	// maxCrashesAfterQuarantine how many of its repeats may reach an endpoint all the same.
	quarantineDelay           = 3 * time.Second
	maxCrashesAfterQuarantine = 3
	// meanRepeatInterval is the mean time between two repeats while faults are injected.
	meanRepeatInterval = 200 * time.Millisecond
	repeatsPerNode     = 3
)

var poisonRoutes = []string{"post", "get", "gen", "res"}

// sendPoisonRequests sends a request that ends endpoints again and again, to any node.
func sendPoisonRequests(c *cluster, random *rand.Rand, last time.Duration) {
	route := poisonRoutes[random.IntN(len(poisonRoutes))]
	subject := c.newPoisonSubject(route)
	cs := c.callers
	for end := time.Now().Add(2 * last); time.Now().Before(end); {
		if n := c.randomNode(random); n.address() != "" {
			cs.sendPoison(n, route, subject)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanRepeatInterval)))
	}
}

// newPoisonSubject returns a subject for requests on a route that end endpoints, and remembers it.
func (c *cluster) newPoisonSubject(route string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := fmt.Sprintf("%s-%s-%d", poisonMarker, route, len(c.poisonSubjects))
	c.poisonSubjects = append(c.poisonSubjects, subject)
	return subject
}

// repeat sends a request that ends endpoints once more.
func (cs *callers) sendPoison(n *node, route, subject string) {
	cs.mu.Lock()
	id := fmt.Sprint(subject, repeatSeparator, len(cs.requests))
	cs.mu.Unlock()
	cs.sendCall(n, standin.Call{ID: id, Route: route, Content: subject, APIKey: validKey})
}

// reached counts the repeats of a subject that have ended an endpoint.
func (c *cluster) crashCount(subject string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := map[string]bool{}
	for _, s := range c.endpoints {
		if by := s.CrashedBy(); strings.HasPrefix(by, subject+repeatSeparator) {
			ids[by] = true
		}
	}
	return len(ids)
}

// checkPoison sends the requests that end endpoints again after all faults have ended, and one of each kind that was
// not sent before. Few of them may still reach an endpoint.
func (c *cluster) checkPoison(cs *callers) {
	for _, route := range poisonRoutes {
		c.newPoisonSubject(route)
	}
	var checked sync.WaitGroup
	for _, subject := range c.poisonSubjects {
		checked.Go(func() { c.checkPoisonSubject(cs, subject) })
	}
	checked.Wait()
	c.replacements.Wait()
}

func (c *cluster) checkPoisonSubject(cs *callers, subject string) {
	route := strings.Split(subject, "-")[1]
	before := c.crashCount(subject)
	for range repeatsPerNode {
		for _, n := range c.nodes {
			known := c.crashCount(subject)
			cs.sendPoison(n, route, subject)
			if c.crashCount(subject) > known {
				time.Sleep(quarantineDelay)
			}
		}
	}
	// Those up to the third end are what it takes to know of it.
	allowed := max(0, kernel.CrashThreshold-before) + maxCrashesAfterQuarantine
	if after := c.crashCount(subject) - before; after > allowed {
		c.reportViolation("%s had ended endpoints in %d tries and reached more in %d tries after all faults had ended", subject, before, after)
	}
}
