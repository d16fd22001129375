package node_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/node"
	"basilstall.example/basilstall/operator"
	"basilstall.example/basilstall/sample"
	"basilstall.example/basilstall/table"
)

// setFleetSettings changes the fleet's document through the first node, and waits until all nodes have it in force.
func (f *fleet) setFleetSettings(base uint64, yaml string) uint64 {
	f.t.Helper()
	client := &operator.Client{BaseURL: "http://" + f.nodes[0].OperatorsAddress(), Token: "token", HTTP: &http.Client{Timeout: awaitTimeout}}
	change := operator.Change{Base: base, Operation: uuid.NewString(), Author: "test", YAML: yaml}
	result, err := client.SetDocument(f.t.Context(), "fleet", change)
	must.NoError(f.t, err)
	must.EqOp(f.t, table.Applied, result.Outcome, must.Sprint(result.Detail))
	for _, n := range f.nodes {
		f.await("the settings are in force", func() bool { return n.Status().Revision >= result.Revision })
	}
	return result.Revision
}

// runsInDomain returns how many stage calls ran at the endpoints of a failure domain.
func (f *fleet) runsInDomain(domain string) int {
	in := map[string]bool{}
	for _, e := range f.platform.Endpoints() {
		in[e.Name] = e.FailureDomain == domain
	}
	n := 0
	for _, run := range f.platform.Journal.Runs() {
		if in[run.Endpoint] {
			n++
		}
	}
	return n
}

func evacuatedDomains(n *node.Node) string {
	var domains []string
	for _, e := range n.Status().Evacuated {
		if !e.Since.IsZero() {
			domains = append(domains, e.FailureDomain)
		}
	}
	return strings.Join(domains, " ")
}

// The fleet's document names failure domains whose endpoints get nothing, of whatever kind of stage, until they are
// taken off it.
func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	f := newFleet(t, 2)
	domain := sample.BilbaoDomains[1]
	pipelines := []string{"renewal", "route-note", "collection-ticket"}
	sendAll := func() {
		for _, n := range f.nodes {
			for _, pipeline := range pipelines {
				must.EqOp(t, "", f.send(n, pipeline, "usual"))
			}
		}
	}
	f.await("the domain serves", func() bool { sendAll(); return f.runsInDomain(domain) > 0 })
	revision := f.setFleetSettings(1, "Evacuated: ["+domain+"]\n")
	before := f.runsInDomain(domain)
	for range 10 {
		sendAll()
	}
	must.EqOp(t, before, f.runsInDomain(domain))
	for _, n := range f.nodes {
		must.EqOp(t, domain, evacuatedDomains(n))
	}
	f.nodes = append(f.nodes, f.startNode("late"))
	f.await("the new node serves", func() bool { ready, _ := f.nodes[2].Ready(); return ready })
	sendAll()
	must.EqOp(t, before, f.runsInDomain(domain))

	f.setFleetSettings(revision, "Evacuated: []\n")
	f.await("the domain serves again", func() bool { sendAll(); return f.runsInDomain(domain) > before })
	must.EqOp(t, "", evacuatedDomains(f.nodes[0]))
}

// With all of its domains evacuated, a request is refused at once, as not run.
func TestRequestIsRefusedWhenAllDomainsAreEvacuated(t *testing.T) {
	f := newFleet(t, 1)
	f.setFleetSettings(1, "Evacuated: ["+strings.Join(sample.BilbaoDomains[:], ", ")+"]\n")
	before := len(f.platform.Journal.Runs())
	began := time.Now()
	for _, pipeline := range []string{"renewal", "route-note", "collection-ticket"} {
		must.NotEq(t, "", string(f.send(f.nodes[0], pipeline, "usual")))
	}
	t.Log("refused in ", time.Since(began))
	must.EqOp(t, before, len(f.platform.Journal.Runs()))
}
