package scenario_test

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Seen: in CI beside much else, scenarios whole_answers and keys_outage counted 66 and 45 requests as missing that had never
// been sent. How: no node answered one probe within 300 ms, and the load found no address to send to. Cause: the balancer's
// part took silence of all nodes for nodes that are not ready. Proved by the reasons of these requests: none, not even that
// of a broken connection.
func TestBalancerKeepsSilentNodesWhenNoneIsReady(t *testing.T) {
	t.Parallel()
	before := []string{"a", "b"}
	for name, tc := range map[string]struct {
		probes []probe
		want   []string
	}{
		"all ready":                    {[]probe{{address: "a", ready: true}, {address: "c", ready: true}}, []string{"a", "c"}},
		"one silent":                   {[]probe{{address: "a", silent: true}, {address: "b", ready: true}}, []string{"b"}},
		"all silent":                   {[]probe{{address: "a", silent: true}, {address: "b", silent: true}}, before},
		"one not ready, one silent":    {[]probe{{address: "a"}, {address: "b", silent: true}}, []string{"b"}},
		"one silent from its start":    {[]probe{{address: "a"}, {address: "c", silent: true}}, nil},
		"all answer and none is ready": {[]probe{{address: "a"}, {address: "b"}}, nil},
		"no node runs":                 {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.want, inRotation(before, tc.probes))
		})
	}
}
