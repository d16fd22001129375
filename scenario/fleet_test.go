package scenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"basilstall.example/basilstall/dispatch"
	"basilstall.example/basilstall/operator"
	"basilstall.example/basilstall/standin"
)

const (
	// fleetKey is the key of the fleet among the values of a script.
	fleetKey = "fleet"
	// maxWait limits the wait for a condition that is never met. No check depends on its value.
	maxWait      = 2 * time.Minute
	pollInterval = 20 * time.Millisecond
	// balanceInterval is how often the simulated balancer probes the readiness of nodes.
	balanceInterval = 50 * time.Millisecond

	operatorsToken = "scenario-operators"
	peersToken     = "scenario-peers"
)

type (
	// process is a process that a script started. done is closed when it exits; exitCode is valid from then on.
	process struct {
		name     string
		cmd      *exec.Cmd
		logPath  string
		done     chan struct{}
		exitCode int
		// addresses are those on which it listens: for a node, those for callers, operators and peers.
		addresses []string
	}

	// probe is the result of a readiness probe of a node. silent is true if there was no response.
	probe struct {
		address string
		ready   bool
		silent  bool
	}

	// fleet holds the processes and loads that a script has started.
	fleet struct {
		// dir holds the logs and address files of the processes. env is their environment.
		dir string
		env []string
		// mu protects processes, the addresses of each, readyAddresses and closed.
		mu              sync.Mutex
		platformAddress string
		processes       map[string]*process
		loads           map[string]*load
		client          *http.Client
		// probeClient sends readiness probes. readyAddresses are the addresses to which the balancer sends callers.
		probeClient    *http.Client
		readyAddresses []string
		closed         bool
		// markedRuns holds how many runs each endpoint had at the last command mark, for the command quiet.
		markedRuns map[string]int
	}
)

func newFleet(dir string, env []string) *fleet {
	f := &fleet{
		dir: dir, env: env, processes: map[string]*process{}, loads: map[string]*load{},
		client:      &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		probeClient: &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}},
		markedRuns:  map[string]int{},
	}
	go f.balance()
	return f
}

func fleetOf(ts *testscript.TestScript) *fleet {
	return ts.Value(fleetKey).(*fleet)
}

// start starts the binary under test and waits until it has written its addresses.
func (f *fleet) start(name string, args ...string) (*process, error) {
	addressesFile := filepath.Join(f.dir, name+".addresses")
	_ = os.Remove(addressesFile)
	logFile, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	path, err := exec.LookPath("basilstall")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(path, append(args, "--addresses-file", addressesFile)...)
	cmd.Env = f.env
	cmd.Stderr = logFile
	cmd.Stdout = logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, logPath: logFile.Name(), done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		p.exitCode = cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	f.mu.Lock()
	f.processes[name] = p
	f.mu.Unlock()
	err = waitFor(func() bool {
		data, err := os.ReadFile(addressesFile)
		if err != nil {
			return p.exited()
		}
		f.mu.Lock()
		p.addresses = strings.Fields(string(data))
		f.mu.Unlock()
		return true
	})
	if err == nil && len(p.addresses) == 0 {
		data, _ := os.ReadFile(p.logPath)
		err = fmt.Errorf("%s exited before it wrote its addresses: %s", name, data)
	}
	return p, err
}

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// close kills all processes and stops the balancer.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, p := range f.processes {
		if !p.exited() {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// nodes returns the running nodes, sorted by name.
func (f *fleet) nodes() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*process
	for name, p := range f.processes {
		if name != "standin" && len(p.addresses) > 0 && !p.exited() {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *process) int { return strings.Compare(a.name, b.name) })
	return out
}

// callers returns the caller addresses of the nodes that the balancer keeps in rotation.
func (f *fleet) callers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.readyAddresses)
}

// balance tracks the readiness of nodes as the platform's load balancer does.
func (f *fleet) balance() {
	for {
		var probes []probe
		for _, p := range f.nodes() {
			probes = append(probes, f.probe(p))
		}
		f.mu.Lock()
		f.readyAddresses = inRotation(f.readyAddresses, probes)
		closed := f.closed
		f.mu.Unlock()
		if closed {
			return
		}
		time.Sleep(balanceInterval)
	}
}

// inRotation returns the addresses to which callers are sent after one round of probes. If no node reports that it is
// ready, silent nodes that were in rotation stay in it. The platform also keeps sending callers to some node in this
// case, and a probe that a busy machine does not answer in time says nothing about the node.
func inRotation(previous []string, probes []probe) []string {
	var ready, silent []string
	for _, p := range probes {
		switch {
		case p.ready:
			ready = append(ready, p.address)
		case p.silent && slices.Contains(previous, p.address):
			silent = append(silent, p.address)
		}
	}
	if len(ready) == 0 {
		return silent
	}
	return ready
}

// probe probes the readiness of a node.
func (f *fleet) probe(p *process) probe {
	res, err := f.probeClient.Get("http://" + p.addresses[0] + "/readyz")
	if err != nil {
		return probe{address: p.addresses[0], silent: true}
	}
	defer res.Body.Close()
	return probe{address: p.addresses[0], ready: res.StatusCode == http.StatusOK}
}

func (f *fleet) status(p *process) (operator.Status, error) {
	var s operator.Status
	return s, f.operatorGet(p, "/v1/status", &s)
}

func (f *fleet) endpoints(p *process) ([]dispatch.EndpointStatus, error) {
	var e []dispatch.EndpointStatus
	return e, f.operatorGet(p, "/v1/endpoints", &e)
}

// operatorGet requests a path of a node's interface for operators.
func (f *fleet) operatorGet(p *process, path string, result any) error {
	c := &operator.Client{BaseURL: "http://" + p.addresses[1], Token: operatorsToken, HTTP: f.client}
	return c.Get(context.Background(), path, result)
}

func (f *fleet) metrics(p *process) string {
	req, _ := http.NewRequest(http.MethodGet, "http://"+p.addresses[1]+"/metrics", nil)
	req.Header.Set("Authorization", "Bearer "+operatorsToken)
	res, err := f.client.Do(req)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	return string(data)
}

func (f *fleet) journal() (standin.JournalSummary, error) {
	var s standin.JournalSummary
	return s, f.platformGet("/journal/summary", &s)
}

// platformGet requests a path of the stand-in.
func (f *fleet) platformGet(path string, result any) error {
	res, err := f.client.Get("http://" + f.platformAddress + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(result)
}

func (f *fleet) setFault(fault standin.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	res, err := f.client.Post("http://"+f.platformAddress+"/faults", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// waitFor polls until a condition holds. It fails after maxWait.
func waitFor(condition func() bool) error {
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("condition not met within %s", maxWait)
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}
