package soak_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"basilstall.example/basilstall/platform/standin"
	"basilstall.example/basilstall/relay"
)

const (
	gracePeriod      = 3 * time.Second
	drainPeriod      = 2 * time.Second
	revocationPeriod = 2500 * time.Millisecond
	startTimeout     = 20 * time.Second
	// replacementDelay is how long after the end of an endpoint's process another one takes its place, lapseDelay how
	// long its entry stays.
	replacementDelay = 500 * time.Millisecond
	lapseDelay       = 2 * time.Second
	// domains is how many failure domains the nodes lie in.
	failureDomainCount = 2
)

type (
	// cluster is nodes in processes of their own, and the store and endpoints that they use, each
	// behind a proxy.
	cluster struct {
		dir       string
		binary    string
		store     *standin.Store
		endpoints map[string]*endpoint
		nodes     []*node

		// supervised counts the endpoints that are about to be replaced.
		replacements sync.WaitGroup
		// writing is held while a version of the routing is written.
		routingMu sync.Mutex
		// away is held while the store is taken away as a whole.
		outageMu sync.Mutex
		// emptying is held while a failure domain is evacuated.
		evacuationMu sync.Mutex

		callers *callers

		mu             sync.Mutex
		routingVersion int
		// subjects are those of the requests that end endpoints.
		poisonSubjects []string
		apiKeys        []string
		// revoked holds when each key was taken away.
		revokedAPIKeys map[string]time.Time
		// evacuated holds when each failure domain was evacuated.
		evacuations map[string][]period
		sequence    int
		// added is how many routes of the newest version have not always stood.
		addedRoutes int
		violations  []string
	}

	// period is a time from one moment to another, which is zero while it lasts.
	period struct {
		from, to time.Time
	}

	// server is an endpoint with its pool.
	endpoint struct {
		*standin.Endpoint
		pool  string
		proxy *proxy
		// domain is its failure domain; the usual one where it is empty.
		domain string
		// cold is until when it says that it is cold, and since when.
		coldPeriod period
		// caps are the rate caps that it stated; capping is held while it states one.
		rateCaps  []statedRateCap
		rateCapMu sync.Mutex
		// unlistedAt is when its entry was removed, or its process ended; zero before.
		unlistedAt time.Time
	}

	// node is the process of one host, over its restarts.
	node struct {
		cluster *cluster
		name    string
		domain  string
		// link is the way to the store, peers the way of other nodes to this one.
		storeProxy *proxy
		peerProxy  *proxy

		mu      sync.Mutex
		process *exec.Cmd
		// callers is where the running process listens; empty until it has said so.
		callerAddress string
		exited        chan struct{}
		// wanted is true while the process is meant to run.
		shouldRun bool
		// disturbedAt is when something was last done to the process or its links.
		disturbedAt  time.Time
		disturbances []time.Time
		logFile      *os.File
	}
)

// breach notes a broken promise.
func (c *cluster) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// startEndpoint starts an endpoint and lists it.
func (c *cluster) startEndpoint(name, pool string) error {
	return c.startEndpointIn("", name, pool)
}

func (c *cluster) startEndpointIn(domain, name, pool string) error {
	s := &endpoint{Endpoint: standin.NewEndpoint(name), pool: pool, domain: domain}
	var err error
	if s.proxy, err = newProxy(s.Address()); err != nil {
		return err
	}
	s.SetPoison(poisonMarker, func() { c.replaceCrashed(s) })
	c.mu.Lock()
	c.endpoints[name] = s
	c.mu.Unlock()
	c.writeEntry(s, false)
	return nil
}

// ended has an endpoint replaced whose process was ended by a request: another one starts after a while, and the
// entry lapses.
func (c *cluster) replaceCrashed(s *endpoint) {
	s.proxy.close()
	c.mu.Lock()
	s.unlistedAt = time.Now()
	c.sequence++
	name := fmt.Sprintf("%s-%d", s.pool, c.sequence+100)
	c.mu.Unlock()
	c.replacements.Go(func() {
		time.Sleep(replacementDelay)
		if err := c.startEndpoint(name, s.pool); err != nil {
			c.reportViolation("an endpoint can't be started: %v", err)
		}
		time.Sleep(lapseDelay - replacementDelay)
		c.store.RemoveEndpoint(s.Name)
	})
}

func (c *cluster) writeEntry(s *endpoint, draining bool) {
	c.store.PutEndpoint(standin.Entry{Name: s.Name, Pool: s.pool, Address: s.proxy.address(), Domain: s.domain, Draining: draining, Cold: time.Until(s.coldPeriod.to), Started: s.Started()})
}

