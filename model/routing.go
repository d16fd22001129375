package model

import "time"

// RouteKind determines how often the requests of a route may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe RouteKind = "Safe"
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe RouteKind = "Unsafe"
	// Stream requests are answered by a series of numbered events.
	Stream RouteKind = "Stream"
)

type (
	// Routing is one version of the routing table: routes, pools and API keys. It is immutable,
	// and versions only increase.
	Routing struct {
		Version uint64
		Routes  []Route
		Pools   map[string]Pool
		// Unread are the parts that could not be decoded. They do not stop the others: what may depend on one is refused.
		Unread Unread
		// Customers are the holders of API keys. KeysRequired is true if callers need a key on routes that are not public, also where
		// nobody holds one.
		Customers    []KeyHolder
		KeysRequired bool
		Limits       CallerLimits
	}

	// Unread holds what is known of the parts of a routing that could not be decoded.
	Unread struct {
		// Faults says what is wrong with each.
		Faults []RoutingFault
		// Routes are the hosts and prefixes of routes that could not be decoded. AnyRoute is true if there are further routes, of which
		// not even these are known, and AnyKey if customers could not be decoded, who may hold any key.
		Routes   []RouteScope
		AnyRoute bool
		AnyKey   bool
	}

	// RoutingFault is a part of a routing that could not be decoded: a route, a service, a customer or a whole list, by its name.
	RoutingFault struct {
		Part string
		Name string
		Err  error
	}

	// RouteScope is what requests a route is for.
	RouteScope struct {
		Host   string
		Prefix string
	}

	// Route maps requests of one virtual host and path prefix to a pool.
	Route struct {
		Name string
		// Host is compared with the request's host without the port.
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   RouteKind
		// Timeout is the maximum time that a caller waits.
		Timeout time.Duration
		// Objective is the time within which an answer, or the first event of a stream, is useful.
		Objective time.Duration
		// GapTarget is the longest acceptable pause between two events of a stream.
		GapTarget time.Duration
		// Priority is the rank of the route's requests; 0 is served first.
		Priority int
		// Split holds at least one entry. The weights are relative and need not add up to a fixed sum.
		Split []WeightedPool
		// MaxAttempts limits how many endpoints one attempt of a caller is sent to; at least 1.
		MaxAttempts int
		// Stages is a DAG in any order.
		Stages []StageNode
		// Public routes require no API key.
		Public bool
		// Sticky routes carry prompts whose prefixes are cached by endpoints.
		Sticky bool
		// Resumable streams may be continued at another endpoint.
		Resumable bool
		// AllowedRegions lists the regions that requests may be served in; empty for any region.
		AllowedRegions []string
		// Unread is true for a route of which only Host and Prefix could be decoded.
		Unread bool
	}

	// WeightedPool is a pool with the weight of its share of a route.
	WeightedPool struct {
		Pool   string
		Weight int
	}

	// StageNode is a stage that must be completed before a request of the route can run. Its work is split into pieces.
	StageNode struct {
		Pool string
		// After lists the indexes of the stages whose results this one needs.
		After []int
		// ResultBytes is the approximate size of the result of one piece, in bytes.
		ResultBytes int64
	}

	// Pool is a named set of endpoints.
	Pool struct {
		Name string
		// MaxConns limits the connections from all nodes together to one endpoint.
		MaxConns int
		// ColdRate is how many requests a second a cold endpoint can handle; zero if cold endpoints are not limited.
		ColdRate float64
		// Engine is nil for pools that are not model engines.
		Engine *EngineTraits
		// Pieces is nil for pools that carry out no stages.
		Pieces *PieceTraits
	}

	// EngineTraits describes the model engines of a pool. Each value applies to one endpoint.
	EngineTraits struct {
		// Slots is how many requests run concurrently.
		Slots int
		// KVCapacity is how many tokens fit into the KV cache.
		KVCapacity int
	}

	// PieceTraits describes the endpoints that process pieces of stages. Each value applies to
	// one endpoint.
	PieceTraits struct {
		// Slots is how many calls run concurrently.
		Slots int
		// MaxBatch is the maximum number of pieces in a call.
		MaxBatch int
		// CallTime is the fixed duration of a call, to which each piece adds PieceTime.
		CallTime  time.Duration
		PieceTime time.Duration
		// Room is the memory for results, in bytes.
		Room int64
		// ResultTTL is how long a result is kept after its call unless it is freed.
		ResultTTL time.Duration
		// LinkBandwidth is the bandwidth of the endpoint's network link in bytes a second; zero if that is not known.
		LinkBandwidth int64
	}

	// KeyHolder is a customer with its API keys.
	KeyHolder struct {
		Name string
		Keys []string
		// Priority overrides that of the route unless it is negative.
		Priority int
		// AllowedRegions lists the regions that the customer's requests may be served in; empty for any region.
		AllowedRegions []string
	}

	// CallerLimits limit what callers may send and how long they may take, as the routing states it. Nodes enforce only
	// MaxBodyBytes.
	CallerLimits struct {
		MaxHeaderBytes int
		MaxBodyBytes   int64
		HeaderTimeout  time.Duration
		IdleTimeout    time.Duration
	}
)
