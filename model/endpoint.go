package model

import (
	"strconv"
	"strings"
	"time"
)

// HostState is the state of a host or endpoint in the platform's list.
type HostState string

// The states of hosts and endpoints.
const (
	Live    HostState = "Live"
	Leaving HostState = "Leaving"
	// Evacuated is the state of an endpoint in a failure domain that operators have evacuated, so that it gets no work.
	Evacuated HostState = "Evacuated"
)

type (
	// Endpoint is a process of a pool that serves calls. It is cold for some time after its start, and after its failure
	// domain is no longer evacuated: it can then handle fewer requests than later.
	Endpoint struct {
		// Name stays the same when the process restarts.
		Name string
		// Started is when the process started, by its own clock; zero if it does not report it.
		Started       time.Time
		Pool          string
		Address       string
		FailureDomain string
		// Region is the region of the failure domain; empty if the settings define none.
		Region string
		State  HostState
		// Version is that of the endpoint's software; empty if its entry does not say. What endpoints of different versions
		// write does not fit together.
		Version string `json:",omitempty"`
		// Slots is how many requests the endpoint processes at a time; 0 if its entry does not say.
		Slots int `json:",omitempty"`
		// ColdFor is how much longer the endpoint was cold when it wrote its entry in the list. ColdUntil is the time
		// from which it is certainly no longer cold.
		ColdFor   time.Duration
		ColdUntil time.Time
		// PausedUntil is when the last pause ends that the endpoint has asked this node for; zero if none, or if the
		// endpoint has accepted a request after it. It is not part of the list.
		PausedUntil time.Time `json:"-"`
	}

	// Host is an entry host, one that receives callers' requests, and the node that runs on it.
	Host struct {
		Name          string
		Incarnation   string
		Address       string
		FailureDomain string
		State         HostState
	}

	// HostList is the platform's list of hosts and endpoints. It lags behind their actual states.
	HostList struct {
		// Number increases with each change of the list.
		Number    uint64
		Hosts     []Host
		Endpoints []Endpoint
	}

	// Load is the load that an endpoint reports with a reply. It lags behind the actual load.
	Load struct {
		Running int
		Queued  int
		Slots   int
		// Contention is how long work takes at this moment on the endpoint's machine, which it shares with others, relative
		// to usual: 1 is usual, 2 twice as long. It changes many times a second. It is 0 if the endpoint does not state it.
		Contention float64 `json:",omitempty"`
		// Leaving is true if the endpoint reports that it accepts no new work.
		Leaving bool
		// ColdFor is how much longer the endpoint is cold.
		ColdFor time.Duration
		// RateCap limits the stage calls that the endpoint accepts from all nodes together. Reads of an engine's state
		// and orders to it do not count.
		RateCap RateCap
		// RefusalCap is how many stage calls a second, from all nodes together, the endpoint may have to refuse without ending.
		RefusalCap RateCap `json:",omitzero"`
		// PauseFor is how long the endpoint wants no stage calls from the node that it answers; 0 if it asks for no pause.
		PauseFor time.Duration `json:",omitempty"`
	}
)

// incarnationSeparator separates the name from the start time in the identity of an incarnation.
const incarnationSeparator = "@"

// Incarnation returns the identity of one run of the process, which differs from that of any earlier or later run if
// the process reports its start time. All state that is known of a process belongs to one incarnation: the results that
// it holds, its load, its health and its connections.
func (e Endpoint) Incarnation() string {
	if e.Started.IsZero() {
		return e.Name
	}
	return e.Name + incarnationSeparator + strconv.FormatInt(e.Started.UnixMilli(), 10)
}

// TakesWork reports whether new work may be sent to the endpoint.
func (e Endpoint) TakesWork() bool {
	return e.State != Leaving && e.State != Evacuated
}

// Accepts reports whether this node may send new work to the endpoint now.
func (e Endpoint) Accepts(now time.Time) bool {
	return e.TakesWork() && !now.Before(e.PausedUntil)
}

// OnProbation reports whether the endpoint has asked for a pause that is over, and has accepted no request since.
func (e Endpoint) OnProbation(now time.Time) bool {
	return !e.PausedUntil.IsZero() && !now.Before(e.PausedUntil)
}

// NameOfIncarnation returns the name of the process that an incarnation belongs to.
func NameOfIncarnation(incarnation string) string {
	if i := strings.LastIndex(incarnation, incarnationSeparator); i >= 0 {
		return incarnation[:i]
	}
	return incarnation
}
