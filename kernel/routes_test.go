package kernel_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/model"
)

// trustLimit is how old the routing may be for requests to be admitted by it.
const trustLimit = 4 * time.Second

var (
	trust       = kernel.RoutingTrust{MaxKeyAge: trustLimit}
	behindTrust = kernel.RoutingTrust{MaxKeyAge: trustLimit, Behind: true}
)

// testRouting returns routing with two routes of nested prefixes, a public route and two customers.
func testRouting(version uint64) model.Routing {
	return model.Routing{
		Version: version,
		Routes: []model.Route{
			{Name: "wide", Host: "a.example", Prefix: "/x/", Kind: model.Safe, Timeout: time.Second, Split: []model.WeightedPool{{Pool: "p", Weight: 1}}, MaxAttempts: 1},
			{Name: "narrow", Host: "a.example", Prefix: "/x/y/", Kind: model.Unsafe, Timeout: time.Second, Split: []model.WeightedPool{{Pool: "p", Weight: 9}, {Pool: "q", Weight: 1}}, MaxAttempts: 1},
			{Name: "open", Host: "b.example", Prefix: "/", Kind: model.Safe, Timeout: time.Second, Split: []model.WeightedPool{{Pool: "p", Weight: 1}}, MaxAttempts: 1, Public: true},
		},
		Customers: []model.KeyHolder{
			{Name: "ann", Keys: []string{"key-a", "key-b"}, Priority: -1},
			{Name: "bob", Keys: []string{"key-c"}, Priority: 0},
		},
	}
}

// newForward returns a GET request.
func newForward(host, path, key string, at time.Time) model.Forward {
	return model.Forward{ID: "id", Method: "GET", URI: path, Path: path, Host: host, Key: key, ReceivedAt: at}
}

func TestMatchTakesLongestPrefix(t *testing.T) {
	table := kernel.NewRouteTable(testRouting(1))
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "wide"},
		{"a.example", "/x/y/1", "narrow"},
		{"a.example:8080", "/x/y/", "narrow"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"c.example", "/x/1", ""},
		{"b.example", "/anything", "open"},
	} {
		route, ok := table.Match(tc.host, tc.path)
		must.Eq(t, tc.want, route.Name, must.Sprint(tc.host+tc.path))
		must.Eq(t, tc.want != "", ok)
	}
}

// Match finds the same route as a linear search for the longest prefix, whatever the slashes.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"", "a", "b", "ab"})
		var routes []model.Route
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			segments := rapid.SliceOfN(segment, 0, 3).Draw(t, "prefix")
			prefix := "/" + strings.Join(append(segments, ""), "/")
			routes = append(routes, model.Route{Name: fmt.Sprint(i), Host: "a.example", Prefix: prefix})
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 5).Draw(t, "path"), "/")
		want, found := model.Route{}, false
		for _, r := range routes {
			if strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(want.Prefix)) {
				want, found = r, true
			}
		}
		got, ok := kernel.NewRouteTable(model.Routing{Version: 1, Routes: routes}).Match("a.example", path)
		must.EqOp(t, found, ok)
		must.EqOp(t, want.Name, got.Name)
	})
}

func TestPoolForFollowsWeights(t *testing.T) {
	table := kernel.NewRouteTable(testRouting(1))
	route, _ := table.Match("a.example", "/x/y/")
	counts := map[string]int{}
	for i := range 5000 {
		id := fmt.Sprint("request-", i)
		pool := kernel.PoolFor(route, id)
		must.Eq(t, pool, kernel.PoolFor(route, id))
		counts[pool]++
	}
	must.Between(t, 350, counts["q"], 650)
}

func TestRoutingVersionNeverDecreases(t *testing.T) {
	now := time.Unix(1000, 0)
	newer := kernel.NewRouteTable(testRouting(7))
	view := kernel.RoutingView{}.With(now, newer)
	view = view.With(now.Add(time.Second), kernel.NewRouteTable(testRouting(5)))
	must.Eq(t, uint64(7), view.Table.Version())
	must.Eq(t, now.Add(time.Second), view.ProvenAt)
	view = view.With(now, nil)
	must.Eq(t, now.Add(time.Second), view.ProvenAt, must.Sprint("an older call must not move ProvenAt back"))
	must.False(t, kernel.RoutingView{}.With(now, nil).Fresh(now, time.Hour), must.Sprint("a view without routing is never fresh"))
}

