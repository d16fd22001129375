package model

import (
	"strconv"
	"strings"
	"time"
)

// HostState is what the platform's list says of a host.
type HostState string

// The states of a host.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
	// Evacuated is an endpoint's state while operators keep work off its failure domain.
	Evacuated HostState = "Evacuated"
)

type (
	// Endpoint is a process of a pool that carries out stage calls.
	Endpoint struct {
		// Name stays the same when the process starts again.
		Name string
		// Started is when the process started, by its own clock; zero where it does not say.
		Started       time.Time
		Pool          string
		Address       string
		FailureDomain string
		// Region holds the failure domain; empty where the settings name none.
		Region string
		State  HostState
		// ColdFor is how long the endpoint stayed cold when it wrote its entry; ColdUntil is until when it may be cold.
		ColdFor   time.Duration
		ColdUntil time.Time
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
		// ColdFor is how long the endpoint stays cold.
		ColdFor time.Duration
		// RateCap is what the endpoint says of the stage calls that it takes of all nodes together; questions for an
		// engine's state and orders to it do not count.
		RateCap RateCap
	}
)

// incarnationSeparator stands between the name and the start in the identity of one incarnation of a process.
const incarnationSeparator = "@"

// Incarnation returns what tells one start of the process from any other. Everything that is believed of a
// process belongs to one incarnation: what it holds, its load, its health, its connections.
func (e Endpoint) Incarnation() string {
	if e.Started.IsZero() {
		return e.Name
	}
	return e.Name + incarnationSeparator + strconv.FormatInt(e.Started.UnixMilli(), 10)
}

// TakesWork tells whether new work may be sent to the endpoint.
func (e Endpoint) TakesWork() bool {
	return e.State != Leaving && e.State != Evacuated
}

// NameOfIncarnation returns the name of the process that had an incarnation.
func NameOfIncarnation(incarnation string) string {
	if i := strings.LastIndex(incarnation, incarnationSeparator); i >= 0 {
		return incarnation[:i]
	}
	return incarnation
}
