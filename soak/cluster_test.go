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
	grace     = 3 * time.Second
	drain     = 2 * time.Second
	revoke    = 2500 * time.Millisecond
	startWait = 20 * time.Second
	// replacedAfter is how long after the end of an endpoint's process another one takes its place, lapsesAfter how
	// long its entry stays.
	replacedAfter = 500 * time.Millisecond
	lapsesAfter   = 2 * time.Second
	// domains is how many failure domains the nodes lie in.
	domains = 2
)

type (
	// cluster is nodes in processes of their own, and the store and endpoints that they use, each
	// behind a proxy.
	cluster struct {
		dir       string
		binary    string
		store     *standin.Store
		endpoints map[string]*server
		nodes     []*node

		// supervised counts the endpoints that are about to be replaced.
		supervised sync.WaitGroup
		// writing is held while a version of the routing is written.
		writing sync.Mutex
		// away is held while the store is taken away as a whole.
		away sync.Mutex
		// emptying is held while a failure domain is evacuated.
		emptying sync.Mutex

		callers *callers

		mu      sync.Mutex
		version int
		// subjects are those of the requests that end endpoints.
		subjects []string
		keys     []string
		// revoked holds when each key was taken away.
		revoked map[string]time.Time
		// evacuated holds when each failure domain was evacuated.
		evacuated map[string][]period
		extra     int
		// added is how many routes of the newest version have not always stood.
		added    int
		breaches []string
	}

	// period is a time from one moment to another, which is zero while it lasts.
	period struct {
		from, to time.Time
	}

	// server is an endpoint with its pool.
	server struct {
		*standin.Endpoint
		pool  string
		proxy *proxy
		// domain is its failure domain; the usual one where it is empty.
		domain string
		// cold is until when it says that it is cold, and since when.
		cold period
		// caps are the rate caps that it stated; capping is held while it states one.
		caps    []stated
		capping sync.Mutex
		// unlistedAt is when its entry was removed, or its process ended; zero before.
		unlistedAt time.Time
	}

	// node is the process of one host, over its restarts.
	node struct {
		c      *cluster
		name   string
		domain string
		// link is the way to the store, peers the way of other nodes to this one.
		link  *proxy
		peers *proxy

		mu      sync.Mutex
		process *exec.Cmd
		// callers is where the running process listens; empty until it has said so.
		callers string
		ended   chan struct{}
		// wanted is true while the process is meant to run.
		wanted bool
		// troubledAt is when something was last done to the process or its links.
		troubledAt time.Time
		troubles   []time.Time
		log        *os.File
	}
)

// breach notes a broken promise.
func (c *cluster) breach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, fmt.Sprintf(format, args...))
}

// newServer starts an endpoint and lists it.
func (c *cluster) newServer(name, pool string) error {
	return c.newServerIn("", name, pool)
}

func (c *cluster) newServerIn(domain, name, pool string) error {
	s := &server{Endpoint: standin.NewEndpoint(name), pool: pool, domain: domain}
	var err error
	if s.proxy, err = newProxy(s.Address()); err != nil {
		return err
	}
	s.SetPoison(poison, func() { c.ended(s) })
	c.mu.Lock()
	c.endpoints[name] = s
	c.mu.Unlock()
	c.list(s, false)
	return nil
}

// ended has an endpoint replaced whose process was ended by a request: another one starts after a while, and the
// entry lapses.
func (c *cluster) ended(s *server) {
	s.proxy.close()
	c.mu.Lock()
	s.unlistedAt = time.Now()
	c.extra++
	name := fmt.Sprintf("%s-%d", s.pool, c.extra+100)
	c.mu.Unlock()
	c.supervised.Go(func() {
		time.Sleep(replacedAfter)
		if err := c.newServer(name, s.pool); err != nil {
			c.breach("an endpoint can't be started: %v", err)
		}
		time.Sleep(lapsesAfter - replacedAfter)
		c.store.RemoveEndpoint(s.Name)
	})
}

func (c *cluster) list(s *server, draining bool) {
	c.store.PutEndpoint(standin.Entry{Name: s.Name, Pool: s.pool, Address: s.proxy.address(), Domain: s.domain, Draining: draining, Cold: time.Until(s.cold.to), Started: s.Started()})
}

