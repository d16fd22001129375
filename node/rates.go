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
	// rateSweepThreshold is the number of customers at which idle ones are removed before a new one is added.
	rateSweepThreshold = 64
	// rateHoldersTTL is how long the list of nodes that hold a customer's rate is cached: about as long as nodes take
	// to learn of each other.
	rateHoldersTTL = 500 * time.Millisecond
	// ratePermitTimeout bounds a call to a node that holds a rate. It allows for many round trips between hosts, also
	// if that node is busy.
	ratePermitTimeout = 250 * time.Millisecond
	// rateHoldersRetryAfter is the Retry-After time if none of the nodes that hold the customer's rate answers. Lost
	// nodes are replaced within some seconds.
	rateHoldersRetryAfter = time.Second
	// rateFallbackDelay is how long the nodes that hold a rate have to be unreachable before a node serves requests
	// without them. The fleet replaces lost nodes sooner, so this node is then partitioned from the others, or knows of
	// no other live node.
	rateFallbackDelay = 6 * time.Second
)

type (
	// rateLimiter holds this node's parts of the customers' fleet-wide rates. Entries of idle customers are removed
	// once there are many. It is safe for concurrent use.
	rateLimiter struct {
		mu        sync.Mutex
		customers map[string]customerRate
	}

	// customerRate is the state of one customer's rate on this node.
	customerRate struct {
		// bucket is the token bucket of this node's part of the rate. It is zero if the node holds none.
		bucket kernel.RateBucket
		// holders are the nodes that hold parts of the rate, as of holdersAt.
		holders   []string
		holdersAt time.Time
		// asker selects the holders that are asked.
		asker kernel.RateAsker
		// unansweredSince is the time of the first request for which no holder answered since one last did. It is zero
		// while holders answer.
		unansweredSince time.Time
	}
)

func newRateLimiter() *rateLimiter {
	return &rateLimiter{customers: map[string]customerRate{}}
}

// holders returns the nodes that hold a customer's rate. It calls compute if they are not cached.
func (r *rateLimiter) holders(now time.Time, account, self string, compute func() []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, known := r.customers[account]
	if known && now.Sub(c.holdersAt) < rateHoldersTTL {
		return c.holders
	}
	if !known && len(r.customers) >= rateSweepThreshold {
		r.sweep(now)
	}
	c.holders, c.holdersAt = compute(), now
	c.asker = c.asker.WithHolders(c.holders, self)
	r.customers[account] = c
	return c.holders
}

// take takes a token for one request from this node's part of a customer's rate, which is divided into equal parts. It
// reports whether there was one, and the Retry-After time if not.
func (r *rateLimiter) take(now time.Time, account string, fleetRate float64, parts int) (ok bool, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.customers[account]
	c.bucket, ok, wait = c.bucket.Take(now, fleetRate, parts)
	r.customers[account] = c
	return ok, wait
}

// chooseHolder returns the next node to ask for a customer's request.
func (r *rateLimiter) chooseHolder(now time.Time, account string) (holder string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.customers[account].asker.Choose(now, rand.Float64())
}

// updateAsker replaces the state of the questions about a customer's rate by the result of change.
func (r *rateLimiter) updateAsker(account string, change func(before kernel.RateAsker) kernel.RateAsker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.customers[account]
	c.asker = change(c.asker)
	r.customers[account] = c
}

// nextQuestion returns the time until a holder may be asked again; zero if no other node holds a part, or if none has
// answered lately.
func (r *rateLimiter) nextQuestion(now time.Time, account string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.customers[account]
	at, ok := c.asker.NextAt()
	if !ok || !c.unansweredSince.IsZero() {
		return 0
	}
	return max(at.Sub(now), time.Millisecond)
}

// recordHolderResult records whether a node that holds a customer's rate answered. It reports whether none has answered
// for so long that this node serves requests without them.
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

// sweep removes idle customers.
func (r *rateLimiter) sweep(now time.Time) {
	for account, c := range r.customers {
		idle := c.bucket.UpdatedAt.IsZero() || c.bucket.Full(now)
		if idle && now.Sub(c.holdersAt) >= rateHoldersTTL {
			delete(r.customers, account)
		}
	}
}

