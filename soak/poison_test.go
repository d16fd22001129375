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
	// poisonMarker is the prefix of the subjects of poison requests, which crash the endpoints that begin to run them. A
	// subject is the text in the body that a poison request and its repeats share.
	poisonMarker = "poison"
	// repeatSeparator separates the subject from the number of the repeat in the ID of a poison request.
	repeatSeparator = "#"
	// quarantineDelay is the time after which nodes without faults apply the quarantine of a request.
	// maxCrashesAfterQuarantine is how many of its repeats may crash an endpoint nevertheless.
	quarantineDelay           = 3 * time.Second
	maxCrashesAfterQuarantine = 3
	// meanRepeatInterval is the mean time between two repeats while faults are injected.
	meanRepeatInterval = 200 * time.Millisecond
	// repeatsPerNode is how many repeats are sent to each node once all faults have ended.
	repeatsPerNode = 3
)

var poisonRoutes = []string{"post", "get", "gen", "res"}

// sendPoisonRequests sends a poison request repeatedly, to random nodes.
func sendPoisonRequests(c *cluster, random *rand.Rand, duration time.Duration) {
	route := poisonRoutes[random.IntN(len(poisonRoutes))]
	subject := c.newPoisonSubject(route)
	cs := c.callers
	for deadline := time.Now().Add(2 * duration); time.Now().Before(deadline); {
		if n := c.randomNode(random); n.address() != "" {
			cs.sendPoison(n, route, subject)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanRepeatInterval)))
	}
}

// newPoisonSubject returns a new subject for poison requests on a route, and records it.
func (c *cluster) newPoisonSubject(route string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := fmt.Sprintf("%s-%s-%d", poisonMarker, route, len(c.poisonSubjects))
	c.poisonSubjects = append(c.poisonSubjects, subject)
	return subject
}

// sendPoison sends one repeat of a poison request.
func (cs *callers) sendPoison(n *node, route, subject string) {
	cs.mu.Lock()
	id := fmt.Sprint(subject, repeatSeparator, len(cs.requests))
	cs.mu.Unlock()
	cs.sendCall(n, standin.Call{ID: id, Route: route, Content: subject, APIKey: validKey})
}

// crashCount returns the number of repeats of a poison request that have crashed an endpoint.
func (c *cluster) crashCount(subject string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := map[string]bool{}
	for _, e := range c.endpoints {
		if id := e.CrashedBy(); strings.HasPrefix(id, subject+repeatSeparator) {
			ids[id] = true
		}
	}
	return len(ids)
}

// checkPoison repeats the poison requests after all faults have ended, and sends a new one on each route. Only a few of
// them may still crash an endpoint.
func (c *cluster) checkPoison(cs *callers) {
	for _, route := range poisonRoutes {
		c.newPoisonSubject(route)
	}
	var running sync.WaitGroup
	for _, subject := range c.poisonSubjects {
		running.Go(func() { c.checkPoisonSubject(cs, subject) })
	}
	running.Wait()
	c.replacements.Wait()
}

// checkPoisonSubject sends repeats of one poison request to all nodes and checks how many of them crash an endpoint.
func (c *cluster) checkPoisonSubject(cs *callers, subject string) {
	route := strings.Split(subject, "-")[1]
	crashesBefore := c.crashCount(subject)
	for range repeatsPerNode {
		for _, n := range c.nodes {
			previous := c.crashCount(subject)
			cs.sendPoison(n, route, subject)
			if c.crashCount(subject) > previous {
				time.Sleep(quarantineDelay)
			}
		}
	}
	// A request is quarantined only after CrashThreshold crashes.
	maxCrashes := max(0, kernel.CrashThreshold-crashesBefore) + maxCrashesAfterQuarantine
	if furtherCrashes := c.crashCount(subject) - crashesBefore; furtherCrashes > maxCrashes {
		c.reportViolation("%s had crashed endpoints in %d repeats and crashed others in %d further repeats after all faults had ended", subject, crashesBefore, furtherCrashes)
	}
}
