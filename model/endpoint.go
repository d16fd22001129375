package model

// HostState is what the platform's list says of a host.
type HostState string

// The states of a host.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
)

type (
	// Endpoint is a process of a pool that carries out stage calls.
	Endpoint struct {
		Name          string
		Pool          string
		Address       string
		FailureDomain string
		State         HostState
	}

	// Host is an entry host with its node.
	Host struct {
		Name          string
		Incarnation   string
		Address       string
		FailureDomain string
		State         HostState
	}

	// HostList is the platform's list of hosts and endpoints. It lags.
	HostList struct {
		// Number grows with each change of the list.
		Number    uint64
		Hosts     []Host
		Endpoints []Endpoint
	}

	// Load is what an endpoint reports of itself on a reply. It lags.
	Load struct {
		Running int
		Queued  int
		Slots   int
		// Leaving is the endpoint's own word that it takes no more new work.
		Leaving bool
	}
)
