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
	// collectTime is how long what else breaks off at the same end is waited for, to be told at once.
	collectTime = 20 * time.Millisecond
	// listTime is how long the list of endpoints may take to say that a process has ended that could not be
	// connected to: heartbeats have to fail to come, and then the entry lapses.
	listTime = 8 * time.Second
	// mostEnds bounds the endpoints that are looked into, mostDigests the requests that are reported of one.
	mostEnds    = 1024
	mostDigests = 512
)

// The proofs that an endpoint's process ended.
const (
	proofRefused  = "nothing listens at its address"
	proofReplaced = "another process has its address"
	proofGone     = "it does not answer, and is no longer listed"
)

// end is what is known of whether an endpoint's process ended.
type end struct {
	endpoint model.Endpoint
	// at is when the first request broke off there.
	at time.Time
	// digests are the requests that have not been reported yet.
	digests []model.Digest
	// proof is empty until the end is proven; answers tells that something listens at the address.
	proof   string
	answers bool
	// looked is closed once the address was tried.
	looked chan struct{}
	// flushing is true while what was collected is about to be reported.
	flushing bool
}

// BrokeOff notes that an endpoint broke off while it worked on requests. Whether its process ended is found out: an
// endpoint that lives on, and resets a connection, says nothing of the requests.
func (c *Coordinator) BrokeOff(e model.Endpoint, digests ...model.Digest) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.ends[e.Incarnation()]
	if d != nil && d.proof != "" && now.Sub(d.at) > kernel.CrashDedupWindow {
		// It had ended, was connected to all the same, and broke off again: it does not say when it started.
		d = nil
	}
	if d == nil {
		if len(c.ends) >= mostEnds {
			c.metrics.Event("EndpointEndUnknown")
			return
		}
		d = &end{endpoint: e, at: now, looked: make(chan struct{})}
		c.ends[e.Incarnation()] = d
		go c.lookInto(d)
	}
	if len(d.digests)+len(digests) > mostDigests {
		c.metrics.Event("CrashReportDropped")
		return
	}
	d.digests = append(d.digests, digests...)
	if d.proof != "" {
		c.flush(d)
	}
}

// HasEnded tells whether an endpoint that broke off has ended, as soon as that is known from its address.
func (c *Coordinator) HasEnded(e model.Endpoint) bool {
	c.mu.Lock()
	d := c.ends[e.Incarnation()]
	c.mu.Unlock()
	if d == nil {
		return false
	}
	select {
	case <-d.looked:
	case <-c.ctx.Done():
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return d.proof != ""
}

// lookInto finds out whether an endpoint's process has ended, and forgets it after a while.
func (c *Coordinator) lookInto(d *end) {
	ctx, cancel := context.WithTimeout(c.ctx, connectTimeout)
	err := c.seams.Connect(ctx, d.endpoint.Address)
	cancel()
	c.mu.Lock()
	close(d.looked)
	d.answers = err == nil
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.proven(d, proofRefused)
	}
	c.mu.Unlock()
	clock.Sleep(c.ctx, listTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ends[d.endpoint.Incarnation()] == d {
		delete(c.ends, d.endpoint.Incarnation())
	}
}

// Listed takes in which endpoints are listed. It proves the end of those that do not answer and are gone, and of those
// whose address another process has.
func (c *Coordinator) Listed(endpoints func(pool string) []model.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, d := range c.ends {
		if d.proof != "" {
			continue
		}
		listed, replaced := false, false
		for _, e := range endpoints(d.endpoint.Pool) {
			listed = listed || e.Incarnation() == incarnation
			replaced = replaced || e.Incarnation() != incarnation && e.Address == d.endpoint.Address
		}
		switch {
		case replaced:
			c.proven(d, proofReplaced)
		case !listed && !d.answers:
			c.proven(d, proofGone)
		}
	}
}

// proven notes that an endpoint's process has ended and has its requests reported. The lock is held.
func (c *Coordinator) proven(d *end, proof string) {
	d.proof = proof
	c.metrics.Event("EndpointEnded")
	c.flush(d)
}

// flush reports the requests that were under way at an end, all that break off at the same moment at once. The lock
// is held.
func (c *Coordinator) flush(d *end) {
	if d.flushing {
		return
	}
	d.flushing = true
	time.AfterFunc(collectTime, func() {
		c.mu.Lock()
		digests := d.digests
		d.digests, d.flushing = nil, false
		c.mu.Unlock()
		if len(digests) > 0 {
			c.report(d, digests)
		}
	})
}

// report tells the pool's coordinators, and counts here as well: where no other node can be reached this one decides.
func (c *Coordinator) report(d *end, digests []model.Digest) {
	incarnation, pool := d.endpoint.Incarnation(), d.endpoint.Pool
	var names []string
	for _, digest := range digests[:min(len(digests), mostLogged)] {
		names = append(names, string(digest))
	}
	c.log.Info().Str("Endpoint", incarnation).Str("Pool", pool).Str("Proof", d.proof).Int("Requests", len(digests)).
		Strs("Digests", names).Msg("endpoint ended under requests")
	c.takeCrash(pool, kernel.Crash{Incarnation: incarnation, At: d.at}, digests)
	c.notify(pool, peer.KindCrash, func(lost bool) any {
		return peer.Crash{Pool: pool, Incarnation: incarnation, EndedAgo: c.now().Sub(d.at), Digests: digests, CoordinatorLost: lost}
	})
}

func (c *Coordinator) takeCrash(pool string, crash kernel.Crash, digests []model.Digest) {
	c.mu.Lock()
	for _, digest := range digests {
		c.q.RecordCrash(c.now(), digest, pool, crash)
	}
	c.mu.Unlock()
	c.judgeSoon()
}
