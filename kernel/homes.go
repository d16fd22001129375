package kernel

import (
	"fmt"
	"slices"

	"basilstall.example/basilstall/model"
)

// Homes are the regions that a request may be served in. The zero value stands for any. It is immutable.
type AllowedRegions struct {
	// stated tells that regions lists all that are allowed; none may be.
	stated  bool
	regions []string
}

// AllowedRegionsFor returns the regions that a route and a customer allow together. One that states none allows all.
func AllowedRegionsFor(route model.Route, customer model.KeyHolder) AllowedRegions {
	return AllowedRegions{}.within(route.Homes).within(customer.Homes)
}

func (h AllowedRegions) within(regions []string) AllowedRegions {
	if len(regions) == 0 {
		return h
	}
	if !h.stated {
		return AllowedRegions{stated: true, regions: regions}
	}
	both := slices.DeleteFunc(slices.Clone(h.regions), func(region string) bool { return !slices.Contains(regions, region) })
	return AllowedRegions{stated: true, regions: both}
}

// Allows tells whether a request may be served in a region.
func (h AllowedRegions) Allows(region string) bool {
	return !h.stated || slices.Contains(h.regions, region)
}

// String names the regions for people.
func (h AllowedRegions) String() string {
	if !h.stated {
		return "any"
	}
	return fmt.Sprint(h.regions)
}

// PieceRegion returns the region whose endpoints of a pool carry out a request's pieces: the node's own where that is
// allowed and has endpoints that take work, else the first such by name. False means that there is none.
func PieceRegion(r Registry, pool string, homes AllowedRegions, own string) (region string, ok bool) {
	for _, e := range r.Endpoints(pool) {
		if !e.TakesWork() || !homes.Allows(e.Region) {
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

// AllowedEndpoints returns the endpoints that a request with homes may be sent to.
func (h AllowedRegions) AllowedEndpoints(endpoints []model.Endpoint) []model.Endpoint {
	if !h.stated {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e model.Endpoint) bool { return !h.Allows(e.Region) })
}
