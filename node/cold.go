package node

import (
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// coldRetryAfter is when a caller may come back whose request only cold endpoints could serve.
const coldRetryAfter = 150 * time.Millisecond

// coldRoleCache remembers which cold endpoints this node may call. It is safe for concurrent use.
type coldRoleCache struct {
	// startedAt is when the node started.
	startedAt time.Time

	mu sync.Mutex
	// duties is by the incarnations of endpoints.
	roles map[string]kernel.ColdRole
}

func newColdRoleCache(startedAt time.Time) *coldRoleCache {
	return &coldRoleCache{startedAt: startedAt, roles: map[string]kernel.ColdRole{}}
}

// duty returns whether this node may call a cold endpoint; decide is asked where that is not known. What was known of an
// endpoint is kept while it is listed, which tells whether the node has just begun to call it.
func (c *coldRoleCache) role(now time.Time, incarnation string, decide func() bool) kernel.ColdRole {
	c.mu.Lock()
	defer c.mu.Unlock()
	duty := c.roles[incarnation]
	if duty.Expired(now) {
		duty = duty.With(now, c.startedAt, decide())
		c.roles[incarnation] = duty
	}
	return duty
}

// keep forgets the endpoints that are no longer listed.
func (c *coldRoleCache) retainListed(listed []model.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.roles) == 0 {
		return
	}
	kept := make(map[string]kernel.ColdRole, len(c.roles))
	for _, e := range listed {
		if duty, known := c.roles[e.Incarnation()]; known {
			kept[e.Incarnation()] = duty
		}
	}
	c.roles = kept
}

// admits tells whether an endpoint that was last called at a time may get a call of this node now.
func (n *Node) mayCallEndpoint(now time.Time, e model.Endpoint, calledAt time.Time) bool {
	return n.mayCallCold(now, e, calledAt) && n.rateCaps.Admits(now, e, calledAt)
}

func (n *Node) mayCallCold(now time.Time, e model.Endpoint, calledAt time.Time) bool {
	share := kernel.ColdLimits{}.Share(n.Settings().Fleet.ColdRates[e.Pool])
	if share.Senders == 0 || !kernel.IsCold(now, e) {
		return true
	}
	duty := n.coldRoles.role(now, e.Incarnation(), func() bool {
		return !n.Draining() && share.IsSenderAtRank(n.rateCaps.Rank(now, e.Incarnation()))
	})
	return share.DueForRole(now, duty, calledAt)
}

// refuses returns the refusal of a request whose pool has only endpoints that take no more now than they get.
func (n *Node) admitPool(now time.Time, pool string, endpoints []model.Endpoint, calledAt func(incarnation string) time.Time) *model.Refusal {
	if refusal := n.rateCaps.AdmitPool(now, pool, endpoints, calledAt); refusal != nil {
		return refusal
	}
	staying := false
	for _, e := range endpoints {
		if !e.TakesWork() {
			continue
		}
		called := calledAt(e.Incarnation())
		if n.mayCallEndpoint(now, e, called) || n.mayRequestPermit(now, e, called) {
			return nil
		}
		staying = true
	}
	if !staying {
		return nil
	}
	return model.NewRefusal(model.NotRun, model.EndpointsCold, kernel.ClampRetryAfter(coldRetryAfter), "the endpoints of pool "+pool+" are cold and bear no more now")
}

// announced returns the members that share what endpoints take: those that are not leaving. One that is held to be dead
// keeps its share while it is remembered, since it may be cut off from this node alone.
func (n *Node) announcedPeers() []kernel.Peer {
	var out []kernel.Peer
	for _, info := range n.fleet.members() {
		if info.State != kernel.MemberLeaving {
			out = append(out, kernel.Peer{Name: info.Member.Node})
		}
	}
	return out
}
