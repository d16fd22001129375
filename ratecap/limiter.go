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
	// sweepEvery is how often beliefs are compared with what is published.
	sweepEvery = 200 * time.Millisecond
	// settleEvery is how often it is looked which nodes there are.
	settleEvery = time.Second
	// placeMemory is how long this node's place by an endpoint's hash counts: about as long as nodes take to learn of
	// each other.
	placeMemory = 500 * time.Millisecond
	// publishTimeout bounds the writing of a cap.
	publishTimeout = 2 * time.Second
)

type (
	// Seams are how a limiter learns of nodes and endpoints, and tells other nodes.
	Seams struct {
		// Announced returns the nodes that have announced themselves and are not leaving, whether they answer or not.
		Announced func() []kernel.Peer
		// Listed tells whether an incarnation of an endpoint is listed.
		Listed func(incarnation string) bool
		// Part returns which part of its cap an endpoint's senders may use, and batchers of pieces as well; nil where that
		// is always all of it.
		Part func(incarnation string) float64
		// Publish has all nodes learn what an endpoint states, or that it states nothing.
		Publish func(ctx context.Context, incarnation string, stated model.RateCap) error
		// Ask asks another node for a permit to send one request to an endpoint of a pool; where it is not granted, wait is
		// when this node's turn comes. Nil where nodes do not ask each other.
		Ask func(ctx context.Context, node, pool, incarnation string) (granted bool, wait time.Duration, err error)
		// Changed is called after each change of what is believed.
		Changed func()
	}

	// Limiter is one node's part in keeping the caps. It is safe for concurrent use.
	Limiter struct {
		name    string
		seams   Seams
		now     func() time.Time
		metrics *metric.Set
		log     zerolog.Logger

		// count is the length of known: where it is 0, as nearly always, nothing is locked for a request.
		count atomic.Int64

		mu sync.Mutex
		// known is by the incarnations of endpoints.
		known map[string]*known
		// nodes share the caps, as of settledAt.
		nodes     kernel.SettledNodes
		settledAt time.Time
	}

	known struct {
		news kernel.CapPublisher
		// place is this node's by the endpoint's hash, as of placedAt.
		place    int
		placedAt time.Time
		// permits are those that this node may ask for, of the nodes that share the cap as of sharersAt.
		permits   kernel.Permits
		sharersAt time.Time
		// desk is this node's part in granting them.
		desk kernel.PermitIssuer
		// publishing is true while the belief is being written.
		publishing bool
	}
)

