package node

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
	"basilstall.example/basilstall/quarantine"
	"basilstall.example/basilstall/table"
)

// heldPause is how long after a failure the held requests are read again.
const heldPause = time.Second

var errNoMember = errors.New("node: no such member")

// heldRequests is the table's row of requests that are held back, as last read.
type heldRequests struct {
	mu      sync.Mutex
	rows    []kernel.HeldRequest
	version uint64
	// wanted is the newest version that another node is known to have read.
	wanted uint64
	woken  chan struct{}
}

func newHeldRequests() *heldRequests {
	return &heldRequests{woken: make(chan struct{}, 1)}
}

// want has the row read if it is older than a version.
func (h *heldRequests) want(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted = max(h.wanted, version)
	if h.wanted <= h.version {
		return
	}
	select {
	case h.woken <- struct{}{}:
	default:
	}
}

// number returns the version that was read.
func (h *heldRequests) number() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// set takes a reading in and returns what has changed. The row only moves forward.
func (h *heldRequests) set(rows []kernel.HeldRequest, version uint64) kernel.QuarantineChange {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.version {
		return kernel.QuarantineChange{}
	}
	change := table.HeldDifference(h.rows, rows)
	h.rows, h.version = rows, version
	return change
}

// newQuarantine returns the node's part in the quarantine.
func (n *Node) newQuarantine() *quarantine.Keeper {
	return quarantine.NewKeeper(n.ctx, n.member.Node, quarantine.Seams{
		Peers: n.keeperPeers,
		Call:  n.callMember,
		Connect: func(ctx context.Context, address string) error {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return err
			}
			return conn.Close()
		},
		Store: n.storeHeld,
	}, time.Now, n.metrics, n.log)
}

// keeperPeers returns the members that may keep a pool's cases, this one among them.
func (n *Node) keeperPeers() []kernel.Peer {
	out := []kernel.Peer{{Name: n.member.Node}}
	members, _ := n.fleet.alive()
	for _, m := range members {
		if m.Node != n.member.Node {
			out = append(out, kernel.Peer{Name: m.Node})
		}
	}
	return out
}

func (n *Node) callMember(ctx context.Context, node string, kind peer.Kind, message, reply any) error {
	members, _ := n.fleet.alive()
	for _, m := range members {
		if m.Node == node {
			return n.peers.Call(ctx, m.Address, kind, message, reply)
		}
	}
	return errNoMember
}

// storeHeld writes a change into the table; heartbeats tell the others that there is something to read.
func (n *Node) storeHeld(ctx context.Context, change kernel.QuarantineChange) error {
	err := n.store.ChangeHeld(ctx, change)
	n.noteTable(err)
	if err == nil {
		n.held.want(n.held.number() + 1)
	}
	return err
}

// followHeld reads the held requests at the start, and whenever another node has read a newer row.
func (n *Node) followHeld() {
	for {
		rows, version, err := n.store.Held(n.ctx)
		n.noteTable(err)
		if err != nil {
			if !clock.Sleep(n.ctx, jitter(heldPause)) {
				return
			}
			continue
		}
		if change := n.held.set(rows, version); len(change.Hold)+len(change.Lift) > 0 {
			n.quarantine.Learn(change)
		}
		select {
		case <-n.ctx.Done():
			return
		case <-n.held.woken:
		}
	}
}

// brokeOff notes that an endpoint broke off while it worked on a request.
func (n *Node) brokeOff(e model.Endpoint, req model.Request) {
	n.quarantine.BrokeOff(e, req.Digest())
}

// mayCall tells whether a request may be sent to an endpoint.
func (n *Node) mayCall(req model.Request) *model.Refusal {
	return n.quarantine.Refuses(req.Digest())
}
