package kernel_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// Endpoints limit the connections that they accept from all nodes together, and reset those beyond the limit with the
// requests on them. If each node kept up to eight idle connections regardless of that limit, 400 nodes would keep 3,200
// where 620 are accepted.
func TestMaxIdleConnectionsFitsEndpointLimit(t *testing.T) {
	for _, connections := range []int{1, 52, 110, 370, 620} {
		for _, nodes := range []int{1, 8, 76, 300, 400} {
			must.LessEq(t, connections, nodes*kernel.MaxIdleConnections(connections, nodes))
		}
	}
	must.EqOp(t, 8, kernel.MaxIdleConnections(0, 400))
	must.EqOp(t, 8, kernel.MaxIdleConnections(370, 8))
	must.EqOp(t, 1, kernel.MaxIdleConnections(620, 400))
	must.EqOp(t, 0, kernel.MaxIdleConnections(620, 0), must.Sprint("all nodes of a fleet may know of no nodes yet"))
}
