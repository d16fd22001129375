package soak_test

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

// slack is added to bounds in time: the machine may be busy, and the bounds hold for nodes that
// have been left alone for a few seconds only.
const slack = 8 * time.Second

// addedRoutePrefix begins the names of routes that are added during a run.
const addedRoutePrefix = "extra"

// check compares what callers saw with what endpoints did.
func (c *cluster) check(cs *callers) {
	cs.mu.Lock()
	all := cs.requests
	cs.mu.Unlock()
	runs := map[string][]endpointRun{}
	for _, s := range c.endpoints {
		for _, id := range s.RequestsWithForeignInputs() {
			c.reportViolation("%s was given results of another request at %s", id, s.Name)
		}
		for _, run := range s.Runs() {
			runs[run.ID] = append(runs[run.ID], endpointRun{endpoint: s, run: run})
		}
	}
	known := map[string]*sentRequest{}
	for _, s := range all {
		known[s.ID] = s
		c.checkAnswer(s, runs[s.ID])
	}
	c.checkRateCaps(known)
	c.checkPieceCalls()
	c.checkCold()
	for id, ran := range runs {
		s := known[id]
		if s == nil {
			run := ran[0].run
			c.reportViolation("%q was run, and no caller sent it: %s %s at %s, header %v", id, run.Method, run.URI, ran[0].endpoint.Name, run.Header)
			continue
		}
		c.checkRuns(s, ran)
	}
}

// endpointRun is a run with its endpoint.
type endpointRun struct {
	endpoint *endpoint
	run      standin.Run
}

// checkAnswer checks what a caller was given.
func (c *cluster) checkAnswer(s *sentRequest, ran []endpointRun) {
	if s.Status == http.StatusOK && s.Complete {
		signed := false
		for _, r := range ran {
			signed = signed || s.Signature == r.run.Signature()
		}
		if !signed {
			c.reportViolation("%s got a success that no endpoint signed for it: %q", s.ID, s.Signature)
		}
		if s.Answer.Body != expectedBody(s) {
			c.reportViolation("%s got a success with another body: %q", s.ID, s.Answer.Body)
		}
	}
	if s.Status == http.StatusOK && !s.Complete && !strings.HasPrefix(expectedBody(s), s.Answer.Body) {
		c.reportViolation("%s got a broken answer that isn't the beginning of its own: %q", s.ID, s.Answer.Body)
	}
	if s.Status == http.StatusServiceUnavailable && s.Route != "get" && s.Route != "res" && len(ran) > 0 {
		c.reportViolation("%s was told that it did not run, and ran", s.ID)
	}
	if s.APIKey == validKey && !isAddedRoute(s.Route) && (s.Status == http.StatusUnauthorized || s.Status == http.StatusNotFound) {
		c.reportViolation("%s got %d although its key and route always stood", s.ID, s.Status)
	}
}

func expectedBody(s *sentRequest) string {
	if s.Route == "post" || s.Route == "get" || isAddedRoute(s.Route) {
		return "answer " + s.ID
	}
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// checkRuns checks what endpoints were asked for.
func (c *cluster) checkRuns(s *sentRequest, ran []endpointRun) {
	if len(ran) > 1 && (s.Route == "post" || s.Route == "gen") {
		c.reportViolation("%s ran %d times", s.ID, len(ran))
	}
	if len(ran) > 2 {
		c.reportViolation("%s ran on %d endpoints, two are allowed", s.ID, len(ran))
	}
	for _, r := range ran {
		c.checkEndpointRun(s, r)
	}
}

func (c *cluster) checkEndpointRun(s *sentRequest, r endpointRun) {
	if r.run.URI != s.URI() || r.run.Body != s.Call.Body() {
		c.reportViolation("%s reached an endpoint changed: %s %q", s.ID, r.run.URI, r.run.Body)
	}
	if r.run.Customer() != standin.Customer || r.run.Credentials() != "" {
		c.reportViolation("%s reached an endpoint with customer %q", s.ID, r.run.Customer())
	}
	if s.APIKey == invalidKey {
		c.reportViolation("%s ran with a key that nobody ever held", s.ID)
	}
	if s.Route == "gen" && len(r.run.Inputs()) != 3 {
		c.reportViolation("%s ran with inputs %q", s.ID, r.run.Inputs())
	}
	unlisted := r.endpoint.unlistedAt
	if !unlisted.IsZero() && s.sentAt.After(unlisted.Add(drainPeriod+slack)) {
		c.reportViolation("%s was sent to %s, which had left %v before", s.ID, r.endpoint.Name, s.sentAt.Sub(unlisted))
	}
	c.checkEvacuated(s.ID, r.run.StartedAt, r.endpoint)
	if at, gone := c.revokedAt(s.APIKey); gone && s.sentAt.After(at.Add(revocationPeriod)) {
		c.reportViolation("%s ran although its key was taken away %v before it was sent", s.ID, s.sentAt.Sub(at))
	}
}

// isAddedRoute tells whether a route has not always stood.
func isAddedRoute(route string) bool {
	return strings.HasPrefix(route, addedRoutePrefix)
}

// checkRecovery waits until all nodes serve again, the newest route among the others.
func (c *cluster) checkRecovery(cs *callers, phase string, patience time.Duration) {
	routes := []string{"get", "gen"}
	if c.addedRoutes > 0 {
		routes = append(routes, fmt.Sprint(addedRoutePrefix, c.addedRoutes-1))
	}
	for _, n := range c.nodes {
		served := 0
		failures := map[string]int{}
		end := time.Now().Add(patience)
		for i := 0; served < 5; i++ {
			if time.Now().After(end) {
				c.reportViolation("%s does not serve after all faults have ended: %v", n.name, failures)
				break
			}
			s := cs.send(n, fmt.Sprintf("%s-%s-%d", phase, n.name, i), routes[i%len(routes)], validKey)
			if s.Status == http.StatusOK && s.Complete {
				served++
				continue
			}
			served = 0
			failures[fmt.Sprintf("%s %d %q", s.Route, s.Status, s.Answer.Body)]++
			time.Sleep(100 * time.Millisecond)
		}
	}
}
