package scenario_test

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against loads that find no address to send to and count requests as missing that were never sent: they have no
// reason recorded, not even that of a broken connection. On a busy machine, it can happen that no node answers a
// readiness probe within 300 ms. The balancer must not treat nodes as not ready if all of them are silent.
func TestBalancerKeepsSilentNodesWhenNoneIsReady(t *testing.T) {
	t.Parallel()
	previous := []string{"a", "b"}
	for name, tc := range map[string]struct {
		probes []probe
		want   []string
	}{
		"all ready":                    {[]probe{{address: "a", ready: true}, {address: "c", ready: true}}, []string{"a", "c"}},
		"one silent":                   {[]probe{{address: "a", silent: true}, {address: "b", ready: true}}, []string{"b"}},
		"all silent":                   {[]probe{{address: "a", silent: true}, {address: "b", silent: true}}, previous},
		"one not ready, one silent":    {[]probe{{address: "a"}, {address: "b", silent: true}}, []string{"b"}},
		"one silent from its start":    {[]probe{{address: "a"}, {address: "c", silent: true}}, nil},
		"all answer and none is ready": {[]probe{{address: "a"}, {address: "b"}}, nil},
		"no node runs":                 {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, inRotation(previous, tc.probes))
		})
	}
}
