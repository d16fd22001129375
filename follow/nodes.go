package follow

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/exactjson"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/relay"
)

const (
	// NodesTable is the table in which each node has a row.
	NodesTable = "basilstall_nodes"
	// nodesMaxWait is how long the store may delay its answer to a request for changes of NodesTable, and
	// nodesPollInterval the time from that to the next request. Nodes that are leaving or do not answer are detected by
	// calls to them.
	nodesMaxWait      = 2 * time.Second
	nodesPollInterval = time.Second
	// unreachedCheckInterval is how often a node looks whether its row names the pools that it does not reach, and
	// unreachedStability how often in a row they have to be the same before it writes them: a belief of a moment is not
	// worth a write that all nodes read.
	unreachedCheckInterval = 500 * time.Millisecond
	unreachedStability     = 2
	// maxMembershipTime is how long a starting node waits to learn which nodes there are before it writes its row by
	// itself, and maxAnnounceTime how long it waits for the row that it has passed on to appear in the table.
	maxMembershipTime = time.Second
	maxAnnounceTime   = 3 * time.Second
)

// Nodes writes this node's row of NodesTable and passes the rows of all nodes to the relay. The row of a failed node
// stays, since calls show whether a node answers.
type Nodes struct {
	// Write writes a row of NodesTable unconditionally.
	Write func(ctx context.Context, key string, value []byte) error
	// Follows reports whether this node gets the tables from another one, which can write its row with those of others.
	Follows func() bool

	// key is that of this node's row. It does not change.
	key     string
	outbox  *Outbox
	own     relay.Node
	relay   *relay.Relay
	log     zerolog.Logger
	metrics *metric.Set
	// rows holds the nodes by the keys of their rows. Only apply uses it.
	rows map[string]relay.Node
	// tableRead is true once the table has been read, even if it was empty. Only apply uses it.
	tableRead bool
	// known is closed once the table has been read, listed once this node's row is written again after that.
	known, listed chan struct{}
	listedOnce    sync.Once
}

// NewNodes returns a Nodes that writes the row of the node own with write.
func NewNodes(own relay.Node, write func(context.Context, string, []byte) error, r *relay.Relay, metrics *metric.Set, log zerolog.Logger) *Nodes {
	return &Nodes{
		Write: write, Follows: func() bool { return false },
		key: own.Address, outbox: NewOutbox(), own: own, relay: r, log: log, metrics: metrics, rows: map[string]relay.Node{},
		known: make(chan struct{}), listed: make(chan struct{}),
	}
}

// Outbox returns the rows of nodes that are to be written into the store or passed on.
func (n *Nodes) Outbox() *Outbox {
	return n.outbox
}

// Table returns NodesTable as a table to follow.
func (n *Nodes) Table() Table {
	return Table{Name: NodesTable, MaxWait: nodesMaxWait, PollInterval: nodesPollInterval, IgnoreAge: true, Membership: true, Apply: n.apply}
}

func (n *Nodes) apply(_ kernel.TableProof, changes []kernel.Row) {
	if len(changes) == 0 && n.tableRead {
		return
	}
	first := !n.tableRead
	n.tableRead = true
	var announced []string
	for _, row := range changes {
		if row.Key == n.key && !first {
			n.listedOnce.Do(func() { close(n.listed) })
		}
		if row.Removed {
			delete(n.rows, row.Key)
			continue
		}
		var node relay.Node
		if err := exactjson.Unmarshal([]byte(row.Value), &node); err != nil {
			n.log.Error().Str("Node", row.Key).Err(err).Msg("invalid row of a node")
			continue
		}
		n.rows[row.Key] = node
		if !node.Leaving {
			announced = append(announced, node.Name)
		}
	}
	nodes := make([]relay.Node, 0, len(n.rows))
	for _, node := range n.rows {
		nodes = append(nodes, node)
	}
	n.relay.SetNodes(nodes, announced)
	if first {
		close(n.known)
	}
}

// Announce writes this node's row, again whenever the pools change that it does not reach, and once more, marked as leaving,
// when the channel is closed. It retries failed writes and returns after the last one, or when ctx ends.
func (n *Nodes) Announce(ctx context.Context, leaving <-chan struct{}) {
	n.announceStart(ctx)
	ticker := time.NewTicker(unreachedCheckInterval)
	defer ticker.Stop()
	stable := 0
	var before []string
	for {
		select {
		case <-ticker.C:
			unreached := n.relay.UnreachedPools()
			stable++
			if !slices.Equal(unreached, before) {
				stable = 0
			}
			before = unreached
			if stable >= unreachedStability && !slices.Equal(unreached, n.own.Unreached) {
				n.announceUnreached(ctx, unreached)
			}
		case <-leaving:
			leavingNode := n.own
			leavingNode.Leaving = true
			n.writeWithRetry(ctx, leavingNode)
			return
		case <-ctx.Done():
			return
		}
	}
}

// announceStart has the row of this node written by the node that it follows, together with those of others: after a
// simultaneous start the store could not take a write of each node at once. A node that follows none writes by itself,
// and so does one whose row does not appear.
func (n *Nodes) announceStart(ctx context.Context) {
	await(ctx, n.known, maxMembershipTime)
	value, err := json.Marshal(n.own)
	if err == nil && n.Follows() {
		n.outbox.Add(map[string][]byte{n.own.Address: value})
		if await(ctx, n.listed, maxAnnounceTime) {
			return
		}
		n.metrics.CountEvent("AnnouncedByItself")
	}
	n.writeWithRetry(ctx, n.own)
}

// await waits for a channel to be closed and reports whether it was before the timeout and the end of ctx.
func await(ctx context.Context, done <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// announceUnreached writes the pools that this node does not reach. A write that fails is tried again at the next check.
func (n *Nodes) announceUnreached(ctx context.Context, unreached []string) {
	node := n.own
	node.Unreached = unreached
	if err := n.write(ctx, node); err != nil {
		n.metrics.CountEvent("AnnounceFailed")
		return
	}
	n.own = node
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
