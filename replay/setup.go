package replay

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"basilstall.example/basilstall/config"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/node"
	"basilstall.example/basilstall/sample"
	"basilstall.example/basilstall/standin"
)

const (
	setupTimeout          = 20 * time.Second
	setupPollInterval     = 20 * time.Millisecond
	readinessPollInterval = 100 * time.Millisecond
)

// Setup runs a sample's stand-in and nodes in this process, and simulates the platform's load balancer in front of the
// nodes.
type Setup struct {
	Standin  *standin.Standin
	Settings kernel.Settings
	// Team is the name of the sample's only team.
	Team string

	// firstDomain is the sample's first failure domain.
	firstDomain string
	nodes       []*node.Node
	// tokens maps the customers' names to their tokens.
	tokens map[string]string
	cancel context.CancelFunc
	// mu guards readyAddresses and requestCount.
	mu             sync.Mutex
	readyAddresses []string
	requestCount   int
}

// NewSetup starts a sample with nodes and waits until all are ready and own keys: they are members of an era (see
// kernel.Era) that has begun. plain selects the baseline policies.
func NewSetup(ctx context.Context, header Header, plain bool, log zerolog.Logger) (*Setup, error) {
	s := &Setup{tokens: map[string]string{}}
	var c standin.Config
	var domains []string
	switch header.Sample {
	case "Bilbao":
		c, domains, s.Team = sample.Bilbao(), sample.BilbaoDomains, "bilbao"
		s.Settings, _ = kernel.NewSettings().WithSnapshot(sample.BilbaoSnapshot())
	case "Moravia":
		c, domains, s.Team = sample.Moravia(), sample.MoraviaDomains, "moravia"
		s.Settings, _ = kernel.NewSettings().WithSnapshot(sample.MoraviaSnapshot())
	default:
		return nil, errors.Errorf("replay: unknown sample %q", header.Sample)
	}
	s.firstDomain = domains[0]
	for _, team := range s.Settings.Teams() {
		for _, customer := range team.Customers {
			s.tokens[customer.Name] = customer.Token
		}
	}
	var err error
	if s.Standin, err = standin.NewStandin(c); err != nil {
		return nil, err
	}
	for i := range max(1, header.Nodes) {
		options := config.NewOptions()
		options.Name = fmt.Sprintf("entry-%d", i+1)
		options.FailureDomain = domains[i%len(domains)]
		options.Platform = s.Standin.Address()
		options.OperatorsToken = "replay-operator"
		options.PeersToken = "replay-peers"
		options.Plain = plain
		n, err := node.NewNode(*options, log)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.nodes = append(s.nodes, n)
	}
	balancerCtx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	go s.trackReadiness(balancerCtx)
	return s, s.awaitReady(ctx)
}

// Pipeline returns a pipeline of the sample.
func (s *Setup) Pipeline(name string) (model.Pipeline, bool) {
	return s.Settings.Pipeline(s.Team, name)
}

// KillNode closes the node with index i, in the order of their start, without draining it.
func (s *Setup) KillNode(i int) {
	s.nodes[i].Close()
}

// FailFirstDomain fails all endpoints of the first failure domain and kills the first node, which belongs to it.
func (s *Setup) FailFirstDomain() {
	for _, e := range s.Standin.Endpoints() {
		if e.FailureDomain == s.firstDomain {
			s.Standin.InjectFault(standin.Fault{Target: e.Pool + "/" + e.Name, Kind: standin.FaultDown})
		}
	}
	s.KillNode(0)
}

// Close stops the nodes and the stand-in.
func (s *Setup) Close() {
	if s.cancel != nil {
		s.cancel()
	}
	for _, n := range s.nodes {
		n.Close()
	}
	s.Standin.Close()
}

// nextAddress returns the callers' address of the node for the next request: round robin over the ready nodes, or the
// first node if none is ready.
func (s *Setup) nextAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.readyAddresses) == 0 {
		return s.nodes[0].CallersAddress()
	}
	s.requestCount++
	return s.readyAddresses[s.requestCount%len(s.readyAddresses)]
}

// trackReadiness polls the nodes' readiness until ctx ends, as the platform's load balancer does.
func (s *Setup) trackReadiness(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		var ready []string
		for _, n := range s.nodes {
			res, err := client.Get("http://" + n.CallersAddress() + "/readyz")
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready = append(ready, n.CallersAddress())
			}
		}
		s.mu.Lock()
		s.readyAddresses = ready
		s.mu.Unlock()
		time.Sleep(readinessPollInterval)
	}
}

// awaitReady waits until all nodes are ready and members of the same era, and that era has begun.
func (s *Setup) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for ctx.Err() == nil {
		readyCount := 0
		for _, n := range s.nodes {
			status := n.Status()
			if status.Ready && len(status.EraMembers) == len(s.nodes) && status.EraFrom.Before(time.Now()) {
				readyCount++
			}
		}
		if readyCount == len(s.nodes) {
			return nil
		}
		time.Sleep(setupPollInterval)
	}
	return errors.New("replay: not all nodes became ready and joined the era in time")
}
