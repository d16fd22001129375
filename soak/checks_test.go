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

// check compares what callers saw with what endpoints did.
func (c *cluster) check(cs *callers) {
	cs.mu.Lock()
	all := cs.all
	cs.mu.Unlock()
	runs := map[string][]ranAt{}
	for _, s := range c.endpoints {
		for _, run := range s.Runs() {
			runs[run.ID] = append(runs[run.ID], ranAt{server: s, run: run})
		}
	}
	known := map[string]*sent{}
	for _, s := range all {
		known[s.id] = s
		c.checkAnswer(s, runs[s.id])
	}
	for id, ran := range runs {
		s := known[id]
		if s == nil {
			c.breach("%s was run, and no caller sent it", id)
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
	if s.status == http.StatusOK && s.whole {
		signed := false
		for _, r := range ran {
			signed = signed || s.stamp == r.run.Header.Get("X-Expect-Instance")+"."+s.id
		}
		if !signed {
			c.breach("%s got a success that no endpoint signed for it: %q", s.id, s.stamp)
		}
		if s.body != expected(s) {
			c.breach("%s got a success with another body: %q", s.id, s.body)
		}
	}
	if s.status == http.StatusOK && !s.whole && !strings.HasPrefix(expected(s), s.body) {
		c.breach("%s got a broken answer that isn't the beginning of its own: %q", s.id, s.body)
	}
	if s.status == http.StatusServiceUnavailable && s.route != "get" && s.route != "res" && len(ran) > 0 {
		c.breach("%s was told that it did not run, and ran", s.id)
	}
	if s.key == goodKey && (s.status == http.StatusUnauthorized || s.status == http.StatusNotFound) {
		c.breach("%s got %d although its key and route always stood", s.id, s.status)
	}
}

func expected(s *sent) string {
	if s.route == "post" || s.route == "get" {
		return "answer " + s.id
	}
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", n, n)
	}
	return b.String()
}

// checkRuns checks what endpoints were asked for.
func (c *cluster) checkRuns(s *sent, ran []ranAt) {
	if len(ran) > 1 && (s.route == "post" || s.route == "gen") {
		c.breach("%s ran %d times", s.id, len(ran))
	}
	if len(ran) > 2 {
		c.breach("%s ran on %d endpoints, two are allowed", s.id, len(ran))
	}
	for _, r := range ran {
		c.checkRun(s, r)
	}
}

func (c *cluster) checkRun(s *sent, r ranAt) {
	if r.run.URI != "/"+s.route+"/"+s.id || r.run.Body != "body of "+s.id {
		c.breach("%s reached an endpoint changed: %s %q", s.id, r.run.URI, r.run.Body)
	}
	if r.run.Header.Get("X-Tenant") != "ann" || r.run.Header.Get("Authorization") != "" {
		c.breach("%s reached an endpoint with customer %q", s.id, r.run.Header.Get("X-Tenant"))
	}
	if s.key == badKey {
		c.breach("%s ran with a key that nobody ever held", s.id)
	}
	if s.route == "gen" && len(strings.Split(r.run.Header.Get("X-Inputs"), ",")) != 3 {
		c.breach("%s ran with inputs %q", s.id, r.run.Header.Get("X-Inputs"))
	}
	unlisted := r.server.unlistedAt
	if !unlisted.IsZero() && s.at.After(unlisted.Add(drain+slack)) {
		c.breach("%s was sent to %s, which had left %v before", s.id, r.server.Name, s.at.Sub(unlisted))
	}
	if at, gone := c.revokedAt(s.key); gone && s.at.After(at.Add(revoke)) {
		c.breach("%s ran although its key was taken away %v before it was sent", s.id, s.at.Sub(at))
	}
}

// checkRecovery waits until all nodes serve again.
func (c *cluster) checkRecovery(cs *callers, phase string, patience time.Duration) {
	for _, n := range c.nodes {
		served := 0
		end := time.Now().Add(patience)
		for i := 0; served < 5; i++ {
			if time.Now().After(end) {
				c.breach("%s does not serve after all faults have ended", n.name)
				break
			}
			s := cs.send(n, fmt.Sprintf("%s-%s-%d", phase, n.name, i), []string{"get", "gen"}[i%2], goodKey)
			if s.status == http.StatusOK && s.whole {
				served++
				continue
			}
			served = 0
			time.Sleep(100 * time.Millisecond)
		}
	}
}
