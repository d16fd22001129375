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
	heartbeatInterval    = 500 * time.Millisecond
	heartbeatCallTimeout = 2 * time.Second
	listInterval         = time.Second
	announceInterval     = 3 * time.Second
)

// fleet guards the membership.
type fleet struct {
	mu         sync.Mutex
	membership *kernel.Membership
}

func (f *fleet) aliveCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.membership.Alive())
}

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

// isAlive tells whether a member is held to be alive or leaving.
func (f *fleet) reachable(id string) bool {
	for _, info := range f.members() {
		if info.Member.ID() == id {
			return info.State != kernel.MemberDead
		}
	}
	return true
}

// sendHeartbeats heartbeats the neighbours until the node stops.
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

// applyHeartbeat takes a peer's word in. The first news is the peer's own state.
func (n *Node) applyHeartbeat(h peer.Heartbeat) {
	if len(h.News) == 0 {
		return
	}
	now := time.Now()
	n.fleet.mu.Lock()
	n.fleet.membership.RecordHeartbeat(now, h.News[0])
	var leaving []kernel.GossipUpdate
	for _, news := range h.News[1:] {
		if news.Endpoint != "" {
			leaving = append(leaving, news)
			continue
		}
		n.fleet.membership.Apply(now, news)
	}
	n.fleet.mu.Unlock()
	for _, news := range leaving {
		n.markLeaving(news.Pool, news.Endpoint)
	}
	if h.Revision > n.Settings().Revision {
		go n.pullSettings(n.ctx, h.News[0].Member.Address)
	}
	n.notices.requireVersion(h.Notices)
	if h.ClaimsNumber > n.claims.number() {
		n.claims.wake()
	}
}

// markLeaving stops new work for an endpoint that is leaving and passes the news on.
func (n *Node) markLeaving(pool, endpoint string) {
	if !n.dispatcher.MarkLeaving(pool, endpoint) {
		return
	}
	n.metrics.CountEvent("EndpointLeaving")
	n.log.Info().Str("Pool", pool).Str("Endpoint", endpoint).Msg("endpoint is leaving")
	n.fleet.mu.Lock()
	n.fleet.membership.AnnounceLeaving(pool, endpoint)
	n.fleet.mu.Unlock()
}

// pollList reads the platform's list until the node stops.
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

// announceHost tells the list of this host until the node stops.
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
