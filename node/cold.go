package node

import (
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// coldRetryAfter is the Retry-After time of a request that only cold endpoints could serve.
const coldRetryAfter = 150 * time.Millisecond

// coldRoleCache caches which cold endpoints this node may call. An endpoint is cold for some time after it started: it
// cannot take its full load then, and only a few nodes, its senders, call it (see kernel.ColdLimits). The cache is safe
// for concurrent use.
type coldRoleCache struct {
	// startedAt is when the node started.
	startedAt time.Time

	mu sync.Mutex
	// roles maps incarnations of endpoints to this node's roles.
	roles map[string]kernel.ColdRole
}

func newColdRoleCache(startedAt time.Time) *coldRoleCache {
	return &coldRoleCache{startedAt: startedAt, roles: map[string]kernel.ColdRole{}}
}

// role returns this node's role for a cold endpoint. It calls decide if the last decision has expired. An expired role
// is kept while the endpoint is listed, because the next one depends on it: a node that becomes a sender waits before
// its first call.
func (c *coldRoleCache) role(now time.Time, incarnation string, decide func() bool) kernel.ColdRole {
	c.mu.Lock()
	defer c.mu.Unlock()
	role := c.roles[incarnation]
	if role.Expired(now) {
		role = role.With(now, c.startedAt, decide())
		c.roles[incarnation] = role
	}
	return role
}

// retainListed removes the roles for endpoints that are no longer listed.
func (c *coldRoleCache) retainListed(listed []model.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.roles) == 0 {
		return
	}
	kept := make(map[string]kernel.ColdRole, len(c.roles))
	for _, e := range listed {
		if role, known := c.roles[e.Incarnation()]; known {
			kept[e.Incarnation()] = role
		}
	}
	c.roles = kept
}

// mayCallEndpoint reports whether this node, which last called an endpoint at calledAt, may call it now.
func (n *Node) mayCallEndpoint(now time.Time, e model.Endpoint, calledAt time.Time) bool {
	return n.mayCallCold(now, e, calledAt) && n.rateCaps.Admits(now, e, calledAt)
}

// mayCallCold reports whether the limits for cold endpoints let this node, which last called an endpoint at calledAt,
// call it now.
func (n *Node) mayCallCold(now time.Time, e model.Endpoint, calledAt time.Time) bool {
	share := kernel.ColdLimits{}.Share(n.Settings().Fleet.ColdRates[e.Pool])
	if share.Senders == 0 || !kernel.IsCold(now, e) {
		return true
	}
	role := n.coldRoles.role(now, e.Incarnation(), func() bool {
		return !n.Draining() && share.IsSenderAtRank(n.rateCaps.Rank(now, e.Incarnation()))
	})
	return share.DueForRole(now, role, calledAt)
}

// admitPool returns a refusal if this node may call none of the endpoints of a pool now because of their rate caps or
// because they are cold, and cannot request a permit either. calledAt returns when this node last called an endpoint.
func (n *Node) admitPool(now time.Time, pool string, endpoints []model.Endpoint, calledAt func(incarnation string) time.Time) *model.Refusal {
	if refusal := n.rateCaps.AdmitPool(now, pool, endpoints, calledAt); refusal != nil {
		return refusal
	}
	anyTakesWork := false
	for _, e := range endpoints {
		if !e.Accepts(now) {
			continue
		}
		lastCall := calledAt(e.Incarnation())
		if n.mayCallEndpoint(now, e, lastCall) || n.mayRequestPermit(now, e, lastCall) {
			return nil
		}
		anyTakesWork = true
	}
	if !anyTakesWork {
		return nil
	}
	return model.NewRefusal(model.NotRun, model.EndpointsCold, kernel.ClampRetryAfter(coldRetryAfter), "the endpoints of pool "+pool+" are cold and bear no more now")
}

// announcedPeers returns the members that share the limits of endpoints: those that are not leaving. A member that is
// presumed dead keeps its share as long as it is remembered, because it may only be unreachable from this node.
func (n *Node) announcedPeers() []kernel.Peer {
	var out []kernel.Peer
	for _, info := range n.fleet.members() {
		if info.State != kernel.MemberLeaving {
			out = append(out, kernel.Peer{Name: info.Member.Node})
		}
	}
	return out
}
