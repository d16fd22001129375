package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/peer"
)

const (
	// rateSweepThreshold is how many customers' rates are kept before the idle ones are dropped.
	rateSweepThreshold = 64
	// rateHoldersTTL is how long it counts which nodes hold a customer's rate: about as long as nodes take to learn of each
	// other.
	rateHoldersTTL = 500 * time.Millisecond
	// ratePermitTimeout bounds the question to a node that holds a rate: many round trips between hosts, also for one that is
	// busy.
	ratePermitTimeout = 250 * time.Millisecond
	// rateHoldersRetryAfter is when a caller may come back whose customer's rate is held by nodes that do not answer: those
	// that are lost have been replaced some seconds later.
	rateHoldersRetryAfter = time.Second
	// maxRateDenialTTL bounds how long no node is asked again after those that were asked had nothing left.
	maxRateDenialTTL = time.Second
	// rateFallbackDelay is how long the nodes that hold a rate do not answer until a node serves without them: longer than the
	// fleet takes to replace those that are lost, so this one is cut off from the others, or knows of no other that lives.
	rateFallbackDelay = 6 * time.Second
)

type (
	// rates holds the node's parts of the customers' fleet-wide rates. A customer that idles has no entry. It is safe for
	// concurrent use.
	rateLimiter struct {
		mu        sync.Mutex
		customers map[string]customerRate
	}

	// customerRate is what the node knows of one customer's rate.
	customerRate struct {
		// share is this node's part; zero while it holds none.
		bucket kernel.RateBucket
		// holders are the nodes that hold the rate, as of holdersAt.
		holders   []string
		holdersAt time.Time
		// deniedUntil is when the first of them has something left again that were asked last.
		deniedUntil time.Time
		// unansweredSince is since when none of them has answered; zero while one does.
		unansweredSince time.Time
	}
)

func newRateLimiter() *rateLimiter {
	return &rateLimiter{customers: map[string]customerRate{}}
}

// holders returns the nodes that hold a customer's rate; decide is asked where that is not known.
func (r *rateLimiter) holders(now time.Time, account string, decide func() []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, known := r.customers[account]
	if known && now.Sub(c.holdersAt) < rateHoldersTTL {
		return c.holders
	}
	if !known && len(r.customers) >= rateSweepThreshold {
		r.sweep(now)
	}
	c.holders, c.holdersAt = decide(), now
	r.customers[account] = c
	return c.holders
}

// take counts a request against one of several parts of a customer's rate, and tells whether it is within it, and when to
// come back if not.
func (r *rateLimiter) take(now time.Time, account string, fleetRate float64, parts int) (ok bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.customers[account]
	c.bucket, ok, wait = c.bucket.Take(now, fleetRate, parts)
	r.customers[account] = c
	return ok, wait
}

// denied tells for how long it is not worth asking the nodes that hold a customer's rate.
func (r *rateLimiter) deniedFor(now time.Time, account string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.customers[account].deniedUntil.Sub(now)
}

// deny notes that the nodes that hold a customer's rate have nothing left for a time: the questions follow the rate then, not
// the requests.
func (r *rateLimiter) recordDenial(now time.Time, account string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.customers[account]
	c.deniedUntil = now.Add(min(wait, maxRateDenialTTL))
	r.customers[account] = c
}

// alone notes whether a node that holds a customer's rate answered, and tells whether none has for so long that this node
// serves without them.
func (r *rateLimiter) recordHolderResult(now time.Time, account string, answered bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.customers[account]
	switch {
	case answered:
		c.unansweredSince = time.Time{}
	case c.unansweredSince.IsZero():
		c.unansweredSince = now
	}
	r.customers[account] = c
	return !answered && now.Sub(c.unansweredSince) >= rateFallbackDelay
}

func (r *rateLimiter) sweep(now time.Time) {
	for account, c := range r.customers {
		idle := c.bucket.UpdatedAt.IsZero() || c.bucket.Full(now)
		if idle && now.Sub(c.holdersAt) >= rateHoldersTTL {
			delete(r.customers, account)
		}
	}
}

