package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

const (
	// evacuateWithin is by when nothing more may be sent to an evacuated failure domain, beside slack.
	evacuateWithin = time.Second
	// emptied is the failure domain that is evacuated: its endpoints are started for that.
	emptied = "domain-emptied"
	// coldRate is how many requests a second an engine bears while it is cold, and coldFor how long one is: longer than
	// news of it may take.
	coldRate = int(standin.ColdRate)
	coldFor  = slack + 4*time.Second
)

// evacuation starts an endpoint of each pool in another failure domain, evacuates it for longer than that may take to
// be in force, at times twice in quick succession, and takes it back.
func evacuation(c *cluster, random *rand.Rand, last time.Duration) {
	if !c.emptying.TryLock() {
		return
	}
	defer c.emptying.Unlock()
	for _, pool := range []string{"plain", "engines", "workers"} {
		c.mu.Lock()
		c.extra++
		name := fmt.Sprintf("%s-%d", pool, c.extra+100)
		c.mu.Unlock()
		if err := c.newServerIn(emptied, name, pool); err != nil {
			c.breach("an endpoint can't be started: %v", err)
			return
		}
	}
	time.Sleep(last / 2)
	if random.IntN(2) == 0 {
		c.store.Evacuate(emptied)
		time.Sleep(last / 4)
		c.store.Restore(emptied)
	}
	c.store.Evacuate(emptied)
	from := time.Now()
	time.Sleep(evacuateWithin + slack + last)
	c.mu.Lock()
	c.evacuated[emptied] = append(c.evacuated[emptied], period{from: from, to: time.Now()})
	c.mu.Unlock()
	c.store.Restore(emptied)
	time.Sleep(last / 2)
}

// checkEvacuated checks that nothing reached an endpoint whose failure domain had long been evacuated.
func (c *cluster) checkEvacuated(request string, at time.Time, e *server) {
	for _, p := range c.evacuated[e.domain] {
		if at.After(p.from.Add(evacuateWithin+slack)) && at.Before(p.to) {
			c.breach("%s reached %s, whose domain was evacuated %v before", request, e.Name, at.Sub(p.from))
		}
	}
}

// checkPieces checks where calls for pieces went.
func (c *cluster) checkPieces() {
	for _, e := range c.endpoints {
		for _, batch := range e.Batches() {
			for _, item := range batch {
				c.checkEvacuated(item.ID, item.ReceivedAt, e)
			}
		}
	}
}

// coldEndpoint has an engine say that it is cold.
func coldEndpoint(c *cluster, random *rand.Rand, _ time.Duration) {
	s := c.anyServer(random)
	if s.pool != "engines" {
		return
	}
	c.mu.Lock()
	if !s.unlistedAt.IsZero() || !s.cold.to.IsZero() {
		c.mu.Unlock()
		return
	}
	s.cold = period{from: time.Now(), to: time.Now().Add(coldFor)}
	c.mu.Unlock()
	c.list(s, false)
	time.Sleep(coldFor)
}

// checkCold checks that no second brought an endpoint more than it bears, once all could know that it was cold.
func (c *cluster) checkCold() {
	for _, e := range c.endpoints {
		if e.cold.to.IsZero() {
			continue
		}
		var at []time.Time
		for _, run := range e.Runs() {
			if run.StartedAt.After(e.cold.from.Add(slack)) && run.StartedAt.Before(e.cold.to) {
				at = append(at, run.StartedAt)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		for i := range at {
			if i >= coldRate && at[i].Sub(at[i-coldRate]) < time.Second {
				c.breach("%s got more than %d requests in a second while it was cold", e.Name, coldRate)
				break
			}
		}
	}
}
