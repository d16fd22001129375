package ratecap

import (
	"cmp"
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
	// sweepInterval is the interval at which the caps known to this node are compared with the published ones.
	sweepInterval = 200 * time.Millisecond
	// nodesRefreshInterval is the minimum interval between updates of the nodes that share the caps.
	nodesRefreshInterval = time.Second
	// rankTTL is how long this node's rank for an endpoint is cached: about as long as nodes take to learn of each
	// other.
	rankTTL = 500 * time.Millisecond
	// publishTimeout bounds the publication of a cap.
	publishTimeout = 2 * time.Second
)

type (
	// Dependencies are the functions through which a Limiter learns of nodes and endpoints, and informs other nodes.
	Dependencies struct {
		// Kind is the kind of the caps in the names of events, and Name that in log lines: a rate cap if they are empty.
		Kind, Name string
		// Announced returns the nodes that have announced themselves and are not leaving, whether or not they answer.
		Announced func() []kernel.Peer
		// Listed reports whether an incarnation of an endpoint is listed.
		Listed func(incarnation string) bool
		// Fraction returns the fraction of an endpoint's cap, from 0 to 1, that requests may use. Calls for pieces (see
		// kernel.BatchQueue) may use a fraction of the same size. It is nil if the whole cap may always be used.
		Fraction func(incarnation string) float64
		// Publish informs all nodes of the cap that an endpoint states, or that it states none.
		Publish func(ctx context.Context, incarnation string, stated model.RateCap) error
		// RequestPermit asks another node for a permit to send one request to an endpoint of a pool. If the permit is
		// denied, wait is the time until this node's turn. It is nil if nodes do not ask each other for permits.
		RequestPermit func(ctx context.Context, node, pool, incarnation string) (granted bool, wait time.Duration, err error)
		// Changed is called after each change of a cap known to this node.
		Changed func()
	}

	// Limiter limits what one node sends to endpoints with rate caps. It is safe for concurrent use.
	Limiter struct {
		name    string
		deps    Dependencies
		now     func() time.Time
		metrics *metric.Set
		log     zerolog.Logger

		// endpointCount is the length of endpoints. Caps are rare: while it is 0, requests do not lock mu.
		endpointCount atomic.Int64

		mu sync.Mutex
		// endpoints holds what is known of endpoints with caps, by incarnation.
		endpoints map[string]*endpointCap
		// nodes are the nodes that share the caps, as of nodesRefreshedAt.
		nodes            kernel.SettledNodes
		nodesRefreshedAt time.Time
	}

	// endpointCap is what this node knows of the cap of one endpoint.
	endpointCap struct {
		// publisher holds the node's view of the cap and decides when it is published.
		publisher kernel.CapPublisher
		// rank is this node's rank for the endpoint, as of rankedAt.
		rank     int
		rankedAt time.Time
		// permits chooses whom to ask for a permit among the nodes that share the cap, as of sharersAt.
		permits   kernel.PermitRequester
		sharersAt time.Time
		// issuer grants permits to other nodes.
		issuer kernel.PermitIssuer
		// publishing is true while the cap is being published.
		publishing bool
	}
)

// NewLimiter returns a limiter that knows of no cap. Its background work ends with ctx.
func NewLimiter(ctx context.Context, name string, deps Dependencies, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Limiter {
	deps.Kind, deps.Name = cmp.Or(deps.Kind, "RateCap"), cmp.Or(deps.Name, "rate cap")
	l := &Limiter{name: name, deps: deps, now: now, metrics: metrics, log: log, endpoints: map[string]*endpointCap{}}
	go func() {
		for clock.Sleep(ctx, sweepInterval) {
			l.sweep(ctx)
		}
	}()
	return l
}

// Len returns the number of endpoints that state a cap.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.endpoints {
		if c.publisher.View.Cap.Stated {
			n++
		}
	}
	return n
}

