package kernel

import (
	"net"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilstall.example/basilstall/model"
)

// mixedShare is the share of an endpoint's capacity that requests may use, and pieces as well, where its pool gets
// both: nodes that send requests and batchers that send pieces do not know of each other's calls.
const mixedShare = 0.5

type (
	// RouteTable looks up the route of a request and the customer of an API key in one version of the routing. It is
	// immutable.
	RouteTable struct {
		routing        model.Routing
		byHost         map[string]hostRoutes
		customersByKey map[string]model.KeyHolder
		// mixed holds the pools that get both requests and pieces.
		mixed map[string]bool
		// resumable holds the pools that routes with resumable streams lead to.
		resumable map[string]bool
	}

	// hostRoutes holds a host's routes by prefix: a match costs a look-up for each slash of a path, however many routes
	// the host has.
	hostRoutes struct {
		byPrefix map[string]model.Route
		// maxPrefixLength is the length of the longest prefix in bytes.
		maxPrefixLength int
	}

	// RoutingView is the newest known routing and the time at which it was last proven to be the newest.
	RoutingView struct {
		Table *RouteTable
		// ProvenAt is the start of the store call whose answer showed Table to be current.
		ProvenAt time.Time
	}
)

// NewRouteTable returns the route table of a routing.
func NewRouteTable(routing model.Routing) *RouteTable {
	t := &RouteTable{routing: routing, byHost: map[string]hostRoutes{}, customersByKey: map[string]model.KeyHolder{}, mixed: map[string]bool{}, resumable: map[string]bool{}}
	for _, r := range routing.Routes {
		t.byHost[r.Host] = t.byHost[r.Host].with(r)
		for _, w := range r.Split {
			if routing.Pools[w.Pool].Pieces != nil {
				t.mixed[w.Pool] = true
			}
			if r.Kind == model.Stream && r.Resumable {
				t.resumable[w.Pool] = true
			}
		}
	}
	for _, scope := range routing.Unread.Routes {
		t.byHost[scope.Host] = t.byHost[scope.Host].with(model.Route{Host: scope.Host, Prefix: scope.Prefix, Unread: true})
	}
	for _, holder := range routing.Customers {
		for _, key := range holder.Keys {
			t.customersByKey[key] = holder
		}
	}
	return t
}

// with adds a route. Of two routes with the same prefix the first one is kept.
func (h hostRoutes) with(r model.Route) hostRoutes {
	if h.byPrefix == nil {
		h.byPrefix = map[string]model.Route{}
	}
	if _, taken := h.byPrefix[r.Prefix]; !taken {
		h.byPrefix[r.Prefix] = r
	}
	h.maxPrefixLength = max(h.maxPrefixLength, len(r.Prefix))
	return h
}

// match returns the route with the longest prefix of a path.
func (h hostRoutes) match(path string) (model.Route, bool) {
	path = path[:min(len(path), h.maxPrefixLength)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := h.byPrefix[path[:end+1]]; ok {
			return r, true
		}
	}
	return model.Route{}, false
}

// Version returns the version of the routing, or 0 for a nil table.
func (t *RouteTable) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.routing.Version
}

// Limits returns the limits on the requests of callers.
func (t *RouteTable) Limits() model.CallerLimits {
	return t.routing.Limits
}

// Pool returns a pool by its name. A nil table, that of a node that does not know the routing yet, has none.
func (t *RouteTable) Pool(name string) (model.Pool, bool) {
	if t == nil {
		return model.Pool{}, false
	}
	p, ok := t.routing.Pools[name]
	return p, ok
}

// Pools returns all pools, none of a nil table.
func (t *RouteTable) Pools() map[string]model.Pool {
	if t == nil {
		return nil
	}
	return t.routing.Pools
}

// HasResumableStreams reports whether a route with resumable streams leads to a pool.
func (t *RouteTable) HasResumableStreams(pool string) bool {
	return t != nil && t.resumable[pool]
}

// CapacityShare returns the share of the capacity of a pool's endpoints that requests may use, and pieces as well: 1,
// or mixedShare if the pool gets both.
func (t *RouteTable) CapacityShare(pool string) float64 {
	if t == nil || !t.mixed[pool] {
		return 1
	}
	return mixedShare
}

// RequiresKeys reports whether callers must present API keys on routes that are not public.
func (t *RouteTable) RequiresKeys() bool {
	return t.routing.KeysRequired || len(t.routing.Customers) > 0
}

// Faults returns the number of parts of the routing that could not be decoded.
func (t *RouteTable) Faults() int {
	if t == nil {
		return 0
	}
	return len(t.routing.Unread.Faults)
}

// Match returns the route with the longest prefix of a path on a host. A port of the host is ignored.
func (t *RouteTable) Match(host, path string) (model.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return t.byHost[host].match(path)
}

// CustomerByKey returns the customer that holds an API key.
func (t *RouteTable) CustomerByKey(key string) (model.KeyHolder, bool) {
	if key == "" {
		return model.KeyHolder{}, false
	}
	h, ok := t.customersByKey[key]
	return h, ok
}

// PoolFor returns the pool that a request of a route goes to. A request always gets the same pool of a split; over many
// requests, each pool gets a share in proportion to its weight.
func PoolFor(route model.Route, request string) string {
	total := uint64(0)
	for _, w := range route.Split {
		total += uint64(max(0, w.Weight))
	}
	if total == 0 {
		return route.Split[0].Pool
	}
	point := xxhash.Sum64String(request) % total
	for _, w := range route.Split {
		weight := uint64(max(0, w.Weight))
		if point < weight {
			return w.Pool
		}
		point -= weight
	}
	return route.Split[len(route.Split)-1].Pool
}

// With returns the view after a store call that began at startedAt. The table is the one that the call returned, or nil
// if it returned nothing newer. A version is never replaced by an older one.
func (v RoutingView) With(startedAt time.Time, table *RouteTable) RoutingView {
	if table != nil && table.Version() > v.Table.Version() {
		v.Table = table
	}
	if v.Table != nil && startedAt.After(v.ProvenAt) {
		v.ProvenAt = startedAt
	}
	return v
}

// Fresh reports whether the routing was proven current within the limit, so that API keys may be checked by it: a
// revoked key must stop working within that time.
func (v RoutingView) Fresh(now time.Time, limit time.Duration) bool {
	return v.Table != nil && now.Sub(v.ProvenAt) <= limit
}
