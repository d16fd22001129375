package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

// slack is added to time bounds, because the machine may be busy and the bounds hold only for nodes that have been
// without faults for a few seconds.
const slack = 8 * time.Second

// addedRoutePrefix is the prefix of the names of routes that are added during a run.
const addedRoutePrefix = "extra"

// check compares the answers that callers received with the runs of the endpoints.
func (c *cluster) check(cs *callers) {
	cs.mu.Lock()
	sent := cs.requests
	cs.mu.Unlock()
	runs := map[string][]endpointRun{}
	for _, e := range c.endpoints {
		for _, id := range e.RequestsWithForeignInputs() {
			c.reportViolation("%s received results of another request at %s", id, e.Name)
		}
		for _, run := range e.Runs() {
			runs[run.ID] = append(runs[run.ID], endpointRun{endpoint: e, run: run})
		}
	}
	requests := map[string]*sentRequest{}
	for _, s := range sent {
		requests[s.ID] = s
		c.checkAnswer(s, runs[s.ID])
	}
	c.checkRateCaps(requests)
	c.checkStatements(requests)
	c.checkVersions(sent)
	c.checkPieceCalls()
	c.checkCold()
	for id, requestRuns := range runs {
		s := requests[id]
		if s == nil {
			run := requestRuns[0].run
			c.reportViolation("%q ran although no caller sent it: %s %s at %s, header %v", id, run.Method, run.URI, requestRuns[0].endpoint.Name, run.Header)
			continue
		}
		c.checkRuns(s, requestRuns)
	}
}

// endpointRun is a run of a request on an endpoint.
type endpointRun struct {
	endpoint *endpoint
	run      standin.Run
}

// checkAnswer checks the answer that a caller received.
func (c *cluster) checkAnswer(s *sentRequest, runs []endpointRun) {
	if s.Status == http.StatusOK {
		c.checkSuccess(s, runs)
	}
	// Requests on get and res may run more than once, so that one which has run may still be answered with 503.
	if s.Status == http.StatusServiceUnavailable && s.Route != "get" && s.Route != "res" && len(runs) > 0 {
		c.reportViolation("%s ran although its caller was told that it had not", s.ID)
	}
	if s.APIKey == validKey && !isAddedRoute(s.Route) && (s.Status == http.StatusUnauthorized || s.Status == http.StatusNotFound) {
		c.reportViolation("%s received status %d although its key and route were valid throughout", s.ID, s.Status)
	}
}

// checkSuccess checks an answer of success: whole if it states its end, and otherwise the beginning of the whole one, in
// whole events and with nothing behind them, such as the text of a refusal.
func (c *cluster) checkSuccess(s *sentRequest, runs []endpointRun) {
	signed := slices.ContainsFunc(runs, func(r endpointRun) bool { return s.Signature == r.run.Signature() })
	if s.whole() && !signed {
		c.reportViolation("%s received a success response that no endpoint signed for it: %q", s.ID, s.Signature)
	}
	body := unsigned(s.Answer.Body)
	switch {
	case s.Complete && body != expectedBody(s):
		c.reportViolation("%s received a success response with a wrong body: %q", s.ID, s.Answer.Body)
	case s.Complete && !endStated(s, runs):
		c.reportViolation("%s received a success response that states its end, which no endpoint stated: %q", s.ID, s.Answer.Body)
	case !strings.HasPrefix(expectedBody(s), body):
		c.reportViolation("%s received a truncated answer that is not a prefix of the expected one: %q", s.ID, s.Answer.Body)
	case s.Stream && eventID.ReplaceAllString(s.Answer.Body, "") != "":
		c.reportViolation("%s received a truncated answer that ends within an event: %q", s.ID, s.Answer.Body)
	case s.Ended && !s.whole() && c.knownBrokenOff(s, runs):
		c.reportViolation("%s received a truncated answer that ends without a reset, although its endpoint would have stated the end: %q", s.ID, s.Answer.Body)
	}
}