func TestAdmit(t *testing.T) {
	now := time.Unix(1000, 0)
	view := kernel.RoutingView{}.With(now, kernel.NewRouteTable(testRouting(3)))
	for _, tc := range []struct {
		name   string
		view   kernel.RoutingView
		f      model.Forward
		age    time.Duration
		reason model.Reason
	}{
		{"known key", view, newForward("a.example", "/x/1", "key-b", now), 0, ""},
		{"unknown key", view, newForward("a.example", "/x/1", "key-z", now), 0, model.Unauthorized},
		{"no key", view, newForward("a.example", "/x/1", "", now), 0, model.Unauthorized},
		{"public route", view, newForward("b.example", "/1", "", now), 0, ""},
		{"public route, old routing", view, newForward("b.example", "/1", "", now), trustLimit + time.Second, ""},
		{"no route", view, newForward("a.example", "/z", "key-a", now), 0, model.UnknownPipeline},
		{"no routing: NotReady instead of a false 404", kernel.RoutingView{}, newForward("a.example", "/z", "key-a", now), 0, model.NotReady},
		{"old routing", view, newForward("a.example", "/x/1", "key-a", now.Add(trustLimit)), trustLimit + time.Millisecond, model.StaleRouting},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at := now.Add(tc.age)
			tc.f.ReceivedAt = at
			a, refusal := kernel.Admit(at, tc.view, trust, tc.f)
			if tc.reason == "" {
				must.Nil(t, refusal)
				must.Eq(t, uint64(3), a.Version)
				return
			}
			must.NotNil(t, refusal)
			must.Eq(t, tc.reason, refusal.Reason)
			must.Eq(t, model.NotRun, refusal.Verdict)
		})
	}
}

func TestAdmitUsesEarlierDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	view := kernel.RoutingView{}.With(now, kernel.NewRouteTable(testRouting(3)))
	f := newForward("a.example", "/x/1", "key-a", now)
	a, _ := kernel.Admit(now, view, trust, f)
	must.Eq(t, now.Add(time.Second), a.Deadline)
	f.Deadline = now.Add(300 * time.Millisecond)
	a, _ = kernel.Admit(now, view, trust, f)
	must.Eq(t, f.Deadline, a.Deadline)
	_, refusal := kernel.Admit(f.Deadline, view, trust, f)
	must.Eq(t, model.DeadlinePassed, refusal.Reason)
}

func TestStillAdmittedRefusesRevokedKeysAndStaleRouting(t *testing.T) {
	now := time.Unix(1000, 0)
	view := kernel.RoutingView{}.With(now, kernel.NewRouteTable(testRouting(3)))
	f := newForward("a.example", "/x/1", "key-b", now)
	f.Deadline = time.Time{}
	a, _ := kernel.Admit(now, view, trust, f)
	must.Nil(t, kernel.RecheckAdmission(now, view, trust, f, a))

	revoked := testRouting(4)
	revoked.Customers[0].Keys = []string{"key-a"}
	later := view.With(now, kernel.NewRouteTable(revoked))
	must.Eq(t, model.Unauthorized, kernel.RecheckAdmission(now, later, trust, f, a).Reason)

	a.Deadline = now.Add(time.Hour)
	afterTrustLimit := now.Add(trustLimit + time.Second)
	must.Eq(t, model.StaleRouting, kernel.RecheckAdmission(afterTrustLimit, view, trust, f, a).Reason)
	must.Eq(t, model.DeadlinePassed, kernel.RecheckAdmission(a.Deadline, view, trust, f, a).Reason)
}

// A node that may be behind decides on no request, also not that a route or a key is unknown: another node may know better.
func TestNodeBehindDecidesOnNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	view := kernel.RoutingView{}.With(now, kernel.NewRouteTable(testRouting(3)))
	for _, path := range []string{"/1", "/none"} {
		f := newForward("b.example", path, "", now)
		_, refusal := kernel.Admit(now, view, behindTrust, f)
		must.Eq(t, model.StaleRouting, refusal.Reason)
		must.Eq(t, model.NotRun, refusal.Verdict)
		must.Positive(t, refusal.RetryAfter)
	}
	f := newForward("b.example", "/1", "", now)
	a, refusal := kernel.Admit(now, view, trust, f)
	must.Nil(t, refusal)
	must.Eq(t, model.StaleRouting, kernel.RecheckAdmission(now, view, behindTrust, f, a).Reason)
}
