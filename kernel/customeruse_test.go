package kernel_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstall.example/basilstall/kernel"
)

// Guards against operators who see a customer that was busy long ago, and not the one that is refused now.
func TestBusiestCustomersAreThoseOfLateRequests(t *testing.T) {
	t.Parallel()
	uses := kernel.NewCustomerUses()
	now := testStart
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		uses.Record(now, "former", time.Second, false)
	}
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		uses.Record(now, "flood", 0, true)
		uses.Record(now, "usual", 50*time.Millisecond, false)
	}
	busiest := uses.Busiest(now, 2)
	must.SliceLen(t, 2, busiest)
	must.EqOp(t, "usual", busiest[0].Customer)
	must.InDelta(t, 0.5, busiest[0].Busy, 0.02)
	must.EqOp(t, "flood", busiest[1].Customer)
	must.InDelta(t, 10, busiest[1].Refusals, 0.2)
	must.SliceEmpty(t, uses.Busiest(now.Add(5*time.Minute), 10))
}

// Guards against memory that grows with the number of customers that have ever sent a request.
func TestCustomerUsesAreBounded(t *testing.T) {
	t.Parallel()
	uses := kernel.NewCustomerUses()
	for i := range 5000 {
		uses.Record(testStart, fmt.Sprint("customer-", i), 0, false)
	}
	must.SliceLen(t, 1024, uses.Busiest(testStart, 5000))
	later := testStart.Add(time.Hour)
	uses.Record(later, "new", 0, false)
	must.SliceLen(t, 1, uses.Busiest(later, 5000))
}
