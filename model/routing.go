package model

import "time"

// RouteKind says what of a route's requests may be repeated.
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
	// Routing is one version of what operators want served: routes, pools and API keys. It is
	// immutable; versions only grow.
	Routing struct {
		Version   uint64
		Routes    []Route
		Pools     map[string]Pool
		Customers []KeyHolder
		Limits    CallerLimits
	}

	// Route maps requests of one virtual host and path prefix to a pool.
	Route struct {
		Name string
		// Host is compared without its port.
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   RouteKind
		// Timeout is the longest time that a caller may be kept waiting.
		Timeout time.Duration
		// Objective is the time within which an answer, or a stream's first event, is useful.
		Objective time.Duration
		// GapTarget is the longest useful pause between two events of a stream.
		GapTarget time.Duration
		// Priority is the route's rank; 0 comes first.
		Priority int
		// Split holds one entry or more; their weights need not sum up to anything.
		Split []WeightedPool
		// MaxAttempts bounds the endpoints that one attempt of a caller is sent to; at least 1.
		MaxAttempts int
		// Stages is a DAG in topological order: each entry follows only earlier ones.
		Stages []StageNode
		// Public routes need no API key.
		Public bool
		// Sticky routes carry prompts whose prefixes endpoints cache.
		Sticky bool
		// Resumable streams may go on at another endpoint.
		Resumable bool
		// Homes lists the regions that requests may be served in; none means any.
		AllowedRegions []string
	}

	// WeightedPool is a pool with its share of a route.
	WeightedPool struct {
		Pool   string
		Weight int
	}

	// StageNode is work that must be done before a request of the route can run.
	StageNode struct {
		Pool string
		// After lists the indexes of the stages whose results this one needs.
		After []int
		// ResultBytes is the approximate size of one piece's result.
		ResultBytes int64
	}

	// Pool is a named set of endpoints.
	Pool struct {
		Name string
		// MaxConns bounds the connections of all nodes together to one endpoint.
		MaxConns int
		// ColdRate is how many requests a second a cold endpoint bears; zero where cold ones bear what others do.
		ColdRate float64
		// Engine is nil for pools that are not model engines.
		Engine *EngineTraits
		// Pieces is nil for pools that carry out no stages.
		Pieces *PieceTraits
	}

	// EngineTraits describes the model engines of a pool; each value is for one endpoint.
	EngineTraits struct {
		Slots int
		// Tokens is how many tokens fit into memory.
		KVCapacity int
	}

	// PieceTraits describes the endpoints that carry out pieces of stages; each value is for
	// one endpoint.
	PieceTraits struct {
		// Slots is how many calls are carried out at the same time.
		Slots int
		// Batch is the most pieces of a call.
		MaxBatch int
		// CallTime is what a call costs whatever it holds; PieceTime is what each piece adds.
		CallTime  time.Duration
		PieceTime time.Duration
		// Room is how many bytes of results an endpoint holds.
		Room int64
		// Keep is how long a result is held after its call unless it is freed.
		ResultTTL time.Duration
		// Link is how many bytes a second an endpoint's link carries; zero where that is not known.
		LinkBandwidth int64
	}

	// KeyHolder is a customer with its API keys.
	KeyHolder struct {
		Name string
		Keys []string
		// Priority replaces the route's if it is not negative.
		Priority int
		// Homes lists the regions that the customer's requests may be served in; none means any.
		AllowedRegions []string
	}

	// CallerLimits bound what callers may send.
	CallerLimits struct {
		MaxHeaderBytes int
		MaxBodyBytes   int64
		HeaderTimeout  time.Duration
		IdleTimeout    time.Duration
	}
)
