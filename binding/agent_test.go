package binding_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/binding"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/peer"
)

const testPool = "p"

var errLost = errors.New("no answer")

// network is a set of agents that reach each other and a store without sockets.
type network struct {
	t      *testing.T
	mu     sync.Mutex
	agents map[string]*binding.Agent
	peers  []kernel.Peer
	// lost are the nodes that do not answer. Those that are asleep do not answer either, but the others take them for reachable. alone
	// is the node that reaches no other; empty for none. storeLost is true while the store does not answer.
	lost      map[string]bool
	asleep    map[string]bool
	alone     string
	storeLost bool
	versions  map[string]kernel.VersionChange
	records   map[string][]peer.StreamBinding
	// reads counts the reads of the versions.
	reads int
}

func newNetwork(t *testing.T, nodes int, versions ...string) *network {
	n := &network{t: t, agents: map[string]*binding.Agent{}, lost: map[string]bool{}, asleep: map[string]bool{}, versions: map[string]kernel.VersionChange{}, records: map[string][]peer.StreamBinding{}}
	for i, v := range versions {
		row := kernel.VersionRow{Pool: testPool, Version: v}
		key := kernel.VersionKey(row.Binding())
		n.versions[key] = kernel.VersionChange{Key: key, Row: row, RowVersion: uint64(i + 1)}
	}
	for i := range nodes {
		n.peers = append(n.peers, kernel.Peer{Name: fmt.Sprint("node-", i), Domain: fmt.Sprint("domain-", i), Capacity: 1})
	}
	for _, p := range n.peers {
		n.start(p.Name)
	}
	return n
}

// start starts an agent in place of an earlier one, which it knows nothing of.
func (n *network) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	n.t.Cleanup(cancel)
	agent := binding.NewAgent(ctx, name, binding.Dependencies{
		Peers:          func() []kernel.Peer { return n.reachableBy(name) },
		AllNodesRecord: func() bool { return true },
		Call:           n.call,
		ReadVersions:   n.readVersions,
		WriteVersion:   func(context.Context, kernel.VersionWrite) error { return nil },
		WriteRecords:   n.writeRecords,
		ReadRecords:    n.readRecords,
	}, time.Now, metric.NewSet(), zerolog.Nop())
	rows, _ := n.readVersions(ctx)
	agent.ApplyVersions(time.Now(), rows)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.agents[name] = agent
}

func (n *network) reachableBy(name string) []kernel.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.peers), func(p kernel.Peer) bool { return n.lost[p.Name] || n.alone == name && p.Name != name })
}

func (n *network) call(ctx context.Context, node string, kind peer.Kind, message, reply any) error {
	n.mu.Lock()
	agent, lost := n.agents[node], n.lost[node] || n.asleep[node]
	n.mu.Unlock()
	if lost || agent == nil {
		return errLost
	}
	body, err := peer.EncodeBody(message)
	if err != nil {
		return err
	}
	answer, err := agent.Handlers()[kind](ctx, body)
	if err != nil {
		return err
	}
	encoded, err := peer.EncodeBody(answer)
	if err != nil {
		return err
	}
	return peer.DecodeBody(encoded, reply)
}

func (n *network) readVersions(context.Context) ([]kernel.VersionChange, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reads++
	if n.storeLost {
		return nil, errLost
	}
	return slices.Collect(maps.Values(n.versions)), nil
}

func (n *network) writeRecords(_ context.Context, key string, records []peer.StreamBinding, remove []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeLost {
		return errLost
	}
	if len(records) > 0 {
		n.records[key] = records
	}
	for _, old := range remove {
		delete(n.records, old)
	}
	return nil
}

func (n *network) readRecords(_ context.Context, prefix string) (map[string][]peer.StreamBinding, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeLost {
		return nil, errLost
	}
	records := maps.Clone(n.records)
	maps.DeleteFunc(records, func(key string, _ []peer.StreamBinding) bool { return !strings.HasPrefix(key, prefix) })
	return records, nil
}

func (n *network) stored() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, records := range n.records {
		count += len(records)
	}
	return count
}

// set changes the network.
func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *network) await(condition string, ok func() bool) {
	n.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		must.True(n.t, time.Now().Before(end), must.Sprint(condition))
	}
}

func streamRecord(key, version string, left time.Duration) kernel.BindingRecord {
	now := time.Now()
	return kernel.BindingRecord{Key: kernel.StreamKey(key), Binding: kernel.Binding{Pool: testPool, Version: version}, RecordedAt: now, ExpiresAt: now.Add(left)}
}

// without returns a node that is none of some.
func (n *network) without(names []string) string {
	i := slices.IndexFunc(n.peers, func(p kernel.Peer) bool { return !slices.Contains(names, p.Name) })
	return n.peers[i].Name
}

