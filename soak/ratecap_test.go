package soak_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// capWindow is the time in which an endpoint that states a rate cap gets at most capExcess times what that allows,
	// and capSlack requests, of nodes that know of it.
	capWindow = 4 * time.Second
	capExcess = 1.5
	capSlack  = 5
	// capKnown is how long after a request to the endpoint its node counts as knowing, and as not knowing after trouble.
	capKnown = 3 * time.Second
	// capLasts is how long a cap is stated: longer than nodes wait for all to know who shares it.
	capLasts = 14 * time.Second
)

// stated is a rate cap that an endpoint stated for a time.
type stated struct {
	period
	perSecond float64
}

// rateCap has an endpoint, or at times all of a pool, state how many requests a second it takes, at times change that, and
// take it back.
func rateCap(c *cluster, random *rand.Rand, _ time.Duration) {
	one := c.anyServer(random)
	capped := []*server{one}
	if random.IntN(3) == 0 {
		capped = c.serversOf(one.pool)
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

func (c *cluster) stateRateCaps(s *server, rates []float64) {
	if !s.capping.TryLock() {
		return
	}
	defer s.capping.Unlock()
	for _, perSecond := range rates {
		s.SetRateCap(&perSecond)
		from := time.Now()
		time.Sleep(capLasts)
		c.mu.Lock()
		s.caps = append(s.caps, stated{period: period{from: from, to: time.Now()}, perSecond: perSecond})
		c.mu.Unlock()
	}
	s.SetRateCap(nil)
}

// checkRateCaps checks that no endpoint got more than its cap allowed of the nodes that knew of it.
func (c *cluster) checkRateCaps(known map[string]*sent) {
	for _, e := range c.endpoints {
		for _, cap := range e.caps {
			at := c.informedRuns(e, cap.period, known)
			if e.pool == "workers" {
				at = c.calmCalls(e, cap.period)
			}
			allowed := int(capExcess*cap.perSecond*capWindow.Seconds() + capSlack)
			for i := allowed; i < len(at); i++ {
				if at[i].Sub(at[i-allowed]) < capWindow {
					c.breach("%s got more than %d requests in %v of nodes that knew that it takes %v a second", e.Name, allowed, capWindow, cap.perSecond)
					break
				}
			}
		}
	}
}

// informedRuns returns when an endpoint got requests, in a period, of nodes that knew of its cap before and that had no trouble
// since.
func (c *cluster) informedRuns(e *server, p period, known map[string]*sent) []time.Time {
	runs := e.Runs()
	var out []time.Time
	knownAt := map[string]time.Time{}
	for _, run := range runs {
		s := known[run.ID]
		if s == nil || run.StartedAt.Before(p.from) || run.StartedAt.After(p.to) {
			continue
		}
		since, asked := knownAt[s.node]
		if !asked || c.troubledSince(s.node, since.Add(-capKnown), run.StartedAt) {
			knownAt[s.node] = run.StartedAt.Add(capKnown)
			continue
		}
		if run.StartedAt.After(since) {
			out = append(out, run.StartedAt)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// calmCalls returns when a worker got calls, in a period, while no node had had trouble for a while: no caller sent them,
// so it is not known which node did, but without trouble of nodes all that make them know of the cap.
func (c *cluster) calmCalls(e *server, p period) []time.Time {
	var out []time.Time
	var known time.Time
	for _, at := range e.Arrivals() {
		switch {
		case at.Before(p.from) || at.After(p.to):
		case known.IsZero():
			known = at.Add(capKnown)
		case at.After(known) && c.calmSince(at.Add(-settledAfter), at):
			out = append(out, at)
		}
	}
	return out
}

func (c *cluster) calmSince(from, to time.Time) bool {
	return !slices.ContainsFunc(c.nodes, func(n *node) bool { return c.troubledSince(n.name, from, to) })
}

func (c *cluster) troubledSince(name string, from, to time.Time) bool {
	for _, n := range c.nodes {
		if n.name == name {
			return slices.ContainsFunc(n.troubles, func(at time.Time) bool { return at.After(from) && at.Before(to) })
		}
	}
	return false
}
