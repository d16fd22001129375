package relay

import (
	"context"
	"time"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
	"basilstall.example/basilstall/reach"
)

// newPaths returns this node's paths to the endpoints of each pool.
func (r *Relay) newPaths() *reach.Tracker {
	return reach.NewTracker(r.ctx, reach.Dependencies{
		Pools:     func() []string { return r.Registry().Pools() },
		Endpoints: func(pool string) []model.Endpoint { return r.Registry().Endpoints(pool) },
		Connect:   func(ctx context.Context, e model.Endpoint) error { return r.deps.Connect(ctx, e.Address) },
		OnLost: func(pool string, path kernel.Path, err error) {
			r.metrics.CountEvent("PathLost")
			r.log.Info().Str("Pool", pool).Int("Unreached", path.Unreached()).Err(err).Msg("no endpoint of the pool is reached")
		},
		OnConfirmed: r.leavePool,
		OnBack: func(e model.Endpoint, since time.Time) {
			r.metrics.CountEvent("PathBack")
			r.log.Info().Str("Pool", e.Pool).Str("Endpoint", e.Incarnation()).Dur("After", r.now().Sub(since)).Msg("the pool is reached again")
		},
		OnTry: func() { r.metrics.CountEvent("PathTried") },
	}, r.now)
}

// leavePool ends the batching of a pool that this node does not reach.
func (r *Relay) leavePool(pool string) {
	r.batchers.leavePool(pool)
}

// RecordDial records whether a connection to an endpoint, begun at beganAt, could be opened.
func (r *Relay) RecordDial(address string, beganAt time.Time, err error) {
	if e, listed := r.Registry().FindByAddress(address); listed {
		r.paths.Record(e, beganAt, err)
	}
}

// updatePaths forgets what endpoints that have ended say of paths, and tries lost paths to new endpoints.
func (r *Relay) updatePaths(changes []kernel.RegistryChange) {
	for _, change := range changes {
		if change.Before.Name != "" {
			r.paths.RecordEnded(change.Before)
		}
		e, listed := r.Registry().Find(change.Endpoint.Name)
		switch {
		case !listed:
			r.paths.RecordEnded(change.Endpoint)
		case e.Incarnation() == change.Endpoint.Incarnation():
			r.paths.RecordListed(e)
		}
	}
}
