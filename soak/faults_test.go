package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

// fault is a kind of fault: inject applies it to the cluster for a duration and then ends it.
type fault struct {
	name   string
	inject func(c *cluster, random *rand.Rand, duration time.Duration)
}

const (
	// outageNoticeTime is the time by which all nodes have noticed an outage of the store. callCountTime is how long
	// its calls are counted after that.
	outageNoticeTime = 4 * time.Second
	callCountTime    = 2 * time.Second
	// maxDomainCallsPerSecond is how many calls per second the nodes of a failure domain may make to a store that is
	// down: four by each of the two designated readers (see kernel.SourceSelector), one attempt of another node each time
	// that the readers were asked in vain, and the same number again for overlaps. maxUnsettledCallsPerSecond is the
	// limit for a node that knows no other nodes: at first it reads three tables and writes its own row. A node counts
	// as unsettled for settleTime after a disturbance.
	maxDomainCallsPerSecond    = 20
	maxUnsettledCallsPerSecond = 6
	settleTime                 = 10 * time.Second
)

// faults are the kinds of faults that are injected at random. Each injection has its own goroutine, so that faults
// overlap. The names are used with kept seeds and by the flag -only.
var faults = []fault{
	{"kill", func(c *cluster, random *rand.Rand, duration time.Duration) {
		c.restartNode(random, duration, syscall.SIGKILL)
	}},
	{"terminate", func(c *cluster, random *rand.Rand, duration time.Duration) {
		c.restartNode(random, duration/4, syscall.SIGTERM)
	}},
	{"pause", pauseNode},
	{"reload", func(c *cluster, random *rand.Rand, _ time.Duration) { c.randomNode(random).signal(syscall.SIGHUP) }},
	{"store fails", failStore},
	{"store compacts", func(c *cluster, _ *rand.Rand, _ time.Duration) { c.store.Compact() }},
	{"store link", disturbStoreLink},
	{"node link", disturbNodeLink},
	{"reader cut off", cutOffReader},
	{"removal behind a cut", removeBehindCut},
	{"endpoint fails", failEndpoint},
	{"endpoint link", disturbEndpointLink},
	{"endpoints cut off", cutOffEndpoints},
	{"refusal caps", stateRefusalCap},
	{"endpoints stall", stallEndpoints},
	{"endpoint leaves", replaceEndpoint},
	{"endpoint starts again", restartEndpoint},
	{"foreign entries", putInvalidEntries},
	{"routing changes", changeRouting},
	{"routes added", addRoutes},
	{"key taken away", revokeKey},
	{"key taken away behind a cut", revokeKeyDuringCut},
	{"store away", takeStoreDown},
	{"poison requests", sendPoisonRequests},
	{"evacuation", evacuate},
	{"cold endpoint", makeEngineCold},
	{"rate cap", applyRateCaps},
	{"leaving answers", leaveByAnswers},
	{"refusals with pause", refuseWithPause},
	{"poison parts", sendPoisonParts},
	{"preferred node", preferNode},
	{"contention", stateContention},
	{"flood", flood},
	{unframedAnswers, answerUnframed},
	{"unframed answers and ends", endUnframed},
}

func (c *cluster) randomNode(random *rand.Rand) *node {
	return c.nodes[random.IntN(len(c.nodes))]
}

func (c *cluster) randomEndpoint(random *rand.Rand) *endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.endpoints))
	for name := range c.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	return c.endpoints[names[random.IntN(len(names))]]
}

// listedEndpoints returns the endpoints of a pool that have neither been unlisted nor crashed.
func (c *cluster) listedEndpoints(pool string) []*endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*endpoint
	for _, e := range c.endpoints {
		if e.pool == pool && e.unlistedAt.IsZero() {
			out = append(out, e)
		}
	}
	return out
}

// restartNode ends a node's process and starts it again after the downtime.
func (c *cluster) restartNode(random *rand.Rand, downtime time.Duration, sig syscall.Signal) {
	n := c.randomNode(random)
	n.mu.Lock()
	stopped := !n.shouldRun
	n.shouldRun = false
	n.mu.Unlock()
	if stopped {
		return
	}
	n.signal(syscall.SIGCONT)
	n.stop(sig)
	time.Sleep(downtime)
	if err := n.start(); err != nil {
		c.reportViolation("start %s: %v", n.name, err)
	}
}

func pauseNode(c *cluster, random *rand.Rand, duration time.Duration) {
	n := c.randomNode(random)
	n.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	n.signal(syscall.SIGCONT)
}

func failStore(c *cluster, random *rand.Rand, duration time.Duration) {
	c.store.SetFault([]standin.StoreFault{standin.StoreUnavailable, standin.StoreSilent, standin.StoreReplyLost}[random.IntN(3)])
	time.Sleep(duration)
	c.store.SetFault(standin.StoreHealthy)
}

