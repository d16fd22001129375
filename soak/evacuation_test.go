package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

const (
	// evacuationDelay is by when nothing more may be sent to an evacuated failure domain, beside slack.
	evacuationDelay = time.Second
	// emptied is the failure domain that is evacuated: its endpoints are started for that.
	evacuatedDomain = "domain-emptied"
	// maxColdRate is how many requests a second an engine bears while it is cold, and coldDuration how long one is: longer than
	// news of it may take.
	maxColdRate  = int(standin.ColdRate)
	coldDuration = slack + 4*time.Second
)

// evacuation starts an endpoint of each pool in another failure domain, evacuates it for longer than that may take to
// be in force, at times twice in quick succession, and takes it back.
func evacuate(c *cluster, random *rand.Rand, last time.Duration) {
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
			c.reportViolation("an endpoint can't be started: %v", err)
			return
		}
	}
	time.Sleep(last / 2)
	if random.IntN(2) == 0 {
		c.store.Evacuate(evacuatedDomain)
		time.Sleep(last / 4)
		c.store.Restore(evacuatedDomain)
	}
	c.store.Evacuate(evacuatedDomain)
	from := time.Now()
	time.Sleep(evacuationDelay + slack + last)
	c.mu.Lock()
	c.evacuations[evacuatedDomain] = append(c.evacuations[evacuatedDomain], period{from: from, to: time.Now()})
	c.mu.Unlock()
	c.store.Restore(evacuatedDomain)
	time.Sleep(last / 2)
}

// checkEvacuated checks that nothing reached an endpoint whose failure domain had long been evacuated.
func (c *cluster) checkEvacuated(request string, at time.Time, e *endpoint) {
	for _, p := range c.evacuations[e.domain] {
		if at.After(p.from.Add(evacuationDelay+slack)) && at.Before(p.to) {
			c.reportViolation("%s reached %s, whose domain was evacuated %v before", request, e.Name, at.Sub(p.from))
		}
	}
}

// checkPieceCalls checks where calls for pieces went.
func (c *cluster) checkPieceCalls() {
	for _, e := range c.endpoints {
		for _, batch := range e.Batches() {
			for _, item := range batch {
				c.checkEvacuated(item.ID, item.ReceivedAt, e)
			}
		}
	}
}

// makeEngineCold has an engine say that it is cold.
func makeEngineCold(c *cluster, random *rand.Rand, _ time.Duration) {
	s := c.randomEndpoint(random)
	if s.pool != "engines" {
		return
	}
	c.mu.Lock()
	if !s.unlistedAt.IsZero() || !s.coldPeriod.to.IsZero() {
		c.mu.Unlock()
		return
	}
	s.coldPeriod = period{from: time.Now(), to: time.Now().Add(coldDuration)}
	c.mu.Unlock()
	c.writeEntry(s, false)
	time.Sleep(coldDuration)
}

// checkCold checks that no second brought an endpoint more than it bears, once all could know that it was cold.
func (c *cluster) checkCold() {
	for _, e := range c.endpoints {
		if e.coldPeriod.to.IsZero() {
			continue
		}
		var at []time.Time
		for _, run := range e.Runs() {
			if run.StartedAt.After(e.coldPeriod.from.Add(slack)) && run.StartedAt.Before(e.coldPeriod.to) {
				at = append(at, run.StartedAt)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		for i := range at {
			if i >= maxColdRate && at[i].Sub(at[i-maxColdRate]) < time.Second {
				c.reportViolation("%s got more than %d requests in a second while it was cold", e.Name, maxColdRate)
				break
			}
		}
	}
}
