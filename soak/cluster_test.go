package soak_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"basilstall.example/basilstall/platform/standin"
	"basilstall.example/basilstall/relay"
)

const (
	// linksVariable is the environment variable of testnode with the URL at which it asks for the addresses of links.
	linksVariable = "SOAK_LINKS"
	// gracePeriod, drainPeriod and revocationPeriod are settings of the nodes: how long a terminated node has until it is
	// killed, how long an endpoint that is leaving may still receive requests, and how long a revoked API
	// key may still be accepted.
	gracePeriod      = 3 * time.Second
	drainPeriod      = 2 * time.Second
	revocationPeriod = 2500 * time.Millisecond
	// startTimeout is the time within which all nodes must serve after their start.
	startTimeout = 20 * time.Second
	// replacementDelay is the time from the crash of an endpoint to the start of its replacement. lapseDelay is the time
	// from the crash to the removal of its entry from the endpoint list.
	replacementDelay = 500 * time.Millisecond
	lapseDelay       = 2 * time.Second
	// failureDomainCount is the number of failure domains that the nodes are spread over.
	failureDomainCount = 2
)

type (
	// cluster holds nodes that run as separate processes, and the store and endpoints that they use, each behind a
	// proxy.
	cluster struct {
		dir       string
		binary    string
		store     *standin.Store
		endpoints map[string]*endpoint
		nodes     []*node

		// replacements tracks the goroutines that replace crashed endpoints.
		replacements sync.WaitGroup
		// routingMu serializes the writing of routing versions.
		routingMu sync.Mutex
		// outageMu is held during an outage of the whole store.
		outageMu sync.Mutex
		// links holds the links from nodes to endpoints. cutOffMu is held while some are cut.
		links      *endpointLinks
		linkServer *httptest.Server
		cutOffMu   sync.Mutex
		// evacuationMu is held while a failure domain is evacuated.
		evacuationMu sync.Mutex

		callers *callers
		// unframed is true if some endpoints send answers with neither a length nor chunks, drawn from seed, and some callers
		// speak HTTP/1.0.
		unframed bool
		seed     uint64
		// preferred is the node that gets nearly all requests; nil for none.
		preferred atomic.Pointer[node]

		// mu protects the fields below, and the fields of endpoints that change during the run.
		mu             sync.Mutex
		routingVersion int
		// poisonSubjects holds the subject of each poison request, a text that all its repeats contain.
		poisonSubjects []string
		// poisonParts are the parts of prompts that crash engines.
		poisonParts []string
		// apiKeys are the valid API keys.
		apiKeys []string
		// revokedAPIKeys maps each revoked API key to the time of its revocation.
		revokedAPIKeys map[string]time.Time
		// evacuations holds the periods for which each failure domain was evacuated.
		evacuations map[string][]period
		// sequence is a counter from which new endpoints and API keys are named. The names of endpoints contain it plus
		// 100, so that they differ from those of the first endpoints. Each routing version has as many added routes as
		// the value of sequence when it was written.
		sequence int
		// engines is the number of engines that were started.
		engines int
		// addedRoutes is the number of routes in the newest routing version that were added during the run.
		addedRoutes int
		// endedProcesses describe when and how faults ended the processes of endpoints.
		endedProcesses []string
		// violations describe the violated guarantees.
		violations []string
	}

	// period is a time interval; both ends are zero if there was none.
	period struct {
		from, to time.Time
	}

	// endpoint is an endpoint of a pool, behind a proxy.
	endpoint struct {
		*standin.Endpoint
		pool  string
		proxy *proxy
		// domain is its failure domain; empty if its entry names none.
		domain string
		// coldPeriod is the period in which it reports that it is cold.
		coldPeriod period
		// rateCaps are the rate caps that it stated. rateCapMu is held while it states one.
		rateCaps  []statedRateCap
		rateCapMu sync.Mutex
		// refusalCapMu is held while it states a refusal cap.
		refusalCapMu sync.Mutex
		// leavingSince is when it began to state in its answers that it is leaving; zero before.
		leavingSince time.Time
		// unlistedAt is the time at which its entry was removed or its process crashed; zero before.
		unlistedAt time.Time
	}

	// node is the node on one host, across restarts of its process.
	node struct {
		cluster *cluster
		name    string
		domain  string
		// storeView is the store as the node sees it.
		storeView *standin.StoreProxy
		// storeProxy carries the node's connections to the store, peerProxy those of other nodes to this one.
		storeProxy *proxy
		peerProxy  *proxy

		mu      sync.Mutex
		process *exec.Cmd
		// callerAddress is the address on which the running process listens for callers; empty until it is logged.
		callerAddress string
		// exited is closed when the process has exited.
		exited chan struct{}
		// shouldRun is true while the process is expected to run.
		shouldRun bool
		// disturbances are the times at which faults began or ended at the process or its connections. disturbedAt is
		// the last of them.
		disturbedAt  time.Time
		disturbances []time.Time
		logFile      *os.File
	}
)

// reportViolation records a violated guarantee.
func (c *cluster) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// startEndpoint starts an endpoint and writes its entry to the endpoint list.
func (c *cluster) startEndpoint(name, pool string) error {
	return c.startEndpointIn("", name, pool)
}

// startEndpointIn starts an endpoint in a failure domain and writes its entry to the endpoint list.
func (c *cluster) startEndpointIn(domain, name, pool string) error {
	p, err := newProxy("")
	if err != nil {
		return err
	}
	c.startEndpointBehind(p, domain, name, pool)
	return nil
}

