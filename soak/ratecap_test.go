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
	one := c.randomEndpoint(random)
	capped := []*endpoint{one}
	if random.IntN(3) == 0 {
		capped = c.listedEndpoints(one.pool)
	}
	var rates []float64
	for range 1 + random.IntN(2) {
		rates = append(rates, []float64{0, 0.5, 1.4, 4}[random.IntN(4)])
	}
	var stating sync.WaitGroup
	for _, s := range capped {
		stating.Go(func() { c.stateRateCaps(s, rates) })
	}
	stating.Wait()
}

func (c *cluster) stateRateCaps(s *endpoint, rates []float64) {
	if !s.rateCapMu.TryLock() {
		return
	}
	defer s.rateCapMu.Unlock()
	for _, perSecond := range rates {
		s.SetRateCap(&perSecond)
		from := time.Now()
		time.Sleep(rateCapDuration)
		c.mu.Lock()
		s.rateCaps = append(s.rateCaps, statedRateCap{period: period{from: from, to: time.Now()}, perSecond: perSecond})
		c.mu.Unlock()
	}
	s.SetRateCap(nil)
}

// checkRateCaps checks that no endpoint got more than its cap allowed of the nodes that knew of it.
func (c *cluster) checkRateCaps(known map[string]*sentRequest) {
	for _, e := range c.endpoints {
		for _, cap := range e.rateCaps {
			at := c.runsFromInformedNodes(e, cap.period, known)
			if e.pool == "workers" {
				at = c.callsWhileUndisturbed(e, cap.period)
			}
			allowed := int(rateCapExcess*cap.perSecond*rateCapWindow.Seconds() + rateCapSlack)
			for i := allowed; i < len(at); i++ {
				if at[i].Sub(at[i-allowed]) < rateCapWindow {
					c.reportViolation("%s got more than %d requests in %v of nodes that knew that it takes %v a second", e.Name, allowed, rateCapWindow, cap.perSecond)
					break
				}
			}
		}
	}
}

// runsFromInformedNodes returns when an endpoint got requests, in a period, of nodes that knew of its cap before and that had no trouble
// since.
func (c *cluster) runsFromInformedNodes(e *endpoint, p period, known map[string]*sentRequest) []time.Time {
	runs := e.Runs()
	var out []time.Time
	knownAt := map[string]time.Time{}
	for _, run := range runs {
		s := known[run.ID]
		if s == nil || run.StartedAt.Before(p.from) || run.StartedAt.After(p.to) {
			continue
		}
		since, asked := knownAt[s.nodeName]
		if !asked || c.disturbedBetween(s.nodeName, since.Add(-rateCapLearnTime), run.StartedAt) {
			knownAt[s.nodeName] = run.StartedAt.Add(rateCapLearnTime)
			continue
		}
		if run.StartedAt.After(since) {
			out = append(out, run.StartedAt)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// callsWhileUndisturbed returns when a worker got calls, in a period, while no node had had trouble for a while: no caller sent them,
// so it is not known which node did, but without trouble of nodes all that make them know of the cap.
func (c *cluster) callsWhileUndisturbed(e *endpoint, p period) []time.Time {
	var out []time.Time
	var known time.Time
	for _, at := range e.Arrivals() {
		switch {
		case at.Before(p.from) || at.After(p.to):
		case known.IsZero():
			known = at.Add(rateCapLearnTime)
		case at.After(known) && c.undisturbedBetween(at.Add(-settleTime), at):
			out = append(out, at)
		}
	}
	return out
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