// takeStoreDown makes the store unavailable for longer than nodes rely on what they have read, and counts the calls of
// nodes that have noticed the outage. Their number must not grow with the number of nodes.
func takeStoreDown(c *cluster, random *rand.Rand, _ time.Duration) {
	if !c.outageMu.TryLock() {
		return
	}
	defer c.outageMu.Unlock()
	c.store.SetFault([]standin.StoreFault{standin.StoreUnavailable, standin.StoreSilent}[random.IntN(2)])
	defer c.store.SetFault(standin.StoreHealthy)
	time.Sleep(outageNoticeTime)
	before, start := c.store.Calls(), time.Now()
	time.Sleep(callCountTime)
	calls, elapsed := c.store.Calls()-before, time.Since(start).Seconds()
	maxCalls := elapsed*float64(maxDomainCallsPerSecond*failureDomainCount+maxUnsettledCallsPerSecond*c.unsettledNodes()) + 20
	if float64(calls) > maxCalls {
		c.reportViolation("the store received %d calls in %.1f s during an outage, with %d nodes, %d of them unsettled", calls, elapsed, len(c.nodes), c.unsettledNodes())
	}
}

// unsettledNodes returns the number of nodes that may not know or reach the others.
func (c *cluster) unsettledNodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	unsettled := 0
	for _, n := range c.nodes {
		n.mu.Lock()
		if !n.shouldRun || time.Since(n.disturbedAt) < settleTime {
			unsettled++
		}
		n.mu.Unlock()
	}
	return unsettled
}

// disturbStoreLink disturbs the connections of one node to the store.
func disturbStoreLink(c *cluster, random *rand.Rand, duration time.Duration) {
	n := c.randomNode(random)
	n.recordDisturbance()
	disturbLink(n.storeProxy, random, duration)
	n.recordDisturbance()
}

// disturbNodeLink disturbs the connections of other nodes to one node.
func disturbNodeLink(c *cluster, random *rand.Rand, duration time.Duration) {
	n := c.randomNode(random)
	n.recordDisturbance()
	disturbLink(n.peerProxy, random, duration)
	n.recordDisturbance()
}

// cutOffReader cuts a node off from the store for longer than drainPeriod, while it still answers other nodes, and
// replaces an endpoint meanwhile. The node may be the one from which the others get the contents of the store.
func cutOffReader(c *cluster, random *rand.Rand, duration time.Duration) {
	n := c.randomNode(random)
	n.recordDisturbance()
	n.storeProxy.setFault([]linkFault{linkBlockedToServer, linkBlockedFromServer}[random.IntN(2)])
	time.Sleep(duration)
	replaceEndpoint(c, random, duration)
	time.Sleep(drainPeriod + time.Second)
	n.storeProxy.setFault(linkOK)
	n.recordDisturbance()
}

// removeBehindCut cuts most nodes, or all, off from a store that is in use, for longer than entries need to lapse in an outage,
// and replaces an endpoint meanwhile.
func removeBehindCut(c *cluster, random *rand.Rand, duration time.Duration) {
	cut := slices.Clone(c.nodes)
	random.Shuffle(len(cut), func(i, j int) { cut[i], cut[j] = cut[j], cut[i] })
	cut = cut[:len(cut)-random.IntN(2)]
	for _, n := range cut {
		n.recordDisturbance()
		n.storeProxy.setFault(linkBlockedToServer)
	}
	time.Sleep(duration / 2)
	replaceEndpoint(c, random, duration/2)
	time.Sleep(drainPeriod + time.Second)
	for _, n := range cut {
		n.storeProxy.setFault(linkOK)
		n.recordDisturbance()
	}
}

func disturbEndpointLink(c *cluster, random *rand.Rand, duration time.Duration) {
	disturbLink(c.randomEndpoint(random).proxy, random, duration)
}

// disturbLink resets or silences the open connections of a proxy, or blocks or slows all its connections for a duration.
func disturbLink(p *proxy, random *rand.Rand, duration time.Duration) {
	switch random.IntN(3) {
	case 0:
		p.resetAll()
	case 1:
		p.silenceAll()
	default:
		p.setFault(linkOK + 1 + linkFault(random.IntN(int(linkFaultCount)-1)))
		time.Sleep(duration)
		p.setFault(linkOK)
	}
}

// failEndpoint makes an endpoint fail requests in one of the ways that standin.EndpointFault lists.
func failEndpoint(c *cluster, random *rand.Rand, duration time.Duration) {
	e := c.randomEndpoint(random)
	e.SetFault(standin.EndpointHealthy + 1 + standin.EndpointFault(random.IntN(int(standin.EndpointUnsigned))))
	time.Sleep(duration)
	e.SetFault(standin.EndpointHealthy)
}

