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
	// connectTimeout bounds the attempt to connect to an endpoint that broke off.
	connectTimeout = 700 * time.Millisecond
	// reportDelay is how long what else breaks off at the same end is waited for, to be told at once.
	reportDelay = 20 * time.Millisecond
	// listTimeout is how long the list of endpoints may take to say that a process has ended that could not be
	// connected to: heartbeats have to fail to come, and then the entry lapses.
	listTimeout = 8 * time.Second
	// maxCrashChecks bounds the endpoints that are looked into, maxReportedDigests the requests that are reported of one.
	maxCrashChecks     = 1024
	maxReportedDigests = 512
)

// The proofs that an endpoint's process ended.
const (
	proofRefused  = "nothing listens at its address"
	proofReplaced = "another process has its address"
	proofGone     = "it does not answer, and is no longer listed"
)

// end is what is known of whether an endpoint's process ended.
type crashCheck struct {
	endpoint model.Endpoint
	// at is when the first request broke off there.
	brokeAt time.Time
	// digests are the requests that have not been reported yet.
	unreported []model.Digest
	// proof is empty until the end is proven; answers tells that something listens at the address.
	proof     string
	reachable bool
	// looked is closed once the address was tried.
	connectTried chan struct{}
	// flushing is true while what was collected is about to be reported.
	reportScheduled bool
}

// RecordDisconnect notes that an endpoint broke off while it worked on requests. Whether its process ended is found out: an
// endpoint that lives on, and resets a connection, says nothing of the requests.
func (c *Coordinator) RecordDisconnect(e model.Endpoint, digests ...model.Digest) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.crashChecks[e.Incarnation()]
	if check != nil && check.proof != "" && now.Sub(check.brokeAt) > kernel.CrashDedupWindow {
		// It had ended, was connected to all the same, and broke off again: it does not say when it started.
		check = nil
	}
	if check == nil {
		if len(c.crashChecks) >= maxCrashChecks {
			c.metrics.Event("EndpointEndUnknown")
			return
		}
		check = &crashCheck{endpoint: e, brokeAt: now, connectTried: make(chan struct{})}
		c.crashChecks[e.Incarnation()] = check
		go c.checkCrash(check)
	}
	if len(check.unreported)+len(digests) > maxReportedDigests {
		c.metrics.Event("CrashReportDropped")
		return
	}
	check.unreported = append(check.unreported, digests...)
	if check.proof != "" {
		c.scheduleReport(check)
	}
}

// HasCrashed tells whether an endpoint that broke off has ended, as soon as that is known from its address.
func (c *Coordinator) HasCrashed(e model.Endpoint) bool {
	c.mu.Lock()
	check := c.crashChecks[e.Incarnation()]
	c.mu.Unlock()
	if check == nil {
		return false
	}
	select {
	case <-check.connectTried:
	case <-c.ctx.Done():
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return check.proof != ""
}

// checkCrash finds out whether an endpoint's process has ended, and forgets it after a while.
func (c *Coordinator) checkCrash(check *crashCheck) {
	ctx, cancel := context.WithTimeout(c.ctx, connectTimeout)
	err := c.deps.Connect(ctx, check.endpoint.Address)
	cancel()
	c.mu.Lock()
	close(check.connectTried)
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

// ApplyEndpointList takes in which endpoints are listed. It proves the end of those that do not answer and are gone, and of those
// whose address another process has.
func (c *Coordinator) ApplyEndpointList(endpoints func(pool string) []model.Endpoint) {
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

// proven notes that an endpoint's process has ended and has its requests reported. The lock is held.
func (c *Coordinator) confirmCrash(check *crashCheck, proof string) {
	check.proof = proof
	c.metrics.Event("EndpointEnded")
	c.scheduleReport(check)
}

// flush reports the requests that were under way at an end, all that break off at the same moment at once. The lock
// is held.
func (c *Coordinator) scheduleReport(check *crashCheck) {
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

// report tells the pool's coordinators, and counts here as well: where no other node can be reached this one decides.
func (c *Coordinator) reportCrash(check *crashCheck, digests []model.Digest) {
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

func (c *Coordinator) recordCrash(pool string, crash kernel.Crash, digests []model.Digest) {
	c.mu.Lock()
	for _, digest := range digests {
		c.q.RecordCrash(c.now(), digest, pool, crash)
	}
	c.mu.Unlock()
	c.scheduleEvaluation()
}
