package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"sync"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

const (
	// streamPause is the time between two events, so that nodes and engines are lost midway.
	streamPause = 10 * time.Millisecond
	// takeUpStreams is the number of streams that callers take up again once all faults have ended.
	takeUpStreams = 16
	// maxTakeUps is how often a caller takes a stream up.
	maxTakeUps = 2
)

var (
	// softwareVersions are those of the engines. Neighbours in the order of their starts differ.
	softwareVersions = []string{"v1", "v2"}
	versionSignature = regexp.MustCompile(standin.VersionMark + `(\S+)`)
	eventID          = regexp.MustCompile(`id: (\d+)\ndata: .*\n\n`)
)

// nextVersion returns the software version of the next engine that is started.
func (c *cluster) nextVersion() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines++
	return softwareVersions[c.engines%len(softwareVersions)]
}

// unsigned returns the events of a stream without the versions that wrote them.
func unsigned(body string) string {
	return versionSignature.ReplaceAllString(body, "")
}

// lastEvent returns the ID of the last whole event in a body; empty if there is none.
func lastEvent(body string) string {
	events := eventID.FindAllStringSubmatch(body, -1)
	if len(events) == 0 {
		return ""
	}
	return events[len(events)-1][1]
}

// takeUp takes up a resumable stream that broke off after some events, at random nodes.
func (cs *callers) takeUp(random *rand.Rand, s *sentRequest) {
	began := s
	for i := range maxTakeUps {
		last := lastEvent(s.Answer.Body)
		if s.Route != "res" || s.Status != http.StatusOK || s.whole() || last == "" {
			return
		}
		n := cs.cluster.randomNode(random)
		if n.address() == "" {
			return
		}
		s = cs.takeUpAt(n, began, fmt.Sprintf("%s-again-%d", began.ID, i), last)
	}
}

// takeUpAt takes up a stream at a node after its last event.
func (cs *callers) takeUpAt(n *node, began *sentRequest, id, last string) *sentRequest {
	call := began.Call
	call.Content, call.ID, call.Resumes, call.LastEvent = began.subject(), id, began.ID, last
	return cs.sendResumed(n, call, began)
}

// subject returns what the path of the attempt ends with, which is the same for all attempts of its caller.
func (s *sentRequest) subject() string {
	if s.Content != "" {
		return s.Content
	}
	return s.ID
}

// checkVersions checks that no stream has events of two versions, over all attempts of its caller.
func (c *cluster) checkVersions(sent []*sentRequest) {
	versions := map[*sentRequest]map[string]bool{}
	for _, s := range sent {
		began := s
		if s.began != nil {
			began = s.began
		}
		if versions[began] == nil {
			versions[began] = map[string]bool{}
		}
		for _, signature := range versionSignature.FindAllStringSubmatch(s.Answer.Body, -1) {
			versions[began][signature[1]] = true
		}
	}
	for s, found := range versions {
		if len(found) > 1 {
			c.reportViolation("the stream that %s began has events of %d versions", s.ID, len(found))
		}
	}
}

// checkTakenUp checks that streams which break off go on at other nodes once all faults have ended: half of them at least.
func (c *cluster) checkTakenUp(cs *callers) {
	c.setEngineFaults(standin.EndpointCut)
	var begun []*sentRequest
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range takeUpStreams {
		running.Go(func() {
			s := cs.send(c.nodes[i%len(c.nodes)], fmt.Sprint("take-up-", i), "res", validKey)
			mu.Lock()
			defer mu.Unlock()
			if s.Status == http.StatusOK && lastEvent(s.Answer.Body) != "" {
				begun = append(begun, s)
			}
		})
	}
	running.Wait()
	c.setEngineFaults(standin.EndpointHealthy)
	// Endpoints that failed all at once are tried again after a while.
	time.Sleep(2 * time.Second)
	wentOn := 0
	answers := map[string]int{}
	for i, s := range begun {
		running.Go(func() {
			resumed := cs.takeUpAt(c.nodes[(i+1)%len(c.nodes)], s, s.ID+"-again", lastEvent(s.Answer.Body))
			mu.Lock()
			defer mu.Unlock()
			answers[fmt.Sprintf("%d %.60q", resumed.Status, resumed.Answer.Body)]++
			if resumed.whole() {
				wentOn++
			}
		})
	}
	running.Wait()
	if 2*wentOn < len(begun) {
		c.reportViolation("%d of %d streams went on although no faults are active: %v", wentOn, len(begun), answers)
	}
}

func (c *cluster) setEngineFaults(fault standin.EndpointFault) {
	for _, e := range c.listedEndpoints("engines") {
		e.SetFault(fault)
	}
}