// configure writes the next version of the routing. Versions are written in their order, as the platform has it: else
// the store could end up with an older one, and nodes that read it after an outage would know no newer.
func (c *cluster) writeRouting() {
	c.routingMu.Lock()
	defer c.routingMu.Unlock()
	c.mu.Lock()
	c.routingVersion += 2
	routing := standin.Routing{Version: c.routingVersion, APIKeys: slices.Clone(c.apiKeys), Routes: []standin.Route{
		{Name: "post", Kind: "unsafe", Pool: "plain", MaxAttempts: 2},
		{Name: "get", Kind: "safe", Pool: "plain", MaxAttempts: 2},
		{Name: "gen", Kind: "stream", Pool: "engines", MaxAttempts: 2, Stages: 2},
		{Name: "res", Kind: "stream", Pool: "engines", MaxAttempts: 2, Resumable: true},
	}}
	c.addedRoutes = c.sequence
	for i := range c.addedRoutes {
		routing.Routes = append(routing.Routes, standin.Route{Name: fmt.Sprint(addedRoutePrefix, i), Kind: "safe", Pool: "plain", MaxAttempts: 2})
	}
	c.mu.Unlock()
	c.store.PutRouting(routing)
}

// startNode prepares a host and starts its process.
func (c *cluster) startNode(i int) error {
	n := &node{cluster: c, name: fmt.Sprint("node-", i), domain: fmt.Sprint("domain-", i%failureDomainCount)}
	var err error
	if n.storeProxy, err = newNarrowProxy(c.store.Address()); err != nil {
		return err
	}
	if n.peerProxy, err = newNarrowProxy(""); err != nil {
		return err
	}
	if n.logFile, err = os.Create(filepath.Join(c.dir, n.name+".log")); err != nil {
		return err
	}
	settings := standin.NodeSettings{Name: n.name, Domain: n.domain, StoreAddress: n.storeProxy.address(), MaxDrainDelay: drainPeriod, GracePeriod: gracePeriod, RevocationTime: revocationPeriod}
	if err := os.WriteFile(n.settingsPath(), []byte(settings.TOML()), 0o600); err != nil {
		return err
	}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	return n.start()
}

// announced puts a node's proxy in the place of the address that its process announces.
func (c *cluster) replaceNodeAddress(value string) string {
	var row relay.Node
	if json.Unmarshal([]byte(value), &row) != nil || row.Name == "" {
		return value
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.name == row.Name {
			n.peerProxy.setTarget(row.Address)
			row.Address = n.peerProxy.address()
		}
	}
	changed, err := json.Marshal(row)
	if err != nil {
		return value
	}
	return string(changed)
}

func (n *node) settingsPath() string { return filepath.Join(n.cluster.dir, n.name+".toml") }

// start starts the process and reads where it listens from its log.
func (n *node) start() error {
	process := exec.Command(n.cluster.binary, "edge")
	process.Env = append(os.Environ(), standin.SettingsVariable+"="+n.settingsPath())
	process.Stderr = n.logFile
	// A node that outlives a soak that was killed asks its store's port for good, which another soak's endpoint may
	// have by then: that endpoint was run, and no caller sent it.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited, n.shouldRun, n.callerAddress = process, ended, true, ""
	n.recordDisturbanceLocked()
	n.mu.Unlock()
	go func() {
		defer close(ended)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			n.handleLogLine(lines.Bytes())
		}
		err := process.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.shouldRun && n.process == process {
			n.cluster.reportViolation("%s ended by itself: %v", n.name, err)
		}
	}()
	return nil
}

func (n *node) handleLogLine(line []byte) {
	_, _ = n.logFile.Write(append(bytes.Clone(line), '\n'))
	if !bytes.Contains(line, []byte("node started")) {
		return
	}
	var started struct{ Callers string }
	if json.Unmarshal(line, &started) == nil {
		n.mu.Lock()
		n.callerAddress = started.Callers
		n.mu.Unlock()
	}
}

func (n *node) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callerAddress
}

func (n *node) recordDisturbance() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordDisturbanceLocked()
}

// recordDisturbanceLocked notes that something was done to the process or its links. The node's lock is held.
func (n *node) recordDisturbanceLocked() {
	n.disturbedAt = time.Now()
	n.disturbances = append(n.disturbances, n.disturbedAt)
}

// signal sends a signal to the running process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordDisturbanceLocked()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// stop ends the process by a signal and waits for its end; after a while it is killed.
func (n *node) stop(s syscall.Signal) {
	n.mu.Lock()
	n.shouldRun = false
	process, ended := n.process, n.exited
	n.recordDisturbanceLocked()
	n.mu.Unlock()
	_ = process.Process.Signal(s)
	select {
	case <-ended:
	case <-time.After(gracePeriod):
		_ = process.Process.Kill()
		<-ended
	}
	n.mu.Lock()
	n.callerAddress = ""
	n.mu.Unlock()
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
		n.stop(syscall.SIGKILL)
		n.storeProxy.close()
		n.peerProxy.close()
		_ = n.logFile.Close()
	}
	for _, s := range c.endpoints {
		s.proxy.close()
		s.Close()
	}
	c.store.Close()
}
