package share

import (
	"time"
)

// measure measures the rate of work over windows in which requests waited all the time.
func (g *Gate) measure(now time.Time) {
	if len(g.waiting) == 0 {
		g.window.hadIdle = true
	} else {
		g.lastWaitedAt = now
	}
	elapsed := now.Sub(g.window.startedAt)
	if elapsed < gateRateWindow {
		return
	}
	if !g.window.hadIdle && elapsed < 2*gateRateWindow {
		g.rate = g.workRate() + gateRateWeight*(g.window.work/elapsed.Seconds()-g.workRate())
	}
	g.window = gateWindow{startedAt: now, hadIdle: len(g.waiting) == 0}
}

// sweep refuses waiting requests that are too late, frees slots at the deadlines and those of silent nodes, and forgets
// idle customers and nodes.
func (g *Gate) sweep(now time.Time) {
	if now.Sub(g.expiredAt) >= gateExpiryInterval {
		g.expiredAt = now
		g.refuseLate(now)
	}
	if now.Sub(g.releasedAt) >= gateReleaseInterval {
		g.releasedAt = now
		g.releaseLost(now)
	}
	if now.Sub(g.sweptAt) >= gateSweepInterval {
		g.sweptAt = now
		g.forgetIdle(now)
	}
}

// refuseLate refuses the waiting requests that can no longer be in time.
func (g *Gate) refuseLate(now time.Time) {
	for _, r := range g.waiting {
		if now.After(r.latestStart) {
			g.remove(r)
			g.decided = append(g.decided, g.refusal(now, r))
		}
	}
}

// releaseLost frees the slots of requests whose deadlines have passed or whose nodes are silent, and drops those that wait.
func (g *Gate) releaseLost(now time.Time) {
	silent := func(key GateKey) bool { return now.Sub(g.heardAt[key.Node]) > gateSilence }
	for key, r := range g.running {
		if !now.Before(r.ask.Deadline) || silent(key) {
			g.release(r)
		}
	}
	for key, r := range g.waiting {
		if silent(key) {
			g.drop(now, r)
		}
	}
}

// forgetIdle forgets customers and nodes that are idle.
func (g *Gate) forgetIdle(now time.Time) {
	if g.Idle() {
		for _, c := range g.customers {
			g.virtualTime = max(g.virtualTime, c.startTag)
		}
	}
	for name, c := range g.customers {
		if c.forgettable(now, g.virtualTime) {
			delete(g.customers, name)
		}
	}
	for node, at := range g.heardAt {
		if now.Sub(at) > 2*gateSilence {
			delete(g.heardAt, node)
		}
	}
}
