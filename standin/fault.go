package standin

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// FaultKind is a kind of fault that the stand-in can inject.
type FaultKind string

// Kinds of faults.
const (
	// FaultDelay adds Delay to each call, and on engines also to the time between two tokens.
	FaultDelay FaultKind = "Delay"
	// FaultSlow multiplies service, prompt and token times by Factor.
	FaultSlow FaultKind = "Slow"
	// FaultContend multiplies them by Factor, too, and makes endpoints state Factor as their contention.
	FaultContend FaultKind = "Contend"
	// FaultError does the work and replies with status 500.
	FaultError FaultKind = "Error"
	// FaultRefuse replies with status 503 before any work; replies of endpoints have the verdict NotRun.
	FaultRefuse FaultKind = "Refuse"
	// FaultHang accepts the call and never replies.
	FaultHang FaultKind = "Hang"
	// FaultDown closes the connection of each incoming call before any work.
	FaultDown FaultKind = "Down"
	// FaultLostAnswer does the work and closes the connection without a reply.
	FaultLostAnswer FaultKind = "LostAnswer"
	// FaultSilent discards all further data on the connections that are open when it is injected, without closing them.
	// New connections work.
	FaultSilent FaultKind = "Silent"
	// FaultCut closes the connections that are open when it is injected.
	FaultCut FaultKind = "Cut"
	// FaultCutAfter closes the connection of a stream after Count tokens.
	FaultCutAfter FaultKind = "CutAfter"
	// FaultHangAfter stops sending on a stream after Count tokens and keeps the connection open.
	FaultHangAfter FaultKind = "HangAfter"
	// FaultCrash simulates a crash of an endpoint's process when it begins a call whose text or prefix contains Text: its
	// connections are closed, and nothing listens at its address for Delay.
	FaultCrash FaultKind = "Crash"
	// FaultSwap replies in the name of another request: with its identity and result, or on a stream only with its
	// identity in the final event.
	FaultSwap FaultKind = "Swap"
	// FaultDouble sends each event of a stream twice.
	FaultDouble FaultKind = "Double"
	// FaultReorder swaps adjacent events of a stream.
	FaultReorder FaultKind = "Reorder"
	// FaultStale serves reads of the table from its state Delay ago.
	FaultStale FaultKind = "Stale"
	// FaultRateCap makes endpoints state that they take PerSecond calls a second from all nodes together.
	FaultRateCap FaultKind = "RateCap"
	// FaultCold makes endpoints state, in the list and in their replies, that they stay cold for Delay.
	FaultCold FaultKind = "Cold"
	// FaultLeave makes endpoints state in their replies that they are leaving; the list shows it after its lag.
	FaultLeave FaultKind = "Leave"
	// FaultLeaveList shows endpoints as leaving only in the list.
	FaultLeaveList FaultKind = "LeaveList"
)

type (
	// Fault describes a fault to inject. Which fields apply depends on Kind.
	Fault struct {
		// Target is "table", "list", "objects", "weights" (no effect yet), a pool's name, or POOL/ENDPOINT.
		// FaultSilent and FaultCut also take "platform"; with it, "table" and "list" they affect the connections of
		// all services of the platform.
		Target string
		Kind   FaultKind
		Delay  time.Duration `json:",omitempty"`
		Factor float64       `json:",omitempty"`
		// Count is the number of tokens after which a stream is closed or hangs.
		Count int `json:",omitempty"`
		// Times is how often the fault is triggered before it is removed; 0 means no limit.
		Times int `json:",omitempty"`
		// Operation is a prefix of table keys to which the fault is to be restricted. It has no effect yet.
		Operation string  `json:",omitempty"`
		PerSecond float64 `json:",omitempty"`
		// Text is a substring of the texts of calls on which an endpoint crashes.
		Text string `json:",omitempty"`
	}

	// faultSet holds the active faults. It is safe for concurrent use.
	faultSet struct {
		mu     sync.Mutex
		active []*Fault
	}
)

// add activates a fault.
func (f *faultSet) add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, &fault)
}

// clear removes all faults of a target, or all faults if target is empty.
func (f *faultSet) clear(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = slices.DeleteFunc(f.active, func(fault *Fault) bool {
		return target == "" || fault.Target == target
	})
}

// trigger returns the first active fault of one of the kinds for a target, and removes the fault once it has been
// triggered Times times.
func (f *faultSet) trigger(target string, kinds ...FaultKind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.active {
		if !slices.Contains(kinds, fault.Kind) || !matchesTarget(fault.Target, target) {
			continue
		}
		triggered := *fault
		if fault.Times > 0 {
			fault.Times--
			if fault.Times == 0 {
				f.active = slices.Delete(f.active, i, i+1)
			}
		}
		return triggered, true
	}
	return Fault{}, false
}

// matchesTarget reports whether a fault's target, a pool or a single endpoint, covers target.
func matchesTarget(fault, target string) bool {
	if fault == target {
		return true
	}
	pool, _, ok := strings.Cut(target, "/")
	return ok && fault == pool
}
