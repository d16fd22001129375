package kernel

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// evacuatedRetry is the Retry-After time of a request that only evacuated endpoints could serve.
	evacuatedRetry = time.Second
	// noRegionRetry is the Retry-After time of a request that no endpoint in an allowed region could serve: by then
	// other endpoints may be listed, or another routing may be in force.
	noRegionRetry = 2 * time.Second
)

// Evacuations is the set of failure domains that operators have evacuated: their endpoints get no work. It is
// immutable.
type Evacuations struct {
	// since holds by domain when this node learned of the evacuation that is in force.
	evacuatedAt map[string]time.Time
	// ended holds by domain when this node learned of the end of its last evacuation.
	restoredAt map[string]time.Time
}

// EvacuationChange lists the failure domains that operators have evacuated or restored since an earlier state. A domain
// is in at most one of the lists.
type EvacuationChange struct {
	Evacuated []string
	Restored  []string
}

// With returns the evacuations after a change that this node learned of at now, and the domains whose state differs
// from before.
func (e Evacuations) With(now time.Time, change EvacuationChange) (after Evacuations, news EvacuationChange) {
	after = Evacuations{evacuatedAt: maps.Clone(e.evacuatedAt), restoredAt: maps.Clone(e.restoredAt)}
	if after.evacuatedAt == nil {
		after.evacuatedAt, after.restoredAt = map[string]time.Time{}, map[string]time.Time{}
	}
	for _, domain := range change.Evacuated {
		if !e.Contains(domain) {
			after.evacuatedAt[domain] = now
			news.Evacuated = append(news.Evacuated, domain)
		}
	}
	for _, domain := range change.Restored {
		if e.Contains(domain) {
			delete(after.evacuatedAt, domain)
			after.restoredAt[domain] = now
			news.Restored = append(news.Restored, domain)
		}
	}
	return after, news
}

// Holds reports whether a failure domain is evacuated.
func (e Evacuations) Contains(domain string) bool {
	_, held := e.evacuatedAt[domain]
	return held
}

// Domains returns the evacuated failure domains in alphabetical order.
func (e Evacuations) Domains() []string {
	return slices.Sorted(maps.Keys(e.evacuatedAt))
}

// Since returns when this node learned that a failure domain is evacuated; zero if it is not evacuated.
func (e Evacuations) Since(domain string) time.Time {
	return e.evacuatedAt[domain]
}

// coldUntil returns until when the endpoints of a restored failure domain may be cold although their entries do not say
// so; zero if the domain has never been evacuated.
func (e Evacuations) coldUntil(domain string) time.Time {
	ended, known := e.restoredAt[domain]
	if !known {
		return time.Time{}
	}
	return ended.Add(coldReportDelay)
}

// AdmitPools refuses a request if no endpoint of a pool that it needs may get work: the pools of its stages that have
// pieces, and the pool that serves the request itself. Only endpoints in the allowed regions of the request count.
func AdmitPools(r Registry, f model.Forward, a Admission) *model.Refusal {
	if refusal := admitPool(r, a.Pool, a.Regions); refusal != nil {
		return refusal
	}
	for i, stage := range a.Route.Stages {
		if PieceCount(f, i) == 0 {
			continue
		}
		if refusal := admitPool(r, stage.Pool, a.Regions); refusal != nil {
			return refusal
		}
	}
	return nil
}

// admitPool refuses a request if a pool has endpoints, but none in an allowed region, or only evacuated ones there. A
// pool without any listed endpoint is not refused: its endpoints may be listed shortly.
func admitPool(r Registry, pool string, regions AllowedRegions) *model.Refusal {
	allowed := regions.AllowedEndpoints(r.Endpoints(pool))
	if len(allowed) == 0 && len(r.Endpoints(pool)) > 0 {
		return model.NewRefusal(model.NotRun, model.NoHome, ClampRetryAfter(noRegionRetry), fmt.Sprintf("pool %s has no endpoint in the allowed regions %s", pool, regions))
	}
	evacuated := false
	for _, e := range allowed {
		if e.TakesWork() {
			return nil
		}
		evacuated = evacuated || e.State == model.Evacuated
	}
	if !evacuated {
		return nil
	}
	return model.NewRefusal(model.NotRun, model.PoolEvacuated, ClampRetryAfter(evacuatedRetry), fmt.Sprintf("all endpoints of pool %s are in evacuated failure domains", pool))
}
