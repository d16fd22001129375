package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The ports of all nodes; each node has a loopback address of its own.
	frontendPort = 8625
	readyPort    = 8621
	peersPort    = 7740
	// nodesPerPrefix is how many nodes have addresses with the same first three numbers.
	nodesPerPrefix = 250
)

type (
	// record writes what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		out   *os.File
		start time.Time
	}

	// world is the deployment of one case.
	world struct {
		rec     *record
		store   *store
		runners []*runner
		nodes   []*node
		// root is the root of the repository, dir a temporary folder.
		root, dir string
		// prefix is the beginning of the nodes' addresses. No other run has it while prefixLock is open.
		prefix     string
		prefixLock net.Listener
		trouble    bool
		program    string
		lastID     int
	}

	// node is a node and its process.
	node struct {
		world          *world
		name, ip, zone string
		settings       string
		memoryMB       int
		// failOpen is true if fail_closed is false in the settings.
		failOpen bool
		mu       sync.Mutex
		cmd      *exec.Cmd
		exited   chan struct{}
	}

	// answer is what a requester got. Status is 0 if there was no answer.
	answer struct {
		id     string
		status int
		body   string
		stamp  string
		err    error
		sentAt time.Time
	}
)

func (r *record) line(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %-8s %s\n", time.Since(r.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

// newWorld starts the store. The caller must call close.
func newWorld(folder, root string) (*world, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{rec: &record{out: out, start: time.Now()}, root: root, program: filepath.Join(root, "target", "basilstall"), trouble: os.Getenv("TROUBLE") != "0"}
	if w.dir, err = os.MkdirTemp("", "case"); err != nil {
		return nil, err
	}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	if w.prefix, w.prefixLock, err = lockPrefix(); err != nil {
		return nil, err
	}
	w.rec.line("case", "disruption: %t", w.trouble)
	return w, nil
}

// lockPrefix returns a prefix of loopback addresses that no other run uses, as long as the listener is open, and of which the first one has
// the nodes' port free.
func lockPrefix() (string, net.Listener, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.", 16+rand.IntN(200))
		lock, err := net.Listen("tcp", prefix+"255.1:"+strconv.Itoa(frontendPort))
		if err != nil {
			continue
		}
		listener, err := net.Listen("tcp", prefix+"0.1:"+strconv.Itoa(frontendPort))
		if err == nil {
			_ = listener.Close()
			return prefix, lock, nil
		}
		_ = lock.Close()
	}
	return "", nil, fmt.Errorf("no free loopback addresses")
}

// close ends all processes of the case.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	_ = w.prefixLock.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.rec.out.Close()
}

// addRunner starts a runner and registers it.
func (w *world) addRunner(service, zone string) (*runner, error) {
	r, err := newRunner(fmt.Sprintf("i-%08x", rand.Uint32()), service, zone, w.rec)
	if err != nil {
		return nil, err
	}
	w.runners = append(w.runners, r)
	w.store.put("servers", r.id, r.entry("ready", 1))
	return r, nil
}

// address returns the address of the node with a number from 0.
func (w *world) address(number int) string {
	return fmt.Sprintf("%s%d.%d", w.prefix, number/nodesPerPrefix, number%nodesPerPrefix+1)
}

// addNode adds a node with a new address, without its process.
func (w *world) addNode(zone string) *node {
	n := &node{world: w, zone: zone, ip: w.address(len(w.nodes)), memoryMB: 284}
	n.name = fmt.Sprintf("edge-%s-%d", zone, len(w.nodes)+1)
	n.settings = filepath.Join(w.dir, n.name+".toml")
	w.nodes = append(w.nodes, n)
	return n
}

func (n *node) toml() string {
	return fmt.Sprintf(settingsFormat, n.name, n.ip, n.zone, peersPort, peersPort+15, n.ip, frontendPort, n.ip, readyPort, n.ip, n.memoryMB, !n.failOpen, n.world.store.address)
}

// start starts the process of the node, with the command of the deploy file.
func (n *node) start() error {
	if err := os.WriteFile(n.settings, []byte(n.toml()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.world.program, "edge")
	cmd.Env = []string{"BASILSTALL_BOOT=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + n.world.dir}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Dir = n.world.root
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.world.rec.line("node", "%s starts at %s", n.name, n.ip)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ready reports whether the readiness check of the platform succeeds.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func awaitReady(nodes []*node, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (w *world) newID() string {
	w.rec.mu.Lock()
	defer w.rec.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%08x%06d", rand.Uint32(), w.lastID)
}

// send sends one attempt of a requester to a node on a new channel.
func (w *world) send(n *node, method, path, key string, deadline time.Duration, header map[string]string) answer {
	id := w.newID()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, frontendPort, path), strings.NewReader("body of "+id))
	if err != nil {
		return answer{id: id, err: err}
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		q.Header.Set(name, value)
	}
	w.rec.line("sent", "%s %s %s to %s, key %q", id, method, path, n.name, key)
	out := answer{id: id, sentAt: time.Now()}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(q)
	if err != nil {
		out.err = err
		w.rec.line("answer", "%s: %v", id, err)
		return out
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	out.status, out.body, out.stamp, out.err = res.StatusCode, string(body), res.Header.Get("X-Server-Stamp"), err
	w.rec.line("answer", "%s: %d, stamp %q, %d bytes, error %v: %.60q", id, out.status, out.stamp, len(body), err, body)
	return out
}

// ran returns the runs of a request at all runners.
func (w *world) ran(id string) []run {
	var out []run
	for _, r := range w.runners {
		out = append(out, r.ran(id)...)
	}
	return out
}