// admitRate counts a request against its customer's rate, at this node if it holds a part of the rate, otherwise at
// other nodes that do (see kernel.RateHolders). If none of them answers, as in the seconds after they were lost, the
// request is refused: otherwise each node would serve one request beyond the rate. A node that is partitioned for
// longer serves an equal part of the rate.
func (n *Node) admitRate(ctx context.Context, now time.Time, req model.Request) *model.Refusal {
	customer, _ := n.Settings().Customer(req.Team, req.Customer)
	rate := customer.RequestsPerSecond
	if rate == 0 {
		return nil
	}
	account := req.Account()
	var waits []time.Duration
	holders := n.rateHolders(now, account, rate)
	if slices.Contains(holders, n.member.Node) {
		granted, wait := n.rateLimiter.take(now, account, rate, len(holders))
		if granted {
			return nil
		}
		waits = append(waits, wait)
	}
	granted, asked, remoteWaits := n.askHolders(ctx, now, req)
	if granted {
		return nil
	}
	waits = append(waits, remoteWaits...)
	if wait := n.rateLimiter.nextQuestion(now, account); !asked && wait > 0 {
		waits = append(waits, wait)
	}
	if n.rateLimiter.recordHolderResult(now, account, len(waits) > 0) {
		granted, wait := n.rateLimiter.take(now, account, rate, n.fleet.aliveCount())
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
	return rateExceededRefusal(slices.Min(waits))
}

// askHolders asks other nodes to count a request against their parts of its customer's rate. asked is false if none may be
// asked now; waits has the times after which those that denied it have a token.
func (n *Node) askHolders(ctx context.Context, now time.Time, req model.Request) (granted, asked bool, waits []time.Duration) {
	account := req.Account()
	for range kernel.MaxHoldersAsked {
		holder, ok := n.rateLimiter.chooseHolder(now, account)
		if !ok {
			break
		}
		asked = true
		granted, wait, err := n.takeAt(ctx, holder, req)
		if granted {
			n.rateLimiter.recordHolderResult(now, account, true)
			n.rateLimiter.updateAsker(account, kernel.RateAsker.WithGrant)
			return true, true, nil
		}
		if err == nil {
			waits = append(waits, wait)
		} else {
			wait = 0
		}
		n.rateLimiter.updateAsker(account, func(a kernel.RateAsker) kernel.RateAsker { return a.WithDenial(now, holder, wait) })
	}
	if asked {
		n.rateLimiter.updateAsker(account, func(a kernel.RateAsker) kernel.RateAsker { return a.WithRefusal(now) })
	}
	return false, asked, waits
}

func rateExceededRefusal(wait time.Duration) *model.Refusal {
	return model.NewRefusal(model.NotRun, model.CustomerLimit, kernel.ClampRetryAfter(wait), "the customer's rate is used up")
}

// takeAt takes a token for a request at another node that holds a part of its customer's rate.
func (n *Node) takeAt(ctx context.Context, holder string, req model.Request) (granted bool, wait time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, ratePermitTimeout)
	defer cancel()
	var reply peer.RatePermitReply
	err = n.callMember(ctx, holder, peer.KindRatePermit, peer.RatePermit{Team: req.Team, Customer: req.Customer}, &reply)
	if err != nil {
		n.metrics.CountEvent("RateHolderUnanswered")
	}
	return reply.Granted, reply.Wait, err
}

// rateHolders returns the live nodes that hold parts of a customer's rate. If this node is leaving and no other is
// alive, it holds the whole rate.
func (n *Node) rateHolders(now time.Time, account string, rate float64) []string {
	return n.rateLimiter.holders(now, account, n.member.Node, func() []string {
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

// handleRatePermit counts a request that another node received against this node's part of the customer's rate.
func (n *Node) handleRatePermit(_ context.Context, body []byte) (any, error) {
	var request peer.RatePermit
	if err := peer.DecodeBody(body, &request); err != nil {
		return nil, err
	}
	customer, _ := n.Settings().Customer(request.Team, request.Customer)
	if customer.RequestsPerSecond == 0 {
		// The nodes' settings differ. The newer ones are assumed to be those of this node, which state no rate.
		return peer.RatePermitReply{Granted: true}, nil
	}
	now := time.Now()
	account := model.Request{Team: request.Team, Customer: request.Customer}.Account()
	holders := n.rateHolders(now, account, customer.RequestsPerSecond)
	granted, wait := n.rateLimiter.take(now, account, customer.RequestsPerSecond, len(holders))
	return peer.RatePermitReply{Granted: granted, Wait: wait}, nil
}
