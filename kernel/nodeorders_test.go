package kernel_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// A request asks several times for the order of the nodes for a pool. It must be computed when the nodes change and not for
// each request, and a node that has left must not be in it.
func TestNodeOrdersFollowNodes(t *testing.T) {
	peers := newFollowerSim(1, 5, 200).peers
	orders := kernel.NewNodeOrders()
	must.Eq(t, kernel.NodesByHash("engines", peers), orders.Of("engines", peers))
	must.Zero(t, allocatedBytes(100, func(int) { orders.Of("engines", peers) }))
	without := append([]kernel.Peer(nil), peers[1:]...)
	must.Eq(t, kernel.NodesByHash("engines", without), orders.Of("engines", without))
	must.Eq(t, kernel.NodesByHash("workers", without), orders.Of("workers", without))
	must.Zero(t, allocatedBytes(100, func(int) {
		orders.Of("engines", append(without[:0:len(without)], without...))
	}), must.Sprint("the same nodes in the same order"))
	for range 10 {
		peers = peers[1:]
		must.Eq(t, kernel.NodesByHash("engines", peers), orders.Of("engines", peers))
	}
}