// View returns what this node knows of an endpoint's cap.
func (l *Limiter) View(incarnation string) kernel.CapView {
	if l.endpointCount.Load() == 0 {
		return kernel.CapView{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.endpoints[incarnation]; c != nil {
		return c.publisher.View
	}
	return kernel.CapView{}
}

// FractionalView returns an endpoint's cap, reduced to the fraction that all nodes together may use for requests. They
// may use a fraction of the same size for calls for pieces.
func (l *Limiter) FractionalView(incarnation string) kernel.CapView {
	return l.fractionalView(incarnation, l.View(incarnation))
}

func (l *Limiter) fractionalView(incarnation string, view kernel.CapView) kernel.CapView {
	if !view.Cap.Stated || l.deps.Fraction == nil {
		return view
	}
	return view.WithFraction(l.deps.Fraction(incarnation))
}

// HasCap reports whether an endpoint states a cap.
func (l *Limiter) HasCap(incarnation string) bool {
	return l.View(incarnation).Cap.Stated
}

// Admits reports whether the endpoint's cap lets this node, which last sent to the endpoint at sentAt, send to it now.
func (l *Limiter) Admits(now time.Time, e model.Endpoint, sentAt time.Time) bool {
	view := l.FractionalView(e.Incarnation())
	return !view.Cap.Stated || view.Due(now, sentAt, l.Rank(now, e.Incarnation()))
}

// AdmitPool returns a refusal if all endpoints of a pool that accept work now have caps, and this node may neither send
// to one of them now nor ask for a permit. sentAt returns when this node last sent to an endpoint.
func (l *Limiter) AdmitPool(now time.Time, pool string, endpoints []model.Endpoint, sentAt func(incarnation string) time.Time) *model.Refusal {
	return kernel.AdmitCapped(now, pool, l.cappedEndpoints(now, endpoints, sentAt))
}

// RefusePool returns the refusal of a request whose permits were denied, or nil if an endpoint of its pool has no cap.
func (l *Limiter) RefusePool(now time.Time, pool string, endpoints []model.Endpoint, sentAt func(incarnation string) time.Time) *model.Refusal {
	return kernel.RefuseCapped(now, pool, l.cappedEndpoints(now, endpoints, sentAt))
}

// cappedEndpoints returns the endpoints that accept work now if all of these have caps, and none otherwise.
func (l *Limiter) cappedEndpoints(now time.Time, endpoints []model.Endpoint, sentAt func(incarnation string) time.Time) []kernel.CappedEndpoint {
	var capped []kernel.CappedEndpoint
	for _, e := range endpoints {
		if !e.Accepts(now) {
			continue
		}
		incarnation := e.Incarnation()
		view := l.FractionalView(incarnation)
		if !view.Cap.Stated {
			return nil
		}
		at, ok := l.permitRequestAt(now, incarnation)
		capped = append(capped, kernel.CappedEndpoint{
			View: view, SentAt: sentAt(incarnation), Rank: l.Rank(now, incarnation), MayRequestPermit: ok, NextPermitRequestAt: at,
		})
	}
	return capped
}

// RecordSend counts the requests and calls for pieces that are sent to endpoints with caps.
func (l *Limiter) RecordSend(e model.Endpoint) {
	if l.HasCap(e.Incarnation()) {
		l.metrics.CountEvent("SentUnder" + l.deps.Kind)
	}
}

// RecordAnswer applies the cap, or its absence, in an endpoint's answer to a request that was sent at sentAt.
func (l *Limiter) RecordAnswer(sentAt time.Time, e model.Endpoint, stated model.RateCap) {
	if !stated.Stated && !l.HasCap(e.Incarnation()) {
		return
	}
	before, after := l.update(e.Incarnation(), func(c *endpointCap) {
		c.publisher.View = c.publisher.View.WithAnswer(sentAt, l.now(), stated)
	})
	l.reportChange(e.Incarnation(), "endpoint", before, after)
}

// ApplyNotice applies the cap, or its absence, that other nodes have published for an endpoint.
func (l *Limiter) ApplyNotice(incarnation string, stated model.RateCap) {
	before, after := l.update(incarnation, func(c *endpointCap) { c.publisher.ApplyNotice(l.now(), stated) })
	l.reportChange(incarnation, "nodes", before, after)
}

// update changes what is known of an endpoint, and returns the views before and after the change. An endpoint is
// removed if no cap of it is known or published and no publication is in progress.
func (l *Limiter) update(incarnation string, apply func(*endpointCap)) (before, after kernel.CapView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil {
		c = &endpointCap{}
	}
	before = c.publisher.View
	apply(c)
	l.endpoints[incarnation] = c
	if c.publisher.Removable() && !c.publishing {
		delete(l.endpoints, incarnation)
	}
	l.endpointCount.Store(int64(len(l.endpoints)))
	return before, c.publisher.View
}

// reportChange logs a changed cap and calls Changed. from is the source of the change: "endpoint", "nodes" or "list".
func (l *Limiter) reportChange(incarnation, from string, before, after kernel.CapView) {
	if before.Cap == after.Cap {
		return
	}
	l.metrics.CountEvent(l.deps.Kind + "Changed")
	l.log.Info().Str("Endpoint", incarnation).Str("From", from).Bool("Stated", after.Cap.Stated).
		Float64("PerSecond", after.Cap.PerSecond).Float64("Before", before.Cap.PerSecond).Msg(l.deps.Name + " of an endpoint")
	l.deps.Changed()
}

// Rank returns this node's rank among the nodes that share an endpoint's cap, in the order of the endpoint's
// rendezvous hash, starting with 0. It is math.MaxInt while other nodes may not have heard of this one yet.
func (l *Limiter) Rank(now time.Time, incarnation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.endpoints[incarnation]
	if c == nil {
		return l.nodes.Rank(now, l.name, incarnation)
	}
	if c.rankedAt.IsZero() || now.Sub(c.rankedAt) >= rankTTL {
		c.rank = l.nodes.Rank(now, l.name, incarnation)
		c.rankedAt = now
	}
	return c.rank
}

// sweep publishes caps that differ from the published ones, and removes those of endpoints that are no longer listed.
func (l *Limiter) sweep(ctx context.Context) {
	now := l.now()
	l.refreshNodes(now)
	for _, incarnation := range l.incarnations() {
		listed := l.deps.Listed(incarnation)
		rank := l.Rank(now, incarnation)
		shouldPublish := false
		before, after := l.update(incarnation, func(c *endpointCap) {
			c.publisher.SetListed(now, listed)
			shouldPublish = !c.publishing && c.publisher.ShouldPublish(now, rank, rand.Float64())
			c.publishing = c.publishing || shouldPublish
		})
		l.reportChange(incarnation, "list", before, after)
		if shouldPublish {
			go l.publish(ctx, incarnation, after.Cap)
		}
	}
}

// refreshNodes updates the nodes that share the caps, at most once per nodesRefreshInterval.
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
		l.metrics.CountEvent(l.deps.Kind + "NotPublished")
	}
	l.update(incarnation, func(c *endpointCap) {
		c.publishing = false
		c.publisher.RecordWrite(l.now(), stated, err == nil)
	})
}
