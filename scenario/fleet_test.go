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
	fleetKey = "fleet"
	// maxWait ends a wait for a condition that never comes; no verdict rests on it.
	maxWait      = 2 * time.Minute
	pollInterval = 20 * time.Millisecond
	// balanceInterval is how often the balancer's part asks the nodes for their readiness.
	balanceInterval = 50 * time.Millisecond

	operatorsToken = "scenario-operators"
	peersToken     = "scenario-peers"
)

type (
	// process is one process that a script started.
	process struct {
		name      string
		cmd       *exec.Cmd
		logPath   string
		done      chan struct{}
		exitCode  int
		addresses []string
	}

	// probe is what came of the question whether a node is ready; silent where no answer came.
	probe struct {
		address string
		ready   bool
		silent  bool
	}

	// fleet is what a script has started.
	fleet struct {
		dir             string
		env             []string
		mu              sync.Mutex
		platformAddress string
		processes       map[string]*process
		loads           map[string]*load
		client          *http.Client
		// prober asks for readiness; ready is what it learned.
		probeClient    *http.Client
		readyAddresses []string
		closed         bool
		// runs remembers how often endpoints had run, for the command quiet.
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

// start runs the binary under test and waits until it wrote its addresses.
func (f *fleet) start(name string, args ...string) (*process, error) {
	addresses := filepath.Join(f.dir, name+".addresses")
	_ = os.Remove(addresses)
	logFile, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	path, err := exec.LookPath("basilstall")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(path, append(args, "--addresses-file", addresses)...)
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
		data, err := os.ReadFile(addresses)
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
		err = fmt.Errorf("%s exited: %s", name, data)
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

// nodes returns the nodes that run, by name.
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

// callers returns the addresses for callers of the nodes that the balancer holds ready.
func (f *fleet) callers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.readyAddresses)
}

// balance follows the nodes' readiness as the platform's balancer does.
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

// inRotation returns the addresses that callers are sent to after one round of probes. Where no node says that it is ready,
// those stay that are silent: the platform, too, sends callers somewhere, and a machine that is too busy to answer a probe
// in time says nothing of its nodes.
func inRotation(before []string, probes []probe) []string {
	var ready, silent []string
	for _, p := range probes {
		switch {
		case p.ready:
			ready = append(ready, p.address)
		case p.silent && slices.Contains(before, p.address):
			silent = append(silent, p.address)
		}
	}
	if len(ready) == 0 {
		return silent
	}
	return ready
}

// ask asks a node whether it is ready.
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

func (f *fleet) operatorGet(p *process, path string, into any) error {
	c := &operator.Client{BaseURL: "http://" + p.addresses[1], Token: operatorsToken, HTTP: f.client}
	return c.Get(context.Background(), path, into)
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

func (f *fleet) platformGet(path string, into any) error {
	res, err := f.client.Get("http://" + f.platformAddress + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
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

// waitFor polls until a condition holds.
func waitFor(condition func() bool) error {
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("the condition did not come within %s", maxWait)
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}
