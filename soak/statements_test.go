package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// leavingAnswerDuration is how long an endpoint states that it is leaving before its entry is removed.
	leavingAnswerDuration = 8 * time.Second
	// pauseDuration is the pause that an endpoint asks for in each refusal, and refusalDuration how long it refuses.
	pauseDuration   = 4 * time.Second
	refusalDuration = 6 * time.Second
	// pauseLearnTime is the time within which a node heeds a pause, counted from the refusal.
	pauseLearnTime = time.Second
	// maxRequestsInPause is how many requests of a node may reach an endpoint in a pause.
	maxRequestsInPause = 2
)

// leaveByAnswers makes an endpoint state in its answers, but not in its entry, that it is leaving, and then replaces it.
func leaveByAnswers(c *cluster, random *rand.Rand, _ time.Duration) {
	e := c.randomEndpoint(random)
	c.mu.Lock()
	taken := !e.unlistedAt.IsZero() || !e.leavingSince.IsZero()
	if !taken {
		e.leavingSince = time.Now()
	}
	c.sequence++
	name := fmt.Sprintf("%s-%d", e.pool, c.sequence+100)
	c.mu.Unlock()
	if taken {
		return
	}
	e.SetLeaving(true)
	time.Sleep(leavingAnswerDuration)
	if err := c.startEndpoint(name, e.pool); err != nil {
		c.reportViolation("start replacement endpoint: %v", err)
		return
	}
	c.mu.Lock()
	e.unlistedAt = time.Now()
	c.mu.Unlock()
	c.store.RemoveEndpoint(e.Name)
}

// refuseWithPause makes an endpoint refuse all requests and ask for a pause.
func refuseWithPause(c *cluster, random *rand.Rand, _ time.Duration) {
	e := c.randomEndpoint(random)
	e.SetRetryAfter(fmt.Sprint(pauseDuration.Seconds()))
	time.Sleep(refusalDuration)
	e.SetRetryAfter("")
}

// checkStatements checks that no node sent requests to an endpoint that had stated in an answer that the node passed on,
// or by which it refused a request, that it is leaving or wants a pause.
func (c *cluster) checkStatements(requests map[string]*sentRequest) {
	for _, e := range c.endpoints {
		c.checkLeavingAnswers(e, requests)
		c.checkPauses(e, requests)
	}
}

func (c *cluster) checkLeavingAnswers(e *endpoint, requests map[string]*sentRequest) {
	// A process that has started again since states nothing of the one before.
	if e.leavingSince.IsZero() || e.Started().After(e.leavingSince) {
		return
	}
	informedAt := map[string]time.Time{}
	for _, run := range e.Runs() {
		request := requests[run.ID]
		if request == nil || run.StartedAt.Before(e.leavingSince) {
			continue
		}
		informed, known := informedAt[request.nodeName]
		if known && request.sentAt.After(informed) && !c.disturbedBetween(request.nodeName, informed.Add(-rateCapLearnTime), run.StartedAt) {
			c.reportViolation("%s was sent to %s %v after an answer had told %s that it leaves", run.ID, e.Name, request.sentAt.Sub(informed.Add(-rateCapLearnTime)), request.nodeName)
		}
		passedOn := request.whole() && request.Signature == run.Signature()
		if passedOn && (!known || c.disturbedBetween(request.nodeName, informed.Add(-rateCapLearnTime), run.StartedAt)) {
			informedAt[request.nodeName] = run.StartedAt.Add(rateCapLearnTime)
		}
	}
}

func (c *cluster) checkPauses(e *endpoint, requests map[string]*sentRequest) {
	refusals := e.Refusals()
	for _, first := range refusals {
		told := requests[first.ID]
		if told == nil || told.Status != http.StatusServiceUnavailable {
			continue
		}
		from, to := first.At.Add(pauseLearnTime), first.At.Add(pauseDuration)
		if c.disturbedBetween(told.nodeName, first.At.Add(-pauseLearnTime), to) {
			continue
		}
		count := 0
		for _, later := range refusals {
			request := requests[later.ID]
			if request != nil && request.nodeName == told.nodeName && request.sentAt.After(from) && later.At.Before(to) {
				count++
			}
		}
		if count > maxRequestsInPause {
			c.reportViolation("%s got %d requests from %s in the pause that it had asked for at %s", e.Name, count, told.nodeName, first.ID)
			return
		}
	}
}
