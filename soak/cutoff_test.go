package soak_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	links "basilstall.example/basilstall/standin"
)

const (
	// cutOffTime is how long nodes are cut off from endpoints besides the duration of a fault: long enough for requests to
	// go through other nodes.
	cutOffTime = 4 * time.Second
	// refusalCapTime is how long an endpoint states a refusal cap besides the duration of a fault, and refusalCapNotice
	// within what time nodes learn of it.
	refusalCapTime   = 9 * time.Second
	refusalCapNotice = 4 * time.Second
	// statedRefusals is how many requests a second the endpoint may refuse, and statedRoom how many it takes at a time.
	statedRefusals = 3
	statedRoom     = 2
	// stallTime is how long endpoints are stalled.
	stallTime = 1200 * time.Millisecond
)

// endpointLinks holds the links over which the nodes of each failure domain reach endpoints. Nodes ask it for their
// addresses over HTTP; see testnode.
type endpointLinks struct {
	mu sync.Mutex
	// byDomain holds the links by failure domain and by the endpoint's address.
	byDomain map[string]map[string]*links.CutLink
	// ended holds the addresses of endpoints that have ended: nothing listens there any more.
	ended map[string]bool
	// states holds the state of the links of each domain to endpoints whose pool has a prefix.
	states map[string]linkCut
}

// linkCut is a cut of the links to the endpoints of pools whose names begin with prefix.
type linkCut struct {
	prefix string
	state  links.LinkState
}

func newEndpointLinks() *endpointLinks {
	return &endpointLinks{byDomain: map[string]map[string]*links.CutLink{}, ended: map[string]bool{}, states: map[string]linkCut{}}
}

// handler returns a handler that answers with the address of the link of a failure domain to an address, or that address
// itself if it is not that of an endpoint of the cluster. poolAt returns the pool of the endpoint at an address.
func (l *endpointLinks) handler(poolAt func(address string) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address := r.URL.Query().Get("address")
		if pool := poolAt(address); pool != "" {
			address = l.link(r.URL.Query().Get("domain"), pool, address).Address()
		}
		_, _ = io.WriteString(w, address)
	})
}

// link returns the link of a failure domain to an endpoint.
func (l *endpointLinks) link(domain, pool, address string) *links.CutLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byDomain[domain] == nil {
		l.byDomain[domain] = map[string]*links.CutLink{}
	}
	key := pool + "/" + address
	link := l.byDomain[domain][key]
	if link == nil {
		link = links.NewCutLink(address)
		l.byDomain[domain][key] = link
		switch cut := l.states[domain]; {
		case l.ended[address]:
			link.SetState(links.LinkReset)
		case strings.HasPrefix(pool, cut.prefix):
			link.SetState(cut.state)
		}
	}
	return link
}

// set sets the state of a domain's links to the endpoints of pools whose names begin with prefix.
func (l *endpointLinks) set(domain, prefix string, state links.LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[domain] = linkCut{prefix: prefix, state: state}
	for key, link := range l.byDomain[domain] {
		_, address, _ := strings.Cut(key, "/")
		if strings.HasPrefix(key, prefix) && !l.ended[address] {
			link.SetState(state)
		}
	}
}

// setMatching sets the state of all links whose keys, pool and address, have a prefix and a suffix.
func (l *endpointLinks) setMatching(prefix, suffix string, state links.LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, domain := range l.byDomain {
		for key, link := range domain {
			_, address, _ := strings.Cut(key, "/")
			if strings.HasPrefix(key, prefix) && strings.HasSuffix(key, suffix) && !l.ended[address] {
				link.SetState(state)
			}
		}
	}
}

// end makes all links to an endpoint refuse connections, as its own address does once its process has ended.
func (l *endpointLinks) end(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[address] = true
	for _, domain := range l.byDomain {
		for key, link := range domain {
			if strings.HasSuffix(key, "/"+address) {
				link.SetState(links.LinkReset)
			}
		}
	}
}

func (l *endpointLinks) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, domain := range l.byDomain {
		for _, link := range domain {
			link.Close()
		}
	}
}

// cutOffEndpoints cuts the nodes of a failure domain off from all endpoints, or from those of one pool.
func cutOffEndpoints(c *cluster, random *rand.Rand, duration time.Duration) {
	if !c.cutOffMu.TryLock() {
		return
	}
	defer c.cutOffMu.Unlock()
	domain := c.randomNode(random).domain
	prefix := []string{"", "", "plain", "engines", "workers"}[random.IntN(5)]
	state := []links.LinkState{links.LinkSilent, links.LinkReset, links.LinkClosed}[random.IntN(3)]
	c.disturbDomain(domain)
	c.links.set(domain, prefix, state)
	time.Sleep(duration + cutOffTime)
	c.links.set(domain, prefix, links.LinkOpen)
	c.disturbDomain(domain)
}

// disturbDomain records that a fault began or ended at the nodes of a failure domain.
func (c *cluster) disturbDomain(domain string) {
	for _, n := range c.nodes {
		if n.domain == domain {
			n.recordDisturbance()
		}
	}
}

// stateRefusalCap makes an endpoint state that it ends if it has to refuse more than a few requests a second, and take few at
// a time. It checks that no more are refused while no node is disturbed.
func stateRefusalCap(c *cluster, random *rand.Rand, duration time.Duration) {
	e := c.randomEndpoint(random)
	if !e.refusalCapMu.TryLock() {
		return
	}
	defer e.refusalCapMu.Unlock()
	refusals := statedRefusals
	begun := time.Now()
	e.SetRefusalCap(&refusals, statedRoom)
	time.Sleep(duration + refusalCapTime)
	e.SetRefusalCap(nil, 0)
	ended := time.Now()
	for _, at := range e.NoRoom() {
		if at.Before(begun.Add(refusalCapNotice)) || c.anyDisturbedBetween(begun.Add(-refusalCapNotice), ended) {
			continue
		}
		if count := countWithin(e.NoRoom(), at, time.Second); count > statedRefusals {
			c.reportViolation("%s had to refuse %d requests in a second, and stated %d", e.Name, count, statedRefusals)
			return
		}
	}
}

// anyDisturbedBetween reports whether a node was disturbed in a period.
func (c *cluster) anyDisturbedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(c.nodes, func(n *node) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return slices.ContainsFunc(n.disturbances, func(at time.Time) bool { return at.After(from) && at.Before(to) })
	})
}

// countWithin counts the times from one on that lie within a duration.
func countWithin(times []time.Time, from time.Time, duration time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Sub(from) < duration {
			count++
		}
	}
	return count
}

// stallEndpoints stalls an endpoint, or all of a pool, for a second: neither open nor new connections are answered.
func stallEndpoints(c *cluster, random *rand.Rand, _ time.Duration) {
	e := c.randomEndpoint(random)
	suffix := "/" + e.proxy.address()
	prefix := ""
	if random.IntN(3) == 0 {
		prefix, suffix = e.pool+"/", ""
	}
	if !c.cutOffMu.TryLock() {
		return
	}
	defer c.cutOffMu.Unlock()
	c.links.setMatching(prefix, suffix, links.LinkSilent)
	time.Sleep(stallTime)
	c.links.setMatching(prefix, suffix, links.LinkOpen)
}
