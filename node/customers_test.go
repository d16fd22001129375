package node_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// Guards against a status without the customers that are refused: an operator must see whose requests are beyond a rate.
func TestStatusShowsRefusedCustomer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.setCustomerRate("0.2")
	var refused, requests float64
	f.await("a request is refused", func() bool {
		f.sendToAll("renewal")
		refused, requests = 0, 0
		for _, n := range f.nodes {
			status := n.Status()
			must.LessEq(t, 10, len(status.Customers))
			for _, c := range status.Customers {
				must.NotEq(t, kernel.CustomerUse{}, c)
				refused += c.Refusals
				requests += c.Requests
			}
		}
		return refused > 0
	})
	must.GreaterEq(t, refused, requests)
}
