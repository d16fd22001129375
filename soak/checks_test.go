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

// addedPrefix begins the names of routes that are added during a run.
const addedPrefix = "extra"

// check compares what callers saw with what endpoints did.
func (c *cluster) check(cs *callers) {
	cs.mu.Lock()
	all := cs.all
	cs.mu.Unlock()
	runs := map[string][]ranAt{}
	for _, s := range c.endpoints {
		for _, id := range s.RequestsWithForeignInputs() {
			c.breach("%s was given results of another request at %s", id, s.Name)
		}
		for _, run := range s.Runs() {
			runs[run.ID] = append(runs[run.ID], ranAt{server: s, run: run})
		}
	}
	known := map[string]*sent{}
	for _, s := range all {
		known[s.ID] = s
		c.checkAnswer(s, runs[s.ID])
	}
	c.checkRateCaps(known)
	c.checkPieces()
	c.checkCold()
	for id, ran := range runs {
		s := known[id]
		if s == nil {
			run := ran[0].run
			c.breach("%q was run, and no caller sent it: %s %s at %s, header %v", id, run.Method, run.URI, ran[0].server.Name, run.Header)
			continue
		}
		c.checkRuns(s, ran)
	}
}

// ranAt is a run with its endpoint.
type ranAt struct {
	server *server
	run    standin.Run
}

// checkAnswer checks what a caller was given.
func (c *cluster) checkAnswer(s *sent, ran []ranAt) {
	if s.Status == http.StatusOK && s.Complete {
		signed := false
		for _, r := range ran {
			signed = signed || s.Signature == r.run.Signature()
		}
		if !signed {
			c.breach("%s got a success that no endpoint signed for it: %q", s.ID, s.Signature)
		}
		if s.Answer.Body != expected(s) {
			c.breach("%s got a success with another body: %q", s.ID, s.Answer.Body)
		}
	}
	if s.Status == http.StatusOK && !s.Complete && !strings.HasPrefix(expected(s), s.Answer.Body) {
		c.breach("%s got a broken answer that isn't the beginning of its own: %q", s.ID, s.Answer.Body)
	}
	if s.Status == http.StatusServiceUnavailable && s.Route != "get" && s.Route != "res" && len(ran) > 0 {
		c.breach("%s was told that it did not run, and ran", s.ID)
	}
	if s.APIKey == goodKey && !addedRoute(s.Route) && (s.Status == http.StatusUnauthorized || s.Status == http.StatusNotFound) {
		c.breach("%s got %d although its key and route always stood", s.ID, s.Status)
	}
}

func expected(s *sent) string {
	if s.Route == "post" || s.Route == "get" || addedRoute(s.Route) {
		return "answer " + s.ID
	}
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// checkRuns checks what endpoints were asked for.
func (c *cluster) checkRuns(s *sent, ran []ranAt) {
	if len(ran) > 1 && (s.Route == "post" || s.Route == "gen") {
		c.breach("%s ran %d times", s.ID, len(ran))
	}
	if len(ran) > 2 {
		c.breach("%s ran on %d endpoints, two are allowed", s.ID, len(ran))
	}
	for _, r := range ran {
		c.checkRun(s, r)
	}
}

func (c *cluster) checkRun(s *sent, r ranAt) {
	if r.run.URI != s.URI() || r.run.Body != s.Call.Body() {
		c.breach("%s reached an endpoint changed: %s %q", s.ID, r.run.URI, r.run.Body)
	}
	if r.run.Customer() != standin.Customer || r.run.Credentials() != "" {
		c.breach("%s reached an endpoint with customer %q", s.ID, r.run.Customer())
	}
	if s.APIKey == badKey {
		c.breach("%s ran with a key that nobody ever held", s.ID)
	}
	if s.Route == "gen" && len(r.run.Inputs()) != 3 {
		c.breach("%s ran with inputs %q", s.ID, r.run.Inputs())
	}
	unlisted := r.server.unlistedAt
	if !unlisted.IsZero() && s.at.After(unlisted.Add(drain+slack)) {
		c.breach("%s was sent to %s, which had left %v before", s.ID, r.server.Name, s.at.Sub(unlisted))
	}
	c.checkEvacuated(s.ID, r.run.StartedAt, r.server)
	if at, gone := c.revokedAt(s.APIKey); gone && s.at.After(at.Add(revoke)) {
		c.breach("%s ran although its key was taken away %v before it was sent", s.ID, s.at.Sub(at))
	}
}

// addedRoute tells whether a route has not always stood.
func addedRoute(route string) bool {
	return strings.HasPrefix(route, addedPrefix)
}

// checkRecovery waits until all nodes serve again, the newest route among the others.
func (c *cluster) checkRecovery(cs *callers, phase string, patience time.Duration) {
	routes := []string{"get", "gen"}
	if c.added > 0 {
		routes = append(routes, fmt.Sprint(addedPrefix, c.added-1))
	}
	for _, n := range c.nodes {
		served := 0
		failures := map[string]int{}
		end := time.Now().Add(patience)
		for i := 0; served < 5; i++ {
			if time.Now().After(end) {
				c.breach("%s does not serve after all faults have ended: %v", n.name, failures)
				break
			}
			s := cs.send(n, fmt.Sprintf("%s-%s-%d", phase, n.name, i), routes[i%len(routes)], goodKey)
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
