package kernel

import (
	"fmt"
	"slices"

	"basilstall.example/basilstall/model"
)

// AllowedRegions are the regions that a request may be served in. The zero value allows any region. It is immutable.
type AllowedRegions struct {
	// stated is true if only the listed regions are allowed. The list may be empty.
	restricted bool
	regions    []string
}

// AllowedRegionsFor returns the regions that both a route and a customer allow. A route or customer that lists no
// regions allows all.
func AllowedRegionsFor(route model.Route, customer model.KeyHolder) AllowedRegions {
	return AllowedRegions{}.intersect(route.AllowedRegions).intersect(customer.AllowedRegions)
}

func (r AllowedRegions) intersect(regions []string) AllowedRegions {
	if len(regions) == 0 {
		return r
	}
	if !r.restricted {
		return AllowedRegions{restricted: true, regions: regions}
	}
	common := slices.DeleteFunc(slices.Clone(r.regions), func(region string) bool { return !slices.Contains(regions, region) })
	return AllowedRegions{restricted: true, regions: common}
}

// Allows reports whether a request may be served in a region.
func (r AllowedRegions) Allows(region string) bool {
	return !r.restricted || slices.Contains(r.regions, region)
}

// String lists the regions for messages.
func (r AllowedRegions) String() string {
	if !r.restricted {
		return "any"
	}
	return fmt.Sprint(r.regions)
}

// PieceRegion returns the region whose endpoints of a pool process the pieces of a request: the node's own region if it
// is allowed and has endpoints that take work, otherwise the alphabetically first such region. It returns false if
// there is none.
func PieceRegion(r Registry, pool string, allowed AllowedRegions, own string) (region string, ok bool) {
	for _, e := range r.Endpoints(pool) {
		if !e.TakesWork() || !allowed.Allows(e.Region) {
			continue
		}
		if e.Region == own {
			return own, true
		}
		if !ok || e.Region < region {
			region, ok = e.Region, true
		}
	}
	return region, ok
}

// AllowedEndpoints returns the endpoints in the allowed regions.
func (r AllowedRegions) AllowedEndpoints(endpoints []model.Endpoint) []model.Endpoint {
	if !r.restricted {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e model.Endpoint) bool { return !r.Allows(e.Region) })
}