// admitRate counts a request against its customer's rate, at the nodes that hold it: this one first if it does. Where none of
// them answers, as in the seconds after they were lost, the request is refused: served without them, each node would add
// one to the rate. A node that is cut off for longer serves its even part.
func (n *Node) admitRate(ctx context.Context, now time.Time, req model.Request) *model.Refusal {
	customer, _ := n.Settings().Customer(req.Team, req.Customer)
	rate := customer.RequestsPerSecond
	if rate == 0 {
		return nil
	}
	if wait := n.rateLimiter.deniedFor(now, req.Account()); wait > 0 {
		return rateExceededRefusal(wait)
	}
	var waits []time.Duration
	holders := n.rateHolders(now, req.Account(), rate)
	for _, holder := range kernel.HoldersToAsk(holders, n.member.Node, rand.Float64()) {
		granted, wait, err := n.takeAt(ctx, holder, req, func() (bool, time.Duration) {
			return n.rateLimiter.take(now, req.Account(), rate, len(holders))
		})
		if granted {
			n.rateLimiter.recordHolderResult(now, req.Account(), true)
			return nil
		}
		if err == nil {
			waits = append(waits, wait)
		}
	}
	if n.rateLimiter.recordHolderResult(now, req.Account(), len(waits) > 0) {
		granted, wait := n.rateLimiter.take(now, req.Account(), rate, n.fleet.aliveCount())
		if granted {
			n.metrics.CountEvent("RateServedAlone")
			return nil
		}
		waits = append(waits, wait)
	}
	if len(waits) == 0 {
		n.metrics.CountEvent("RateHoldersSilent")
		return model.NewRefusal(model.NotRun, model.OwnerUnreachable, rateHoldersRetryAfter, "the nodes that hold the customer's rate do not answer")
	}
	wait := slices.Min(waits)
	n.rateLimiter.recordDenial(now, req.Account(), wait)
	return rateExceededRefusal(wait)
}

func rateExceededRefusal(wait time.Duration) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.CustomerLimit, kernel.ClampRetryAfter(wait), "the customer's rate is used up")
}

// takeAt counts a request at a node that holds a part of its customer's rate; own counts it at this one.
func (n *Node) takeAt(ctx context.Context, holder string, req model.Request, own func() (bool, time.Duration)) (granted bool, wait time.Duration, err error) {
	if holder == n.member.Node {
		granted, wait = own()
		return granted, wait, nil
	}
	ctx, cancel := context.WithTimeout(ctx, ratePermitTimeout)
	defer cancel()
	var reply peer.RatePermitReply
	err = n.callMember(ctx, holder, peer.KindRatePermit, peer.RatePermit{Team: req.Team, Customer: req.Customer}, &reply)
	if err != nil {
		n.metrics.CountEvent("RateHolderUnanswered")
	}
	return reply.Granted, reply.Wait, err
}

// rateHolders returns the live nodes that hold a customer's rate; a node that leaves as the last one holds it alone.
func (n *Node) rateHolders(now time.Time, account string, rate float64) []string {
	return n.rateLimiter.holders(now, account, func() []string {
		members, _ := n.fleet.alive()
		nodes := make([]string, 0, len(members))
		for _, m := range members {
			nodes = append(nodes, m.Node)
		}
		if len(nodes) == 0 {
			return []string{n.member.Node}
		}
		return kernel.RateHolders(rate, account, nodes)
	})
}

// handleRatePermit counts a request that another node got against the part of its customer's rate that this one holds.
func (n *Node) handleRatePermit(_ context.Context, body []byte) (any, error) {
	var question peer.RatePermit
	if err := peer.DecodeBody(body, &question); err != nil {
		return nil, err
	}
	customer, _ := n.Settings().Customer(question.Team, question.Customer)
	if customer.RequestsPerSecond == 0 {
		// The newer settings hold, and they state no rate.
		return peer.RatePermitReply{Granted: true}, nil
	}
	now := time.Now()
	account := model.Request{Team: question.Team, Customer: question.Customer}.Account()
	holders := n.rateHolders(now, account, customer.RequestsPerSecond)
	granted, wait := n.rateLimiter.take(now, account, customer.RequestsPerSecond, len(holders))
	return peer.RatePermitReply{Granted: granted, Wait: wait}, nil
}
