package kernel_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// Found in the looking for other words that no node understood: endpoints say how many connections they accept of all
// nodes together, and each node kept up to eight idle ones to each of them. At 400 nodes that is 3,200 where 620 are
// accepted; an endpoint resets those beyond, with the requests on them.
func TestNodesTogetherKeepNoMoreIdleConnectionsThanAccepted(t *testing.T) {
	for _, connections := range []int{1, 52, 110, 370, 620} {
		for _, nodes := range []int{1, 8, 76, 300, 400} {
			must.LessEq(t, connections, nodes*kernel.MaxIdleConnections(connections, nodes))
		}
	}
	must.EqOp(t, 8, kernel.MaxIdleConnections(0, 400))
	must.EqOp(t, 8, kernel.MaxIdleConnections(370, 8))
	must.EqOp(t, 1, kernel.MaxIdleConnections(620, 400))
	must.EqOp(t, 0, kernel.MaxIdleConnections(620, 0), must.Sprint("each node of a fleet may know of none yet"))
}
