package soak_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// Within rateCapWindow, an endpoint that states a rate cap gets at most rateCapExcess times what the cap allows, plus
	// rateCapSlack requests, from nodes that know the cap.
	rateCapWindow = 4 * time.Second
	rateCapExcess = 1.5
	rateCapSlack  = 5
	// rateCapLearnTime is the time within which a node must learn the cap, counted from its first request to the
	// endpoint in the period, and again from its first request after a disturbance.
	rateCapLearnTime = 3 * time.Second
	// rateCapDuration is how long a cap is stated: longer than nodes wait until all know which nodes share it.
	rateCapDuration = 14 * time.Second
)

// statedRateCap is a rate cap that an endpoint stated for a period.
type statedRateCap struct {
	period
	perSecond float64
}

// applyRateCaps makes an endpoint, or sometimes all endpoints of a pool, state a rate cap, sometimes change it, and
// withdraw it.
func applyRateCaps(c *cluster, random *rand.Rand, _ time.Duration) {
	chosen := c.randomEndpoint(random)
	capped := []*endpoint{chosen}
	if random.IntN(3) == 0 {
		capped = c.listedEndpoints(chosen.pool)
	}
	var rates []float64
	for range 1 + random.IntN(2) {
		rates = append(rates, []float64{0, 0.5, 1.4, 4}[random.IntN(4)])
	}
	var running sync.WaitGroup
	for _, e := range capped {
		running.Go(func() { c.stateRateCaps(e, rates) })
	}
	running.Wait()
}

// stateRateCaps makes an endpoint state each of the rates as its cap for rateCapDuration, one after another.
func (c *cluster) stateRateCaps(e *endpoint, rates []float64) {
	if !e.rateCapMu.TryLock() {
		return
	}
	defer e.rateCapMu.Unlock()
	for _, perSecond := range rates {
		e.SetRateCap(&perSecond)
		from := time.Now()
		time.Sleep(rateCapDuration)
		c.mu.Lock()
		e.rateCaps = append(e.rateCaps, statedRateCap{period: period{from: from, to: time.Now()}, perSecond: perSecond})
		c.mu.Unlock()
	}
	e.SetRateCap(nil)
}

// checkRateCaps checks that no endpoint got more requests than its cap allows from the nodes that knew the cap.
func (c *cluster) checkRateCaps(requests map[string]*sentRequest) {
	for _, e := range c.endpoints {
		for _, stated := range e.rateCaps {
			times := c.runsFromInformedNodes(e, stated.period, requests)
			if e.pool == "workers" {
				times = c.callsWhileUndisturbed(e, stated.period)
			}
			allowed := int(rateCapExcess*stated.perSecond*rateCapWindow.Seconds() + rateCapSlack)
			for i := allowed; i < len(times); i++ {
				if times[i].Sub(times[i-allowed]) < rateCapWindow {
					c.reportViolation("%s received more than %d requests within %v from nodes that knew its rate cap of %v per second", e.Name, allowed, rateCapWindow, stated.perSecond)
					break
				}
			}
		}
	}
}

// runsFromInformedNodes returns the times in a period at which an endpoint got requests from nodes that already knew
// its cap and had not been disturbed since they learned of it.
func (c *cluster) runsFromInformedNodes(e *endpoint, p period, requests map[string]*sentRequest) []time.Time {
	runs := e.Runs()
	var times []time.Time
	informedAt := map[string]time.Time{}
	for _, run := range runs {
		request := requests[run.ID]
		if request == nil || run.StartedAt.Before(p.from) || run.StartedAt.After(p.to) {
			continue
		}
		informed, seen := informedAt[request.nodeName]
		if !seen || c.disturbedBetween(request.nodeName, informed.Add(-rateCapLearnTime), run.StartedAt) {
			informedAt[request.nodeName] = run.StartedAt.Add(rateCapLearnTime)
			continue
		}
		if run.StartedAt.After(informed) {
			times = append(times, run.StartedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// callsWhileUndisturbed returns the times in a period at which a worker got calls while no node had been disturbed for
// settleTime. No caller sends these calls, so it is not known which node did. If no node is disturbed, all nodes that
// make calls know the cap.
func (c *cluster) callsWhileUndisturbed(e *endpoint, p period) []time.Time {
	var times []time.Time
	var informedAt time.Time
	for _, at := range e.Arrivals() {
		switch {
		case at.Before(p.from) || at.After(p.to):
		case informedAt.IsZero():
			informedAt = at.Add(rateCapLearnTime)
		case at.After(informedAt) && c.undisturbedBetween(at.Add(-settleTime), at):
			times = append(times, at)
		}
	}
	return times
}

func (c *cluster) undisturbedBetween(from, to time.Time) bool {
	return !slices.ContainsFunc(c.nodes, func(n *node) bool { return c.disturbedBetween(n.name, from, to) })
}

func (c *cluster) disturbedBetween(name string, from, to time.Time) bool {
	for _, n := range c.nodes {
		if n.name == name {
			return slices.ContainsFunc(n.disturbances, func(at time.Time) bool { return at.After(from) && at.Before(to) })
		}
	}
	return false
}
