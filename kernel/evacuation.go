package kernel

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"basilstall.example/basilstall/model"
)

const (
	// evacuatedRetry is when a caller may come back whose request only evacuated endpoints could serve.
	evacuatedRetry = time.Second
	// noRegionRetry is when a caller may come back whose request no endpoint in an allowed region could serve: new ones
	// are listed, or another routing is in force.
	noRegionRetry = 2 * time.Second
)

// Evacuations is which failure domains operators keep work off. It is immutable.
type Evacuations struct {
	// since holds when this node learned of each evacuation that is in force.
	since map[string]time.Time
	// ended holds when this node learned of the end of each domain's last evacuation.
	ended map[string]time.Time
}

// EvacuationChange is what operators wrote about failure domains since an earlier state. A domain is in one list at
// most.
type EvacuationChange struct {
	Evacuated []string
	Restored  []string
}

// With returns the evacuations after a change that this node learned of at a time, and the domains whose state is a
// new one.
func (e Evacuations) With(now time.Time, change EvacuationChange) (after Evacuations, news EvacuationChange) {
	after = Evacuations{since: maps.Clone(e.since), ended: maps.Clone(e.ended)}
	if after.since == nil {
		after.since, after.ended = map[string]time.Time{}, map[string]time.Time{}
	}
	for _, domain := range change.Evacuated {
		if !e.Holds(domain) {
			after.since[domain] = now
			news.Evacuated = append(news.Evacuated, domain)
		}
	}
	for _, domain := range change.Restored {
		if e.Holds(domain) {
			delete(after.since, domain)
			after.ended[domain] = now
			news.Restored = append(news.Restored, domain)
		}
	}
	return after, news
}

// Holds tells whether a failure domain is evacuated.
func (e Evacuations) Holds(domain string) bool {
	_, held := e.since[domain]
	return held
}

// Domains returns the evacuated failure domains in order.
func (e Evacuations) Domains() []string {
	return slices.Sorted(maps.Keys(e.since))
}

// Since returns when this node learned that a failure domain is evacuated; zero where it is not.
func (e Evacuations) Since(domain string) time.Time {
	return e.since[domain]
}

// coldUntil returns until when the endpoints of a failure domain that was taken back may be cold without saying so.
func (e Evacuations) coldUntil(domain string) time.Time {
	ended, known := e.ended[domain]
	if !known {
		return time.Time{}
	}
	return ended.Add(coldReportDelay)
}

// AdmitPools refuses a request at once where no endpoint of a pool that it needs may get work: of its stages' pools or
// the one where it runs itself. The endpoints that count are those in the regions that it may be served in.
func AdmitPools(r Registry, f model.Forward, a Admission) *model.Refusal {
	if refusal := admitPool(r, a.Pool, a.Homes); refusal != nil {
		return refusal
	}
	for i, stage := range a.Route.Stages {
		if PieceCount(f, i) == 0 {
			continue
		}
		if refusal := admitPool(r, stage.Pool, a.Homes); refusal != nil {
			return refusal
		}
	}
	return nil
}

// admitPool refuses only for what is known: a pool without any listed endpoint may have some in a moment.
func admitPool(r Registry, pool string, homes AllowedRegions) *model.Refusal {
	atHome := homes.AllowedEndpoints(r.Endpoints(pool))
	if len(atHome) == 0 && len(r.Endpoints(pool)) > 0 {
		return model.NewRefusal(model.NotRun, model.NoHome, ClampRetryAfter(noRegionRetry), fmt.Sprintf("pool %s has no endpoint in the allowed regions %s", pool, homes))
	}
	evacuated := false
	for _, e := range atHome {
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
