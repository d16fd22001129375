package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"basilstall.example/basilstall/clock"
	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

const (
	// tryTimeout bounds a connection that is opened to find out whether a path is back.
	tryTimeout = 700 * time.Millisecond
	// maxOthersTried is how many other endpoints are tried to find out whether one that does not answer has ended.
	maxOthersTried = 4
)

type (
	// Dependencies are the functions through which a Tracker reaches endpoints and tells of changes.
	Dependencies struct {
		// Pools returns the names of the pools, and Endpoints the listed endpoints of one.
		Pools     func() []string
		Endpoints func(pool string) []model.Endpoint
		// Connect opens a connection to an endpoint, and has its result recorded by Record.
		Connect func(ctx context.Context, e model.Endpoint) error
		// OnLost and OnBack are called when the path to a pool is lost, or reached again after it was lost since a time. err
		// is the error of the last connection, and e the endpoint that was reached.
		OnLost func(pool string, path kernel.Path, err error)
		OnBack func(e model.Endpoint, since time.Time)
		// OnConfirmed is called when a trial has failed since the path to a pool was lost.
		OnConfirmed func(pool string)
		// OnTry is called before each connection that only tries a path.
		OnTry func()
	}

	// Tracker holds this node's paths to the endpoints of each pool, and tries those that are lost. It is safe for
	// concurrent use.
	Tracker struct {
		ctx  context.Context
		deps Dependencies
		now  func() time.Time

		mu     sync.Mutex
		byPool map[string]kernel.Path
		// trials is the number of connections under way that only try the path to a pool.
		trials map[string]int
	}
)

// NewTracker returns a tracker that knows of no lost path. Its background work ends with ctx.
func NewTracker(ctx context.Context, deps Dependencies, now func() time.Time) *Tracker {
	return &Tracker{ctx: ctx, deps: deps, now: now, byPool: map[string]kernel.Path{}, trials: map[string]int{}}
}

// Path returns the path to a pool.
func (t *Tracker) Path(pool string) kernel.Path {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byPool[pool]
}

// Lost reports whether this node reaches no endpoint of a pool.
func (t *Tracker) Lost(pool string) bool {
	return t.Path(pool).Lost()
}

// LostPools returns the pools that this node does not reach, in order.
func (t *Tracker) LostPools() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lost []string
	for pool, path := range t.byPool {
		if path.Lost() {
			lost = append(lost, pool)
		}
	}
	slices.Sort(lost)
	return lost
}

// update replaces the path to a pool by the result of change, and returns the path before and after.
func (t *Tracker) update(pool string, change func(kernel.Path) kernel.Path) (before, after kernel.Path) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.byPool[pool]
	after = change(before)
	t.byPool[pool] = after
	return before, after
}

// Record records whether a connection to an endpoint, begun at beganAt, could be opened.
func (t *Tracker) Record(e model.Endpoint, beganAt time.Time, err error) {
	now := t.now()
	othersLost := len(t.LostPools()) > 0
	size := len(t.accepting(e.Pool))
	before, after := t.update(e.Pool, func(p kernel.Path) kernel.Path {
		if err == nil {
			return p.WithReached(now)
		}
		return p.WithUnreached(beganAt, now, e.Incarnation(), othersLost, size)
	})
	switch {
	case !after.Lost() && after.Unreached() > before.Unreached():
		t.tryFurther(e.Pool, after.TrialsNeeded(size), err)
	case after.Lost() && !before.Lost():
		t.deps.OnLost(e.Pool, after, err)
		go t.tryPath(e.Pool)
		go t.tryOtherPools(e.Pool)
	case before.Lost() && !after.Lost():
		t.deps.OnBack(e, before.LostSince)
	}
}

