package soak_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// rateCapWindow is the time in which an endpoint that states a rate cap gets at most rateCapExcess times what that allows,
	// and rateCapSlack requests, of nodes that know of it.
	rateCapWindow = 4 * time.Second
	rateCapExcess = 1.5
	rateCapSlack  = 5
	// rateCapLearnTime is how long after a request to the endpoint its node counts as knowing, and as not knowing after trouble.
	rateCapLearnTime = 3 * time.Second
	// rateCapDuration is how long a cap is stated: longer than nodes wait for all to know who shares it.
	rateCapDuration = 14 * time.Second
)

// stated is a rate cap that an endpoint stated for a time.
type statedRateCap struct {
	period
	perSecond float64
}

// applyRateCaps has an endpoint, or at times all of a pool, state how many requests a second it takes, at times change that, and
// take it back.
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

// checkRateCaps checks that no endpoint got more than its cap allowed of the nodes that knew of it.
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
					c.reportViolation("%s got more than %d requests in %v of nodes that knew that it takes %v a second", e.Name, allowed, rateCapWindow, stated.perSecond)
					break
				}
			}
		}
	}
}

// runsFromInformedNodes returns when an endpoint got requests, in a period, of nodes that knew of its cap before and that had no trouble
// since.
func (c *cluster) runsFromInformedNodes(e *endpoint, p period, requests map[string]*sentRequest) []time.Time {
	runs := e.Runs()
	var times []time.Time
	informedAt := map[string]time.Time{}
	for _, run := range runs {
		request := requests[run.ID]
		if request == nil || run.At.Before(p.from) || run.At.After(p.to) {
			continue
		}
		informed, seen := informedAt[request.nodeName]
		if !seen || c.disturbedBetween(request.nodeName, informed.Add(-rateCapLearnTime), run.At) {
			informedAt[request.nodeName] = run.At.Add(rateCapLearnTime)
			continue
		}
		if run.At.After(informed) {
			times = append(times, run.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// callsWhileUndisturbed returns when a worker got calls, in a period, while no node had had trouble for a while: no caller sent them,
// so it is not known which node did, but without trouble of nodes all that make them know of the cap.
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
