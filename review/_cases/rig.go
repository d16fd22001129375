// Command cases runs the cases of the review that are scripts. Each starts nodes of the product as separate processes
// with the command of the deploy file, plays the platform, the runners and the clients itself on loopback addresses,
// records what was sent, answered and run, and judges one rule.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"basilstall.example/basilstall/platform/standin"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

const (
	// routeHost is the virtual host of all routes, apiKey the key of the only tenant.
	routeHost  = "desk.example"
	apiKey     = "key-of-the-desk"
	tenantName = "desk"
	// nodeProgram is the program of the deploy file, and nodeCommand its argument.
	nodeProgram = "target/basilstall"
	nodeCommand = "edge"
	// startTimeout is the time within which a node must be ready after its start.
	startTimeout = 20 * time.Second
	// leadTime is how long a case waits after all nodes are ready, so that every node counts as in touch: contact_ms is
	// 3 s in the settings.
	leadTime = 4 * time.Second
)

// gracePeriod is grace_s in the settings of the nodes.
const gracePeriod = 8 * time.Second

type (
	// record writes what was sent, answered and run to record.txt.
	record struct {
		mu        sync.Mutex
		file      *os.File
		startedAt time.Time
	}

	// node is a node of the product, a process of its own.
	node struct {
		name     string
		frontend string
		ready    string
		process  *exec.Cmd
		exited   chan struct{}
	}

	// site is the platform's store and the nodes of a small deployment.
	site struct {
		record *record
		dir    string
		store  *standin.Store
		// mu guards nodes while they are started and ended.
		mu    sync.Mutex
		nodes []*node
	}
)

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

// write writes a line with the time since the start of the case.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f s  ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
}

// verdict writes the outcome to the record and to standard output.
func (r *record) verdict(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf(format+"\n", args...)
}

// newSite starts a store that holds the given manifest.
func newSite(r *record, manifest map[string]any) (*site, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir, store: standin.NewStore()}
	s.store.Put("op", "config", manifest)
	started.Lock()
	started.site = s
	started.Unlock()
	return s, nil
}

// close ends all processes of the site.
func (s *site) close() {
	s.killNodes()
	s.store.Close()
	_ = os.RemoveAll(s.dir)
}

// killNodes ends the nodes at once.
func (s *site) killNodes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

// startNodes starts a number of nodes and waits until all are ready and have counted as in touch.
func (s *site) startNodes(count int) error {
	for i := range count {
		if err := s.startNode(fmt.Sprintf("edge-hall-%d", i+1), i); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
		s.record.write("node %s is ready, pid %d", n.name, n.process.Process.Pid)
	}
	time.Sleep(leadTime)
	return nil
}

// startNode starts one node on a loopback address of its own.
func (s *site) startNode(name string, index int) error {
	ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250), 10+index)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return err
	}
	n := &node{name: name, frontend: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]), exited: make(chan struct{})}
	settings := filepath.Join(s.dir, name+".toml")
	text := fmt.Sprintf(settingsFormat, name, ip, ports[2], ports[2], n.frontend, n.ready, fmt.Sprintf("%s:%d", ip, ports[3]), s.store.Address())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return err
	}
	n.process = exec.Command(nodeProgram, nodeCommand)
	n.process.Env = append(os.Environ(), standin.SettingsVariable+"="+settings)
	n.process.Stdout, n.process.Stderr = log, log
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := n.process.Start(); err != nil {
		return err
	}
	go func() {
		_ = n.process.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	s.nodes = append(s.nodes, n)
	return nil
}

// awaitReady waits until the node answers its readiness check with 200.
func (n *node) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		res, err := client.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %s", n.name, startTimeout)
}

// freePorts returns ports of an address that nothing listens at.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// settingsFormat is a settings file as the platform writes it, with the bounds of the small deployments. The metrics
// address is set because several nodes run on one machine.
const settingsFormat = `
node_name = %q
role = "node"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = "hall"
region = "north"
internal_ports = [%d, %d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]
[zones]
hall = "north"
[listen]
frontend = %q
ready = %q
metrics = %q
[limits]
cpu_quota = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[fault_tolerance]
machines = 2
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
lost_ms = 200
config_ms = 2000
fail_closed = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
[platform]
address = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
`
