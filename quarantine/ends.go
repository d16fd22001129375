package quarantine

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

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
	// listTimeout is how long a crash check is kept. If connecting does not settle whether the process has ended, the
	// list of endpoints may show it: heartbeats must be missed before the entry lapses.
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
	// unreported are the interrupted requests that have not been reported yet.
	unreported []model.Digest
	// proof is empty until the crash is proven.
	proof string
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
func (c *Agent) RecordDisconnect(e model.Endpoint, digests ...model.Digest) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.crashChecks[e.Incarnation()]
	if check != nil && check.proof != "" && now.Sub(check.brokeAt) > kernel.CrashDedupWindow {
		// The endpoint was restarted under the same incarnation, as it does not report its start time, and has now
		// broken the connection again.
		check = nil
	}
	if check == nil {
		if len(c.crashChecks) >= maxCrashChecks {
			c.metrics.CountEvent("EndpointEndUnknown")
			return
		}
		check = &crashCheck{endpoint: e, brokeAt: now, connectDone: make(chan struct{})}
		c.crashChecks[e.Incarnation()] = check
		go c.checkCrash(check)
	}
	if len(check.unreported)+len(digests) > maxReportedDigests {
		c.metrics.CountEvent("CrashReportDropped")
		return
	}
	check.unreported = append(check.unreported, digests...)
	if check.proof != "" {
		c.scheduleReport(check)
	}
}

// HasCrashed reports whether an endpoint is known to have crashed after a connection to it broke. It waits for the
// attempt to connect to the endpoint's address.
func (c *Agent) HasCrashed(e model.Endpoint) bool {
	c.mu.Lock()
	check := c.crashChecks[e.Incarnation()]
	c.mu.Unlock()
	if check == nil {
		return false
	}
	select {
	case <-check.connectDone:
	case <-c.ctx.Done():
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return check.proof != ""
}

// checkCrash tries to connect to the endpoint to find out whether its process has ended, and removes the check after
// listTimeout.
func (c *Agent) checkCrash(check *crashCheck) {
	ctx, cancel := context.WithTimeout(c.ctx, connectTimeout)
	err := c.deps.Connect(ctx, check.endpoint.Address)
	cancel()
	c.mu.Lock()
	close(check.connectDone)
	check.reachable = err == nil
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.confirmCrash(check, proofRefused)
	}
	c.mu.Unlock()
	clock.Sleep(c.ctx, listTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashChecks[check.endpoint.Incarnation()] == check {
		delete(c.crashChecks, check.endpoint.Incarnation())
	}
}

// ApplyEndpointList applies a new list of endpoints. It confirms the crash of endpoints that are unreachable and no
// longer listed, and of those whose address belongs to another process.
func (c *Agent) ApplyEndpointList(endpoints func(pool string) []model.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, check := range c.crashChecks {
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
			c.confirmCrash(check, proofReplaced)
		case !listed && !check.reachable:
			c.confirmCrash(check, proofGone)
		}
	}
}

// confirmCrash records that an endpoint's process has ended, and schedules the report on its requests. The caller
// holds c.mu.
func (c *Agent) confirmCrash(check *crashCheck, proof string) {
	check.proof = proof
	c.metrics.CountEvent("EndpointEnded")
	c.scheduleReport(check)
}

// scheduleReport reports the interrupted requests after reportDelay, so that those interrupted at about the same time
// share a report. The caller holds c.mu.
func (c *Agent) scheduleReport(check *crashCheck) {
	if check.reportScheduled {
		return
	}
	check.reportScheduled = true
	time.AfterFunc(reportDelay, func() {
		c.mu.Lock()
		digests := check.unreported
		check.unreported, check.reportScheduled = nil, false
		c.mu.Unlock()
		if len(digests) > 0 {
			c.reportCrash(check, digests)
		}
	})
}

// reportCrash reports a crash to the pool's coordinators, and records it on this node as well: if no other node can
// be reached, this one decides.
func (c *Agent) reportCrash(check *crashCheck, digests []model.Digest) {
	incarnation, pool := check.endpoint.Incarnation(), check.endpoint.Pool
	var names []string
	for _, digest := range digests[:min(len(digests), maxLoggedDigests)] {
		names = append(names, string(digest))
	}
	c.log.Info().Str("Endpoint", incarnation).Str("Pool", pool).Str("Proof", check.proof).Int("Requests", len(digests)).
		Strs("Digests", names).Msg("endpoint ended under requests")
	c.recordCrash(pool, kernel.Crash{Incarnation: incarnation, At: check.brokeAt}, digests)
	c.notify(pool, peer.KindCrash, func(lost bool) any {
		return peer.Crash{Pool: pool, Incarnation: incarnation, EndedAgo: c.now().Sub(check.brokeAt), Digests: digests, CoordinatorLost: lost}
	})
}

func (c *Agent) recordCrash(pool string, crash kernel.Crash, digests []model.Digest) {
	c.mu.Lock()
	for _, digest := range digests {
		c.quarantine.RecordCrash(c.now(), digest, pool, crash)
	}
	c.mu.Unlock()
	c.scheduleEvaluation()
}
