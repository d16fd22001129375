package follow

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/relay"
)

const (
	// NodesTable is the table in which each node has a row of its own.
	NodesTable = "basilstall_nodes"
	// NodesPollInterval is the time between two questions for changes among the nodes: a node that
	// leaves or does not answer is found out by asking it.
	NodesPollInterval = 1500 * time.Millisecond
)

// Nodes keeps the nodes' own rows: it writes this node's and tells the relay of the others. A lost
// node's row stays: whether a node answers is found out by asking it.
type Nodes struct {
	// Write writes a row of NodesTable without a condition.
	Write func(ctx context.Context, key string, value []byte) error

	own     relay.Node
	relay   *relay.Relay
	log     zerolog.Logger
	metrics *metric.Set
	// others holds the nodes by the keys of their rows. It belongs to whoever applies news.
	rows map[string]relay.Node
	// read is true once the table was read, if only to find that no node is in it. It belongs to the same.
	tableRead bool
}

// NewNodes returns what keeps a node's own row.
func NewNodes(own relay.Node, write func(context.Context, string, []byte) error, r *relay.Relay, metrics *metric.Set, log zerolog.Logger) *Nodes {
	return &Nodes{Write: write, own: own, relay: r, log: log, metrics: metrics, rows: map[string]relay.Node{}}
}

// Table returns the nodes' table, to be followed.
func (n *Nodes) Table() Table {
	return Table{Name: NodesTable, PollInterval: NodesPollInterval, Apply: n.apply}
}

func (n *Nodes) apply(_ time.Time, news []kernel.Row) {
	if len(news) == 0 && n.tableRead {
		return
	}
	n.tableRead = true
	var announced []string
	for _, r := range news {
		if r.Removed {
			delete(n.rows, r.Key)
			continue
		}
		var node relay.Node
		if err := json.Unmarshal([]byte(r.Value), &node); err != nil {
			n.log.Error().Str("Node", r.Key).Err(err).Msg("entry of a node not understood")
			continue
		}
		n.rows[r.Key] = node
		if !node.Leaving {
			announced = append(announced, node.Name)
		}
	}
	nodes := make([]relay.Node, 0, len(n.rows))
	for _, node := range n.rows {
		nodes = append(nodes, node)
	}
	n.relay.SetNodes(nodes, announced)
}

// Announce writes the node's own row at its start, and once more when it leaves.
func (n *Nodes) Announce(ctx context.Context, leaving <-chan struct{}) {
	n.writeWithRetry(ctx, n.own)
	select {
	case <-leaving:
		gone := n.own
		gone.Leaving = true
		n.writeWithRetry(ctx, gone)
	case <-ctx.Done():
	}
}

func (n *Nodes) writeWithRetry(ctx context.Context, node relay.Node) {
	pause := minRetryPause
	for ctx.Err() == nil {
		err := n.write(ctx, node)
		if err == nil {
			return
		}
		n.metrics.CountEvent("AnnounceFailed")
		clock.Sleep(ctx, jittered(pause))
		pause = min(2*pause, maxInitialRetryPause)
	}
}

func (n *Nodes) write(ctx context.Context, node relay.Node) error {
	value, err := json.Marshal(node)
	if err != nil {
		return errors.Wrap(err, "follow: unable to encode a node")
	}
	return n.Write(ctx, node.Address, value)
}
