package quarantine

import (
	"context"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

const (
	// connectTimeout bounds the attempt to connect to an endpoint after a connection to it broke.
	connectTimeout = 700 * time.Millisecond
	// reportDelay is how long a report waits for other requests that the same crash interrupts, to send them together.
	reportDelay = 20 * time.Millisecond
	// listTimeout is how long a crash check is kept. If connecting does not show whether the process has ended, the
	// list of endpoints may show it: the entry of an endpoint is removed once its heartbeats are missing for some time.
	listTimeout = 8 * time.Second
	// maxCrashChecks bounds the endpoints that are checked at a time, and maxReportedDigests the requests in a report on
	// one of them.
	maxCrashChecks     = 1024
	maxReportedDigests = 512
)

// The ways in which it is proven that an endpoint's process has ended.
const (
	proofRefused  = "nothing listens at its address"
	proofReplaced = "another process has its address"
	proofGone     = "it does not answer, and is no longer listed"
)

// crashCheck holds what is known about whether an endpoint's process has ended.
type crashCheck struct {
	endpoint model.Endpoint
	// brokeAt is when the first connection to the endpoint broke.
	brokeAt time.Time
	// unreported are the requests that the end of the connections interrupted and that have not been reported yet.
	unreported []model.RequestDigests
	// proof is empty until the crash is proven.
	proof string
	// doubtful is true if this node reached no other endpoint either. It is no proof of an end then that this one does not
	// answer.
	doubtful bool
	// reachable is true if a process accepted a connection at the address.
	reachable bool
	// connectDone is closed when the attempt to connect has ended.
	connectDone chan struct{}
	// reportScheduled is true while a report on the unreported requests is due.
	reportScheduled bool
}

// RecordDisconnect records that the connection to an endpoint broke while the endpoint worked on requests, and
// starts to check whether its process has ended. A live endpoint that resets a connection is no evidence against
// the requests.
func (a *Agent) RecordDisconnect(e model.Endpoint, digests ...model.RequestDigests) {
	now := a.now()
	a.mu.Lock()
	defer a.mu.Unlock()
	check := a.crashChecks[e.Incarnation()]
	if check != nil && check.proof != "" && now.Sub(check.brokeAt) > kernel.CrashDedupWindow {
		// The endpoint has crashed, was restarted and has now broken a connection again. It does not report its start
		// time, and therefore kept its incarnation.
		check = nil
	}
	if check == nil {
		if len(a.crashChecks) >= maxCrashChecks {
			a.metrics.CountEvent("EndpointEndUnknown")
			return
		}
		check = &crashCheck{endpoint: e, brokeAt: now, connectDone: make(chan struct{})}
		a.crashChecks[e.Incarnation()] = check
		go a.checkCrash(check)
	}
	if len(check.unreported)+len(digests) > maxReportedDigests {
		a.metrics.CountEvent("CrashReportDropped")
		return
	}
	check.unreported = append(check.unreported, digests...)
	if check.proof != "" {
		a.scheduleReport(check)
	}
}

// HasCrashed reports whether an endpoint is known to have crashed after a connection to it broke. It waits for the
// attempt to connect to the endpoint's address.
func (a *Agent) HasCrashed(e model.Endpoint) bool {
	a.mu.Lock()
	check := a.crashChecks[e.Incarnation()]
	a.mu.Unlock()
	if check == nil {
		return false
	}
	select {
	case <-check.connectDone:
	case <-a.ctx.Done():
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return check.proof != ""
}

// checkCrash tries to connect to the endpoint to find out whether its process has ended, and removes the check after
// listTimeout.
func (a *Agent) checkCrash(check *crashCheck) {
	ctx, cancel := context.WithTimeout(a.ctx, connectTimeout)
	err := a.deps.Connect(ctx, check.endpoint.Address)
	doubtful := err != nil && a.deps.ReachesOthers != nil && !a.deps.ReachesOthers(ctx, check.endpoint)
	cancel()
	a.mu.Lock()
	close(check.connectDone)
	check.reachable = err == nil
	check.doubtful = doubtful
	switch {
	case doubtful:
		a.metrics.CountEvent("EndpointEndDoubted")
	case errors.Is(err, syscall.ECONNREFUSED):
		a.confirmCrash(check, proofRefused)
	}
	a.mu.Unlock()
	clock.Sleep(a.ctx, listTimeout)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.crashChecks[check.endpoint.Incarnation()] == check {
		delete(a.crashChecks, check.endpoint.Incarnation())
	}
}

// ApplyEndpointList applies a new list of endpoints. It confirms the crash of endpoints that are unreachable and no
// longer listed, and of those whose address belongs to another process.
func (a *Agent) ApplyEndpointList(endpoints func(pool string) []model.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quarantine.ApplyEndpointList(endpoints)
	for incarnation, check := range a.crashChecks {
		if check.proof != "" {
			continue
		}
		listed, replaced := false, false
		for _, e := range endpoints(check.endpoint.Pool) {
			listed = listed || e.Incarnation() == incarnation
			replaced = replaced || e.Incarnation() != incarnation && e.Address == check.endpoint.Address
		}
		switch {
		case replaced:
			a.confirmCrash(check, proofReplaced)
		case !listed && !check.reachable && !check.doubtful:
			a.confirmCrash(check, proofGone)
		}
	}
}

// confirmCrash records that an endpoint's process has ended, and schedules the report on its requests. The caller
// holds a.mu.
func (a *Agent) confirmCrash(check *crashCheck, proof string) {
	check.proof = proof
	a.metrics.CountEvent("EndpointEnded")
	a.scheduleReport(check)
}

// scheduleReport reports the interrupted requests after reportDelay, so that those interrupted at about the same time
// share a report. The caller holds a.mu.
func (a *Agent) scheduleReport(check *crashCheck) {
	if check.reportScheduled {
		return
	}
	check.reportScheduled = true
	time.AfterFunc(reportDelay, func() {
		a.mu.Lock()
		digests := check.unreported
		check.unreported, check.reportScheduled = nil, false
		// Another proof may be recorded while the report is made.
		reported := *check
		a.mu.Unlock()
		if len(digests) > 0 {
			a.reportCrash(&reported, digests)
		}
	})
}

// reportCrash reports a crash to the pool's coordinators, and records it on this node as well: if no other node can
// be reached, this one decides.
func (a *Agent) reportCrash(check *crashCheck, requests []model.RequestDigests) {
	incarnation, pool := check.endpoint.Incarnation(), check.endpoint.Pool
	a.logCrash(check, requests)
	report := a.newCrashReport(check.endpoint, kernel.Crash{Incarnation: incarnation, At: check.brokeAt}, requests)
	a.recordCrash(report)
	a.notify(pool, peer.KindCrash, func(coordinatorLost bool) any {
		return encodeCrash(a.now(), report, coordinatorLost)
	})
}

// recordCrash records a crash during which an endpoint worked on requests, and schedules their evaluation.
func (a *Agent) recordCrash(report kernel.CrashReport) {
	a.mu.Lock()
	for _, request := range report.Requests {
		a.quarantine.RecordCrash(a.now(), request.Request, report.Pool, report.Crash)
	}
	a.quarantine.RecordCrashReport(a.now(), report)
	a.mu.Unlock()
	a.schedulePartEvaluation()
	a.scheduleEvaluation()
}

// logCrash logs a crash, with the number of requests that have each part of a prompt.
func (a *Agent) logCrash(check *crashCheck, requests []model.RequestDigests) {
	var digests []string
	parts := zerolog.Dict()
	counts := map[model.Digest]int{}
	for _, request := range requests {
		if len(digests) < maxLoggedDigests {
			digests = append(digests, string(request.Request))
		}
		for _, part := range request.Parts {
			counts[part]++
		}
	}
	for i, part := range slices.Sorted(maps.Keys(counts)) {
		if i == maxLoggedParts {
			break
		}
		parts = parts.Int(string(part), counts[part])
	}
	a.log.Info().Str("Endpoint", check.endpoint.Incarnation()).Str("Pool", check.endpoint.Pool).Str("Proof", check.proof).Int("Requests", len(requests)).
		Strs("Digests", digests).Dict("Parts", parts).Msg("endpoint ended under requests")
}
