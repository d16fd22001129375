package soak_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

// fault is something that is done to the cluster and undone after a while.
type fault struct {
	name   string
	inject func(c *cluster, random *rand.Rand, last time.Duration)
}

const (
	// outageNoticeTime is how long the store is away until all nodes have noticed, and callCountTime how long its calls
	// are counted then.
	outageNoticeTime = 4 * time.Second
	callCountTime    = 2 * time.Second
	// maxDomainCallsPerSecond is how many calls a second the nodes of a failure domain may make: two that ask four times,
	// and one try in each round; and as many once more for what overlaps. maxUnsettledCallsPerSecond is that of a node
	// that knows no others: three tables at first and its own row.
	maxDomainCallsPerSecond    = 20
	maxUnsettledCallsPerSecond = 6
	settleTime                 = 10 * time.Second
)

// faults are what a soak draws from. Each run gets a goroutine of its own, so they overlap.
var faults = []fault{
	{"kill", func(c *cluster, random *rand.Rand, last time.Duration) { c.restartNode(random, last, syscall.SIGKILL) }},
	{"terminate", func(c *cluster, random *rand.Rand, last time.Duration) {
		c.restartNode(random, last/4, syscall.SIGTERM)
	}},
	{"pause", pauseNode},
	{"reload", func(c *cluster, random *rand.Rand, _ time.Duration) { c.randomNode(random).signal(syscall.SIGHUP) }},
	{"store fails", failStore},
	{"store compacts", func(c *cluster, _ *rand.Rand, _ time.Duration) { c.store.Compact() }},
	{"store link", disturbStoreLink},
	{"node link", disturbNodeLink},
	{"reader cut off", cutOffReader},
	{"endpoint fails", failEndpoint},
	{"endpoint link", disturbEndpointLink},
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

// listedEndpoints returns the endpoints of a pool that are there.
func (c *cluster) listedEndpoints(pool string) []*endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*endpoint
	for _, s := range c.endpoints {
		if s.pool == pool && s.unlistedAt.IsZero() {
			out = append(out, s)
		}
	}
	return out
}

// restart ends a node's process and starts it again.
func (c *cluster) restartNode(random *rand.Rand, down time.Duration, s syscall.Signal) {
	n := c.randomNode(random)
	n.mu.Lock()
	busy := !n.shouldRun
	n.shouldRun = false
	n.mu.Unlock()
	if busy {
		return
	}
	n.signal(syscall.SIGCONT)
	n.stop(s)
	time.Sleep(down)
	if err := n.start(); err != nil {
		c.reportViolation("%s can't be started: %v", n.name, err)
	}
}

func pauseNode(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.randomNode(random)
	n.signal(syscall.SIGSTOP)
	time.Sleep(last)
	n.signal(syscall.SIGCONT)
}

func failStore(c *cluster, random *rand.Rand, last time.Duration) {
	c.store.SetFault([]standin.StoreFault{standin.StoreUnavailable, standin.StoreSilent, standin.StoreReplyLost}[random.IntN(3)])
	time.Sleep(last)
	c.store.SetFault(standin.StoreHealthy)
}

// takeStoreDown takes the store away for longer than nodes trust what they know, and counts the calls that it gets
// from nodes that have noticed: they must not grow with the nodes.
func takeStoreDown(c *cluster, random *rand.Rand, _ time.Duration) {
	if !c.outageMu.TryLock() {
		return
	}
	defer c.outageMu.Unlock()
	c.store.SetFault([]standin.StoreFault{standin.StoreUnavailable, standin.StoreSilent}[random.IntN(2)])
	defer c.store.SetFault(standin.StoreHealthy)
	time.Sleep(outageNoticeTime)
	before, began := c.store.Calls(), time.Now()
	time.Sleep(callCountTime)
	calls, took := c.store.Calls()-before, time.Since(began).Seconds()
	most := took*float64(maxDomainCallsPerSecond*failureDomainCount+maxUnsettledCallsPerSecond*c.unsettledNodes()) + 20
	if float64(calls) > most {
		c.reportViolation("the store got %d calls in %.1f s while it was away, with %d nodes, %d of them unsettled", calls, took, len(c.nodes), c.unsettledNodes())
	}
}

// unsettled counts the nodes that may not know the others, or not reach them.
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

func disturbStoreLink(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.randomNode(random)
	n.recordDisturbance()
	disturbLink(n.storeProxy, random, last)
	n.recordDisturbance()
}

// disturbNodeLink spoils the way of other nodes to one.
func disturbNodeLink(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.randomNode(random)
	n.recordDisturbance()
	disturbLink(n.peerProxy, random, last)
	n.recordDisturbance()
}

// cutOffReader cuts a node off from the store for long, while it answers other nodes, and makes
// an endpoint leave meanwhile.
func cutOffReader(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.randomNode(random)
	n.recordDisturbance()
	n.storeProxy.setFault([]linkFault{linkBlockedToServer, linkBlockedFromServer}[random.IntN(2)])
	time.Sleep(last)
	replaceEndpoint(c, random, last)
	time.Sleep(drainPeriod + time.Second)
	n.storeProxy.setFault(linkOK)
	n.recordDisturbance()
}