// startEndpointBehind starts an endpoint behind a proxy and writes its entry to the endpoint list.
func (c *cluster) startEndpointBehind(p *proxy, domain, name, pool string) {
	e := &endpoint{Endpoint: standin.NewEndpoint(name), pool: pool, domain: domain, proxy: p}
	if pool == "engines" {
		e.SetVersion(c.nextVersion())
		e.SetPace(streamEvents, streamPause)
	}
	e.SetUnframed(c.usualFraming(e))
	p.setTarget(e.Address())
	e.SetPoison(poisonMarker, func() { c.replaceCrashed(e) })
	c.mu.Lock()
	c.endpoints[name] = e
	c.mu.Unlock()
	c.writeEntry(e, false)
}

// poolAt returns the pool of the endpoint at an address; empty if there has been none.
func (c *cluster) poolAt(address string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		if e.proxy.address() == address {
			return e.pool
		}
	}
	return ""
}

// replaceCrashed handles the crash of an endpoint that a poison request caused, as the platform does: a replacement
// starts after replacementDelay, and the entry of the crashed endpoint is removed after lapseDelay.
func (c *cluster) replaceCrashed(e *endpoint) {
	c.endAddress(e)
	c.mu.Lock()
	e.unlistedAt = time.Now()
	c.mu.Unlock()
	c.replaceEnded(e)
}

// endAddress closes all connections to an endpoint. Nothing listens at its address from then on.
func (c *cluster) endAddress(e *endpoint) {
	e.proxy.close()
	c.links.end(e.proxy.address())
}

// replaceEnded starts the replacement of an endpoint whose process has ended, and removes its entry.
func (c *cluster) replaceEnded(e *endpoint) {
	c.mu.Lock()
	c.sequence++
	name := fmt.Sprintf("%s-%d", e.pool, c.sequence+100)
	c.mu.Unlock()
	c.replacements.Go(func() {
		time.Sleep(replacementDelay)
		if err := c.startEndpoint(name, e.pool); err != nil {
			c.reportViolation("start replacement endpoint: %v", err)
		}
		time.Sleep(lapseDelay - replacementDelay)
		c.store.RemoveEndpoint(e.Name)
	})
}

// writeEntry writes the entry of an endpoint to the endpoint list.
func (c *cluster) writeEntry(e *endpoint, draining bool) {
	c.store.PutEndpoint(standin.Entry{Name: e.Name, Pool: e.pool, Address: e.proxy.address(), Domain: e.domain, Draining: draining, Version: e.Version(), Cold: time.Until(e.coldPeriod.to), Started: e.Started()})
}

// writeRouting writes the next version of the routing. It has four routes throughout: get is safe, so that its requests
// may run again after a failure; requests on post run at most once; those on gen are streams with two stages of pieces;
// those on res are streams that can be resumed on another endpoint. Versions are written in order, as on the platform.
// Otherwise the store could end up with an older version, and nodes that read it after an outage would not learn of a
// newer one.
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

// startNode creates the proxies, log and settings file of a node and starts its process.
func (c *cluster) startNode(number int) error {
	n := &node{cluster: c, name: fmt.Sprint("node-", number), domain: fmt.Sprint("domain-", number%failureDomainCount)}
	n.storeView = standin.NewStoreProxy(c.store)
	var err error
	if n.storeProxy, err = newNarrowProxy(n.storeView.Address()); err != nil {
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

// replaceNodeAddress replaces the address that a node's process announces by that of the node's proxy. Other rows are
// returned unchanged.
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

// start starts the process and reads the address on which it listens from its log.
func (n *node) start() error {
	process := exec.Command(n.cluster.binary)
	process.Env = append(os.Environ(), standin.SettingsVariable+"="+n.settingsPath(), linksVariable+"="+n.cluster.linkServer.URL)
	process.Stderr = n.logFile
	// The process must not outlive the test. A node that is left over from a killed test would keep calling the port of
	// its store. An endpoint of another test may get this port and would report runs that no caller sent.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited, n.shouldRun, n.callerAddress = process, exited, true, ""
	n.recordDisturbanceLocked()
	n.mu.Unlock()
	go func() {
		defer close(exited)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			n.handleLogLine(lines.Bytes())
		}
		err := process.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.shouldRun && n.process == process {
			n.cluster.reportViolation("%s exited unexpectedly: %v", n.name, err)
		}
	}()
	return nil
}

// handleLogLine copies a line to the log file and takes the address for callers from the line that reports the start.
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

// address returns the address for callers of the running process; empty if it is not known.
func (n *node) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callerAddress
}

// recordDisturbance records that a fault began or ended at the process or its connections.
func (n *node) recordDisturbance() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordDisturbanceLocked()
}

// recordDisturbanceLocked is recordDisturbance for callers that hold n.mu.
func (n *node) recordDisturbanceLocked() {
	n.disturbedAt = time.Now()
	n.disturbances = append(n.disturbances, n.disturbedAt)
}

// signal sends a signal to the process, if it was started.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordDisturbanceLocked()
	if n.process != nil {
		_ = n.process.Process.Signal(sig)
	}
}

// stop sends a signal to the process and waits until it has exited. It kills the process after gracePeriod.
func (n *node) stop(sig syscall.Signal) {
	n.mu.Lock()
	n.shouldRun = false
	process, exited := n.process, n.exited
	n.recordDisturbanceLocked()
	n.mu.Unlock()
	_ = process.Process.Signal(sig)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		_ = process.Process.Kill()
		<-exited
	}
	n.mu.Lock()
	n.callerAddress = ""
	n.mu.Unlock()
}

// close kills all nodes and closes the endpoints, the store and all proxies.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
		n.stop(syscall.SIGKILL)
		n.storeProxy.close()
		n.storeView.Close()
		n.peerProxy.close()
		_ = n.logFile.Close()
	}
	c.linkServer.Close()
	c.links.close()
	for _, e := range c.endpoints {
		e.proxy.close()
		e.Close()
	}
	c.store.Close()
}
