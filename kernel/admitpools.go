package kernel

import (
	"fmt"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// noRegionRetry is the Retry-After time of a request that no endpoint in an allowed region could serve: by then
	// other endpoints may be listed, or another routing may be in force.
	noRegionRetry = 2 * time.Second
	// leavingRetry is the Retry-After time of a request that only leaving endpoints could serve: by then an endpoint that
	// replaces one of them may be listed.
	leavingRetry = time.Second
)

// AdmitPools refuses a request if no endpoint of a pool that it needs may get work: the pools of its stages that have
// pieces, and the pool that serves the request itself. Only endpoints in the allowed regions of the request count.
func AdmitPools(now time.Time, r Registry, f model.Forward, a Admission) *model.Refusal {
	if refusal := refuseVersionGone(r, a); refusal != nil {
		return refusal
	}
	if refusal := admitPool(now, r, a.Pool, a.Regions, a.Endpoints(r)); refusal != nil {
		return refusal
	}
	for i, stage := range a.Route.Stages {
		if PieceCount(f, i) == 0 {
			continue
		}
		if refusal := admitPool(now, r, stage.Pool, a.Regions, a.Regions.AllowedEndpoints(r.Endpoints(stage.Pool))); refusal != nil {
			return refusal
		}
	}
	return nil
}

// admitPool refuses a request if a pool has endpoints, but none of those that are allowed for the request may get work. A pool without any listed endpoint is not refused: its endpoints may be listed shortly.
func admitPool(now time.Time, r Registry, pool string, regions AllowedRegions, allowed []model.Endpoint) *model.Refusal {
	if len(allowed) == 0 && len(r.Endpoints(pool)) > 0 {
		return model.NewRefusal(model.NotRun, model.NoHome, ClampRetryAfter(noRegionRetry), fmt.Sprintf("pool %s has no endpoint in the allowed regions %s", pool, regions))
	}
	evacuated := false
	for _, e := range allowed {
		if e.Accepts(now) {
			return nil
		}
		evacuated = evacuated || e.State == model.Evacuated
	}
	if len(allowed) == 0 {
		return nil
	}
	if refusal := AdmitPaused(now, pool, allowed); refusal != nil {
		return refusal
	}
	if !evacuated {
		return model.NewRefusal(model.NotRun, model.NoEndpoint, ClampRetryAfter(leavingRetry), fmt.Sprintf("all endpoints of pool %s are leaving", pool))
	}
	return model.NewRefusal(model.NotRun, model.PoolEvacuated, ClampRetryAfter(evacuatedRetry), fmt.Sprintf("all endpoints of pool %s are in evacuated failure domains", pool))
}

// AdmitPaused refuses a request if no endpoint of a pool accepts work now and some have asked for a pause. The caller
// learns when the first pause ends.
func AdmitPaused(now time.Time, pool string, endpoints []model.Endpoint) *model.Refusal {
	var firstEnd time.Time
	for _, e := range endpoints {
		if e.Accepts(now) {
			return nil
		}
		if e.TakesWork() && (firstEnd.IsZero() || e.PausedUntil.Before(firstEnd)) {
			firstEnd = e.PausedUntil
		}
	}
	if firstEnd.IsZero() {
		return nil
	}
	return model.NewRefusal(model.NotRun, model.EndpointsPaused, ClampRetryAfter(firstEnd.Sub(now)), fmt.Sprintf("all endpoints of pool %s want no requests now", pool))
}