func disturbEndpointLink(c *cluster, random *rand.Rand, last time.Duration) {
	disturbLink(c.randomEndpoint(random).proxy, random, last)
}

// spoil resets or silences the open connections of a link, or cuts or slows the link for a while.
func disturbLink(p *proxy, random *rand.Rand, last time.Duration) {
	switch random.IntN(3) {
	case 0:
		p.resetAll()
	case 1:
		p.silenceAll()
	default:
		p.setFault(linkOK + 1 + linkFault(random.IntN(int(linkFaultCount)-1)))
		time.Sleep(last)
		p.setFault(linkOK)
	}
}

func failEndpoint(c *cluster, random *rand.Rand, last time.Duration) {
	s := c.randomEndpoint(random)
	s.SetFault(standin.EndpointHealthy + 1 + standin.EndpointFault(random.IntN(int(standin.EndpointUnsigned))))
	time.Sleep(last)
	s.SetFault(standin.EndpointHealthy)
}

// replaceEndpoint replaces an endpoint: the new one is listed first, the old one drains.
func replaceEndpoint(c *cluster, random *rand.Rand, last time.Duration) {
	old := c.randomEndpoint(random)
	c.mu.Lock()
	left := !old.unlistedAt.IsZero()
	c.sequence++
	name := fmt.Sprintf("%s-%d", old.pool, c.sequence+100)
	c.mu.Unlock()
	if left {
		return
	}
	if err := c.startEndpoint(name, old.pool); err != nil {
		c.reportViolation("an endpoint can't be started: %v", err)
		return
	}
	if random.IntN(2) == 0 {
		c.writeEntry(old, true)
		time.Sleep(last / 2)
	}
	c.mu.Lock()
	old.unlistedAt = time.Now()
	c.mu.Unlock()
	c.store.RemoveEndpoint(old.Name)
}

// restartEndpoint restarts an endpoint under its name, at times behind a cut.
func restartEndpoint(c *cluster, random *rand.Rand, last time.Duration) {
	s := c.randomEndpoint(random)
	cut := random.IntN(2) == 0
	if cut {
		s.proxy.setFault([]linkFault{linkBlockedToServer, linkBlockedFromServer}[random.IntN(2)])
		time.Sleep(last / 2)
	}
	s.Restart()
	if !cut {
		s.proxy.resetAll()
	}
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	c.mu.Lock()
	if s.unlistedAt.IsZero() {
		c.writeEntry(s, false)
	}
	c.mu.Unlock()
	time.Sleep(last / 2)
	s.proxy.setFault(linkOK)
}

// putInvalidEntries puts entries that name no endpoint among the others, and over one for a moment.
func putInvalidEntries(c *cluster, random *rand.Rand, last time.Duration) {
	bad := standin.BadEntries()
	for range 3 {
		c.store.Put("servers", fmt.Sprint("foreign-", random.IntN(5)), bad[random.IntN(len(bad))])
	}
	time.Sleep(last)
	s := c.randomEndpoint(random)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.unlistedAt.IsZero() {
		c.store.Put("servers", s.Name, bad[random.IntN(len(bad))])
		c.writeEntry(s, false)
	}
}

// changeRouting writes several versions in quick succession.
func changeRouting(c *cluster, random *rand.Rand, _ time.Duration) {
	for range 1 + random.IntN(4) {
		c.mu.Lock()
		c.sequence++
		c.mu.Unlock()
		c.writeRouting()
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

// addRoutes adds many routes: after a few times the routing takes a narrow link longer than a question
// about it usually does.
func addRoutes(c *cluster, random *rand.Rand, _ time.Duration) {
	c.mu.Lock()
	c.sequence += 500 + random.IntN(1500)
	c.mu.Unlock()
	c.writeRouting()
}

// revokeKey gives a key and takes it away again.
func revokeKey(c *cluster, _ *rand.Rand, last time.Duration) {
	c.mu.Lock()
	c.sequence++
	key := fmt.Sprint("key-", c.sequence)
	c.apiKeys = append(c.apiKeys, key)
	c.mu.Unlock()
	c.writeRouting()
	time.Sleep(last)
	c.mu.Lock()
	c.apiKeys = slices.DeleteFunc(c.apiKeys, func(k string) bool { return k == key })
	c.mu.Unlock()
	c.writeRouting()
	c.mu.Lock()
	c.revokedAPIKeys[key] = time.Now()
	c.mu.Unlock()
}

// revokeKeyDuringCut takes a key away while a node hears nothing from the store, or is paused, for
// longer than the key may go on working.
func revokeKeyDuringCut(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.randomNode(random)
	n.recordDisturbance()
	cut := time.AfterFunc(last/2, func() {
		if random.IntN(3) == 0 {
			n.signal(syscall.SIGSTOP)
			return
		}
		n.storeProxy.setFault([]linkFault{linkBlockedToServer, linkBlockedFromServer}[random.IntN(2)])
	})
	revokeKey(c, random, last)
	time.Sleep(revocationPeriod + time.Second)
	cut.Stop()
	n.storeProxy.setFault(linkOK)
	n.signal(syscall.SIGCONT)
}

func (c *cluster) revokedAt(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.revokedAPIKeys[key]
	return at, ok
}
