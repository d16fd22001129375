package relay

import (
	"sync"
	"time"

	"basilstall.example/basilstall/kernel"
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

// lostCount returns the number of pools that this node does not reach.
func (p *paths) lostCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := 0
	for _, path := range p.byPool {
		if path.Lost() {
			lost++
		}
	}
	return lost
}

// RecordDial records whether a connection to an endpoint, begun at beganAt, could be opened.
func (r *Relay) RecordDial(address string, beganAt time.Time, err error) {
	e, listed := r.Registry().FindByAddress(address)
	if !listed {
		return
	}
	now := r.now()
	before, after := r.paths.update(e.Pool, func(p kernel.Path) kernel.Path {
		if err == nil {
			return p.WithReached(now)
		}
		return p.WithUnreached(beganAt, now, e.Incarnation())
	})
	switch {
	case after.Lost() && !before.Lost():
		r.metrics.CountEvent("PathLost")
		r.log.Info().Str("Pool", e.Pool).Int("Unreached", after.Unreached()).Err(err).Msg("no endpoint of the pool is reached")
	case before.Lost() && !after.Lost():
		r.metrics.CountEvent("PathBack")
		r.log.Info().Str("Pool", e.Pool).Str("Endpoint", e.Incarnation()).Dur("After", now.Sub(before.LostSince)).Msg("the pool is reached again")
	}
}