func (n *network) find(node, key string) kernel.Finding {
	return n.agents[node].Find(context.Background(), binding.Query{Key: kernel.StreamKey(key), Pool: testPool, MayInfer: true})
}

// storedOf reports whether a record is stored that binds a stream to a version.
func (n *network) storedOf(key, version string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, records := range n.records {
		if slices.ContainsFunc(records, func(r peer.StreamBinding) bool { return string(r.Key) == key && r.Binding.Version == version }) {
			return true
		}
	}
	return false
}

// awaitStored waits until a record is stored that binds a stream to a version, or until nobody can be expected to store it.
func (n *network) awaitStored(key, version string) {
	for end := time.Now().Add(3 * time.Second); !n.storedOf(key, version) && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
}

// findAlone has a node that reaches no other find what a stream is bound to.
func (n *network) findAlone(node, key string) kernel.Finding {
	n.set(func() { n.alone = node })
	n.agents[node].ForgetRegistrars()
	defer n.set(func() { n.alone = "" })
	return n.find(node, key)
}

// Each node finds what another one has recorded, also once that one and both registrars are lost.
func TestRecordSurvivesNodes(t *testing.T) {
	n := newNetwork(t, 5, "v1", "v2")
	n.agents["node-0"].Record(streamRecord("k", "v2", time.Minute), false)
	n.await("the record is stored", func() bool { return n.stored() > 0 })
	for _, node := range []string{"node-0", "node-1", "node-2", "node-3", "node-4"} {
		must.EqOp(t, "v2", n.find(node, "k").Binding.Version)
	}
	for _, p := range n.peers {
		n.start(p.Name)
	}
	found := n.find("node-3", "k")
	must.EqOp(t, kernel.BindingRecorded, found.Source)
	must.EqOp(t, "v2", found.Binding.Version)
	must.True(t, found.Stored)
	must.EqOp(t, kernel.BindingNotRecorded, n.find("node-3", "unknown").Source)
}

// The registrar that is to store a record is lost before it does: the other one stores it.
func TestRecordOfLostRegistrarIsStored(t *testing.T) {
	n := newNetwork(t, 5, "v1", "v2")
	storer := kernel.NewRegistrars(n.peers).All()[0]
	n.set(func() { n.storeLost = true })
	n.agents[n.without([]string{storer})].Record(streamRecord("k", "v1", time.Minute), false)
	n.await("both registrars have the record", func() bool {
		all := kernel.NewRegistrars(n.peers).All()
		return n.agents[all[0]].Len() == 1 && n.agents[all[1]].Len() == 1
	})
	n.set(func() { n.lost[storer] = true; n.agents[storer] = nil })
	n.set(func() { n.storeLost = false })
	n.await("the record is stored", func() bool { return n.stored() > 0 })
}

// Rows go with their records.
func TestExpiredRowsAreRemoved(t *testing.T) {
	n := newNetwork(t, 1, "v1", "v2")
	n.agents["node-0"].Record(streamRecord("k", "v1", 300*time.Millisecond), false)
	n.await("the record is stored", func() bool { return n.stored() == 1 })
	n.await("the record has expired", func() bool { return n.agents["node-0"].Len() == 0 })
	n.agents["node-0"].Record(streamRecord("l", "v1", time.Minute), false)
	n.await("only the other row is left", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.records) == 1
	})
}

// With one version nothing is sent or stored until a second one appears. Guards against streams of a moment ago that nobody knows
// as soon as a release begins.
func TestRecordsAreSentOnceAnotherVersionAppears(t *testing.T) {
	n := newNetwork(t, 3, "v1")
	registrars := kernel.NewRegistrars(n.peers).All()
	sender, asker := n.without(registrars), registrars[0]
	n.agents[sender].Record(streamRecord("k", "v1", time.Minute), true)
	must.EqOp(t, kernel.BindingOnlyVersion, n.find(asker, "k").Source)
	must.EqOp(t, 0, n.stored())
	second := kernel.VersionRow{Pool: testPool, Version: "v2"}
	change := kernel.VersionChange{Key: kernel.VersionKey(second.Binding()), Row: second, RowVersion: 9}
	n.set(func() { n.versions[change.Key] = change })
	n.agents[sender].ApplyVersions(time.Now(), []kernel.VersionChange{change})
	n.await("the record is stored", func() bool { return n.stored() == 1 })
	found := n.find(asker, "k")
	must.EqOp(t, kernel.BindingRecorded, found.Source)
	must.EqOp(t, "v1", found.Binding.Version)
}

