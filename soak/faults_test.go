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
	name string
	run  func(c *cluster, random *rand.Rand, last time.Duration)
}

const (
	// noticedAfter is how long the store is away until all nodes have noticed, and countedFor how long its calls
	// are counted then.
	noticedAfter = 4 * time.Second
	countedFor   = 2 * time.Second
	// callsOfDomain is how many calls a second the nodes of a failure domain may make: two that ask four times,
	// and one try in each round; and as many once more for what overlaps. callsOfUnsettled is that of a node
	// that knows no others: three tables at first and its own row.
	callsOfDomain    = 20
	callsOfUnsettled = 6
	settledAfter     = 10 * time.Second
)

// faults are what a soak draws from. Each run gets a goroutine of its own, so they overlap.
var faults = []fault{
	{"kill", func(c *cluster, random *rand.Rand, last time.Duration) { c.restart(random, last, syscall.SIGKILL) }},
	{"terminate", func(c *cluster, random *rand.Rand, last time.Duration) { c.restart(random, last/4, syscall.SIGTERM) }},
	{"pause", pause},
	{"reload", func(c *cluster, random *rand.Rand, _ time.Duration) { c.anyNode(random).signal(syscall.SIGHUP) }},
	{"store fails", storeFails},
	{"store compacts", func(c *cluster, _ *rand.Rand, _ time.Duration) { c.store.Compact() }},
	{"store link", storeLink},
	{"node link", nodeLink},
	{"reader cut off", readerCutOff},
	{"endpoint fails", endpointFails},
	{"endpoint link", endpointLink},
	{"endpoint leaves", endpointLeaves},
	{"endpoint starts again", endpointStartsAgain},
	{"foreign entries", foreignEntries},
	{"routing changes", routingChanges},
	{"routes added", routesAdded},
	{"key taken away", keyTaken},
	{"key taken away behind a cut", keyTakenBehindACut},
	{"store away", storeAway},
	{"poison requests", poisonRequests},
	{"evacuation", evacuation},
	{"cold endpoint", coldEndpoint},
	{"rate cap", rateCap},
}

func (c *cluster) anyNode(random *rand.Rand) *node {
	return c.nodes[random.IntN(len(c.nodes))]
}

func (c *cluster) anyServer(random *rand.Rand) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.endpoints))
	for name := range c.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	return c.endpoints[names[random.IntN(len(names))]]
}

// serversOf returns the endpoints of a pool that are there.
func (c *cluster) serversOf(pool string) []*server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*server
	for _, s := range c.endpoints {
		if s.pool == pool && s.unlistedAt.IsZero() {
			out = append(out, s)
		}
	}
	return out
}

// restart ends a node's process and starts it again.
func (c *cluster) restart(random *rand.Rand, down time.Duration, s syscall.Signal) {
	n := c.anyNode(random)
	n.mu.Lock()
	busy := !n.wanted
	n.wanted = false
	n.mu.Unlock()
	if busy {
		return
	}
	n.signal(syscall.SIGCONT)
	n.stop(s)
	time.Sleep(down)
	if err := n.start(); err != nil {
		c.breach("%s can't be started: %v", n.name, err)
	}
}

func pause(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.anyNode(random)
	n.signal(syscall.SIGSTOP)
	time.Sleep(last)
	n.signal(syscall.SIGCONT)
}

func storeFails(c *cluster, random *rand.Rand, last time.Duration) {
	c.store.SetFault([]standin.StoreFault{standin.StoreUnavailable, standin.StoreSilent, standin.StoreReplyLost}[random.IntN(3)])
	time.Sleep(last)
	c.store.SetFault(standin.StoreHealthy)
}

// storeAway takes the store away for longer than nodes trust what they know, and counts the calls that it gets
// from nodes that have noticed: they must not grow with the nodes.
func storeAway(c *cluster, random *rand.Rand, _ time.Duration) {
	if !c.away.TryLock() {
		return
	}
	defer c.away.Unlock()
	c.store.SetFault([]standin.StoreFault{standin.StoreUnavailable, standin.StoreSilent}[random.IntN(2)])
	defer c.store.SetFault(standin.StoreHealthy)
	time.Sleep(noticedAfter)
	before, began := c.store.Calls(), time.Now()
	time.Sleep(countedFor)
	calls, took := c.store.Calls()-before, time.Since(began).Seconds()
	most := took*float64(callsOfDomain*domains+callsOfUnsettled*c.unsettled()) + 20
	if float64(calls) > most {
		c.breach("the store got %d calls in %.1f s while it was away, with %d nodes, %d of them unsettled", calls, took, len(c.nodes), c.unsettled())
	}
}

// unsettled counts the nodes that may not know the others, or not reach them.
func (c *cluster) unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	unsettled := 0
	for _, n := range c.nodes {
		n.mu.Lock()
		if !n.wanted || time.Since(n.troubledAt) < settledAfter {
			unsettled++
		}
		n.mu.Unlock()
	}
	return unsettled
}

func storeLink(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.anyNode(random)
	n.trouble()
	spoil(n.link, random, last)
	n.trouble()
}

// nodeLink spoils the way of other nodes to one.
func nodeLink(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.anyNode(random)
	n.trouble()
	spoil(n.peers, random, last)
	n.trouble()
}