// NewLimiter returns a limiter that knows of no cap; it works until ctx ends.
func NewLimiter(ctx context.Context, name string, seams Seams, now func() time.Time, metrics *metric.Set, log zerolog.Logger) *Limiter {
	l := &Limiter{name: name, seams: seams, now: now, metrics: metrics, log: log, known: map[string]*known{}}
	go func() {
		for clock.Sleep(ctx, sweepEvery) {
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
	for _, c := range l.known {
		if c.news.View.Cap.Stated {
			n++
		}
	}
	return n
}

// Belief returns what this node believes of an endpoint's cap.
func (l *Limiter) Belief(incarnation string) kernel.CapView {
	if l.count.Load() == 0 {
		return kernel.CapView{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.known[incarnation]; c != nil {
		return c.news.View
	}
	return kernel.CapView{}
}

// Share returns the part of an endpoint's cap that all nodes together may use for requests, and batchers for pieces as well.
func (l *Limiter) Share(incarnation string) kernel.CapView {
	return l.share(incarnation, l.Belief(incarnation))
}

func (l *Limiter) share(incarnation string, belief kernel.CapView) kernel.CapView {
	if !belief.Cap.Stated || l.seams.Part == nil {
		return belief
	}
	return belief.WithPart(l.seams.Part(incarnation))
}

// Stated tells whether an endpoint states a cap.
func (l *Limiter) Stated(incarnation string) bool {
	return l.Belief(incarnation).Cap.Stated
}

// Admits tells whether this node, which last sent to an endpoint at a time, may send to it now.
func (l *Limiter) Admits(now time.Time, e model.Endpoint, sentAt time.Time) bool {
	belief := l.Share(e.Incarnation())
	return !belief.Cap.Stated || belief.Due(now, sentAt, l.Place(now, e.Incarnation()))
}

// Refuses returns the refusal of a request that only endpoints at their caps could serve; nil where others take work.
func (l *Limiter) Refuses(now time.Time, pool string, endpoints []model.Endpoint, sentAt func(incarnation string) time.Time) *model.Refusal {
	var capped []kernel.CappedEndpoint
	for _, e := range endpoints {
		if !e.TakesWork() {
			continue
		}
		incarnation := e.Incarnation()
		belief := l.Share(incarnation)
		if !belief.Cap.Stated {
			return nil
		}
		at, asks := l.askAt(now, incarnation)
		capped = append(capped, kernel.CappedEndpoint{
			View: belief, SentAt: sentAt(incarnation), Rank: l.Place(now, incarnation), Asks: asks, AskAt: at,
		})
	}
	return kernel.AdmitCapped(now, pool, capped)
}

// Sent counts what is sent to endpoints that state a cap.
func (l *Limiter) Sent(e model.Endpoint) {
	if l.Stated(e.Incarnation()) {
		l.metrics.Event("SentUnderRateCap")
	}
}

// Answered takes in what an endpoint's answer to a request that was sent at a time says of the requests that it takes.
func (l *Limiter) Answered(asked time.Time, e model.Endpoint, stated model.RateCap) {
	if !stated.Stated && !l.Stated(e.Incarnation()) {
		return
	}
	before, after := l.change(e.Incarnation(), func(c *known) {
		c.news.View = c.news.View.WithAnswer(asked, l.now(), stated)
	})
	l.changed(e.Incarnation(), "endpoint", before, after)
}

// Learn takes in what other nodes say of an endpoint from now on.
func (l *Limiter) Learn(incarnation string, stated model.RateCap) {
	before, after := l.change(incarnation, func(c *known) { c.news.ApplyNotice(l.now(), stated) })
	l.changed(incarnation, "nodes", before, after)
}

// change changes what is known of an endpoint, and returns the belief before and after.
func (l *Limiter) change(incarnation string, how func(*known)) (before, after kernel.CapView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.known[incarnation]
	if c == nil {
		c = &known{}
	}
	before = c.news.View
	how(c)
	l.known[incarnation] = c
	if c.news.Removable() && !c.publishing {
		delete(l.known, incarnation)
	}
	l.count.Store(int64(len(l.known)))
	return before, c.news.View
}

func (l *Limiter) changed(incarnation, from string, before, after kernel.CapView) {
	if before.Cap == after.Cap {
		return
	}
	l.metrics.Event("RateCapChanged")
	l.log.Info().Str("Endpoint", incarnation).Str("From", from).Bool("Stated", after.Cap.Stated).
		Float64("PerSecond", after.Cap.PerSecond).Float64("Before", before.Cap.PerSecond).Msg("rate cap of an endpoint")
	l.seams.Changed()
}

// Place returns how many of the nodes that share what an endpoint takes come before this one by the endpoint's hash:
// math.MaxInt while others may not have heard of this one yet.
func (l *Limiter) Place(now time.Time, incarnation string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.known[incarnation]
	if c == nil {
		return l.nodes.Rank(now, l.name, incarnation)
	}
	if c.placedAt.IsZero() || now.Sub(c.placedAt) >= placeMemory {
		c.place = l.nodes.Rank(now, l.name, incarnation)
		c.placedAt = now
	}
	return c.place
}

// sweep tells the others what they don't know and forgets endpoints that are gone.
func (l *Limiter) sweep(ctx context.Context) {
	now := l.now()
	l.settle(now)
	for _, incarnation := range l.incarnations() {
		listed := l.seams.Listed(incarnation)
		place := l.Place(now, incarnation)
		publishes := false
		before, after := l.change(incarnation, func(c *known) {
			c.news.SetListed(now, listed)
			publishes = !c.publishing && c.news.ShouldPublish(now, place, rand.Float64())
			c.publishing = c.publishing || publishes
		})
		l.changed(incarnation, "list", before, after)
		if publishes {
			go l.publish(ctx, incarnation, after.Cap)
		}
	}
}

func (l *Limiter) settle(now time.Time) {
	if now.Sub(l.settledAt) < settleEvery {
		return
	}
	announced := l.seams.Announced()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = l.nodes.With(now, announced)
	l.settledAt = now
}

func (l *Limiter) incarnations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.known))
}

func (l *Limiter) publish(ctx context.Context, incarnation string, believed model.RateCap) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	err := l.seams.Publish(ctx, incarnation, believed)
	if err != nil {
		l.metrics.Event("RateCapNotPublished")
	}
	l.change(incarnation, func(c *known) {
		c.publishing = false
		c.news.RecordWrite(l.now(), believed, err == nil)
	})
}
