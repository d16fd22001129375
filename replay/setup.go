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
	setupTimeout      = 20 * time.Second
	setupPollInterval = 20 * time.Millisecond
	readinessInterval = 100 * time.Millisecond
)

// Setup is a sample's stand-in with nodes in this process, and the balancer's view of them.
type Setup struct {
	Standin  *standin.Standin
	Settings kernel.Settings
	Team     string

	// domain is the first failure domain.
	firstDomain    string
	nodes          []*node.Node
	tokens         map[string]string
	cancel         context.CancelFunc
	mu             sync.Mutex
	readyAddresses []string
	requestCount   int
}

// NewSetup starts a sample with nodes and waits until they own keys together.
func NewSetup(ctx context.Context, head Header, plain bool, log zerolog.Logger) (*Setup, error) {
	s := &Setup{tokens: map[string]string{}}
	var c standin.Config
	var domains []string
	switch head.Sample {
	case "Bilbao":
		c, domains, s.Team = sample.Bilbao(), sample.BilbaoDomains, "bilbao"
		s.Settings, _ = kernel.NewSettings().WithSnapshot(sample.BilbaoSnapshot())
	case "Moravia":
		c, domains, s.Team = sample.Moravia(), sample.MoraviaDomains, "moravia"
		s.Settings, _ = kernel.NewSettings().WithSnapshot(sample.MoraviaSnapshot())
	default:
		return nil, errors.Errorf("replay: unknown sample %q", head.Sample)
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
	for i := range max(1, head.Nodes) {
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
	balance, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	go s.trackReadiness(balance)
	return s, s.awaitReady(ctx)
}

// Pipeline returns a pipeline of the sample.
func (s *Setup) Pipeline(name string) (model.Pipeline, bool) {
	return s.Settings.Pipeline(s.Team, name)
}

// KillNode ends a node at once, in the order of their start.
func (s *Setup) KillNode(i int) {
	s.nodes[i].Close()
}

// FailFirstDomain ends what stands in the first failure domain: its endpoints and its node.
func (s *Setup) FailFirstDomain() {
	for _, e := range s.Standin.Endpoints() {
		if e.FailureDomain == s.firstDomain {
			s.Standin.InjectFault(standin.Fault{Target: e.Pool + "/" + e.Name, Kind: standin.FaultDown})
		}
	}
	s.KillNode(0)
}

// Close ends nodes and stand-in.
func (s *Setup) Close() {
	if s.cancel != nil {
		s.cancel()
	}
	for _, n := range s.nodes {
		n.Close()
	}
	s.Standin.Close()
}

// address returns a node for the next request, as the balancer picks it.
func (s *Setup) nextAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.readyAddresses) == 0 {
		return s.nodes[0].CallersAddress()
	}
	s.requestCount++
	return s.readyAddresses[s.requestCount%len(s.readyAddresses)]
}

// balance follows the nodes' readiness as the platform's balancer does.
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
		time.Sleep(readinessInterval)
	}
}

func (s *Setup) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for ctx.Err() == nil {
		settled := 0
		for _, n := range s.nodes {
			status := n.Status()
			if status.Ready && len(status.EraMembers) == len(s.nodes) && status.EraFrom.Before(time.Now()) {
				settled++
			}
		}
		if settled == len(s.nodes) {
			return nil
		}
		time.Sleep(setupPollInterval)
	}
	return errors.New("replay: the nodes did not settle")
}