// replaceEndpoint replaces an endpoint: the new one is listed first, then the old one is unlisted, sometimes after it
// was listed as draining.
func replaceEndpoint(c *cluster, random *rand.Rand, duration time.Duration) {
	old := c.randomEndpoint(random)
	c.mu.Lock()
	alreadyUnlisted := !old.unlistedAt.IsZero()
	c.sequence++
	name := fmt.Sprintf("%s-%d", old.pool, c.sequence+100)
	c.mu.Unlock()
	if alreadyUnlisted {
		return
	}
	if err := c.startEndpoint(name, old.pool); err != nil {
		c.reportViolation("start replacement endpoint: %v", err)
		return
	}
	if random.IntN(2) == 0 {
		c.writeEntry(old, true)
		time.Sleep(duration / 2)
	}
	c.mu.Lock()
	old.unlistedAt = time.Now()
	c.mu.Unlock()
	c.store.RemoveEndpoint(old.Name)
}

// restartEndpoint restarts an endpoint under its name, sometimes while its connections are blocked.
func restartEndpoint(c *cluster, random *rand.Rand, duration time.Duration) {
	e := c.randomEndpoint(random)
	blocked := random.IntN(2) == 0
	if blocked {
		e.proxy.setFault([]linkFault{linkBlockedToServer, linkBlockedFromServer}[random.IntN(2)])
		time.Sleep(duration / 2)
	}
	e.Restart()
	if !blocked {
		e.proxy.resetAll()
	}
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	c.mu.Lock()
	if e.unlistedAt.IsZero() {
		c.writeEntry(e, false)
	}
	c.mu.Unlock()
	time.Sleep(duration / 2)
	e.proxy.setFault(linkOK)
}

// putInvalidEntries writes entries that name no endpoint into the endpoint list, and briefly overwrites a valid entry
// with one.
func putInvalidEntries(c *cluster, random *rand.Rand, duration time.Duration) {
	invalid := standin.BadEntries()
	for range 3 {
		c.store.Put("servers", fmt.Sprint("foreign-", random.IntN(5)), invalid[random.IntN(len(invalid))])
	}
	time.Sleep(duration)
	e := c.randomEndpoint(random)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.unlistedAt.IsZero() {
		c.store.Put("servers", e.Name, invalid[random.IntN(len(invalid))])
		c.writeEntry(e, false)
	}
}

// changeRouting writes several routing versions in quick succession.
func changeRouting(c *cluster, random *rand.Rand, _ time.Duration) {
	for range 1 + random.IntN(4) {
		c.mu.Lock()
		c.sequence++
		c.mu.Unlock()
		c.writeRouting()
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

// addRoutes adds many routes. After a few injections, a narrow link takes longer to transfer the routing than a call
// for it usually takes.
func addRoutes(c *cluster, random *rand.Rand, _ time.Duration) {
	c.mu.Lock()
	c.sequence += 500 + random.IntN(1500)
	c.mu.Unlock()
	c.writeRouting()
}

// revokeKey adds an API key and revokes it after the duration.
func revokeKey(c *cluster, _ *rand.Rand, duration time.Duration) {
	c.mu.Lock()
	c.sequence++
	key := fmt.Sprint("key-", c.sequence)
	c.apiKeys = append(c.apiKeys, key)
	c.mu.Unlock()
	c.writeRouting()
	time.Sleep(duration)
	c.mu.Lock()
	c.apiKeys = slices.DeleteFunc(c.apiKeys, func(k string) bool { return k == key })
	c.mu.Unlock()
	c.writeRouting()
	c.mu.Lock()
	c.revokedAPIKeys[key] = time.Now()
	c.mu.Unlock()
}

// revokeKeyDuringCut revokes an API key while a node is cut off from the store, or paused, for longer than nodes may
// still accept the key.
func revokeKeyDuringCut(c *cluster, random *rand.Rand, duration time.Duration) {
	n := c.randomNode(random)
	n.recordDisturbance()
	cutTimer := time.AfterFunc(duration/2, func() {
		if random.IntN(3) == 0 {
			n.signal(syscall.SIGSTOP)
			return
		}
		n.storeProxy.setFault([]linkFault{linkBlockedToServer, linkBlockedFromServer}[random.IntN(2)])
	})
	revokeKey(c, random, duration)
	time.Sleep(revocationPeriod + time.Second)
	cutTimer.Stop()
	n.storeProxy.setFault(linkOK)
	n.signal(syscall.SIGCONT)
}

// revokedAt returns the time at which an API key was revoked, and whether it was.
func (c *cluster) revokedAt(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.revokedAPIKeys[key]
	return at, ok
}