// tryFurther tries further endpoints of a pool after a connection could not be opened: the needed number at once if it got no answer,
// since each such trial takes long, and otherwise one after the other, since an endpoint may just have crashed.
func (t *Tracker) tryFurther(pool string, needed int, err error) {
	var silent net.Error
	if !errors.As(err, &silent) || !silent.Timeout() {
		needed = min(needed, 1)
	}
	t.mu.Lock()
	needed = max(0, needed-t.trials[pool])
	t.trials[pool] += needed
	t.mu.Unlock()
	for range needed {
		go func() {
			for failed := true; failed; {
				before := t.Path(pool)
				t.tryEndpoint(pool)
				after := t.Path(pool)
				failed = !after.Lost() && after.Unreached() > before.Unreached() && after.TrialsNeeded(len(t.accepting(pool))) > 0
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.trials[pool]--
		}()
	}
}

// accepting returns the endpoints of a pool that may get work.
func (t *Tracker) accepting(pool string) []model.Endpoint {
	now := t.now()
	return slices.DeleteFunc(slices.Clone(t.deps.Endpoints(pool)), func(e model.Endpoint) bool { return !e.Accepts(now) })
}

// tryPath tries the path to a pool until it is back.
func (t *Tracker) tryPath(pool string) {
	for {
		t.tryEndpoint(pool)
		var wait time.Duration
		before, after := t.update(pool, func(p kernel.Path) kernel.Path {
			p, wait = p.WithTrial(rand.Float64())
			return p
		})
		if after.Confirmed() && !before.Confirmed() && t.deps.OnConfirmed != nil {
			t.deps.OnConfirmed(pool)
		}
		if !t.Lost(pool) || !clock.Sleep(t.ctx, wait) {
			return
		}
	}
}

// tryOtherPools tries the paths to the pools besides one that is lost: a cut seldom concerns a single one.
func (t *Tracker) tryOtherPools(lost string) {
	for _, pool := range t.deps.Pools() {
		if pool != lost && !t.Lost(pool) {
			go t.tryEndpoint(pool)
		}
	}
}

// RecordListed tries the path to the pool of a newly listed endpoint, if it is lost.
func (t *Tracker) RecordListed(e model.Endpoint) {
	path := t.Path(e.Pool)
	if path.Lost() && !path.TriedLately(t.now(), e.Incarnation()) {
		go t.tryEndpoint(e.Pool)
	}
}

// RecordEnded forgets what an incarnation says of the path that has ended or is no longer listed.
func (t *Tracker) RecordEnded(e model.Endpoint) {
	t.update(e.Pool, func(p kernel.Path) kernel.Path { return p.WithoutEndpoint(e.Incarnation()) })
}

// tryEndpoint opens a connection to an endpoint of a pool, if possible to one that was not tried lately. Where no endpoint
// may get work, the belief about the path ends: nothing would show when.
func (t *Tracker) tryEndpoint(pool string) {
	now := t.now()
	path := t.Path(pool)
	endpoints := t.accepting(pool)
	untried := slices.DeleteFunc(slices.Clone(endpoints), func(e model.Endpoint) bool { return path.TriedLately(now, e.Incarnation()) })
	if len(untried) > 0 {
		endpoints = untried
	}
	if len(endpoints) == 0 {
		t.update(pool, func(kernel.Path) kernel.Path { return kernel.Path{} })
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, tryTimeout)
	defer cancel()
	t.deps.OnTry()
	// The result is recorded by Record.
	_ = t.deps.Connect(ctx, endpoints[rand.IntN(len(endpoints))])
}

// ReachesOthers reports whether this node reaches another endpoint than one that does not answer. It is true if no other
// endpoint is listed.
func (t *Tracker) ReachesOthers(ctx context.Context, e model.Endpoint) bool {
	others := t.othersToTry(e)
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tryTimeout)
	defer cancel()
	reached := make(chan bool, len(others))
	for _, other := range others {
		t.deps.OnTry()
		go func() { reached <- t.deps.Connect(ctx, other) == nil }()
	}
	for range others {
		if <-reached {
			return true
		}
	}
	return false
}

// othersToTry returns up to maxOthersTried endpoints besides e, of its pool and of others: if all of a pool end at once, the
// others still show the path.
func (t *Tracker) othersToTry(e model.Endpoint) []model.Endpoint {
	var own, other []model.Endpoint
	for _, pool := range t.deps.Pools() {
		for _, candidate := range t.deps.Endpoints(pool) {
			switch {
			case candidate.Address == e.Address:
			case pool == e.Pool:
				own = append(own, candidate)
			default:
				other = append(other, candidate)
			}
		}
	}
	rand.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	rand.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
	own = own[:min(len(own), maxOthersTried/2)]
	return append(own, other[:min(len(other), maxOthersTried-len(own))]...)
}