// expectedBody returns the body of the complete answer to a request.
func expectedBody(s *sentRequest) string {
	if s.Route == "post" || s.Route == "get" || isAddedRoute(s.Route) {
		return "answer " + s.ID
	}
	var b strings.Builder
	last, _ := strconv.Atoi(s.LastEvent)
	for n := last + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// checkRuns checks how often a request ran and each of its runs.
func (c *cluster) checkRuns(s *sentRequest, runs []endpointRun) {
	if len(runs) > 1 && (s.Route == "post" || s.Route == "gen") {
		c.reportViolation("%s ran %d times", s.ID, len(runs))
	}
	if len(runs) > 2 {
		c.reportViolation("%s ran on %d endpoints, at most 2 are allowed", s.ID, len(runs))
	}
	for _, r := range runs {
		c.checkEndpointRun(s, r)
	}
}

// checkEndpointRun checks one run of a request.
func (c *cluster) checkEndpointRun(s *sentRequest, r endpointRun) {
	if r.run.URI != s.URI() || r.run.Body != s.Call.Body() {
		c.reportViolation("%s reached an endpoint with a different URI or body: %s %q", s.ID, r.run.URI, r.run.Body)
	}
	if r.run.Customer() != standin.Customer || r.run.Credentials() != "" {
		c.reportViolation("%s reached an endpoint with a wrong customer or with credentials: customer %q", s.ID, r.run.Customer())
	}
	if s.APIKey == invalidKey {
		c.reportViolation("%s ran with an API key that was never valid", s.ID)
	}
	// The last stage of a request on gen has three pieces (see sendCall); their results are the inputs of the run.
	if s.Route == "gen" && len(r.run.Inputs()) != 3 {
		c.reportViolation("%s ran with inputs %q, want 3", s.ID, r.run.Inputs())
	}
	unlistedAt := r.endpoint.unlistedAt
	if !unlistedAt.IsZero() && s.sentAt.After(unlistedAt.Add(drainPeriod+slack)) {
		c.reportViolation("%s was sent to %s, which had been unlisted or had crashed %v before", s.ID, r.endpoint.Name, s.sentAt.Sub(unlistedAt))
	}
	c.checkEvacuated(s.ID, r.run.StartedAt, r.endpoint)
	if at, revoked := c.revokedAt(s.APIKey); revoked && s.sentAt.After(at.Add(revocationPeriod)) {
		c.reportViolation("%s ran although its API key was revoked %v before it was sent", s.ID, s.sentAt.Sub(at))
	}
}

// isAddedRoute reports whether a route was added during the run.
func isAddedRoute(route string) bool {
	return strings.HasPrefix(route, addedRoutePrefix)
}

// checkRecovery checks that every node serves five requests in a row within the timeout, including some on the newest
// route and on the further ones. The IDs of the requests begin with phase.
func (c *cluster) checkRecovery(cs *callers, phase string, timeout time.Duration, further ...string) {
	routes := append([]string{"get", "gen"}, further...)
	if c.addedRoutes > 0 {
		routes = append(routes, fmt.Sprint(addedRoutePrefix, c.addedRoutes-1))
	}
	for _, n := range c.nodes {
		served := 0
		failures := map[string]int{}
		deadline := time.Now().Add(timeout)
		for i := 0; served < 5; i++ {
			if time.Now().After(deadline) {
				c.reportViolation("%s does not serve although no faults are active: %v", n.name, failures)
				break
			}
			s := cs.send(n, fmt.Sprintf("%s-%s-%d", phase, n.name, i), routes[i%len(routes)], validKey)
			if s.whole() {
				served++
				continue
			}
			served = 0
			failures[fmt.Sprintf("%s %d %q", s.Route, s.Status, s.Answer.Body)]++
			time.Sleep(100 * time.Millisecond)
		}
	}
}
