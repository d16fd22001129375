package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

const (
	// evacuationDelay is the time, plus slack, after which nothing may be sent to an evacuated failure domain.
	evacuationDelay = time.Second
	// evacuatedDomain is the failure domain that is evacuated. Its endpoints are started for that purpose.
	evacuatedDomain = "domain-emptied"
	// maxColdRate is the number of requests per second that a cold engine can serve. coldDuration is how long an engine is
	// cold: longer than the nodes may take to learn of it.
	maxColdRate  = int(standin.ColdRate)
	coldDuration = slack + 4*time.Second
)

// evacuate starts an endpoint of each pool in a separate failure domain, evacuates the domain for longer than the
// evacuation may take to apply, sometimes twice in quick succession, and ends the evacuation.
func evacuate(c *cluster, random *rand.Rand, duration time.Duration) {
	if !c.evacuationMu.TryLock() {
		return
	}
	defer c.evacuationMu.Unlock()
	for _, pool := range []string{"plain", "engines", "workers"} {
		c.mu.Lock()
		c.sequence++
		name := fmt.Sprintf("%s-%d", pool, c.sequence+100)
		c.mu.Unlock()
		if err := c.startEndpointIn(evacuatedDomain, name, pool); err != nil {
			c.reportViolation("start endpoint to evacuate: %v", err)
			return
		}
	}
	time.Sleep(duration / 2)
	if random.IntN(2) == 0 {
		c.store.Evacuate(evacuatedDomain)
		time.Sleep(duration / 4)
		c.store.Restore(evacuatedDomain)
	}
	c.store.Evacuate(evacuatedDomain)
	from := time.Now()
	time.Sleep(evacuationDelay + slack + duration)
	c.mu.Lock()
	c.evacuations[evacuatedDomain] = append(c.evacuations[evacuatedDomain], period{from: from, to: time.Now()})
	c.mu.Unlock()
	c.store.Restore(evacuatedDomain)
	time.Sleep(duration / 2)
}

// checkEvacuated checks that a request or piece did not reach an endpoint after the evacuation of its failure domain
// had to apply.
func (c *cluster) checkEvacuated(id string, at time.Time, e *endpoint) {
	for _, p := range c.evacuations[e.domain] {
		if at.After(p.from.Add(evacuationDelay+slack)) && at.Before(p.to) {
			c.reportViolation("%s reached %s, whose failure domain was evacuated %v before", id, e.Name, at.Sub(p.from))
		}
	}
}

// checkPieceCalls checks that no call for pieces reached an evacuated failure domain.
func (c *cluster) checkPieceCalls() {
	for _, e := range c.endpoints {
		for _, batch := range e.Batches() {
			for _, item := range batch {
				c.checkEvacuated(item.ID, item.ReceivedAt, e)
			}
		}
	}
}

// makeEngineCold makes an engine report that it is cold, if the endpoint that is chosen is an engine.
func makeEngineCold(c *cluster, random *rand.Rand, _ time.Duration) {
	e := c.randomEndpoint(random)
	if e.pool != "engines" {
		return
	}
	c.mu.Lock()
	if !e.unlistedAt.IsZero() || !e.coldPeriod.to.IsZero() {
		c.mu.Unlock()
		return
	}
	e.coldPeriod = period{from: time.Now(), to: time.Now().Add(coldDuration)}
	c.mu.Unlock()
	c.writeEntry(e, false)
	time.Sleep(coldDuration)
}

// checkCold checks that no cold endpoint received more than maxColdRate requests within a second once all nodes had to
// know that it was cold.
func (c *cluster) checkCold() {
	for _, e := range c.endpoints {
		if e.coldPeriod.to.IsZero() {
			continue
		}
		var times []time.Time
		for _, run := range e.Runs() {
			if run.StartedAt.After(e.coldPeriod.from.Add(slack)) && run.StartedAt.Before(e.coldPeriod.to) {
				times = append(times, run.StartedAt)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		for i := range times {
			if i >= maxColdRate && times[i].Sub(times[i-maxColdRate]) < time.Second {
				c.reportViolation("%s received more than %d requests within a second while it was cold", e.Name, maxColdRate)
				break
			}
		}
	}
}
