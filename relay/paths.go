package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

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

// paths holds this node's paths to the endpoints of each pool.
type paths struct {
	mu     sync.Mutex
	byPool map[string]kernel.Path
}

func newPaths() *paths {
	return &paths{byPool: map[string]kernel.Path{}}
}

// find returns the path to a pool.
func (p *paths) find(pool string) kernel.Path {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byPool[pool]
}

// update replaces the path to a pool by the result of change, and returns the path before and after.
func (p *paths) update(pool string, change func(kernel.Path) kernel.Path) (before, after kernel.Path) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before = p.byPool[pool]
	after = change(before)
	p.byPool[pool] = after
	return before, after
}

// lostPools returns the pools that this node does not reach, in order.
func (p *paths) lostPools() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var lost []string
	for pool, path := range p.byPool {
		if path.Lost() {
			lost = append(lost, pool)
		}
	}
	slices.Sort(lost)
	return lost
}

// RecordDial records whether a connection to an endpoint, begun at beganAt, could be opened.
func (r *Relay) RecordDial(address string, beganAt time.Time, err error) {
	e, listed := r.Registry().FindByAddress(address)
	if !listed {
		return
	}
	now := r.now()
	othersLost := len(r.paths.lostPools()) > 0
	before, after := r.paths.update(e.Pool, func(p kernel.Path) kernel.Path {
		if err == nil {
			return p.WithReached(now)
		}
		return p.WithUnreached(beganAt, now, e.Incarnation(), othersLost)
	})
	switch {
	case !after.Lost() && after.Unreached() > before.Unreached():
		go r.tryEndpoint(e.Pool)
	case after.Lost() && !before.Lost():
		go r.tryPath(e.Pool)
		go r.tryOtherPools(e.Pool)
		r.batchers.leavePool(e.Pool)
		r.metrics.CountEvent("PathLost")
		r.log.Info().Str("Pool", e.Pool).Int("Unreached", after.Unreached()).Err(err).Msg("no endpoint of the pool is reached")
	case before.Lost() && !after.Lost():
		r.metrics.CountEvent("PathBack")
		r.log.Info().Str("Pool", e.Pool).Str("Endpoint", e.Incarnation()).Dur("After", now.Sub(before.LostSince)).Msg("the pool is reached again")
	}
}

// tryPath tries the path to a pool until it is back.
func (r *Relay) tryPath(pool string) {
	for {
		r.tryEndpoint(pool)
		var wait time.Duration
		r.paths.update(pool, func(p kernel.Path) kernel.Path {
			p, wait = p.WithTrial(rand.Float64())
			return p
		})
		if !r.paths.find(pool).Lost() || !clock.Sleep(r.ctx, wait) {
			return
		}
	}
}

// tryOtherPools tries the paths to the pools besides one that is lost: a cut seldom concerns a single one.
func (r *Relay) tryOtherPools(lost string) {
	for _, pool := range r.Registry().Pools() {
		if pool != lost && !r.paths.find(pool).Lost() {
			go r.tryEndpoint(pool)
		}
	}
}

// updatePaths forgets what endpoints say of paths that have ended, and tries the paths to pools that are not reached and
// have a new endpoint.
func (r *Relay) updatePaths(changes []kernel.RegistryChange) {
	for _, change := range changes {
		r.forgetEnded(change)
		incarnation := change.Endpoint.Incarnation()
		if e, listed := r.Registry().Find(change.Endpoint.Name); listed && e.Incarnation() == incarnation && r.paths.find(e.Pool).Lost() && !r.paths.find(e.Pool).TriedLately(r.now(), incarnation) {
			go r.tryEndpoint(e.Pool)
		}
	}
}

// forgetEnded forgets what an incarnation says of the path that is no longer listed after a change.
func (r *Relay) forgetEnded(change kernel.RegistryChange) {
	ended := change.Before
	if _, listed := r.Registry().Find(change.Endpoint.Name); !listed {
		ended = change.Endpoint
	}
	if ended.Name != "" {
		r.paths.update(ended.Pool, func(p kernel.Path) kernel.Path { return p.WithoutEndpoint(ended.Incarnation()) })
	}
}

// tryEndpoint opens a connection to an endpoint of a pool, if possible to one that was not tried lately. RecordDial learns
// of the result; the connection is kept for later use.
func (r *Relay) tryEndpoint(pool string) {
	now := r.now()
	path := r.paths.find(pool)
	endpoints := slices.DeleteFunc(slices.Clone(r.Registry().Endpoints(pool)), func(e model.Endpoint) bool { return !e.Accepts(now) })
	untried := slices.DeleteFunc(slices.Clone(endpoints), func(e model.Endpoint) bool { return path.TriedLately(now, e.Incarnation()) })
	if len(untried) > 0 {
		endpoints = untried
	}
	if len(endpoints) == 0 {
		r.forgetPath(pool)
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, tryTimeout)
	defer cancel()
	r.metrics.CountEvent("PathTried")
	// The result is recorded by RecordDial.
	_ = r.deps.Connect(ctx, endpoints[rand.IntN(len(endpoints))].Address)
}

// reachesOthers reports whether this node reaches another endpoint than one that does not answer. It is true if no other
// endpoint is listed.
func (r *Relay) reachesOthers(ctx context.Context, e model.Endpoint) bool {
	others := r.othersToTry(e)
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tryTimeout)
	defer cancel()
	reached := make(chan bool, len(others))
	for _, other := range others {
		go func() { reached <- r.deps.Connect(ctx, other.Address) == nil }()
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
func (r *Relay) othersToTry(e model.Endpoint) []model.Endpoint {
	var own, other []model.Endpoint
	for _, pool := range r.Registry().Pools() {
		for _, candidate := range r.Registry().Endpoints(pool) {
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

// forgetPath ends the belief about the path to a pool none of whose endpoints may get work: nothing shows when it ends.
func (r *Relay) forgetPath(pool string) {
	r.paths.update(pool, func(kernel.Path) kernel.Path { return kernel.Path{} })
}
