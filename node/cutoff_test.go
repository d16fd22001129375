package node_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/config"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/node"
	"basilstall.example/basilstall/sample"
	"basilstall.example/basilstall/standin"
)

// linkedPlatform is the platform as one node sees it, which reaches each endpoint over a link of its own.
type linkedPlatform struct {
	server *httptest.Server
	mu     sync.Mutex
	// state is that of all links; links holds them by the endpoint's address.
	state standin.LinkState
	links map[string]*standin.CutLink
}

func newLinkedPlatform(t *testing.T, address string) *linkedPlatform {
	t.Helper()
	p := &linkedPlatform{links: map[string]*standin.CutLink{}}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.ModifyResponse = p.rewrite
	p.server = httptest.NewServer(proxy)
	t.Cleanup(func() {
		p.server.CloseClientConnections()
		p.server.Close()
		p.setState(standin.LinkReset)
	})
	return p
}

// rewrite replaces the addresses of endpoints in the list by those of links.
func (p *linkedPlatform) rewrite(res *http.Response) error {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	var list map[string]json.RawMessage
	var endpoints []model.Endpoint
	if json.Unmarshal(body, &list) == nil && json.Unmarshal(list["Endpoints"], &endpoints) == nil && len(endpoints) > 0 {
		for i, e := range endpoints {
			endpoints[i].Address = p.link(e.Address).Address()
		}
		if list["Endpoints"], err = json.Marshal(endpoints); err != nil {
			return err
		}
		if body, err = json.Marshal(list); err != nil {
			return err
		}
	}
	res.Body = io.NopCloser(bytes.NewReader(body))
	res.ContentLength = int64(len(body))
	res.Header.Set("Content-Length", strconv.Itoa(len(body)))
	return nil
}

func (p *linkedPlatform) link(target string) *standin.CutLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[target] == nil {
		p.links[target] = standin.NewCutLink(target)
		p.links[target].SetState(p.state)
	}
	return p.links[target]
}

// setState sets the state of all links.
func (p *linkedPlatform) setState(state standin.LinkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	for _, link := range p.links {
		link.SetState(state)
	}
}

// startLinked starts a node that sees the platform over links of its own, and adds it to the fleet.
func (f *fleet) startLinked(platform *linkedPlatform) *node.Node {
	f.t.Helper()
	options := config.NewOptions()
	options.Name = "cut-off"
	options.FailureDomain = sample.BilbaoDomains[0]
	options.Platform = strings.TrimPrefix(platform.server.URL, "http://")
	options.PeersToken = "token"
	options.OperatorsToken = "token"
	n, err := node.NewNode(*options, zerolog.Nop())
	must.NoError(f.t, err)
	f.nodes = append(f.nodes, n)
	f.awaitReady()
	return n
}

// countRefused sends requests to a node one after the other and returns how many were refused.
func (f *fleet) countRefused(n *node.Node, pipeline string, count int) int {
	refused := 0
	for range count {
		if f.send(n, pipeline, "usual") != "" {
			refused++
		}
	}
	return refused
}

// A node that reaches no endpoint has its requests' stages run by members that do: idempotent and non-idempotent ones and
// streams. Guards against a node of the project's own interface that knows only its own path.
func TestCutOffNodeRunsStagesThroughMembers(t *testing.T) {
	for name, state := range map[string]standin.LinkState{"silent": standin.LinkSilent, "reset": standin.LinkReset} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2)
			platform := newLinkedPlatform(t, f.platform.Address())
			cutOff := f.startLinked(platform)
			pipelines := []string{"renewal", "route-note", "collection-ticket"}
			for _, pipeline := range pipelines {
				f.await("the node serves before the cut", func() bool { return f.send(cutOff, pipeline, "usual") == "" })
			}
			platform.setState(state)
			for _, pipeline := range pipelines {
				f.await(pipeline+" is served during the cut", func() bool { return f.send(cutOff, pipeline, "usual") == "" })
				must.LessEq(t, 6, f.countRefused(cutOff, pipeline, 20), must.Sprint("refused on ", pipeline))
			}
			must.Positive(t, f.nodes[0].EventCount("RelayedStages")+f.nodes[1].EventCount("RelayedStages"))
			platform.setState(standin.LinkOpen)
			f.await("the node reaches all pools again", func() bool {
				for _, pipeline := range pipelines {
					f.send(cutOff, pipeline, "usual")
				}
				return cutOff.EventCount("PathBack") >= cutOff.EventCount("PathLost")
			})
		})
	}
}