// configure writes the next version of the routing. Versions are written in their order, as the platform has it: else
// the store could end up with an older one, and nodes that read it after an outage would know no newer.
func (c *cluster) configure() {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	c.version += 2
	routing := standin.Routing{Version: c.version, APIKeys: slices.Clone(c.keys), Routes: []standin.Route{
		{Name: "post", Kind: "unsafe", Pool: "plain", MaxAttempts: 2},
		{Name: "get", Kind: "safe", Pool: "plain", MaxAttempts: 2},
		{Name: "gen", Kind: "stream", Pool: "engines", MaxAttempts: 2, Stages: 2},
		{Name: "res", Kind: "stream", Pool: "engines", MaxAttempts: 2, Resumable: true},
	}}
	c.added = c.extra
	for i := range c.added {
		routing.Routes = append(routing.Routes, standin.Route{Name: fmt.Sprint(addedPrefix, i), Kind: "safe", Pool: "plain", MaxAttempts: 2})
	}
	c.mu.Unlock()
	c.store.PutRouting(routing)
}

// newNode prepares a host and starts its process.
func (c *cluster) newNode(i int) error {
	n := &node{c: c, name: fmt.Sprint("node-", i), domain: fmt.Sprint("domain-", i%domains)}
	var err error
	if n.link, err = newNarrowProxy(c.store.Address()); err != nil {
		return err
	}
	if n.peers, err = newNarrowProxy(""); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(c.dir, n.name+".log")); err != nil {
		return err
	}
	settings := standin.NodeSettings{Name: n.name, Domain: n.domain, StoreAddress: n.link.address(), MaxDrainDelay: drain, GracePeriod: grace, RevocationTime: revoke}
	if err := os.WriteFile(n.settingsPath(), []byte(settings.TOML()), 0o600); err != nil {
		return err
	}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	return n.start()
}

// announced puts a node's proxy in the place of the address that its process announces.
func (c *cluster) announced(value string) string {
	var row relay.Node
	if json.Unmarshal([]byte(value), &row) != nil || row.Name == "" {
		return value
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.name == row.Name {
			n.peers.setTarget(row.Address)
			row.Address = n.peers.address()
		}
	}
	changed, err := json.Marshal(row)
	if err != nil {
		return value
	}
	return string(changed)
}

func (n *node) settingsPath() string { return filepath.Join(n.c.dir, n.name+".toml") }

// start starts the process and reads where it listens from its log.
func (n *node) start() error {
	process := exec.Command(n.c.binary, "edge")
	process.Env = append(os.Environ(), standin.SettingsVariable+"="+n.settingsPath())
	process.Stderr = n.log
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
	n.process, n.ended, n.wanted, n.callers = process, ended, true, ""
	n.noteTrouble()
	n.mu.Unlock()
	go func() {
		defer close(ended)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			n.read(lines.Bytes())
		}
		err := process.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.wanted && n.process == process {
			n.c.breach("%s ended by itself: %v", n.name, err)
		}
	}()
	return nil
}

func (n *node) read(line []byte) {
	_, _ = n.log.Write(append(bytes.Clone(line), '\n'))
	if !bytes.Contains(line, []byte("node started")) {
		return
	}
	var started struct{ Callers string }
	if json.Unmarshal(line, &started) == nil {
		n.mu.Lock()
		n.callers = started.Callers
		n.mu.Unlock()
	}
}

func (n *node) address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callers
}

func (n *node) trouble() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noteTrouble()
}

// noteTrouble notes that something was done to the process or its links. The node's lock is held.
func (n *node) noteTrouble() {
	n.troubledAt = time.Now()
	n.troubles = append(n.troubles, n.troubledAt)
}

// signal sends a signal to the running process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noteTrouble()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// stop ends the process by a signal and waits for its end; after a while it is killed.
func (n *node) stop(s syscall.Signal) {
	n.mu.Lock()
	n.wanted = false
	process, ended := n.process, n.ended
	n.noteTrouble()
	n.mu.Unlock()
	_ = process.Process.Signal(s)
	select {
	case <-ended:
	case <-time.After(grace):
		_ = process.Process.Kill()
		<-ended
	}
	n.mu.Lock()
	n.callers = ""
	n.mu.Unlock()
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
		n.stop(syscall.SIGKILL)
		n.link.close()
		n.peers.close()
		_ = n.log.Close()
	}
	for _, s := range c.endpoints {
		s.proxy.close()
		s.Close()
	}
	c.store.Close()
}
