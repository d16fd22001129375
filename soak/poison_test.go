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
	poison = "poison"
	// mark stands between a subject and the number of a repeat in its ID.
	mark = "#"
	// contact is after which time nodes that are left alone are bound by what was found of a request, and
	// mostRetries how many of its repeats may reach an endpoint all the same.
	contact     = 3 * time.Second
	mostRetries = 3
	// repeatPause is the mean time between two repeats while faults are injected.
	repeatPause = 200 * time.Millisecond
	calmRepeats = 3
)

var poisonRoutes = []string{"post", "get", "gen", "res"}

// poisonRequests sends a request that ends endpoints again and again, to any node.
func poisonRequests(c *cluster, random *rand.Rand, last time.Duration) {
	route := poisonRoutes[random.IntN(len(poisonRoutes))]
	subject := c.newSubject(route)
	cs := c.callers
	for end := time.Now().Add(2 * last); time.Now().Before(end); {
		if n := c.anyNode(random); n.address() != "" {
			cs.repeat(n, route, subject)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(repeatPause)))
	}
}

// newSubject returns a subject for requests on a route that end endpoints, and remembers it.
func (c *cluster) newSubject(route string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	subject := fmt.Sprintf("%s-%s-%d", poison, route, len(c.subjects))
	c.subjects = append(c.subjects, subject)
	return subject
}

// repeat sends a request that ends endpoints once more.
func (cs *callers) repeat(n *node, route, subject string) {
	cs.mu.Lock()
	id := fmt.Sprint(subject, mark, len(cs.all))
	cs.mu.Unlock()
	cs.sendCall(n, standin.Call{ID: id, Route: route, Content: subject, APIKey: goodKey})
}

// reached counts the repeats of a subject that have ended an endpoint.
func (c *cluster) reached(subject string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := map[string]bool{}
	for _, s := range c.endpoints {
		if by := s.CrashedBy(); strings.HasPrefix(by, subject+mark) {
			ids[by] = true
		}
	}
	return len(ids)
}

// checkPoison sends the requests that end endpoints again after all faults have ended, and one of each kind that was
// not sent before. Few of them may still reach an endpoint.
func (c *cluster) checkPoison(cs *callers) {
	for _, route := range poisonRoutes {
		c.newSubject(route)
	}
	var checked sync.WaitGroup
	for _, subject := range c.subjects {
		checked.Go(func() { c.checkSubject(cs, subject) })
	}
	checked.Wait()
	c.supervised.Wait()
}

func (c *cluster) checkSubject(cs *callers, subject string) {
	route := strings.Split(subject, "-")[1]
	before := c.reached(subject)
	for range calmRepeats {
		for _, n := range c.nodes {
			known := c.reached(subject)
			cs.repeat(n, route, subject)
			if c.reached(subject) > known {
				time.Sleep(contact)
			}
		}
	}
	// Those up to the third end are what it takes to know of it.
	allowed := max(0, kernel.CrashThreshold-before) + mostRetries
	if after := c.reached(subject) - before; after > allowed {
		c.breach("%s had ended endpoints in %d tries and reached more in %d tries after all faults had ended", subject, before, after)
	}
}