// Nothing is concluded from what was read before the caller came back, while the store does not answer, or where an engine of another
// version is listed.
func TestOnlyVersionIsReadAnew(t *testing.T) {
	n := newNetwork(t, 1, "v1")
	reads := n.reads
	must.EqOp(t, kernel.BindingOnlyVersion, n.find("node-0", "k").Source)
	must.EqOp(t, kernel.BindingOnlyVersion, n.find("node-0", "k").Source)
	must.EqOp(t, reads+2, n.reads)
	n.agents["node-0"].SetListed(time.Now(), []kernel.Binding{{Pool: testPool, Version: "v1"}, {Pool: testPool, Version: "v2"}})
	must.EqOp(t, kernel.BindingNotRecorded, n.find("node-0", "k").Source)
	n.set(func() { n.storeLost = true })
	must.EqOp(t, kernel.BindingUnanswered, n.find("node-0", "k").Source)
}

// overtakenRecord records a stream that is sent to an engine of each version, the first event being of the second one. The registrar
// asleep misses the later record.
func (n *network) overtakenRecord(node, asleep string) {
	first, second := streamRecord("k", "v1", time.Minute), streamRecord("k", "v2", time.Minute)
	second.Order = 1500
	n.agents[node].Record(first, false)
	n.await("the first record is stored", func() bool { return n.stored() > 0 && n.agents[asleep].Len() == 1 })
	n.set(func() { n.asleep[asleep] = true })
	n.agents[node].Record(second, false)
	n.awaitStored("k", "v2")
	n.set(func() { n.asleep[asleep] = false })
}

// A registrar was asleep as a stream was recorded anew, and the node that began the stream is lost. Guards against a stream that goes on by
// the record that the registrar still has, at whichever node its caller comes back.
func TestRecordOfRegistrarThatWasAsleepIsNotGoneBy(t *testing.T) {
	for _, nodes := range []int{3, 5} {
		for i := range 2 {
			n := newNetwork(t, nodes, "v1", "v2")
			registrars := kernel.NewRegistrars(n.peers).All()
			asleep, first := registrars[i], n.without(registrars)
			n.overtakenRecord(first, asleep)
			n.set(func() { n.lost[first] = true })
			for _, p := range n.peers {
				if p.Name != first {
					must.EqOp(t, "v2", n.find(p.Name, "k").Binding.Version, must.Sprint("at ", p.Name, ", asleep was ", asleep))
				}
			}
		}
	}
}

// The node to which the caller comes back reaches the store and no other node. Guards against a stream that goes on by a record that the
// node had read in the store before it was overtaken.
func TestNodeCutOffFromOthersReadsOvertakenRecordsAnew(t *testing.T) {
	n := newNetwork(t, 3, "v1", "v2")
	registrars := kernel.NewRegistrars(n.peers).All()
	first := n.without(registrars)
	for i, cut := range registrars {
		key := fmt.Sprint("k", i)
		one, two := streamRecord(key, "v1", time.Minute), streamRecord(key, "v2", time.Minute)
		two.Order = 1500
		n.agents[first].Record(one, false)
		n.await("the first record is stored", func() bool { return n.storedOf(key, "v1") })
		n.set(func() { n.asleep[cut] = true })
		n.start(cut)
		must.EqOp(t, "v1", n.findAlone(cut, key).Binding.Version)
		n.agents[first].Record(two, false)
		n.awaitStored(key, "v2")
		must.EqOp(t, "v2", n.findAlone(cut, key).Binding.Version)
		n.set(func() { n.asleep[cut] = false })
	}
}

// An engine refuses a stream before any other node has its record. Guards against a first event that waits for the store although nobody
// can know of the earlier record.
func TestRecordThatNobodyHasIsReplaced(t *testing.T) {
	n := newNetwork(t, 3, "v1", "v2")
	registrars := kernel.NewRegistrars(n.peers).All()
	first := n.without(registrars)
	key := ""
	n.await("a record is replaced before it is sent", func() bool {
		key += "k"
		one, two := streamRecord(key, "v1", time.Minute), streamRecord(key, "v2", time.Minute)
		two.Order = 5
		must.False(t, n.agents[first].Record(one, false).Overtakes)
		receipt := n.agents[first].Replace(two)
		<-receipt.Done
		return !receipt.Overtakes
	})
	n.await("the record is stored", func() bool { return n.storedOf(key, "v2") })
	must.False(t, n.storedOf(key, "v1"))
	// From now on others have it.
	three := streamRecord(key, "v1", time.Minute)
	three.Order = 9
	overtaking := n.agents[first].Replace(three)
	must.True(t, overtaking.Overtakes)
	<-overtaking.Done
	must.NoError(t, overtaking.Err())
	must.True(t, n.storedOf(key, "v1"))
}
