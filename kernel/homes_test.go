package kernel_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// endpointInRegion returns an endpoint in the only failure domain of a region.
func endpointInRegion(region, name, pool string) model.Endpoint {
	e := endpointIn("domain of "+region, name, pool)
	e.Region = region
	return e
}

// A request is served only in regions that both its route and its customer allow. No list allows all regions.
func TestAllowedRegionsIntersectRouteAndCustomer(t *testing.T) {
	for _, tc := range []struct {
		route, customer, allowed []string
	}{
		{nil, nil, []string{"north", "south", "west"}},
		{[]string{"north"}, nil, []string{"north"}},
		{nil, []string{"south", "west"}, []string{"south", "west"}},
		{[]string{"north", "south"}, []string{"south", "west"}, []string{"south"}},
		{[]string{"north"}, []string{"south"}, nil},
	} {
		regions := kernel.AllowedRegionsFor(model.Route{AllowedRegions: tc.route}, model.KeyHolder{AllowedRegions: tc.customer})
		var allowed []string
		for _, region := range []string{"north", "south", "west"} {
			if regions.Allows(region) {
				allowed = append(allowed, region)
			}
		}
		must.Eq(t, tc.allowed, allowed)
	}
}

func TestPieceRegionPrefersOwnRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{
		endpointInRegion("north", "n", "workers"), endpointInRegion("south", "s", "workers"), endpointInRegion("west", "w", "workers"),
	}, nil, nil)
	anywhere := kernel.AllowedRegionsFor(model.Route{}, model.KeyHolder{})
	southOrWest := kernel.AllowedRegionsFor(model.Route{AllowedRegions: []string{"west", "south"}}, model.KeyHolder{})
	for _, tc := range []struct {
		name      string
		evacuated []string
		regions   kernel.AllowedRegions
		want      string
	}{
		{"own region", nil, anywhere, "north"},
		{"own region not allowed", nil, southOrWest, "south"},
		{"own region evacuated", []string{"domain of north"}, anywhere, "south"},
		{"one allowed region evacuated", []string{"domain of south"}, southOrWest, "west"},
		{"all allowed regions evacuated", []string{"domain of south", "domain of west"}, southOrWest, ""},
	} {
		region, ok := kernel.PieceRegion(registry.WithEvacuations(evacuationsOf(now, tc.evacuated...)), "workers", tc.regions, "north")
		must.EqOp(t, tc.want, region, must.Sprint(tc.name))
		must.EqOp(t, tc.want != "", ok, must.Sprint(tc.name))
	}
}

func TestAdmitPoolsRefusesWithoutAllowedRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	registry := kernel.NewRegistry().WithChanges(now, now, []model.Endpoint{endpointInRegion("north", "n", "plain")}, nil, nil)
	a := kernel.Admission{Pool: "plain"}
	must.Nil(t, kernel.AdmitPools(time.Now(), registry, model.Forward{}, a))
	a.Regions = kernel.AllowedRegionsFor(model.Route{AllowedRegions: []string{"south"}}, model.KeyHolder{})
	refusal := kernel.AdmitPools(time.Now(), registry, model.Forward{}, a)
	must.NotNil(t, refusal)
	must.EqOp(t, model.NoHome, refusal.Reason)
	must.EqOp(t, model.NotRun, refusal.Verdict)
	must.Positive(t, refusal.RetryAfter)
}
