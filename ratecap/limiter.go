package ratecap

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/metric"
	"basilstall.example/basilstall/model"
)

const (
	// sweepInterval is how often beliefs are compared with what is published.
	sweepInterval = 200 * time.Millisecond
	// nodesRefreshInterval is how often it is looked which nodes there are.
	nodesRefreshInterval = time.Second
	// rankTTL is how long this node's rank by an endpoint's hash counts: about as long as nodes take to learn of
	// each other.
	rankTTL = 500 * time.Millisecond
	// publishTimeout bounds the writing of a cap.
	publishTimeout = 2 * time.Second
)

type (
	// Dependencies are how a limiter learns of nodes and endpoints, and tells other nodes.
	Dependencies struct {
		// Announced returns the nodes that have announced themselves and are not leaving, whether they answer or not.
		Announced func() []kernel.Peer
		// Listed tells whether an incarnation of an endpoint is listed.
		Listed func(incarnation string) bool
		// Part returns which part of its cap an endpoint's senders may use, and batchers of pieces as well; nil where that
		// is always all of it.
		Part func(incarnation string) float64
		// Publish has all nodes learn what an endpoint states, or that it states nothing.
		Publish func(ctx context.Context, incarnation string, stated model.RateCap) error
		// RequestPermit asks another node for a permit to send one request to an endpoint of a pool; where it is not granted, wait is
		// when this node's turn comes. Nil where nodes do not ask each other.
		RequestPermit func(ctx context.Context, node, pool, incarnation string) (granted bool, wait time.Duration, err error)
		// Changed is called after each change of what is stated.
		Changed func()
	}

	// Limiter is one node's part in keeping the caps. It is safe for concurrent use.
	Limiter struct {
		name    string
		deps    Dependencies
		now     func() time.Time
		metrics *metric.Set
		log     zerolog.Logger

		// count is the length of known: where it is 0, as nearly always, nothing is locked for a request.
		endpointCount atomic.Int64

		mu sync.Mutex
		// known is by the incarnations of endpoints.
		endpoints map[string]*endpointCap
		// nodes share the caps, as of nodesRefreshedAt.
		nodes            kernel.SettledNodes
		nodesRefreshedAt time.Time
	}

	endpointCap struct {
		publisher kernel.CapNews
		// rank is this node's by the endpoint's hash, as of rankedAt.
		rank     int
		rankedAt time.Time
		// permits are those that this node may ask for, of the nodes that share the cap as of sharersAt.
		permits   kernel.Permits
		sharersAt time.Time
		// desk is this node's part in granting them.
		issuer kernel.PermitDesk
		// publishing is true while the view is being written.
		publishing bool
	}
)

// NewLimiter returns a limiter that knows of no cap; it works until ctx ends.
func NewLimiter(ctx context.Context, name string, deps Dependencies, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Limiter {
	l := &Limiter{name: name, deps: deps, now: now, metrics: metrics, log: log, endpoints: map[string]*endpointCap{}}
	go func() {
		for clock.Sleep(ctx, sweepInterval) {
			l.sweep(ctx)
		}
	}()
	return l
}

// Len returns how many endpoints state a cap.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.endpoints {
		if c.publisher.Belief.Cap.Stated {
			n++
		}
	}
	return n
}