// readerCutOff cuts a node off from the store for long, while it answers other nodes, and makes
// an endpoint leave meanwhile.
func readerCutOff(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.anyNode(random)
	n.trouble()
	n.link.setFault([]proxyFault{linkDeaf, linkMute}[random.IntN(2)])
	time.Sleep(last)
	endpointLeaves(c, random, last)
	time.Sleep(drain + time.Second)
	n.link.setFault(linkFine)
	n.trouble()
}

func endpointLink(c *cluster, random *rand.Rand, last time.Duration) {
	spoil(c.anyServer(random).proxy, random, last)
}

// spoil resets or silences the open connections of a link, or cuts or slows the link for a while.
func spoil(p *proxy, random *rand.Rand, last time.Duration) {
	switch random.IntN(3) {
	case 0:
		p.resetAll()
	case 1:
		p.silenceAll()
	default:
		p.setFault(linkFine + 1 + proxyFault(random.IntN(int(linkFaults)-1)))
		time.Sleep(last)
		p.setFault(linkFine)
	}
}

func endpointFails(c *cluster, random *rand.Rand, last time.Duration) {
	s := c.anyServer(random)
	s.SetFault(standin.EndpointHealthy + 1 + standin.EndpointFault(random.IntN(int(standin.EndpointUnsigned))))
	time.Sleep(last)
	s.SetFault(standin.EndpointHealthy)
}

// endpointLeaves replaces an endpoint: the new one is listed first, the old one drains.
func endpointLeaves(c *cluster, random *rand.Rand, last time.Duration) {
	old := c.anyServer(random)
	c.mu.Lock()
	left := !old.unlistedAt.IsZero()
	c.extra++
	name := fmt.Sprintf("%s-%d", old.pool, c.extra+100)
	c.mu.Unlock()
	if left {
		return
	}
	if err := c.newServer(name, old.pool); err != nil {
		c.breach("an endpoint can't be started: %v", err)
		return
	}
	if random.IntN(2) == 0 {
		c.list(old, true)
		time.Sleep(last / 2)
	}
	c.mu.Lock()
	old.unlistedAt = time.Now()
	c.mu.Unlock()
	c.store.RemoveEndpoint(old.Name)
}

// endpointStartsAgain restarts an endpoint under its name, at times behind a cut.
func endpointStartsAgain(c *cluster, random *rand.Rand, last time.Duration) {
	s := c.anyServer(random)
	cut := random.IntN(2) == 0
	if cut {
		s.proxy.setFault([]proxyFault{linkDeaf, linkMute}[random.IntN(2)])
		time.Sleep(last / 2)
	}
	s.Restart()
	if !cut {
		s.proxy.resetAll()
	}
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	c.mu.Lock()
	if s.unlistedAt.IsZero() {
		c.list(s, false)
	}
	c.mu.Unlock()
	time.Sleep(last / 2)
	s.proxy.setFault(linkFine)
}

// foreignEntries puts entries that name no endpoint among the others, and over one for a moment.
func foreignEntries(c *cluster, random *rand.Rand, last time.Duration) {
	bad := standin.BadEntries()
	for range 3 {
		c.store.Put("servers", fmt.Sprint("foreign-", random.IntN(5)), bad[random.IntN(len(bad))])
	}
	time.Sleep(last)
	s := c.anyServer(random)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.unlistedAt.IsZero() {
		c.store.Put("servers", s.Name, bad[random.IntN(len(bad))])
		c.list(s, false)
	}
}

// routingChanges writes several versions in quick succession.
func routingChanges(c *cluster, random *rand.Rand, _ time.Duration) {
	for range 1 + random.IntN(4) {
		c.mu.Lock()
		c.extra++
		c.mu.Unlock()
		c.configure()
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

// routesAdded adds many routes: after a few times the routing takes a narrow link longer than a question
// about it usually does.
func routesAdded(c *cluster, random *rand.Rand, _ time.Duration) {
	c.mu.Lock()
	c.extra += 500 + random.IntN(1500)
	c.mu.Unlock()
	c.configure()
}

// keyTaken gives a key and takes it away again.
func keyTaken(c *cluster, _ *rand.Rand, last time.Duration) {
	c.mu.Lock()
	c.extra++
	key := fmt.Sprint("key-", c.extra)
	c.keys = append(c.keys, key)
	c.mu.Unlock()
	c.configure()
	time.Sleep(last)
	c.mu.Lock()
	c.keys = slices.DeleteFunc(c.keys, func(k string) bool { return k == key })
	c.mu.Unlock()
	c.configure()
	c.mu.Lock()
	c.revoked[key] = time.Now()
	c.mu.Unlock()
}

// keyTakenBehindACut takes a key away while a node hears nothing from the store, or is paused, for
// longer than the key may go on working.
func keyTakenBehindACut(c *cluster, random *rand.Rand, last time.Duration) {
	n := c.anyNode(random)
	n.trouble()
	cut := time.AfterFunc(last/2, func() {
		if random.IntN(3) == 0 {
			n.signal(syscall.SIGSTOP)
			return
		}
		n.link.setFault([]proxyFault{linkDeaf, linkMute}[random.IntN(2)])
	})
	keyTaken(c, random, last)
	time.Sleep(revoke + time.Second)
	cut.Stop()
	n.link.setFault(linkFine)
	n.signal(syscall.SIGCONT)
}

func (c *cluster) revokedAt(key string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.revoked[key]
	return at, ok
}
