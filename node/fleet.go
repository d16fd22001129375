package node

import (
	"context"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatCallTimeout bounds one exchange of heartbeats. For how long a silent member is tolerated, see
	// kernel.HeartbeatTimeout.
	heartbeatCallTimeout = 2 * time.Second
	// listInterval is how often the platform's list is read.
	listInterval = time.Second
	// announceInterval is how often this node announces its host to the platform's list.
	announceInterval = 3 * time.Second
)

// fleet makes the membership, this node's view of the other nodes, safe for concurrent use.
type fleet struct {
	mu         sync.Mutex
	membership *kernel.Membership
}

func (f *fleet) aliveCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.membership.Alive())
}

// alive returns the live members, and since when their set has been unchanged.
func (f *fleet) alive() ([]kernel.Member, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.membership.Alive(), f.membership.StableSince()
}

func (f *fleet) members() []kernel.MemberInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.membership.Members()
}

// reachable reports whether a member is not known to be dead. An unknown member counts as reachable.
func (f *fleet) reachable(id string) bool {
	for _, info := range f.members() {
		if info.Member.ID() == id {
			return info.State != kernel.MemberDead
		}
	}
	return true
}

// sendHeartbeats exchanges heartbeats with the neighbours (see kernel.Membership.Neighbours) until the node stops.
// Without neighbours it exchanges them with the configured seeds.
func (n *Node) sendHeartbeats() {
	n.runPeriodically(heartbeatInterval, func(ctx context.Context) {
		n.fleet.mu.Lock()
		n.fleet.membership.Tick(time.Now())
		neighbours := n.fleet.membership.Neighbours()
		n.fleet.mu.Unlock()
		for _, info := range neighbours {
			go n.sendHeartbeat(ctx, info.Member.Address)
		}
		if len(neighbours) == 0 {
			for _, seed := range n.options.PeerSeeds {
				go n.sendHeartbeat(ctx, seed)
			}
		}
	})
}

func (n *Node) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatCallTimeout)
	defer cancel()
	var reply peer.Heartbeat
	if err := n.peers.Call(ctx, address, peer.KindHeartbeat, n.newHeartbeat(), &reply); err != nil {
		n.metrics.CountEvent("HeartbeatFailed")
		return
	}
	n.applyHeartbeat(reply)
}

func (n *Node) newHeartbeat() peer.Heartbeat {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return peer.Heartbeat{
		News:         n.fleet.membership.PendingUpdates(),
		Revision:     n.Settings().Revision,
		ClaimsNumber: n.claims.number(),
		Notices:      n.notices.currentVersion(),
	}
}

func (n *Node) handleHeartbeat(_ context.Context, body []byte) (any, error) {
	var heartbeat peer.Heartbeat
	if err := peer.DecodeBody(body, &heartbeat); err != nil {
		return nil, err
	}
	n.applyHeartbeat(heartbeat)
	return n.newHeartbeat(), nil
}

// applyHeartbeat applies a heartbeat, whose first update is the state of the peer itself. It starts reads of what the
// peer knows in a newer version than this node: settings, claims row and notices.
func (n *Node) applyHeartbeat(h peer.Heartbeat) {
	if len(h.News) == 0 {
		return
	}
	now := time.Now()
	n.fleet.mu.Lock()
	n.fleet.membership.RecordHeartbeat(now, h.News[0])
	var leaving []kernel.GossipUpdate
	for _, update := range h.News[1:] {
		if update.Endpoint != "" {
			leaving = append(leaving, update)
			continue
		}
		n.fleet.membership.Apply(now, update)
	}
	n.fleet.mu.Unlock()
	for _, update := range leaving {
		n.markLeaving(update.Pool, update.Endpoint)
	}
	if h.Revision > n.Settings().Revision {
		go n.pullSettings(n.ctx, h.News[0].Member.Address)
	}
	n.notices.requireVersion(h.Notices)
	if h.ClaimsNumber > n.claims.number() {
		n.claims.wake()
	}
}

// markLeaving stops new work for an incarnation of an endpoint that is leaving, and announces the leaving to the other
// nodes.
func (n *Node) markLeaving(pool, incarnation string) {
	if !n.dispatcher.MarkLeaving(pool, incarnation) {
		return
	}
	n.metrics.CountEvent("EndpointLeaving")
	n.log.Info().Str("Pool", pool).Str("Endpoint", incarnation).Msg("endpoint is leaving")
	n.fleet.mu.Lock()
	n.fleet.membership.AnnounceLeaving(pool, incarnation)
	n.fleet.mu.Unlock()
}

// pollList reads the platform's list periodically until the node stops.
func (n *Node) pollList() {
	n.runPeriodically(listInterval, func(ctx context.Context) {
		hosts, err := n.list.Get(ctx)
		if err != nil {
			n.metrics.CountEvent("ListFailed")
			return
		}
		n.applyList(hosts)
	})
}

// applyList applies the platform's list. A list without endpoints leaves the known endpoints as they are.
func (n *Node) applyList(hosts model.HostList) {
	now := time.Now()
	for i, e := range hosts.Endpoints {
		if e.ColdFor > 0 {
			hosts.Endpoints[i].ColdUntil = now.Add(e.ColdFor)
		}
	}
	if len(hosts.Endpoints) > 0 {
		n.dispatcher.SetEndpoints(hosts.Endpoints)
		n.coldRoles.retainListed(hosts.Endpoints)
		n.endpointsKnown.Store(true)
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, h := range hosts.Hosts {
		if h.State == model.Live {
			member := kernel.Member{Node: h.Name, Incarnation: h.Incarnation, Address: h.Address}
			n.fleet.membership.AddListed(now, member, h.FailureDomain)
		}
	}
}

// announceHost announces this host to the platform's list periodically until the node stops.
func (n *Node) announceHost() {
	n.runPeriodically(announceInterval, func(ctx context.Context) {
		n.announce(ctx)
	})
}

func (n *Node) announce(ctx context.Context) {
	state := model.Live
	if n.draining.Load() {
		state = model.Leaving
	}
	host := model.Host{
		Name:          n.options.Name,
		Incarnation:   n.member.Incarnation,
		Address:       n.member.Address,
		FailureDomain: n.options.FailureDomain,
		State:         state,
	}
	if err := n.list.Announce(ctx, host); err != nil {
		n.metrics.CountEvent("AnnounceFailed")
	}
}