// View returns what this node believes of an endpoint's cap.
func (l *Limiter) View(incarnation string) kernel.CapBelief {
	if l.endpointCount.Load() == 0 {
		return kernel.CapBelief{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.endpoints[incarnation]; c != nil {
		return c.publisher.Belief
	}
	return kernel.CapBelief{}
}

// PartialView returns the part of an endpoint's cap that all nodes together may use for requests, and batchers for pieces as well.
func (l *Limiter) PartialView(incarnation string) kernel.CapBelief {
	return l.partialView(incarnation, l.View(incarnation))
}

func (l *Limiter) partialView(incarnation string, view kernel.CapBelief) kernel.CapBelief {
	if !view.Cap.Stated || l.deps.Part == nil {
		return view
	}
	return view.WithPart(l.deps.Part(incarnation))
}

// HasCap tells whether an endpoint states a cap.
func (l *Limiter) HasCap(incarnation string) bool {
	return l.View(incarnation).Cap.Stated
}

// Admits tells whether this node, which last sent to an endpoint at a time, may send to it now.
func (l *Limiter) Admits(now time.Time, e model.Endpoint, sentAt time.Time) bool {
	view := l.PartialView(e.Incarnation())
	return !view.Cap.Stated || view.Due(now, sentAt, l.Rank(now, e.Incarnation()))
}

// AdmitPool returns the refusal of a request that only endpoints at their caps could serve; nil where others take work.
func (l *Limiter) AdmitPool(now time.Time, pool string, endpoints []model.Endpoint, sentAt func(incarnation string) time.Time) *model.Refusal {
	var capped []kernel.CappedEndpoint
	for _, e := range endpoints {
		if !e.TakesWork() {
			continue
		}
		incarnation := e.Incarnation()
		view := l.PartialView(incarnation)
		if !view.Cap.Stated {
			return nil
		}
		at, ok := l.permitRequestAt(now, incarnation)
		capped = append(capped, kernel.CappedEndpoint{
			Belief: view, SentAt: sentAt(incarnation), Place: l.Rank(now, incarnation), Asks: ok, AskAt: at,
		})
	}
	return kernel.AdmitCapped(now, pool, capped)
}

// RecordSend counts what is sent to endpoints that state a cap.
func (l *Limiter) RecordSend(e model.Endpoint) {
	if l.HasCap(e.Incarnation()) {
		l.metrics.Event("SentUnderRateCap")
	}
}

// RecordAnswer takes in what an endpoint's answer to a request that was sent at a time says of the requests that it takes.
func (l *Limiter) RecordAnswer(sentAt time.Time, e model.Endpoint, stated model.RateCap) {
	if !stated.Stated && !l.HasCap(e.Incarnation()) {
		return
	}
	before, after := l.update(e.Incarnation(), func(c *endpointCap) {
		c.publisher.Belief = c.publisher.Belief.WithAnswer(sentAt, l.now(), stated)
	})
	l.reportChange(e.Incarnation(), "endpoint", before, after)
}

// ApplyNotice takes in what other nodes say of an endpoint from now on.
func (l *Limiter) ApplyNotice(incarnation string, stated model.RateCap) {
	before, after := l.update(incarnation, func(c *endpointCap) { c.publisher.Notice(l.now(), stated) })
	l.reportChange(incarnation, "nodes", before, after)
}

// change changes what is known of an endpoint, and returns the view before and after.
func (l *Limiter) update(incarnation string, apply func(*endpointCap)) (before, after kernel.CapBelief) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil {
		c = &endpointCap{}
	}
	before = c.publisher.Belief
	apply(c)
	l.endpoints[incarnation] = c
	if c.publisher.Forgettable() && !c.publishing {
		delete(l.endpoints, incarnation)
	}
	l.endpointCount.Store(int64(len(l.endpoints)))
	return before, c.publisher.Belief
}

func (l *Limiter) reportChange(incarnation, from string, before, after kernel.CapBelief) {
	if before.Cap == after.Cap {
		return
	}
	l.metrics.Event("RateCapChanged")
	l.log.Info().Str("Endpoint", incarnation).Str("From", from).Bool("Stated", after.Cap.Stated).
		Float64("PerSecond", after.Cap.PerSecond).Float64("Before", before.Cap.PerSecond).Msg("rate cap of an endpoint")
	l.deps.Changed()
}

// Rank returns how many of the nodes that share what an endpoint takes come before this one by the endpoint's hash:
// math.MaxInt while others may not have heard of this one yet.
func (l *Limiter) Rank(now time.Time, incarnation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil {
		return l.nodes.Place(now, l.name, incarnation)
	}
	if c.rankedAt.IsZero() || now.Sub(c.rankedAt) >= rankTTL {
		c.rank = l.nodes.Place(now, l.name, incarnation)
		c.rankedAt = now
	}
	return c.rank
}

// sweep tells the others what they don't know and forgets endpoints that are gone.
func (l *Limiter) sweep(ctx context.Context) {
	now := l.now()
	l.refreshNodes(now)
	for _, incarnation := range l.incarnations() {
		listed := l.deps.Listed(incarnation)
		rank := l.Rank(now, incarnation)
		shouldPublish := false
		before, after := l.update(incarnation, func(c *endpointCap) {
			c.publisher.Listed(now, listed)
			shouldPublish = !c.publishing && c.publisher.Publishes(now, rank, rand.Float64())
			c.publishing = c.publishing || shouldPublish
		})
		l.reportChange(incarnation, "list", before, after)
		if shouldPublish {
			go l.publish(ctx, incarnation, after.Cap)
		}
	}
}

func (l *Limiter) refreshNodes(now time.Time) {
	if now.Sub(l.nodesRefreshedAt) < nodesRefreshInterval {
		return
	}
	announced := l.deps.Announced()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = l.nodes.With(now, announced)
	l.nodesRefreshedAt = now
}

func (l *Limiter) incarnations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.endpoints))
}

func (l *Limiter) publish(ctx context.Context, incarnation string, stated model.RateCap) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	err := l.deps.Publish(ctx, incarnation, stated)
	if err != nil {
		l.metrics.Event("RateCapNotPublished")
	}
	l.update(incarnation, func(c *endpointCap) {
		c.publishing = false
		c.publisher.Wrote(l.now(), stated, err == nil)
	})
}
