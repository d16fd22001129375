package scenario_test

import (
	"encoding/json"
	"slices"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"basilstall.example/basilstall/kernel"
	"basilstall.example/basilstall/standin"
	"basilstall.example/basilstall/table"
)

// cmdHolder puts the node that holds a pool's lease into $HOLDER: holder POOL.
func cmdHolder(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	ts.Check(waitFor(func() bool {
		var rows []table.Row
		if f.platformGet(table.RowsPath+"?key=leases/"+args[0], &rows) != nil || len(rows) == 0 {
			return false
		}
		var lease kernel.Lease
		if json.Unmarshal(rows[0].Value, &lease) != nil {
			return false
		}
		ts.Setenv("HOLDER", lease.Holder.Node)
		return true
	}))
}

// cmdOrders checks the engines' journal of orders: no order of an earlier holder after one of
// a later, at most MOST loads of one adapter on one engine, and at least HOLDERS holders:
// orders MOST HOLDERS.
func cmdOrders(ts *testscript.TestScript, _ bool, args []string) {
	var orders []standin.OrderRecord
	ts.Check(fleetOf(ts).platformGet("/journal/orders", &orders))
	most, err := strconv.Atoi(args[0])
	ts.Check(err)
	holders, err := strconv.Atoi(args[1])
	ts.Check(err)
	loads := map[string]int{}
	var numbers []uint64
	for _, o := range orders {
		if len(numbers) > 0 && o.Fencing < numbers[len(numbers)-1] {
			ts.Fatalf("order with fencing number %d after one with %d", o.Fencing, numbers[len(numbers)-1])
		}
		numbers = append(numbers, o.Fencing)
		if o.Kind == "Load" {
			loads[o.Endpoint+" "+o.Adapter]++
		}
	}
	for what, n := range loads {
		if n > most {
			ts.Fatalf("%s was loaded %d times", what, n)
		}
	}
	if got := len(slices.Compact(numbers)); got < holders {
		ts.Fatalf("orders of %d holders", got)
	}
}
