package soak_test

import (
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	links "basilstall.example/basilstall/standin"
)

const (
	// cutOffTime is how long nodes are cut off from endpoints besides the duration of a fault: long enough for requests to
	// go through other nodes.
	cutOffTime = 4 * time.Second
	// refusalCapTime is how long an endpoint states a refusal cap besides the duration of a fault.
	refusalCapTime = 5 * time.Second
)

// endpointLinks holds the links over which the nodes of each failure domain reach endpoints. Nodes of a domain read the list
// of endpoints from each other, so they share links.
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

// rewrite replaces the address in an entry of the list of endpoints by that of the domain's link.
func (l *endpointLinks) rewrite(domain, value string) string {
	var entry map[string]any
	if json.Unmarshal([]byte(value), &entry) != nil {
		return value
	}
	address, hasAddress := entry["address"].(string)
	pool, hasPool := entry["service"].(string)
	// Invalid entries stay as they are.
	if !hasAddress || !hasPool || !strings.HasPrefix(address, "127.0.0.1:") || strings.HasSuffix(address, ":1") || strings.HasSuffix(address, ":0") || strings.HasSuffix(address, ":http") {
		return value
	}
	entry["address"] = l.link(domain, pool, address).Address()
	out, err := json.Marshal(entry)
	if err != nil {
		return value
	}
	return string(out)
}

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

// stateRefusalCap makes an endpoint state that it ends if it has to refuse more than three requests a second, and take two
// at a time.
func stateRefusalCap(c *cluster, random *rand.Rand, duration time.Duration) {
	e := c.randomEndpoint(random)
	refusals := 3
	e.SetRefusalCap(&refusals, 2)
	time.Sleep(duration + refusalCapTime)
	e.SetRefusalCap(nil, 0)
}
