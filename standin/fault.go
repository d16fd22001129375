package standin

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// FaultKind names a fault that the stand-in can cause.
type FaultKind string

// The faults.
const (
	// FaultDelay adds Delay to each call.
	FaultDelay FaultKind = "Delay"
	// FaultSlow multiplies service and token times by Factor.
	FaultSlow FaultKind = "Slow"
	// FaultError answers with status 500 after the work was done.
	FaultError FaultKind = "Error"
	// FaultRefuse answers with status 503 and the verdict NotRun, before any work.
	FaultRefuse FaultKind = "Refuse"
	// FaultHang takes the call and never answers.
	FaultHang FaultKind = "Hang"
	// FaultDown closes each connection on which a call arrives, before any work.
	FaultDown FaultKind = "Down"
	// FaultLostAnswer does the work and closes the connection.
	FaultLostAnswer FaultKind = "LostAnswer"
	// FaultSilent makes the connections that are open now silent.
	FaultSilent FaultKind = "Silent"
	// FaultCut closes the connections that are open now.
	FaultCut FaultKind = "Cut"
	// FaultCutAfter cuts a stream after Count tokens.
	FaultCutAfter FaultKind = "CutAfter"
	// FaultHangAfter lets a stream hang after Count tokens.
	FaultHangAfter FaultKind = "HangAfter"
	// FaultCrash ends an endpoint's process as it begins to work on a call whose text holds Text: its connections
	// are reset, and nothing listens at its address for Delay.
	FaultCrash FaultKind = "Crash"
	// FaultSwap answers in the name of another request.
	FaultSwap FaultKind = "Swap"
	// FaultDouble sends each event of a stream twice.
	FaultDouble FaultKind = "Double"
	// FaultReorder swaps neighbouring events of a stream.
	FaultReorder FaultKind = "Reorder"
	// FaultStale answers reads of the table from an older state, Delay ago.
	FaultStale FaultKind = "Stale"
	// FaultRateCap lets endpoints say that they take PerSecond calls a second of all nodes together.
	FaultRateCap FaultKind = "RateCap"
	// FaultCold lets endpoints say, in the list and in their answers, that they stay cold for Delay.
	FaultCold FaultKind = "Cold"
	// FaultLeave lets endpoints say that they are leaving; the list shows it after its lag.
	FaultLeave FaultKind = "Leave"
	// FaultLeaveList shows endpoints as leaving in the list alone.
	FaultLeaveList FaultKind = "LeaveList"
)

type (
	// Fault is a fault that is switched on.
	Fault struct {
		// Target is "table", "list", "objects", "weights", a pool's name, or POOL/ENDPOINT.
		Target string
		Kind   FaultKind
		Delay  time.Duration `json:",omitempty"`
		Factor float64       `json:",omitempty"`
		// Count is the tokens after which a stream is cut.
		Count int `json:",omitempty"`
		// Times bounds how often the fault strikes; 0 is no bound.
		Times int `json:",omitempty"`
		// Operation restricts the fault to calls on table keys with this prefix.
		Operation string  `json:",omitempty"`
		PerSecond float64 `json:",omitempty"`
		// Text is part of the text of the calls that end an endpoint.
		Text string `json:",omitempty"`
	}

	faultSet struct {
		mu     sync.Mutex
		active []*Fault
	}
)

// add switches a fault on.
func (f *faultSet) add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = append(f.active, &fault)
}

// clear switches all faults of a target off; all faults for an empty target.
func (f *faultSet) clear(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = slices.DeleteFunc(f.active, func(fault *Fault) bool {
		return target == "" || fault.Target == target
	})
}

// strike returns the first fault of one of the kinds that is on for a target and counts it.
func (f *faultSet) trigger(target string, kinds ...FaultKind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.active {
		if !slices.Contains(kinds, fault.Kind) || !matchesTarget(fault.Target, target) {
			continue
		}
		hit := *fault
		if fault.Times > 0 {
			fault.Times--
			if fault.Times == 0 {
				f.active = slices.Delete(f.active, i, i+1)
			}
		}
		return hit, true
	}
	return Fault{}, false
}

func matchesTarget(fault, target string) bool {
	if fault == target {
		return true
	}
	pool, _, ok := strings.Cut(target, "/")
	return ok && fault == pool
}
