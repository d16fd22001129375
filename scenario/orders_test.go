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

// cmdHolder sets $HOLDER to the name of the node that holds a pool's lease: holder POOL.
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

// cmdOrders checks the journal of orders to engines: no order of an earlier lease holder follows one of a later holder,
// no engine was ordered to load an adapter more than MAXLOADS times, and at least MINHOLDERS holders sent orders (each
// holder has a fencing number of its own):
// orders MAXLOADS MINHOLDERS.
func cmdOrders(ts *testscript.TestScript, _ bool, args []string) {
	var orders []standin.OrderRecord
	ts.Check(fleetOf(ts).platformGet("/journal/orders", &orders))
	maxLoads, err := strconv.Atoi(args[0])
	ts.Check(err)
	minHolders, err := strconv.Atoi(args[1])
	ts.Check(err)
	loads := map[string]int{}
	var fencingNumbers []uint64
	for _, o := range orders {
		if len(fencingNumbers) > 0 && o.Fencing < fencingNumbers[len(fencingNumbers)-1] {
			ts.Fatalf("order with fencing number %d after one with %d", o.Fencing, fencingNumbers[len(fencingNumbers)-1])
		}
		fencingNumbers = append(fencingNumbers, o.Fencing)
		if o.Kind == "Load" {
			loads[o.Endpoint+" "+o.Adapter]++
		}
	}
	for engineAdapter, n := range loads {
		if n > maxLoads {
			ts.Fatalf("engine and adapter %s: loaded %d times, at most %d allowed", engineAdapter, n, maxLoads)
		}
	}
	if got := len(slices.Compact(fencingNumbers)); got < minHolders {
		ts.Fatalf("orders came from %d holders, want at least %d", got, minHolders)
	}
}
