package kernel

import (
	"maps"
	"slices"
	"time"
)

// evacuatedRetry is the Retry-After time of a request that only evacuated endpoints could serve.
const evacuatedRetry = time.Second

// Evacuations is the set of failure domains that operators have evacuated: their endpoints get no work. It is
// immutable.
type Evacuations struct {
	// evacuatedAt holds, by domain, when this node learned of the evacuation that is in force.
	evacuatedAt map[string]time.Time
	// restoredAt holds, by domain, when this node learned of the end of the last evacuation.
	restoredAt map[string]time.Time
}

// EvacuationChange lists the failure domains that operators have evacuated or restored since an earlier state. A domain
// is in at most one of the lists.
type EvacuationChange struct {
	Evacuated []string
	Restored  []string
}

// With returns the evacuations after a change that this node learned of at now, and the part of the change that differs
// from the state before.
func (e Evacuations) With(now time.Time, change EvacuationChange) (after Evacuations, effective EvacuationChange) {
	after = Evacuations{evacuatedAt: maps.Clone(e.evacuatedAt), restoredAt: maps.Clone(e.restoredAt)}
	if after.evacuatedAt == nil {
		after.evacuatedAt, after.restoredAt = map[string]time.Time{}, map[string]time.Time{}
	}
	for _, domain := range change.Evacuated {
		if !e.Contains(domain) {
			after.evacuatedAt[domain] = now
			effective.Evacuated = append(effective.Evacuated, domain)
		}
	}
	for _, domain := range change.Restored {
		if e.Contains(domain) {
			delete(after.evacuatedAt, domain)
			after.restoredAt[domain] = now
			effective.Restored = append(effective.Restored, domain)
		}
	}
	return after, effective
}

// Contains reports whether a failure domain is evacuated.
func (e Evacuations) Contains(domain string) bool {
	_, evacuated := e.evacuatedAt[domain]
	return evacuated
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
