package soak_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

const (
	grace     = 3 * time.Second
	drain     = 2 * time.Second
	revoke    = 2500 * time.Millisecond
	startWait = 20 * time.Second
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

		mu      sync.Mutex
		version int
		keys    []string
		// revoked holds when each key was taken away.
		revoked  map[string]time.Time
		extra    int
		breaches []string
	}

	// server is an endpoint with its pool.
	server struct {
		*standin.Endpoint
		pool  string
		proxy *proxy
		// unlistedAt is when its entry was removed; zero while it is listed.
		unlistedAt time.Time
	}

	// node is the process of one host, over its restarts.
	node struct {
		c      *cluster
		name   string
		domain string
		link   *proxy

		mu      sync.Mutex
		process *exec.Cmd
		// callers is where the running process listens; empty until it has said so.
		callers string
		ended   chan struct{}
		// wanted is true while the process is meant to run.
		wanted bool
		// troubledAt is when something was last done to the process or its links.
		troubledAt time.Time
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
	s := &server{Endpoint: standin.NewEndpoint(name), pool: pool}
	var err error
	if s.proxy, err = newProxy(s.Address()); err != nil {
		return err
	}
	c.mu.Lock()
	c.endpoints[name] = s
	c.mu.Unlock()
	c.list(s, "ready")
	return nil
}

func (c *cluster) list(s *server, state string) {
	c.store.Put("servers", s.Name, map[string]any{
		"service": s.pool, "address": s.proxy.address(), "zone": "domain-0", "state": state, "slots": 8,
	})
}

// configure writes the next version of the routing.
func (c *cluster) configure() {
	c.mu.Lock()
	c.version += 2
	stages := []map[string]any{{"service": "makers", "after": []int{}, "bytes": 1000}, {"service": "makers", "after": []int{0}, "bytes": 1000}}
	routes := []map[string]any{
		c.route("post", "unsafe", "plain", 2, nil),
		c.route("get", "safe", "plain", 2, nil),
		c.route("gen", "stream", "engines", 2, map[string]any{"stages": stages}),
		c.route("res", "stream", "engines", 2, map[string]any{"resumable": true}),
	}
	for i := range c.extra {
		routes = append(routes, c.route(fmt.Sprint("extra", i), "safe", "plain", 2, nil))
	}
	pieces := map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 2.0, "item_ms": 1.0, "headroom_mb": 18.0, "handle_s": 4.0}
	routing := map[string]any{
		"version": c.version, "routes": routes,
		"services": []map[string]any{{"name": "plain"}, {"name": "engines"}, {"name": "makers", "pieces": pieces}},
		"tenants":  []map[string]any{{"name": "ann", "api_keys": c.keys}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
	}
	c.mu.Unlock()
	c.store.Put("op", "config", routing)
}

func (c *cluster) route(name, kind, pool string, attempts int, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "a.example", "prefix": "/" + name + "/", "route_type": kind, "timeout_ms": 4000,
		"slo_ms": 1000, "service": pool, "max_attempts": attempts,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

// newNode prepares a host and starts its process.
func (c *cluster) newNode(i int) error {
	n := &node{c: c, name: fmt.Sprint("node-", i), domain: fmt.Sprint("domain-", i%2)}
	var err error
	if n.link, err = newProxy(c.store.Address()); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(c.dir, n.name+".log")); err != nil {
		return err
	}
	settings := fmt.Sprintf(`
node_name = %q
ip = "127.0.0.1"
zone = %q
internal_ports = [0, 0]
[listen]
frontend = "127.0.0.1:0"
ready = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[limits]
memory_mb = 284
[bounds]
drain_ms = %d
grace_s = %v
fail_closed = true
revoke_ms = %d
budget_ratio = 0.5
budget_window_s = 10
budget_slack = 1000
[platform]
address = %q
`, n.name, n.domain, drain.Milliseconds(), grace.Seconds(), revoke.Milliseconds(), n.link.address())
	if err := os.WriteFile(n.settingsPath(), []byte(settings), 0o600); err != nil {
		return err
	}
	c.nodes = append(c.nodes, n)
	return n.start()
}

func (n *node) settingsPath() string { return filepath.Join(n.c.dir, n.name+".toml") }

// start starts the process and reads where it listens from its log.
func (n *node) start() error {
	process := exec.Command(n.c.binary, "edge")
	process.Env = append(os.Environ(), "BASILSTALL_BOOT="+n.settingsPath())
	process.Stderr = n.log
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
	n.troubledAt = time.Now()
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
	n.troubledAt = time.Now()
}

// signal sends a signal to the running process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.troubledAt = time.Now()
	if n.process != nil {
		_ = n.process.Process.Signal(s)
	}
}

// stop ends the process by a signal and waits for its end; after a while it is killed.
func (n *node) stop(s syscall.Signal) {
	n.mu.Lock()
	n.wanted = false
	process, ended := n.process, n.ended
	n.troubledAt = time.Now()
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
		_ = n.log.Close()
	}
	for _, s := range c.endpoints {
		s.proxy.close()
		s.Close()
	}
	c.store.Close()
}
